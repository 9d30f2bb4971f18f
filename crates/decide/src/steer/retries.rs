//! The decisions of the core about retries: whether one is made, and the credit between boxes.

use std::time::Duration;

use rand::seq::SliceRandom;

use crate::names::Name;
use crate::steer::SteerCore;
use crate::steer::ledger::{RetryCounts, RetryLedger, RetryVerdict, SharingBoxes};
use crate::steer::messages::RetryUse;
use crate::steer::peer_subset::reporting_boxes;
use crate::steer::retry_share::{CreditGrant, CreditRequest, DueCredits, ONE_RETRY};
use crate::time::TimePoint;

/// Minimum number of boxes that are assumed to share the retry slack, so that a box without known peers
/// does not use all of it. Production fleets have 36 to 40 boxes.
const MIN_BOXES: usize = 40;
/// Time for which the largest number of known boxes is remembered at least. Partitions of this length are rare, and
/// a fleet that has become smaller gets the whole slack again afterwards.
const FLEET_SIZE_MEMORY: Duration = Duration::from_secs(30 * 60);

/// The largest number of boxes that were known lately.
#[derive(Debug, Default)]
pub(crate) struct FleetSize {
    /// Largest number since `since`.
    current: usize,
    /// Largest number in the period before.
    previous: usize,
    since: TimePoint,
}

impl FleetSize {
    /// Records the number of boxes that are known now.
    pub(crate) fn record(&mut self, boxes: usize) {
        self.current = self.current.max(boxes);
    }

    fn largest(&mut self, now: TimePoint, known: usize) -> usize {
        if now.since(self.since) >= FLEET_SIZE_MEMORY {
            self.previous = std::mem::replace(&mut self.current, known);
            self.since = now;
        }
        self.current.max(self.previous).max(known)
    }
}

impl SteerCore {
    /// Takes a retry from the budget that all boxes share; returns false if this box may not make one now.
    pub fn spend_retry(&mut self, now: TimePoint, service: &str, usage: RetryUse) -> bool {
        self.decide_retry(now, service, usage) == RetryVerdict::Allowed
    }

    /// Takes a retry from the budget that all boxes share, if there is one for that use.
    pub fn decide_retry(&mut self, now: TimePoint, service: &str, usage: RetryUse) -> RetryVerdict {
        let boxes = self.sharing_boxes(now);
        let bounds = self.setup.retries;
        self.ledger(now, service).spend(now, &bounds, &boxes, usage)
    }

    /// Merges the counts of a service that the peer with the incarnation `peer`, in the own data centre,
    /// has reported.
    pub fn merge_retry_counts(
        &mut self,
        now: TimePoint,
        peer: u64,
        service: &str,
        counts: RetryCounts,
    ) {
        self.ledger(now, service).record_peer(now, peer, counts);
    }

    /// Returns what this box counted of each service within the last window, to be reported to its peers,
    /// without the services for which nothing was counted since the last report.
    pub fn unreported_retry_counts(&mut self, now: TimePoint) -> Vec<(Name, RetryCounts)> {
        let window = self.setup.retries.window;
        let unreported = self.ledgers.iter_mut().filter_map(|(service, ledger)| {
            let counts = ledger.take_unreported(now, window)?;
            Some((service.clone(), counts))
        });
        unreported.collect()
    }

    /// Returns the requests for credit that are due. They go to some of `peers`.
    pub fn due_credit_requests(&mut self, now: TimePoint, peers: &[u64]) -> DueCredits {
        let boxes = self.sharing_boxes(now);
        let wanting = self.ledgers.iter().filter(|(_, ledger)| ledger.wants_credit(now));
        let services: Vec<Name> = wanting.map(|(service, _)| service.clone()).collect();
        let mut due = DueCredits::default();
        for service in services {
            let bounds = self.setup.retries;
            let ledger = self.ledger(now, &service);
            let held = ledger.held_amount(now, &bounds, &boxes);
            if held >= ONE_RETRY {
                continue;
            }
            let mut shuffled = peers.to_vec();
            shuffled.shuffle(&mut self.random);
            let number = self.credit_requests + 1;
            let ledger = self.ledger(now, &service);
            let Some(peer) = ledger.choose_lender(now, &bounds, shuffled.into_iter()) else {
                ledger.share_mut().record_exhausted(now);
                due.is_exhausted = true;
                continue;
            };
            let amount = ledger.share_mut().record_request(now, peer, number, held);
            self.credit_requests = number;
            due.requests.push((peer, CreditRequest { service, number, amount }));
        }
        due
    }

    /// Replies to a peer's request for credit.
    pub fn lend_credit(&mut self, now: TimePoint, request: &CreditRequest) -> CreditGrant {
        let CreditRequest { service, number, amount } = request;
        let boxes = self.sharing_boxes(now);
        let bounds = self.setup.retries;
        // A service that this box knows nothing of gets no ledger by a peer's request alone.
        let ledger = self.ledgers.get_mut(&**service);
        let amount = ledger.map_or(0.0, |ledger| ledger.lend(now, *amount, &bounds, &boxes));
        CreditGrant { service: service.clone(), number: *number, amount }
    }

    /// Records a peer's reply to a request for credit.
    pub fn record_credit(&mut self, now: TimePoint, grant: &CreditGrant) {
        if let Some(ledger) = self.ledgers.get_mut(&*grant.service) {
            ledger.share_mut().record_grant(now, grant.number, grant.amount);
        }
    }

    /// Returns the largest number of boxes that were known lately. An even part of a bound over all boxes is by this
    /// number: boxes that are cut off from each other know fewer, and their parts together would exceed the bound.
    pub fn fleet_size(&mut self, now: TimePoint) -> usize {
        self.fleet_size.largest(now, self.boxes)
    }

    fn sharing_boxes(&mut self, now: TimePoint) -> SharingBoxes {
        let all = self.boxes.max(MIN_BOXES);
        let largest = self.fleet_size(now).max(MIN_BOXES);
        SharingBoxes { reporting: reporting_boxes(self.local_boxes), all, largest }
    }

    pub(super) fn ledger(&mut self, now: TimePoint, service: &str) -> &mut RetryLedger {
        if !self.ledgers.contains_key(service) {
            let boxes = self.sharing_boxes(now);
            let ledger = RetryLedger::new(TimePoint::default(), &self.setup.retries, &boxes);
            self.ledgers.insert(service.into(), ledger);
        }
        self.ledgers.get_mut(service).expect("the ledger was just inserted")
    }
}
