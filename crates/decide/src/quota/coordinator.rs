//! Token buckets of customers, held by one box for all boxes.
//!
//! A coordinator's bucket refills at the customer's rate, so that no window sees more requests than rate
//! and burst allow, however many boxes request tokens. The rate is divided into shares that are assigned to
//! boxes, and a coordinator may only grant the shares of the boxes that it receives requests from. A box
//! that is partitioned off continues with its share, alone or with a coordinator on its side, and the
//! coordinator on the other side reserves that share. Both sides of a partition therefore spend no more
//! than before, however long the partition lasts and even if each side has a coordinator. A process that
//! has just started has no information on what its predecessor granted, so it begins with a part of the
//! burst and a lower rate.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::quota::bucket::TokenBucket;
use crate::quota::{
    QuotaLimit, QuotaSlack, SHARE_VALIDITY, TokenGrant, TokenRequest, TokenRequester,
};
use crate::time::TimePoint;

/// Decay time of the request counts from which shares are computed. Users count requests in windows
/// of 5 s.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(5);
/// A box that sends requests often counts as cut off after this time without a request.
pub(crate) const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);
/// Number of typical intervals between requests of a box that is added to [`UNRESPONSIVE_AFTER`], for
/// boxes that send requests rarely.
const UNRESPONSIVE_INTERVALS: f64 = 2.0;
/// Lower bound on the number of requests of a box within [`USAGE_DECAY_TIME`] when its typical
/// interval is computed.
const MIN_USAGE: f64 = 0.5;
/// Fraction of the rate that a process grants in its first window: boxes that have not yet learned of
/// it may still send requests to the previous coordinator.
const STARTUP_RATE_FRACTION: f64 = 0.7;
/// Shares that a coordinator reclaims in a second while it receives heartbeats from all known boxes: the
/// shares of boxes that have ended, and those that its predecessor had not assigned.
const RECLAIM_PER_S: f64 = 0.5;
/// Shares that a coordinator reclaims in a second while some box is missing, since that box may be cut off
/// together with others that hold the shares. In a partition of 12 s both sides together grant 1.24 of the
/// rate. Without the burst, which is spent by then, the bound is 1.32 of the rate.
const RECLAIM_PER_S_PARTITIONED: f64 = 0.01;
/// Delay before shares are reclaimed: a coordinator that is cut off has detected that by then.
const RECLAIM_DELAY: Duration = Duration::from_secs(2);
/// Fraction of its shares that a box or a standby spends while the coordinator may still assign them to
/// others: lost datagrams look like a partition for some tenths of a second. At a fraction of 1, and
/// with 9 in 100 datagrams lost, fleets of 4 to 6 boxes reached up to 1.05 of the bound at ten times
/// their typical load.
pub(crate) const EARLY_FAILOVER_FRACTION: f64 = 0.25;
/// Fraction of the burst in a new bucket: another coordinator may have granted the rest.
const INITIAL_BURST_FRACTION: f64 = 0.5;
/// Fraction of the burst that a standby may grant: the coordinator may have granted the rest.
const STANDBY_BURST_FRACTION: f64 = 0.2;
/// Fraction of the operators' slack that is granted. The rest covers requests that boxes admit without
/// a grant.
const GRANTED_SLACK_FRACTION: f64 = 0.25;
/// Tokens are scarce below this fraction of the capacity. At ten times the typical load a bucket that
/// holds the tokens of a second is empty some 50 ms later, time enough for all boxes to be informed.
const SCARCE_FRACTION: f64 = 0.25;
/// Tokens are scarce in any case below this number.
const MIN_PLENTIFUL_TOKENS: f64 = 2.0;
/// Fraction of the rate at which the bucket refills while tokens are scarce, since requests that boxes
/// admit before they detect a partition come on top. Without it, 2 of 18 fleets that were partitioned
/// in three at ten times the typical load reached up to 1.03 of the bound.
const SCARCE_RATE_FRACTION: f64 = 0.94;
/// Debt of more than this fraction of the burst is forgiven.
const MAX_DEBT_FRACTION: f64 = 0.5;
/// Lower bound on the time after which a box without tokens sends another request.
const MIN_WAIT: Duration = Duration::from_millis(150);
/// Upper bound on the time after which a box without tokens sends another request.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Customers without requests for this long are removed.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// The role of a coordinator towards the box that sends it a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorRole {
    /// The first box by rank. It may assign all shares while no box holds any.
    Primary,
    /// The second box by rank, for boxes that cannot reach the first. It may assign only the shares that
    /// they report.
    Standby,
}

