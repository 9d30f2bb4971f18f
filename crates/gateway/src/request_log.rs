//! The log line of a request: what decided it.

use std::time::{Duration, Instant};

use wingbridge_decide::Fingerprint;
use wingbridge_decide::crashes::CrashVerdict;
use wingbridge_decide::steer::{ExcludedTargets, SteerPick};

use crate::answers::CallerAnswer;
use crate::context::{BoxContext, millis};
use crate::customers::PresentedKey;

/// What decided a request.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    route: String,
    service: String,
    /// The customer whose request it is.
    customer: String,
    /// The first digits of the digest of its key.
    key: String,
    /// The configuration by which it was let in or turned away; 0 for none.
    config_version: u64,
    /// By which it is known when it comes again; empty if it goes nowhere.
    fingerprint: String,
    /// Targets that were known to have ended under it when it was refused for that; 0 if it was not.
    targets_ended: usize,
    /// Time that it had, in milliseconds: the caller's, or the route's if that is less.
    limit_ms: u64,
    /// Time until the first target was chosen, in milliseconds: what it was held for.
    held_ms: u64,
    attempts: u32,
    /// Time until a second attempt was made beside an open one, in milliseconds, or why there
    /// was none; empty if none was due.
    hedged_ms: String,
    /// Targets of its service that could not be chosen, the last time that there were some; empty if
    /// there never were.
    left_out: String,
    target: String,
    data_centre: String,
    risk: String,
    busy: String,
    /// Each attempt that did not answer, with why; and why there was no further one.
    tried: String,
}

impl RequestTrace {
    /// A trace of a request that goes nowhere.
    pub(crate) fn of_route(route: &str) -> RequestTrace {
        RequestTrace { route: route.to_string(), ..RequestTrace::default() }
    }

    /// The same for a request that goes to a service and has `limit_ms` for it.
    pub(crate) fn with_service(self, service: &str, limit_ms: u64) -> RequestTrace {
        RequestTrace { service: service.to_string(), limit_ms, ..self }
    }

    /// Notes whose request it is, by which key and configuration.
    pub(crate) fn note_entrance(&mut self, customer: &str, key: PresentedKey, version: u64) {
        self.customer = customer.to_string();
        self.key = key.to_string();
        self.config_version = version;
    }

    /// Notes by what it is known when it comes again.
    pub(crate) fn note_fingerprint(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = fingerprint.to_string();
    }

    /// Notes that it is refused for the targets that ended under it.
    pub(crate) fn note_crashes(&mut self, verdict: CrashVerdict) {
        self.targets_ended = verdict.ended();
    }

    /// Notes a chosen target.
    pub(crate) fn note_pick(&mut self, pick: &SteerPick, waited: Duration) {
        if self.attempts == 0 {
            self.held_ms = millis(waited);
        }
        self.attempts += 1;
        self.note_target(pick);
    }

    /// Notes which targets could not be chosen.
    pub(crate) fn record_excluded(&mut self, out: &ExcludedTargets) {
        let ExcludedTargets {
            draining: leaving,
            backing_off: resting,
            replaced,
            limited,
            evacuated,
        } = out;
        if *out != ExcludedTargets::default() {
            self.left_out = format!(
                "leaving {leaving}, resting {resting}, replaced {replaced}, limited {limited}, evacuated {evacuated}"
            );
        }
    }

    /// Notes that a second attempt was made beside an open one.
    pub(crate) fn note_hedge(&mut self, after: Duration) {
        self.hedged_ms = millis(after).to_string();
    }

    /// Notes that the budget had no retry for a second attempt.
    pub(crate) fn note_no_hedge(&mut self) {
        if self.hedged_ms.is_empty() {
            self.hedged_ms = "no retry was left".to_string();
        }
    }

    /// Notes whose attempt decided the request so far.
    pub(crate) fn note_target(&mut self, pick: &SteerPick) {
        self.target = pick.id.to_string();
        self.data_centre = pick.data_centre.to_string();
        self.risk = format!("{:.3}{}", pick.risk, if pick.trial { " trial" } else { "" });
        self.busy = format!("{:.1}", pick.busy);
    }

    /// Notes why the last attempt gave no answer for the caller.
    pub(crate) fn note_failure(&mut self, why: &str) {
        self.tried.push_str(&format!("{}: {why}; ", self.target));
    }

    /// Notes why there is no further attempt.
    pub(crate) fn note_end(&mut self, why: &str) {
        self.tried.push_str(why);
    }
}

/// Writes the line and counts the request.
pub(crate) fn log_request(
    context: &BoxContext,
    id: &str,
    path: &str,
    since: Instant,
    trace: RequestTrace,
    answer: &CallerAnswer,
) {
    let outcome = answer.outcome.as_str();
    let view_age_ms = context.view_age().map_or(0, millis);
    let config_age_ms = context.config_age().map_or(0, millis);
    let taken_ms = millis(since.elapsed());
    log::info!(
        request = id, path, fingerprint:% = trace.fingerprint, route:% = trace.route, service:% = trace.service,
        customer:% = trace.customer, key:% = trace.key, config_version = trace.config_version,
        held_ms = trace.held_ms, attempts = trace.attempts, hedged_ms:% = trace.hedged_ms,
        left_out:% = trace.left_out, target:% = trace.target, target_centre:% = trace.data_centre,
        risk:% = trace.risk, busy:% = trace.busy, tried:% = trace.tried,
        targets_ended = trace.targets_ended,
        status = answer.status, outcome, why = answer.why,
        view_age_ms, config_age_ms, limit_ms = trace.limit_ms, taken_ms;
        "request"
    );
    let labels = [("service", trace.service), ("outcome", outcome.to_string())];
    metrics::counter!("wingbridge_requests", &labels).increment(1);
    metrics::histogram!("wingbridge_request_millis").record(since.elapsed().as_secs_f64() * 1000.0);
}
