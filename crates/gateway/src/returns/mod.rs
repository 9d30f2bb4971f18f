//! Returns of refused callers: names the time of each return in the refusal, and recognizes callers that come when
//! they were told to. The decisions are in `wingbridge_decide::returns`.

mod signs;

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use wingbridge_decide::names::stable_hash;
use wingbridge_decide::returns::{
    RefusalKind, ReturnArrival, ReturnSchedule, ReturnTime, ToldReturns,
};
use wingbridge_decide::{Fingerprint, Name, TimePoint};

use crate::context::{lock, millis};
use crate::settings::OverloadControl;

pub use signs::RefusalSigns;

/// Maximum number of services with a schedule; 870 are planned. Peers could otherwise fill the memory with names.
const MAX_SERVICES: usize = 1024;

/// A request that is refused and that no target has run.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a Name,
    /// Fingerprint by which its return is recognized.
    pub fingerprint: Fingerprint,
    /// Why it is refused, if its own attempts show that.
    pub kind: Option<RefusalKind>,
    /// Time that the caller has left.
    pub remaining: Duration,
    /// Time that is left of the goal of its route.
    pub goal_left: Duration,
}

/// The return of a refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedReturn {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// When its caller may return.
    pub time: ReturnTime,
}

/// The return schedules of all services of a box.
#[derive(Debug)]
pub struct ReturnPlanner {
    is_enabled: bool,
    seed: u64,
    state: Mutex<ReturnState>,
}

#[derive(Debug, Default)]
struct ReturnState {
    schedules: HashMap<Name, ReturnSchedule>,
    told: ToldReturns,
}

impl ReturnPlanner {
    /// Creates a planner without schedules. It plans nothing unless `overload` sheds load.
    pub fn new(overload: OverloadControl, seed: u64) -> ReturnPlanner {
        ReturnPlanner { is_enabled: overload.sheds_load(), seed, state: Mutex::default() }
    }

    /// Records that an attempt of this box at a target of `service` ended with an answer.
    pub fn record_answer(&self, now: TimePoint, service: &Name) {
        self.with_schedule(now, service, |schedule| schedule.record_answer(now));
    }

    /// Records that a target of `service` refused a request, and whether its load report shows free slots.
    pub fn record_target_refusal(&self, now: TimePoint, service: &Name, has_free_slots: bool) {
        self.with_schedule(now, service, |schedule| {
            schedule.record_target_refusal(now, has_free_slots);
        });
    }

    /// Decides when the caller of a refused request may return, and remembers it. Returns `None` if returns are not
    /// planned.
    pub fn plan(&self, now: TimePoint, request: &RefusedRequest<'_>) -> Option<PlannedReturn> {
        let RefusedRequest { service, fingerprint, kind, remaining, goal_left } = *request;
        let planned = self.with_schedule(now, service, |schedule| {
            let kind = kind.unwrap_or_else(|| schedule.recent_kind(now));
            PlannedReturn { kind, time: schedule.plan(now, kind, remaining, goal_left) }
        })?;
        let PlannedReturn { kind, time } = planned;
        if time.is_useful {
            lock(&self.state).told.record(now, fingerprint, now + time.wait);
        }
        let useful = if time.is_useful { "yes" } else { "no" };
        metrics::counter!("wingbridge_returns_told", "kind" => kind.as_str(), "useful" => useful)
            .increment(1);
        Some(planned)
    }

    /// Returns whether a request comes when this box told its caller to, and counts that.
    pub fn arrival(&self, now: TimePoint, fingerprint: Fingerprint) -> ReturnArrival {
        if !self.is_enabled {
            return ReturnArrival::New;
        }
        let (arrival, missed) = {
            let mut state = lock(&self.state);
            (state.told.arrival(now, fingerprint), state.told.take_missed())
        };
        let outcome = match arrival {
            ReturnArrival::New => None,
            ReturnArrival::Kept => Some("kept"),
            ReturnArrival::Early => Some("early"),
        };
        if let Some(outcome) = outcome {
            metrics::counter!("wingbridge_returns", "outcome" => outcome).increment(1);
        }
        if missed > 0 {
            metrics::counter!("wingbridge_returns", "outcome" => "unknown").increment(missed);
        }
        arrival
    }

    /// Returns the counts of [`ReturnPlanner::told_counts`] for all services that have any.
    pub fn all_told_counts(&self, now: TimePoint) -> Vec<(Name, Vec<u32>)> {
        let mut state = lock(&self.state);
        let reports = state.schedules.iter_mut();
        let reports = reports.map(|(service, schedule)| (service.clone(), schedule.report(now)));
        reports.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    /// Returns how many callers this box has told to return to `service` in each of the next 16 times 100 ms, for
    /// its peers; empty if there are none.
    pub fn told_counts(&self, now: TimePoint, service: &str) -> Vec<u32> {
        let mut state = lock(&self.state);
        state.schedules.get_mut(service).map(|schedule| schedule.report(now)).unwrap_or_default()
    }

    /// Merges the counts that the peer with the incarnation `peer`, in the own data centre, has made `age` ago. They
    /// replace its previous ones. Impossible counts are dropped.
    pub fn merge_peer_counts(
        &self,
        now: TimePoint,
        service: &Name,
        peer: u64,
        age: Duration,
        counts: &[u32],
    ) {
        // Peers report services that this box may never use, mostly without returns.
        if counts.is_empty() && !lock(&self.state).schedules.contains_key(service) {
            return;
        }
        let merged = self
            .with_schedule(now, service, |schedule| schedule.merge_peer(now, peer, age, counts));
        if merged == Some(false) {
            log::warn!(service:% = service, peer, age_ms = millis(age); "return-counts-dropped");
        }
    }

    /// Sets what the `boxes` of the data centre can serve together of `service`, in requests per second. The value
    /// counts for four seconds; without one, the rate of this box's answers is used.
    pub fn set_capacity(&self, now: TimePoint, service: &Name, per_second: f64, boxes: u32) {
        let is_set = self
            .with_schedule(now, service, |schedule| schedule.set_capacity(now, per_second, boxes));
        if is_set == Some(false) {
            log::warn!(service:% = service, per_second, boxes; "return-capacity-dropped");
        }
    }

    /// Sets the number of requests to `service` that wait in this box.
    pub fn set_waiting(&self, now: TimePoint, service: &Name, waiting: u32) {
        self.with_schedule(now, service, |schedule| schedule.set_waiting(waiting));
    }

    /// Applies `action` to the schedule of a service. Returns `None` if returns are not planned or there are too many
    /// services.
    fn with_schedule<T>(
        &self,
        now: TimePoint,
        service: &Name,
        action: impl FnOnce(&mut ReturnSchedule) -> T,
    ) -> Option<T> {
        if !self.is_enabled {
            return None;
        }
        let mut state = lock(&self.state);
        if !state.schedules.contains_key(service) {
            if state.schedules.len() >= MAX_SERVICES {
                state.schedules.retain(|_, schedule| !schedule.is_idle(now));
            }
            if state.schedules.len() >= MAX_SERVICES {
                return None;
            }
            // Boxes, and services of a box, must not tell the same times.
            let schedule = ReturnSchedule::new(self.seed ^ stable_hash(service));
            state.schedules.insert(service.clone(), schedule);
        }
        state.schedules.get_mut(service).map(action)
    }
}