/// The situation of a coordinator when it receives a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorStatus {
    /// Role of the coordinator towards the requesting box.
    pub role: CoordinatorRole,
    /// Whether the coordinator receives heartbeats from all known boxes of its data centre, except those
    /// that announced their shutdown.
    pub reaches_all: bool,
}

/// The quotas for which this box is coordinator or standby.
#[derive(Debug)]
pub struct QuotaCoordinator {
    started: TimePoint,
    slack: QuotaSlack,
    customers: HashMap<Name, CoordinatedQuota>,
}

#[derive(Debug)]
struct CoordinatedQuota {
    /// `None` before the first request.
    bucket: Option<TokenBucket>,
    /// Usage of each box, by its key.
    boxes: HashMap<u64, BoxUsage>,
    /// Sum of the shares that boxes reported here, which are reassigned among them.
    shares: f64,
    /// Whether a box has reported a share that a coordinator had assigned.
    has_assigned_shares: bool,
    /// Time up to which shares were reclaimed.
    reclaimed_until: TimePoint,
    /// Time of the first request after a pause.
    active_since: TimePoint,
    /// Time of the last request.
    last_request: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct BoxUsage {
    /// Incarnation of the box in its last request.
    incarnation: u64,
    /// Exponentially decaying count of requests, with decay time [`USAGE_DECAY_TIME`].
    requests: f64,
    /// Value of `requests` after the last grant, from which the box's typical interval between requests is
    /// computed.
    requests_at_last_grant: f64,
    /// Share that was assigned to the box last and that it holds while it is cut off.
    share: f64,
    last_seen: TimePoint,
}

impl QuotaCoordinator {
    /// Creates the quotas of a process that starts at `now`.
    pub fn new(now: TimePoint, slack: QuotaSlack) -> QuotaCoordinator {
        QuotaCoordinator { started: now, slack, customers: HashMap::new() }
    }

    /// Answers a token request from the box `requester`.
    pub fn answer(
        &mut self,
        now: TimePoint,
        requester: TokenRequester,
        customer: &Name,
        limit: QuotaLimit,
        request: &TokenRequest,
        status: CoordinatorStatus,
    ) -> TokenGrant {
        let role = status.role;
        let is_starting = now.since(self.started) < self.slack.window;
        let quota = self.customers.entry(customer.clone());
        let quota = quota.or_insert_with(|| CoordinatedQuota::new(now));
        quota.reclaim_shares(now, status);
        quota.decay(now);
        quota.record_requester(now, requester, request, role);
        let reachable = quota.reachable_shares(now);
        let fraction = match role {
            CoordinatorRole::Primary if is_starting => reachable * STARTUP_RATE_FRACTION,
            CoordinatorRole::Primary => reachable,
            // The primary does not yet reserve the shares of the boxes that send requests here.
            CoordinatorRole::Standby if now.since(quota.active_since) < UNRESPONSIVE_AFTER => {
                reachable * EARLY_FAILOVER_FRACTION
            }
            CoordinatorRole::Standby => reachable,
        };
        let slack = self.slack.requests * GRANTED_SLACK_FRACTION * fraction;
        let rate = limit.per_second * fraction + slack / self.slack.window.as_secs_f64().max(0.1);
        let burst = match role {
            CoordinatorRole::Primary => limit.burst,
            CoordinatorRole::Standby => limit.burst * STANDBY_BURST_FRACTION,
        };
        let capacity = burst * fraction + slack;
        let initial = burst * fraction * INITIAL_BURST_FRACTION + slack;
        let bucket = quota.bucket.get_or_insert_with(|| TokenBucket::new(now, initial));
        let scarce_below = (capacity * SCARCE_FRACTION).max(MIN_PLENTIFUL_TOKENS);
        let fill_rate =
            if bucket.tokens() < scarce_below { rate * SCARCE_RATE_FRACTION } else { rate };
        bucket.fill(now, fill_rate, capacity);
        bucket.refund(f64::from(request.unused), capacity);
        bucket.spend(f64::from(request.debt), -limit.burst * MAX_DEBT_FRACTION);
        let scarce = bucket.tokens() < scarce_below;
        let granted = grant(bucket, request.wanted, scarce);
        let admitted = request.debt.saturating_add(granted);
        let share = quota.assign_share(now, requester.box_key, admitted, reachable);
        TokenGrant { number: request.number, granted, scarce, wait: quota.wait(rate), share }
    }

