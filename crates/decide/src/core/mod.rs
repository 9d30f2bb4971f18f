//! The decision core of a box: a state machine that takes events and returns commands.
//!
//! [`requests`] handles requests and their attempts, [`health`] decides which targets are in service, and
//! [`evidence`] turns the outcomes of attempts into evidence about the targets.

mod evidence;
mod health;
mod requests;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::core::evidence::PendingBatch;
use crate::detector::{DETECTION_WINDOW, OutlierDetector};
use crate::evidence::{EvidenceSource, SampleKind};
use crate::health::HealthChart;
use crate::messages::{BoxCommand, BoxEvent, Conclusion, RefuseReason, RequestId};
use crate::names::{Name, TargetKey};
use crate::requests::{OpenAttempt, RequestTable, TimedCheck};
use crate::self_check::SelfCheck;
use crate::service::ServiceState;
use crate::setup::ServiceSetup;
use crate::time::TimePoint;

/// Maximum time for which a batch of evidence is collected before it is sent to the outlier detectors. A batch with
/// bad outcomes is sent with the next window instead.
const MAX_BATCH_AGE: Duration = Duration::from_millis(100);
/// Time between two probes of a draining target.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Assumed latency of a service until enough latencies are recorded.
const ASSUMED_LATENCY: Duration = Duration::from_millis(20);
/// Minimum retry time that is returned to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum random addition to [`MIN_RETRY_AFTER`], which spreads the retries of refused callers over time.
const RETRY_AFTER_JITTER: Duration = Duration::from_secs(4);

/// The decision core of one box.
#[derive(Debug)]
pub struct BoxCore {
    source: EvidenceSource,
    chart: HealthChart,
    services: BTreeMap<Name, ServiceState>,
    requests: RequestTable,
    /// The detector over this box's own evidence.
    local_detector: OutlierDetector,
    /// Evidence that has not been sent, by service.
    batches: BTreeMap<Name, PendingBatch>,
    /// Start of the current [`DETECTION_WINDOW`].
    window_started: TimePoint,
    self_check: SelfCheck,
    random: SmallRng,
}

impl BoxCore {
    /// Creates the core of the box `source`, with a random number generator seeded with `seed`.
    pub fn new(source: EvidenceSource, chart: HealthChart, seed: u64) -> BoxCore {
        let local_detector = OutlierDetector::local(&source.data_centre);
        BoxCore {
            source,
            chart,
            services: BTreeMap::new(),
            requests: RequestTable::default(),
            local_detector,
            batches: BTreeMap::new(),
            window_started: TimePoint::default(),
            self_check: SelfCheck::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles an event at `now` and appends the resulting commands to `commands`.
    pub fn handle(&mut self, now: TimePoint, event: BoxEvent, commands: &mut Vec<BoxCommand>) {
        match event {
            BoxEvent::ServiceConfigured(setup) => self.configure(now, setup),
            BoxEvent::ServiceRemoved(service) => self.remove_service(&service, commands),
            BoxEvent::OverridesSet { service, overrides } => {
                self.set_overrides(now, &service, &overrides, commands);
            }
            BoxEvent::RequestArrived { request, plan } => self.admit(now, request, plan, commands),
            BoxEvent::AttemptEnded { request, attempt, outcome } => {
                self.finish_attempt(now, request, attempt, outcome, commands);
            }
            BoxEvent::RequestCancelled(request) => self.cancel(now, request, commands),
            BoxEvent::AnswerBroken { service, target } => {
                let open = OpenAttempt { target, started: now, overdue: false };
                self.add_evidence(now, &service, &open, SampleKind::Error, commands);
            }
            BoxEvent::VerdictReceived(verdict) => self.apply_verdict(now, &verdict, commands),
            BoxEvent::DrainingReceived { service, target } => {
                self.mark_draining(now, &service, target, false, commands);
            }
            BoxEvent::ProbeEnded { service, target, state } => {
                self.finish_probe(now, &service, target, state, commands);
            }
            BoxEvent::TimerFired => self.tick(now, commands),
        }
    }

    /// Returns the state of a service, for status pages and tests.
    pub fn service(&self, name: &str) -> Option<&ServiceState> {
        self.services.get(name)
    }

    /// Returns all services, for status pages.
    pub fn services(&self) -> impl Iterator<Item = &ServiceState> {
        self.services.values()
    }

    /// Returns the number of requests that are open or queued.
    pub fn requests_held(&self) -> usize {
        self.requests.len()
    }

    fn configure(&mut self, now: TimePoint, setup: ServiceSetup) {
        self.local_detector.configure(&setup);
        match self.services.get_mut(&setup.name) {
            Some(service) => service.configure(setup, now),
            None => {
                let service = ServiceState::new(setup, now);
                self.services.insert(service.setup().name.clone(), service);
            }
        }
    }

    fn remove_service(&mut self, name: &str, commands: &mut Vec<BoxCommand>) {
        self.local_detector.remove(name);
        let Some(mut service) = self.services.remove(name) else {
            return;
        };
        while let Some(request) = service.queue.pop() {
            self.requests.remove(request);
            let retry_after = self.random_retry_after();
            commands.push(not_run(request, RefuseReason::UnknownService, retry_after));
        }
    }

    fn tick(&mut self, now: TimePoint, commands: &mut Vec<BoxCommand>) {
        while let Some((request, check)) = self.requests.pop_due(now) {
            match check {
                TimedCheck::Overdue { attempt } => {
                    self.check_overdue(now, request, attempt, commands);
                }
                TimedCheck::Deadline => self.expire_request(now, request, commands),
            }
        }
        if now.since(self.window_started) < DETECTION_WINDOW {
            return;
        }
        self.window_started = now;
        self.advance_health(now, commands);
        self.send_reports(now, commands);
        self.run_local_detector(now, commands);
        if let Some(suspected) = self.self_check.tick(now) {
            commands.push(BoxCommand::SelfSuspected(suspected));
        }
    }

    /// Returns a random retry time for a refused caller.
    fn random_retry_after(&mut self) -> Duration {
        let spread = RETRY_AFTER_JITTER.mul_f64(self.random.random());
        MIN_RETRY_AFTER + spread
    }
}

/// Returns the command that refuses a request that no target has run.
fn not_run(request: RequestId, reason: RefuseReason, retry_after: Duration) -> BoxCommand {
    BoxCommand::Conclude { request, conclusion: Conclusion::NotRun { reason, retry_after } }
}

/// Returns a service and the index of one of its targets, if both exist.
fn locate<'a>(
    services: &'a mut BTreeMap<Name, ServiceState>,
    name: &str,
    target: TargetKey,
) -> Option<(&'a mut ServiceState, usize)> {
    let service = services.get_mut(name)?;
    let index = service.find(target)?;
    Some((service, index))
}
