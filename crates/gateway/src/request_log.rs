//! The log line of each request, with all decisions that led to its answer.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use wingbridge_decide::Fingerprint;
use wingbridge_decide::crashes::CrashVerdict;
use wingbridge_decide::returns::ReturnArrival;
use wingbridge_decide::steer::{ExcludedTargets, SteerPick};

use crate::answers::CallerAnswer;
use crate::context::{BoxContext, millis};
use crate::customers::PresentedKey;
use crate::returns::PlannedReturn;

/// Collects the decisions about a request while it is handled, for its log line.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    route: String,
    service: String,
    /// Name of the customer; empty if there is none.
    customer: String,
    /// First digits of the digest of the customer's key.
    key: String,
    /// Version of the configuration by which the request was allowed or denied; 0 for none.
    config_version: u64,
    /// Fingerprint by which a retry is recognized; empty if the request goes to no service.
    fingerprint: String,
    /// Number of targets that have ended while they ran the request, if it was refused as a poison request;
    /// otherwise 0.
    targets_ended: usize,
    /// Time limit of the request, in milliseconds: the limit of the caller, or the limit of the route if that is
    /// shorter.
    limit_ms: u64,
    /// Time until the first target was chosen, or until a waiting queue refused the request, in milliseconds.
    held_ms: u64,
    /// Number of attempts that were started.
    attempts: u32,
    /// Number of targets that received the request, also by way of another box.
    deliveries: u32,
    /// Time until a hedge was started, in milliseconds, or the reason why a due one was not started; empty if
    /// none was due.
    hedged_ms: String,
    /// Numbers of targets that were excluded, by reason, from the last choice that excluded any; empty if no
    /// choice did.
    excluded: String,
    /// Target of the last attempt, or the one that answered.
    target: String,
    data_centre: String,
    /// Failure probability of `target`, followed by "trial" if the attempt was a trial.
    risk: String,
    busy: String,
    /// Data centre to which the request left by the placement plan of its service; empty if it did not.
    placed: String,
    /// Each attempt that gave no answer for the caller, with the reason, and the reason why no further attempt was
    /// made.
    tried: String,
    /// Kind of the refusal whose return was planned; empty if there is none.
    refusal: &'static str,
    /// Time after which the caller was told to return, in milliseconds; empty if none was planned.
    return_ms: String,
    /// Whether the caller has time left when it was told to return; empty if no return was planned.
    return_useful: &'static str,
    /// Whether the request is a return that this box has told: "due", "early", or empty if it is none.
    returned: &'static str,
    /// Name of the box that accepted the request from its caller and has this one handle it; empty if it is this one.
    relayed_from: String,
    /// Address of the last peer that agreed to handle the request; empty if none did.
    relayed_to: String,
    /// Time of the planned stop at which the request was planned, in milliseconds; empty if there was no stop.
    stop_ms: String,
    /// Time that the request had left when the stop ended it, in milliseconds; empty if the stop did not.
    stop_left_ms: String,
}

impl RequestTrace {
    /// Creates a trace with the name of the route. Without [`Self::with_service`], it is the trace of a request
    /// that goes to no service.
    pub(crate) fn with_route(route: &str) -> RequestTrace {
        RequestTrace { route: route.to_string(), ..RequestTrace::default() }
    }

    /// Sets the service that the request goes to, and its time limit in milliseconds.
    pub(crate) fn with_service(self, service: &str, limit_ms: u64) -> RequestTrace {
        RequestTrace { service: service.to_string(), limit_ms, ..self }
    }

    /// Records the customer and the key of the request, and the version of the configuration that decided its
    /// access.
    pub(crate) fn record_access(&mut self, customer: &str, key: PresentedKey, version: u64) {
        self.customer = customer.to_string();
        self.key = key.to_string();
        self.config_version = version;
    }

    /// Records the fingerprint by which a retry of the request is recognized.
    pub(crate) fn record_fingerprint(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = fingerprint.to_string();
    }

    /// Records how many targets have ended while they ran the request, as the reason for its refusal.
    pub(crate) fn record_crashes(&mut self, verdict: CrashVerdict) {
        self.targets_ended = verdict.ended();
    }

    /// Records an attempt at a chosen target, `waited` after the first byte of the request.
    pub(crate) fn record_pick(&mut self, pick: &SteerPick, waited: Duration) {
        if self.attempts == 0 {
            self.held_ms = millis(waited);
        }
        self.attempts += 1;
        self.record_target(pick);
    }

    /// Records that the request is refused without an attempt, `waited` after its first byte.
    pub(crate) fn record_refused_after(&mut self, waited: Duration) {
        if self.attempts == 0 {
            self.held_ms = millis(waited);
        }
    }

    /// Records how many targets received the request.
    pub(crate) fn record_deliveries(&mut self, deliveries: u32) {
        self.deliveries = deliveries;
    }

    /// Records how many targets were excluded from the choice, and why.
    pub(crate) fn record_excluded(&mut self, excluded: &ExcludedTargets) {
        let ExcludedTargets {
            draining: leaving,
            backing_off: resting,
            replaced,
            limited,
            evacuated,
        } = excluded;
        if *excluded != ExcludedTargets::default() {
            self.excluded = format!(
                "leaving {leaving}, resting {resting}, replaced {replaced}, limited {limited}, evacuated {evacuated}"
            );
        }
    }