    /// Releases the shares of a box that announced its shutdown to the other boxes.
    pub fn record_box_stopped(&mut self, requester: TokenRequester) {
        for quota in self.customers.values_mut() {
            if quota
                .boxes
                .get(&requester.box_key)
                .is_some_and(|usage| usage.incarnation == requester.incarnation)
            {
                quota.boxes.remove(&requester.box_key);
            }
        }
    }

    /// Removes customers for whom no box has requested tokens for a while.
    pub fn remove_idle(&mut self, now: TimePoint) {
        self.customers.retain(|_, quota| now.since(quota.last_request) < IDLE_RETENTION);
    }
}

impl CoordinatedQuota {
    fn new(now: TimePoint) -> CoordinatedQuota {
        let boxes = HashMap::new();
        CoordinatedQuota {
            bucket: None,
            boxes,
            shares: 0.0,
            has_assigned_shares: false,
            reclaimed_until: now,
            active_since: now,
            last_request: now,
        }
    }

    /// Reclaims shares that no box holds any more, because the boxes that held them have ended. Without it,
    /// small customers were refused a third of their requests for 10 s after all boxes had been killed.
    ///
    /// A standby reclaims nothing: the primary holds the shares that are missing here.
    fn reclaim_shares(&mut self, now: TimePoint, status: CoordinatorStatus) {
        let (rate, until) = match status {
            CoordinatorStatus { role: CoordinatorRole::Standby, .. } => (0.0, now),
            CoordinatorStatus { reaches_all: false, .. } => (RECLAIM_PER_S_PARTITIONED, now),
            _ => (RECLAIM_PER_S, now.before(RECLAIM_DELAY).max(self.reclaimed_until)),
        };
        let passed = until.since(self.reclaimed_until).min(RECLAIM_DELAY);
        self.shares = (self.shares + rate * passed.as_secs_f64()).min(1.0);
        self.reclaimed_until = until;
    }

    fn decay(&mut self, now: TimePoint) {
        if now.since(self.last_request) >= UNRESPONSIVE_AFTER {
            self.active_since = now;
        }
        let age = now.since(self.last_request).as_secs_f64() / USAGE_DECAY_TIME.as_secs_f64();
        let decay = (-age).exp();
        for usage in self.boxes.values_mut() {
            usage.requests *= decay;
        }
        self.boxes.retain(|_, usage| now.since(usage.last_seen) < SHARE_VALIDITY);
        self.last_request = now;
    }

