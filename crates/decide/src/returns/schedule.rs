//! The schedule of a service, which decides when each refused caller may return.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::answer_rate::AnswerRate;
use super::buckets::{PLANNED_SLOTS, PeerBuckets, REPORTED_BUCKETS, ReturnSlots, SLOT};
use crate::time::TimePoint;

/// Share of the learned capacity that is promised to returns. The rest serves callers that come for the first time:
/// with all of it promised, requests of a higher rank would displace callers that come when told.
pub const RETURN_SHARE: f64 = 0.5;
/// Longest time after which a caller is told to return.
pub const MAX_RETURN_WAIT: Duration =
    Duration::from_millis(PLANNED_SLOTS as u64 * SLOT.as_millis() as u64);
/// Maximum number of peers whose counts are kept. A box receives full reports from 36 peers on average, and from at
/// most 1.7 times as many.
pub const MAX_PEERS: usize = 64;
/// Maximum number of returns in one bucket of a peer's report: ten times the requests of the largest planned box.
pub const MAX_REPORTED_RETURNS: u16 = 10_000;

/// Time for which the report of a peer, or the reported capacity, counts. Reports come once a second.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// Part of the time that a caller has left for which it waits to return.
const HONOURED_PART: u32 = 3;
/// Time for which a refusal by a target tells the kind of refusals of requests that no target has seen. A target that
/// has refused counts as full for 200 ms, so such refusals follow within that time.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(1);
/// Shortest time after which a caller returns, if it has time for that. It is below the 200 ms for which a target that
/// has refused counts as full, since most returns come to boxes that were not refused by it.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Shortest time that a return is planned for. Below it, the caller's way to the box takes a large part of the time.
const MIN_LIMIT: Duration = Duration::from_millis(20);

/// Why a request was refused that no target has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// There is no free slot, by the reports of the targets or by the waiting queue.
    NoRoom,
    /// Targets refused it although they have free slots, or the retry budget is used up.
    Declined,
}

impl RefusalKind {
    /// Returns the name of the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalKind::NoRoom => "no-room",
            RefusalKind::Declined => "declined",
        }
    }
}

/// When a refused caller is told to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Time from the refusal to the return.
    pub wait: Duration,
    /// Whether the caller will wait that long and have time left then. Otherwise there is no use in returning.
    pub is_useful: bool,
}

/// What the boxes of the data centre can serve together, by their reports.
#[derive(Debug, Clone, Copy)]
struct ReportedCapacity {
    per_second: f64,
    boxes: u32,
    at: TimePoint,
}

/// The told returns of one service, in this box and its peers, and the capacity that was learned for them.
#[derive(Debug)]
pub struct ReturnSchedule {
    own: ReturnSlots,
    /// Last report of each peer, by the peer's incarnation.
    peers: HashMap<u64, PeerBuckets>,
    answers: AnswerRate,
    reported: Option<ReportedCapacity>,
    waiting: u32,
    /// Last refusal by a target, and what it showed.
    target_refusal: Option<(RefusalKind, TimePoint)>,
    random: SmallRng,
}

