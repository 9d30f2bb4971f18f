//! What peers state about their contacts, and what follows from it for a box that has none.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::paths::recent::ContactCounts;
use crate::time::TimePoint;

/// Time for which a statement counts: four rounds of questions.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Contacts of peers without which no judgement is made: a single one may be of a time before the paths were lost.
const MIN_CONTACTS: u32 = 2;
/// Failures without a contact from which a peer counts as one that may have lost its paths, too, and whose failures
/// say nothing about the targets.
const MIN_CUT_FAILURES: u32 = 4;
/// Lowest share of attempts without contact that is assumed of healthy paths.
const MIN_FAILURE_SHARE: f64 = 0.1;
/// Highest such share; above it no number of failures is evidence.
const MAX_FAILURE_SHARE: f64 = 0.95;
/// Natural logarithm of the odds against a run of failures by chance at which paths count as lost: a million to one.
const LOG_ODDS: f64 = 13.8;
/// Peers whose loads are compared for one request. Two spread requests nearly as evenly as all would.
const COMPARED_PEERS: usize = 2;

/// What a peer states about its attempts since the paths of the asking box began to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathStatement {
    /// Its attempts that began since then.
    pub counts: ContactCounts,
    /// Whether it has judged its own paths as lost.
    pub is_lost: bool,
    /// Number of requests that it has open.
    pub busy: u32,
    /// Whether it is in the data centre of the asking box.
    pub is_local: bool,
}

impl PathStatement {
    /// Returns whether the peer can handle requests for a box without paths.
    fn is_reaching(&self) -> bool {
        self.counts.contacts > 0 && !self.is_lost
    }

    /// Returns whether the peer has as little contact as the asking box.
    fn may_be_cut(&self) -> bool {
        self.is_lost || (self.counts.contacts == 0 && self.counts.failures >= MIN_CUT_FAILURES)
    }
}

/// The last statement of each peer that was asked.
#[derive(Debug, Default)]
pub(crate) struct PeerStatements {
    statements: HashMap<IpAddr, (PathStatement, TimePoint)>,
}

impl PeerStatements {
    pub(crate) fn insert(&mut self, now: TimePoint, peer: IpAddr, statement: PathStatement) {
        self.statements.retain(|_, (_, received)| is_fresh(now, *received));
        self.statements.insert(peer, (statement, now));
    }

    pub(crate) fn remove(&mut self, peer: IpAddr) {
        self.statements.remove(&peer);
    }

    /// Returns the number of attempts in a row without a contact from which they are no chance; `None` if too few
    /// peers have contacts.
    pub(crate) fn conclusive_failures(&self, now: TimePoint) -> Option<u32> {
        let mut sum = ContactCounts::default();
        for statement in self.fresh(now).map(|(_, statement)| statement) {
            if !statement.may_be_cut() {
                sum.contacts += statement.counts.contacts;
                sum.failures += statement.counts.failures;
            }
        }
        if sum.contacts < MIN_CONTACTS {
            return None;
        }
        let (contacts, failures) = (f64::from(sum.contacts), f64::from(sum.failures));
        let share = (failures + 1.0) / (contacts + failures + 2.0);
        let share = share.clamp(MIN_FAILURE_SHARE, MAX_FAILURE_SHARE);
        Some((LOG_ODDS / -share.ln()).ceil() as u32)
    }

    /// Returns whether a peer has contacts.
    pub(crate) fn has_reaching(&self, now: TimePoint) -> bool {
        self.fresh(now).any(|(_, statement)| statement.is_reaching())
    }

    /// Chooses a peer with contacts that `is_allowed`: one of the own data centre if any has contacts, and the less
    /// busy of two. `open` returns how many requests of this box a peer is handling now.
    pub(crate) fn choose(
        &self,
        now: TimePoint,
        is_allowed: impl Fn(IpAddr) -> bool,
        open: impl Fn(IpAddr) -> u32,
        random: &mut impl Rng,
    ) -> Option<IpAddr> {
        let reaching = self
            .fresh(now)
            .filter(|(peer, statement)| statement.is_reaching() && is_allowed(*peer));
        let reaching: Vec<(IpAddr, &PathStatement)> = reaching.collect();
        let has_local = reaching.iter().any(|(_, statement)| statement.is_local);
        let preferred = reaching.into_iter().filter(|(_, one)| one.is_local || !has_local);
        let preferred: Vec<(IpAddr, &PathStatement)> = preferred.collect();
        let compared = preferred.choose_multiple(random, COMPARED_PEERS);
        let least = compared.min_by_key(|(peer, statement)| statement.busy + open(*peer));
        least.map(|(peer, _)| *peer)
    }

    fn fresh(&self, now: TimePoint) -> impl Iterator<Item = (IpAddr, &PathStatement)> {
        let fresh =
            self.statements.iter().filter(move |(_, (_, received))| is_fresh(now, *received));
        fresh.map(|(peer, (statement, _))| (*peer, statement))
    }
}

fn is_fresh(now: TimePoint, received: TimePoint) -> bool {
    now.since(received) < STATEMENT_LIFETIME
}
