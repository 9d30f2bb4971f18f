//! What a box knows of the load of one service, and the damped plan for it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::Name;
use crate::placement::demand::DemandRate;
use crate::placement::plan::{CapacitySum, DataCentreLoad, PlacementLimits, PlacementPlan};
use crate::placement::table::OwnFigures;
use crate::time::TimePoint;

/// Age at which a sum of another data centre is dropped: four sums were lost by then, or the link is cut off.
pub(crate) const MAX_SUM_AGE: Duration = Duration::from_secs(4);
/// Age at which the row of a peer is dropped. Rows arrive once a second, so that a single lost one is bridged.
const MAX_ROW_AGE: Duration = Duration::from_millis(2500);
/// Utilization of the own data centre above which boxes send rows and sums. It is below all
/// [`PlacementLimits`], so that
/// sums are known before a plan is called for.
const SEND_UTILIZATION: f64 = 0.5;
/// Time for which a service still counts as loaded, and rows and sums are still sent, once the utilization has fallen
/// below its limit. Otherwise the error of the demand by chance would switch both on and off.
const LOAD_HOLD: Duration = Duration::from_secs(4);
/// Time constant with which shares follow the plan, so that they don't follow the errors of the demand by chance. With a
/// second, plans took 3.5 s to follow a step in demand.
const DAMPING_TIME: Duration = Duration::from_millis(700);
/// Share below which no requests are sent: the remainder of a plan that has ended.
const MIN_SHARE: f64 = 0.005;
/// Maximum number of peers whose rows are kept; a box hears the rows of about 36 peers.
const MAX_PEERS: usize = 128;
/// Maximum number of data centres whose sums are kept.
const MAX_DATA_CENTRES: usize = 32;
/// Change of the share that leaves at which the change is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// The figures of one peer of the own data centre.
#[derive(Debug, Clone, Copy)]
struct PeerRow {
    demand: f64,
    open: u32,
    received_at: TimePoint,
}

/// A change of the plan for a service that is worth a line in the log.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChange {
    /// The service.
    pub service: Name,
    /// Share of the own demand that left when the last line was written.
    pub before: f64,
    /// Share that leaves now; 0 if the plan has ended.
    pub now: f64,
    /// Data centre that gets most of it, if any.
    pub destination: Option<Name>,
    /// Load of the own data centre.
    pub own: CapacitySum,
}

/// The load of one service as a box knows it, and the plan that follows from it.
#[derive(Debug, Default)]
pub struct ServicePlacement {
    demand: DemandRate,
    peers: BTreeMap<u64, PeerRow>,
    /// Sums of other data centres.
    sums: Vec<DataCentreLoad>,
    own: CapacitySum,
    /// Mean time that the targets of the own data centre take.
    own_work: Duration,
    /// When the oldest figure in `own` was taken.
    own_taken_at: TimePoint,
    /// Time until which the own data centre sends sums because of its own utilization.
    send_until: Option<TimePoint>,
    /// Time until which the own data centre counts as loaded.
    loaded_until: Option<TimePoint>,
    refreshed_at: Option<TimePoint>,
    plan: Option<PlacementPlan>,
    /// Damped shares by destination.
    shares: Vec<(Name, f64)>,
    /// Number of requests that left by the plan, by destination.
    placed: BTreeMap<Name, u64>,
    logged_share: f64,
}