impl ReturnSchedule {
    /// Creates an empty schedule. Each box needs another `seed`, as boxes with the same one choose the same times.
    pub fn new(seed: u64) -> ReturnSchedule {
        ReturnSchedule {
            own: ReturnSlots::default(),
            peers: HashMap::new(),
            answers: AnswerRate::default(),
            reported: None,
            waiting: 0,
            target_refusal: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records that an attempt of this box ended with an answer.
    pub fn record_answer(&mut self, now: TimePoint) {
        self.answers.record(now);
    }

    /// Records that a target refused a request of this box, and whether its load report shows free slots.
    pub fn record_target_refusal(&mut self, now: TimePoint, has_free_slots: bool) {
        let kind = if has_free_slots { RefusalKind::Declined } else { RefusalKind::NoRoom };
        self.target_refusal = Some((kind, now));
    }

    /// Returns the kind of the refusal of a request that was sent to no target, by the last refusal of a target.
    pub fn recent_kind(&self, now: TimePoint) -> RefusalKind {
        let recent = self.target_refusal.filter(|(_, at)| now.since(*at) < REFUSAL_LIFETIME);
        recent.map_or(RefusalKind::NoRoom, |(kind, _)| kind)
    }

    /// Sets the number of requests that wait in this box.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Sets what all `boxes` of the data centre can serve together, by their reports. Returns false, and changes
    /// nothing, if the values are impossible.
    pub fn set_capacity(&mut self, now: TimePoint, per_second: f64, boxes: u32) -> bool {
        let is_possible = per_second.is_finite() && per_second >= 0.0 && boxes > 0;
        if is_possible {
            self.reported = Some(ReportedCapacity { per_second, boxes, at: now });
        }
        is_possible
    }

    /// Decides when a refused caller may return that has `remaining` time, and `goal_left` of the goal of its route.
    pub fn plan(
        &mut self,
        now: TimePoint,
        kind: RefusalKind,
        remaining: Duration,
        goal_left: Duration,
    ) -> ReturnTime {
        self.own.advance(now);
        self.expire_reports(now);
        let honoured = (remaining / HONOURED_PART).min(MAX_RETURN_WAIT);
        let return_time = match (kind, self.own_capacity(now)) {
            (RefusalKind::NoRoom, Some(capacity)) => self.plan_by_capacity(now, honoured, capacity),
            // Without any answer lately, the capacity is unknown, and targets may be back at any time.
            (RefusalKind::NoRoom, None) => self.plan_evenly(now, honoured, honoured),
            (RefusalKind::Declined, _) => {
                let in_goal = goal_left / HONOURED_PART;
                // A goal that a return can't meet is no reason to return sooner.
                let limit = if in_goal < MIN_LIMIT { honoured } else { honoured.min(in_goal) };
                self.plan_evenly(now, limit, honoured)
            }
        };
        if return_time.is_useful {
            self.own.add(now + return_time.wait);
        }
        return_time
    }

    /// Returns the counts of the own told returns in the next [`REPORTED_BUCKETS`] buckets, empty if all are zero.
    pub fn report(&mut self, now: TimePoint) -> Vec<u32> {
        self.own.advance(now);
        let sums = self.own.bucket_sums().map(|sum| sum.min(u32::from(MAX_REPORTED_RETURNS)));
        if sums.iter().all(|count| *count == 0) { Vec::new() } else { sums.to_vec() }
    }

    /// Merges the report of the peer with the incarnation `peer`, made `age` ago, in place of its previous one.
    /// Returns false, and changes nothing, if the report is impossible or too old, or if there are too many peers.
    pub fn merge_peer(&mut self, now: TimePoint, peer: u64, age: Duration, counts: &[u32]) -> bool {
        self.expire_reports(now);
        if counts.len() > REPORTED_BUCKETS || age >= REPORT_LIFETIME {
            return false;
        }
        let mut buckets = PeerBuckets { made: now.before(age), counts: [0; REPORTED_BUCKETS] };
        for (known, count) in buckets.counts.iter_mut().zip(counts) {
            match u16::try_from(*count) {
                Ok(count) if count <= MAX_REPORTED_RETURNS => *known = count,
                _ => return false,
            }
        }
        let is_full = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer);
        let is_outdated = self.peers.get(&peer).is_some_and(|known| known.made > buckets.made);
        if is_full || is_outdated {
            return false;
        }
        self.peers.insert(peer, buckets);
        true
    }

    /// Returns whether nothing of the schedule counts any more.
    pub fn is_idle(&mut self, now: TimePoint) -> bool {
        self.expire_reports(now);
        self.own.advance(now);
        self.peers.is_empty() && self.answers.per_second(now).is_none() && self.own.is_empty()
    }

    /// Plans the return of a caller that waits for `honoured` at most, by the own `capacity` a second.
    fn plan_by_capacity(
        &mut self,
        now: TimePoint,
        honoured: Duration,
        capacity: f64,
    ) -> ReturnTime {
        let per_slot = RETURN_SHARE * SLOT.as_secs_f64();
        let all = self.all_counts();
        let own_load = PlannedLoad::new(self.own.counts().map(f64::from), capacity * per_slot);
        let all_load =
            self.reporting_capacity().map(|known| PlannedLoad::new(all, known * per_slot));
        let has_room = |index: usize| {
            own_load.has_room(index) && all_load.as_ref().is_none_or(|load| load.has_room(index))
        };
        let drained = Duration::try_from_secs_f64(f64::from(self.waiting) / capacity);
        let drained = drained.unwrap_or(MAX_RETURN_WAIT).min(MAX_RETURN_WAIT);
        let earliest = drained.max(MIN_WAIT);
        let reachable = self.whole_slots(now, earliest, honoured);
        if reachable.is_empty() && honoured >= MIN_LIMIT {
            let wait = honoured.mul_f64(0.5 + 0.5 * self.random.random::<f64>()).min(honoured);
            let index = self.own.index_of(now + wait);
            if wait >= drained && index.is_some_and(has_room) {
                return ReturnTime { wait, is_useful: true };
            }
        }
        let chosen = if self.own.is_empty() {
            // The first return is told for a random time within the interval of the later ones. Otherwise boxes that
            // refuse at the same time would tell the same times.
            let interval = (1.0 / (capacity * per_slot)).ceil() as usize;
            let choices: Vec<usize> =
                reachable.clone().take(interval.max(1)).filter(|index| has_room(*index)).collect();
            self.choose(&choices, &all)
        } else {
            reachable.clone().find(|index| has_room(*index))
        };
        if let Some(index) = chosen {
            let at = self.own.start(index) + SLOT.mul_f64(own_load.position_in_slot(index));
            return ReturnTime { wait: at.since(now), is_useful: true };
        }
        let later = self.whole_slots(now, earliest.max(honoured), MAX_RETURN_WAIT);
        let first = later.into_iter().find(|index| has_room(*index));
        let wait = first.map_or(MAX_RETURN_WAIT, |index| self.own.start(index).since(now));
        ReturnTime { wait, is_useful: false }
    }

    /// Plans a return within `limit`, at the time for which the fewest callers were told. The caller waits for
    /// `honoured` at most.
    fn plan_evenly(&mut self, now: TimePoint, limit: Duration, honoured: Duration) -> ReturnTime {
        if honoured < MIN_LIMIT {
            return ReturnTime { wait: MIN_WAIT, is_useful: false };
        }
        let reachable = self.whole_slots(now, MIN_WAIT.min(limit / 2), limit);
        let own = self.own.counts();
        let fewest = reachable.clone().map(|index| own[index]).min().unwrap_or_default();
        let choices: Vec<usize> = reachable.filter(|index| own[*index] == fewest).collect();
        let all = self.all_counts();
        let random: f64 = self.random.random();
        let wait = match self.choose(&choices, &all) {
            Some(index) => (self.own.start(index) + SLOT.mul_f64(random)).since(now),
            None => limit.mul_f64(0.5 + 0.5 * self.random.random::<f64>()).min(limit),
        };
        ReturnTime { wait, is_useful: true }
    }

    /// Returns the slots that lie between `earliest` and `latest` from now completely.
    fn whole_slots(&self, now: TimePoint, earliest: Duration, latest: Duration) -> Range<usize> {
        let slot = SLOT.as_micros();
        let into_first = now.since(self.own.start(0)).as_micros();
        let from = (into_first + earliest.as_micros()).div_ceil(slot);
        let to = (into_first + latest.as_micros()) / slot;
        let index = |number: u128| number.min(PLANNED_SLOTS as u128) as usize;
        index(from)..index(to)
    }

    /// Returns the one of two random choices for which fewer callers of all boxes were told. Boxes that all chose the
    /// one with the fewest would choose the same until their next reports.
    fn choose(&mut self, choices: &[usize], all: &[f64]) -> Option<usize> {
        if choices.is_empty() {
            return None;
        }
        let first = choices[self.random.random_range(0..choices.len())];
        let second = choices[self.random.random_range(0..choices.len())];
        Some(if all[second] < all[first] { second } else { first })
    }

    /// Returns the told returns of this box and of its peers, by slot.
    fn all_counts(&self) -> [f64; PLANNED_SLOTS] {
        let mut all = self.own.counts().map(f64::from);
        self.peers.values().for_each(|peer| peer.add_to(&self.own, &mut all));
        all
    }

    /// Returns this box's part of the capacity a second. It is the rate of its answers. Where the capacity of the
    /// data centre is reported, it is the mean of that rate and an equal part: the parts of all boxes still add up to
    /// the capacity, and a box with few answers does not depend on chance alone.
    fn own_capacity(&mut self, now: TimePoint) -> Option<f64> {
        let own = self.answers.per_second(now);
        let equal = self.reported.map(|known| known.per_second / f64::from(known.boxes));
        let capacity = match (own, equal) {
            (own, Some(equal)) => (own.unwrap_or_default() + equal) / 2.0,
            (Some(own), None) => own,
            (None, None) => return None,
        };
        (capacity > 0.0).then_some(capacity)
    }

    /// Returns the reported capacity a second of this box and of the peers whose counts are known.
    fn reporting_capacity(&self) -> Option<f64> {
        let known = self.reported?;
        let reporting = (self.peers.len() as f64 + 1.0).min(f64::from(known.boxes));
        Some(known.per_second * reporting / f64::from(known.boxes))
    }

    fn expire_reports(&mut self, now: TimePoint) {
        self.peers.retain(|_, peer| now.since(peer.made) < REPORT_LIFETIME);
        self.reported = self.reported.filter(|known| now.since(known.at) < REPORT_LIFETIME);
    }
}

/// Planned returns as a queue that is served at a constant rate.
struct PlannedLoad {
    counts: [f64; PLANNED_SLOTS],
    /// Number of returns that are served in a slot.
    served: f64,
    /// Returns of earlier slots that are not served before each slot.
    backlogs: [f64; PLANNED_SLOTS],
}

impl PlannedLoad {
    fn new(counts: [f64; PLANNED_SLOTS], served: f64) -> PlannedLoad {
        let mut backlogs = [0.0; PLANNED_SLOTS];
        for index in 1..PLANNED_SLOTS {
            let load: f64 = backlogs[index - 1] + counts[index - 1];
            backlogs[index] = (load - served).max(0.0);
        }
        PlannedLoad { counts, served, backlogs }
    }

    /// Returns the time at which the returns in a slot that has room are served, as a fraction of the slot. Returns
    /// that are told for these times come at equal intervals.
    fn position_in_slot(&self, index: usize) -> f64 {
        ((self.backlogs[index] + self.counts[index]) / self.served).clamp(0.0, 1.0)
    }

    /// Returns whether one more return fits into a slot without delaying those of later slots.
    fn has_room(&self, index: usize) -> bool {
        let load = self.backlogs[index] + self.counts[index];
        if load >= self.served {
            return false;
        }
        let mut backlog = load + 1.0 - self.served;
        for count in &self.counts[index + 1..] {
            if backlog <= 0.0 {
                return true;
            }
            if *count > 0.0 && backlog + count - 1.0 >= self.served {
                return false;
            }
            backlog += count - self.served;
        }
        true
    }
}