    /// Records the start of a hedge, `after` the first byte of the request.
    pub(crate) fn record_hedge(&mut self, after: Duration) {
        self.hedged_ms = millis(after).to_string();
    }

    /// Records that a due hedge was not started as the retry budget was used up.
    pub(crate) fn record_no_hedge(&mut self) {
        if self.hedged_ms.is_empty() {
            self.hedged_ms = "no retry was left".to_string();
        }
    }

    /// Records the target of the attempt that decided the request so far.
    pub(crate) fn record_target(&mut self, pick: &SteerPick) {
        self.target = pick.id.to_string();
        self.data_centre = pick.data_centre.to_string();
        self.risk = format!("{:.3}{}", pick.risk, if pick.trial { " trial" } else { "" });
        self.placed = if pick.placed { self.data_centre.clone() } else { String::new() };
        self.busy = format!("{:.1}", pick.busy);
    }

    /// Records why the last attempt gave no answer for the caller.
    pub(crate) fn record_failure(&mut self, reason: &str) {
        self.tried.push_str(&format!("{}: {reason}; ", self.target));
    }

    /// Records the kind of a refusal and when the caller was told to return.
    pub(crate) fn record_return(&mut self, planned: PlannedReturn) {
        self.refusal = planned.kind.as_str();
        self.return_ms = millis(planned.time.wait).to_string();
        self.return_useful = if planned.time.is_useful { "yes" } else { "no" };
    }

    /// Records whether the request is a return that this box has told.
    pub(crate) fn record_arrival(&mut self, arrival: ReturnArrival) {
        self.returned = match arrival {
            ReturnArrival::New => "",
            ReturnArrival::Kept => "due",
            ReturnArrival::Early => "early",
        };
    }

    /// Records the box that has this one handle the request.
    pub(crate) fn record_relayed_from(&mut self, box_id: &str) {
        self.relayed_from = box_id.to_string();
    }

    /// Records that the box at `peer` agreed to handle the request.
    pub(crate) fn record_relayed_to(&mut self, peer: IpAddr) {
        self.relayed_to = peer.to_string();
    }

    /// Records why the box at `peer` gave no answer for the caller.
    pub(crate) fn record_relay_failure(&mut self, peer: IpAddr, reason: &str) {
        self.tried.push_str(&format!("box {peer}: {reason}; "));
    }

    /// Records how long the planned stop of the box had lasted when the request was planned; `None` without a stop.
    pub(crate) fn record_stop(&mut self, elapsed: Option<Duration>) {
        self.stop_ms = elapsed.map(|elapsed| millis(elapsed).to_string()).unwrap_or_default();
    }

    /// Records that the request was ended early, with `remaining` time left.
    pub(crate) fn record_ended_early(&mut self, remaining: Duration) {
        self.stop_left_ms = millis(remaining).to_string();
    }

    /// Records why there is no further attempt.
    pub(crate) fn record_no_retry(&mut self, reason: &str) {
        self.tried.push_str(reason);
    }
}

/// Writes the log line of an answered request and updates the metrics.
pub(crate) fn log_request(
    context: &BoxContext,
    id: &str,
    path: &str,
    received_at: Instant,
    trace: RequestTrace,
    answer: &CallerAnswer,
) {
    let outcome = answer.outcome.as_str();
    let view_age_ms = context.view_age().map_or(0, millis);
    let config_age_ms = context.config_age().map_or(0, millis);
    let taken_ms = millis(received_at.elapsed());
    log::info!(
        request = id, path, fingerprint:% = trace.fingerprint, route:% = trace.route, service:% = trace.service,
        customer:% = trace.customer, key:% = trace.key, config_version = trace.config_version,
        held_ms = trace.held_ms, attempts = trace.attempts, deliveries = trace.deliveries, hedged_ms:% = trace.hedged_ms,
        left_out:% = trace.excluded, target:% = trace.target, target_centre:% = trace.data_centre,
        risk:% = trace.risk, busy:% = trace.busy, placed:% = trace.placed, tried:% = trace.tried,
        targets_ended = trace.targets_ended, refusal = trace.refusal, return_ms:% = trace.return_ms,
        return_useful = trace.return_useful, returned = trace.returned,
        relayed_from:% = trace.relayed_from, relayed_to:% = trace.relayed_to,
        stop_ms:% = trace.stop_ms, stop_left_ms:% = trace.stop_left_ms,
        status = answer.status, outcome, why = answer.reason,
        view_age_ms, config_age_ms, limit_ms = trace.limit_ms, taken_ms;
        "request"
    );
    let labels = [("service", trace.service), ("outcome", outcome.to_string())];
    if !trace.relayed_from.is_empty() {
        // The box that accepted the request counts it.
        metrics::counter!("wingbridge_relayed_requests", &labels).increment(1);
        return;
    }
    metrics::counter!("wingbridge_requests", &labels).increment(1);
    metrics::histogram!("wingbridge_request_millis")
        .record(received_at.elapsed().as_secs_f64() * 1000.0);
}