impl ServicePlacement {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: TimePoint) {
        self.demand.record(now);
    }

    /// Returns the requests a second that callers send to this box.
    pub fn own_demand(&self, now: TimePoint) -> f64 {
        self.demand.get(now)
    }

    /// Records the figures of a peer of the own data centre.
    pub fn record_peer(&mut self, now: TimePoint, peer: u64, demand: f64, open: u32) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, PeerRow { demand, open, received_at: now });
        }
    }

    /// Records the sum of another data centre, unless it is older than the known one. `max_capacity` bounds what is
    /// believed of its capacity.
    pub fn record_sum(&mut self, mut load: DataCentreLoad, max_capacity: f64) {
        load.sum.capacity = load.sum.capacity.min(max_capacity);
        match self.sums.iter().position(|known| known.data_centre == load.data_centre) {
            Some(index) if self.sums[index].taken_at <= load.taken_at => self.sums[index] = load,
            None if self.sums.len() < MAX_DATA_CENTRES => self.sums.push(load),
            Some(_) | None => {}
        }
    }

    /// Drops what other boxes reported.
    pub(crate) fn forget_reports(&mut self) {
        self.peers.clear();
        self.sums.clear();
    }

    /// Returns whether the figures were refreshed within `period`.
    pub(crate) fn is_fresh(&self, now: TimePoint, period: Duration) -> bool {
        self.refreshed_at.is_some_and(|refreshed| now.since(refreshed) < period)
    }

    /// Recomputes the sums and the plan. `figures` are those of the data centre `own`, which has `boxes` boxes.
    pub(crate) fn refresh(
        &mut self,
        now: TimePoint,
        own: &Name,
        figures: &OwnFigures,
        boxes: usize,
        limits: &PlacementLimits,
    ) {
        let OwnFigures { capacity, open, work } = *figures;
        self.own_work = work;
        self.peers.retain(|_, row| now.since(row.received_at) < MAX_ROW_AGE);
        self.sums.retain(|load| now.since(load.taken_at) < MAX_SUM_AGE);
        let heard = self.peers.len() + 1;
        // Boxes of the previous release and those outside the subset report nothing. They count like the others.
        let scale = boxes.max(1) as f64 / heard as f64;
        let demand: f64 = self.peers.values().map(|row| row.demand).sum();
        let peers_open: u32 = self.peers.values().map(|row| row.open).sum();
        self.own = CapacitySum {
            demand: (demand + self.own_demand(now)) * scale,
            open: (f64::from(open.saturating_add(peers_open)) * scale) as u32,
            capacity,
            boxes: heard as u32,
        };
        let oldest = self.peers.values().map(|row| row.received_at).min();
        self.own_taken_at = oldest.unwrap_or(now);
        if self.own.utilization() > SEND_UTILIZATION {
            self.send_until = Some(now + LOAD_HOLD);
        }
        self.plan = if self.sums.is_empty() {
            None
        } else {
            let home = DataCentreLoad {
                data_centre: own.clone(),
                sum: self.own,
                taken_at: self.own_taken_at,
            };
            let loads: Vec<DataCentreLoad> =
                std::iter::once(home).chain(self.sums.iter().cloned()).collect();
            PlacementPlan::new(own, &loads, limits)
        };
        let weighs = |above| self.own.utilization() > above || self.is_active();
        if limits.weighed_above.is_some_and(weighs) {
            self.loaded_until = Some(now + LOAD_HOLD);
        }
        self.damp(now);
        self.refreshed_at = Some(now);
    }

    /// Moves the shares towards the plan.
    fn damp(&mut self, now: TimePoint) {
        let passed = self.refreshed_at.map_or(Duration::ZERO, |before| now.since(before));
        let weight = 1.0 - (-passed.as_secs_f64() / DAMPING_TIME.as_secs_f64()).exp();
        let planned = self.plan.as_ref().map_or(&[][..], |plan| &plan.shares);
        for (name, _) in planned {
            if !self.shares.iter().any(|(known, _)| known == name) {
                self.shares.push((name.clone(), 0.0));
            }
        }
        for (name, share) in &mut self.shares {
            let target = planned.iter().find(|(planned, _)| planned == name);
            *share += (target.map_or(0.0, |(_, share)| *share) - *share) * weight;
        }
        // A data centre whose sum is too old gets nothing by plan, at once.
        let sums = &self.sums;
        self.shares.retain(|(name, share)| {
            let is_known = sums.iter().any(|load| load.data_centre == *name);
            let is_planned = planned.iter().any(|(planned, _)| planned == name);
            is_known && (is_planned || *share >= MIN_SHARE)
        });
    }

    /// Returns the mean time of the targets of the own data centre, if they are to be weighed by their learned times.
    pub fn loaded_work(&self, now: TimePoint) -> Option<Duration> {
        let is_loaded = self.loaded_until.is_some_and(|until| now < until);
        is_loaded.then_some(self.own_work)
    }

    /// Returns whether a plan is in force.
    pub fn is_active(&self) -> bool {
        self.plan.is_some() || !self.shares.is_empty()
    }

    /// Returns whether rows and sums of the service are to be sent: the own data centre's utilization calls for it or
    /// the one of another does.
    pub fn is_sending(&self, now: TimePoint) -> bool {
        self.send_until.is_some_and(|until| now < until)
            || self.sums.iter().any(|load| load.sum.utilization() > SEND_UTILIZATION)
    }

    /// Returns the load of the own data centre, and when its oldest figure was taken.
    pub fn own_load(&self) -> (CapacitySum, TimePoint) {
        (self.own, self.own_taken_at)
    }

    /// Returns the known sums of other data centres.
    pub fn sums(&self) -> &[DataCentreLoad] {
        &self.sums
    }

    /// Returns the damped shares of the own demand that go to other data centres.
    pub fn shares(&self) -> &[(Name, f64)] {
        &self.shares
    }

    /// Returns the share of the own demand that leaves.
    pub fn leaving(&self) -> f64 {
        self.shares.iter().fold(0.0, |sum, (_, share)| sum + share)
    }

    /// Returns the data centre to which a request leaves, by `random` from 0 to 1; `None` if it stays.
    pub(crate) fn sample(&self, random: f64) -> Option<Name> {
        let mut remaining = random;
        for (name, share) in &self.shares {
            remaining -= share;
            if remaining < 0.0 {
                return Some(name.clone());
            }
        }
        None
    }

    /// Returns the data centre for a request that would be held at home, by `random` from 0 to 1, in proportion to
    /// the capacity that the plan leaves free.
    pub(crate) fn sample_spare(&self, random: f64) -> Option<Name> {
        let spare = &self.plan.as_ref()?.spare;
        let mut remaining = random * spare.iter().map(|(_, rate)| rate).sum::<f64>();
        for (name, rate) in spare {
            remaining -= rate;
            if remaining <= 0.0 {
                return Some(name.clone());
            }
        }
        None
    }

    /// Counts a request that left by the plan.
    pub(crate) fn record_placed(&mut self, destination: &Name) {
        *self.placed.entry(destination.clone()).or_default() += 1;
    }

    /// Returns the numbers of requests that left by the plan since the last call.
    pub(crate) fn take_placed(&mut self) -> Vec<(Name, u64)> {
        std::mem::take(&mut self.placed).into_iter().collect()
    }

    /// Returns the change of the plan since the last one that was returned, if it is worth a log line.
    pub(crate) fn take_change(&mut self, service: &Name) -> Option<PlacementChange> {
        let (before, now) = (self.logged_share, self.leaving());
        let is_reversal = (before == 0.0) != (now == 0.0);
        if !is_reversal && (now - before).abs() <= LOGGED_CHANGE {
            return None;
        }
        self.logged_share = now;
        let most = self.shares.iter().max_by(|left, right| left.1.total_cmp(&right.1));
        let destination = most.map(|(name, _)| name.clone());
        Some(PlacementChange { service: service.clone(), before, now, destination, own: self.own })
    }

    /// Returns whether nothing is known of the service any more.
    pub(crate) fn is_idle(&self, now: TimePoint) -> bool {
        /// Requests a second below which a box counts as not using the service.
        const MIN_DEMAND: f64 = 0.001;
        self.own_demand(now) < MIN_DEMAND
            && self.peers.is_empty()
            && self.sums.is_empty()
            && self.logged_share == 0.0
    }
}