    /// Records the sender of a request. The share that the box reports counts if the box is new here. A box
    /// that has restarted keeps the share of its previous incarnation, since the restarted process does not
    /// know that share.
    fn record_requester(
        &mut self,
        now: TimePoint,
        requester: TokenRequester,
        request: &TokenRequest,
        role: CoordinatorRole,
    ) {
        let TokenRequester { box_key, incarnation } = requester;
        if let Some(usage) = self.boxes.get_mut(&box_key) {
            (usage.incarnation, usage.last_seen) = (incarnation, now);
            return;
        }
        if request.is_share_assigned && !self.has_assigned_shares {
            // All shares were available while no box had an assigned one, which is no longer the case.
            self.shares = self.assigned_shares();
            self.has_assigned_shares = true;
        }
        let reported = request.share.clamp(0.0, 1.0);
        let usage = BoxUsage {
            incarnation,
            requests: 0.0,
            requests_at_last_grant: 0.0,
            share: reported,
            last_seen: now,
        };
        self.boxes.insert(box_key, usage);
        let is_all_available = !self.has_assigned_shares && role == CoordinatorRole::Primary;
        self.shares = if is_all_available { 1.0 } else { (self.shares + reported).min(1.0) };
    }

    /// Returns the sum of the shares that are assigned to boxes here.
    fn assigned_shares(&self) -> f64 {
        self.boxes.values().map(|usage| usage.share).sum()
    }

    /// Returns the sum of the shares of responsive boxes. The shares of the others are reserved for them.
    fn reachable_shares(&self, now: TimePoint) -> f64 {
        let unresponsive = self.boxes.values().filter(|usage| usage.is_unresponsive(now));
        let reserved: f64 = unresponsive.map(|usage| usage.share).sum();
        (self.shares - reserved).max(0.0)
    }

    /// Adds `admitted` requests to the usage of a box and returns its new share: the box's part of the
    /// requests of all responsive boxes, out of their `reachable` shares.
    ///
    /// A share only grows by what other boxes have released. When all shares were reassigned at once, boxes
    /// that had not sent a request since then also held their old shares. In a partition, such boxes
    /// together spent 2.6 times their shares.
    fn assign_share(&mut self, now: TimePoint, box_key: u64, admitted: u32, reachable: f64) -> f64 {
        let unassigned = (self.shares - self.assigned_shares()).max(0.0);
        if let Some(usage) = self.boxes.get_mut(&box_key) {
            usage.requests += f64::from(admitted);
            usage.requests_at_last_grant = usage.requests;
        }
        let active = self.boxes.values().filter(|usage| !usage.is_unresponsive(now));
        let total: f64 = active.map(|usage| usage.requests).sum();
        let Some(usage) = self.boxes.get_mut(&box_key) else {
            return 0.0;
        };
        if total > 0.0 {
            usage.share = (reachable * usage.requests / total).min(usage.share + unassigned);
        }
        usage.share
    }

    /// Returns the time in which the bucket gains one token for each box that sends requests.
    fn wait(&self, rate: f64) -> Duration {
        let boxes = self.boxes.len().max(1) as f64;
        let wait = Duration::from_secs_f64((boxes / rate.max(0.1)).min(MAX_WAIT.as_secs_f64()));
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }
}

impl BoxUsage {
    /// Returns whether the last request of the box is so long ago that the box may be cut off.
    fn is_unresponsive(&self, now: TimePoint) -> bool {
        let interval = USAGE_DECAY_TIME.as_secs_f64() / self.requests_at_last_grant.max(MIN_USAGE);
        now.since(self.last_seen)
            >= UNRESPONSIVE_AFTER + Duration::from_secs_f64(interval * UNRESPONSIVE_INTERVALS)
    }
}

/// Takes up to `wanted` tokens out of a bucket and returns their number. While tokens are scarce it takes
/// at most half of them, so that some remain for the next boxes.
fn grant(bucket: &mut TokenBucket, wanted: u32, scarce: bool) -> u32 {
    let available = bucket.tokens().max(0.0);
    let max_granted =
        if scarce { (available / 2.0).ceil().min(available.floor()) } else { available.floor() };
    let granted = f64::from(wanted).min(max_granted);
    bucket.spend(granted, 0.0);
    granted as u32
}
