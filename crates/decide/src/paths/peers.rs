//! What peers state about their contacts, and what follows from it for a box that has none.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::names::Name;
use crate::paths::recent::ContactCounts;
use crate::time::TimePoint;

/// Time for which a statement counts: four rounds of questions.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Contacts of peers without which no judgement is made: a single one may be of a time before the paths were lost.
const MIN_CONTACTS: u32 = 2;
/// Probability below which a peer without contacts counts as one that may have lost its paths, too, and whose failures
/// say nothing about the targets.
const MAX_CHANCE: f64 = 0.001;
/// Lowest share of attempts without contact that is assumed of sound paths.
const MIN_FAILURE_SHARE: f64 = 0.1;
/// Highest such share at which paths are judged. Above it peers serve few requests more than this box, and a run of
/// failures is little evidence.
const MAX_FAILURE_SHARE: f64 = 0.8;
/// Natural logarithm of the odds against a run of failures by chance at which paths count as lost: ten million to one.
const LOG_ODDS: f64 = 16.1;
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
}

/// The last statement of each peer that was asked.
#[derive(Debug, Default)]
pub(crate) struct PeerStatements {
    statements: HashMap<IpAddr, ReceivedStatement>,
}

#[derive(Debug)]
struct ReceivedStatement {
    statement: PathStatement,
    received: TimePoint,
    /// Services for which the peer has not handled a request since.
    declined: Vec<Name>,
}

impl PeerStatements {
    pub(crate) fn insert(&mut self, now: TimePoint, peer: IpAddr, statement: PathStatement) {
        self.statements.retain(|_, one| is_fresh(now, one.received));
        let received = ReceivedStatement { statement, received: now, declined: Vec::new() };
        self.statements.insert(peer, received);
    }

    /// Records that a peer did not handle a request for `service`. It is not chosen for that service until its next
    /// statement. Its contacts say as much about the paths as before, and it may reach the targets of other services.
    pub(crate) fn record_declined(&mut self, peer: IpAddr, service: &Name) {
        if let Some(one) = self.statements.get_mut(&peer)
            && !one.declined.contains(service)
        {
            one.declined.push(service.clone());
        }
    }

    /// Returns the number of attempts in a row without a contact from which they are no chance; `None` if too few
    /// peers have contacts.
    pub(crate) fn conclusive_failures(&self, now: TimePoint) -> Option<u32> {
        let counts = self.fresh(now).filter(|(_, statement)| !statement.is_lost);
        let counts: Vec<ContactCounts> = counts.map(|(_, statement)| statement.counts).collect();
        let reaching = sum(counts.iter().filter(|counts| counts.contacts > 0));
        if reaching.contacts < MIN_CONTACTS {
            return None;
        }
        let share = failure_share(reaching);
        let is_chance = |counts: &&ContactCounts| {
            counts.contacts > 0 || share.powf(counts.failures.into()) >= MAX_CHANCE
        };
        let share = failure_share(sum(counts.iter().filter(is_chance)));
        (share <= MAX_FAILURE_SHARE).then(|| (LOG_ODDS / -share.ln()).ceil() as u32)
    }

    /// Returns whether a peer has contacts.
    pub(crate) fn has_reaching(&self, now: TimePoint) -> bool {
        self.fresh(now).any(|(_, statement)| statement.is_reaching())
    }

    /// Chooses a peer with contacts that `is_allowed` for a request for `service`: one of the own data centre if any has
    /// contacts, and the less busy of two. `open` returns how many requests of this box a peer is handling now.
    pub(crate) fn choose(
        &self,
        now: TimePoint,
        service: &Name,
        is_allowed: impl Fn(IpAddr) -> bool,
        open: impl Fn(IpAddr) -> u32,
        random: &mut impl Rng,
    ) -> Option<IpAddr> {
        let has_declined =
            |peer| self.statements.get(&peer).is_some_and(|one| one.declined.contains(service));
        let reaching = self.fresh(now).filter(|(peer, statement)| {
            statement.is_reaching() && !has_declined(*peer) && is_allowed(*peer)
        });
        let reaching: Vec<(IpAddr, &PathStatement)> = reaching.collect();
        let has_local = reaching.iter().any(|(_, statement)| statement.is_local);
        let preferred = reaching.into_iter().filter(|(_, one)| one.is_local || !has_local);
        let preferred: Vec<(IpAddr, &PathStatement)> = preferred.collect();
        let compared = preferred.choose_multiple(random, COMPARED_PEERS);
        let least =
            compared.min_by_key(|(peer, statement)| statement.busy.saturating_add(open(*peer)));
        least.map(|(peer, _)| *peer)
    }

    fn fresh(&self, now: TimePoint) -> impl Iterator<Item = (IpAddr, &PathStatement)> {
        let fresh = self.statements.iter().filter(move |(_, one)| is_fresh(now, one.received));
        fresh.map(|(peer, one)| (*peer, &one.statement))
    }
}

fn sum<'a>(counts: impl Iterator<Item = &'a ContactCounts>) -> ContactCounts {
    let mut sum = ContactCounts::default();
    for one in counts {
        // The numbers come from datagrams.
        sum.contacts = sum.contacts.saturating_add(one.contacts);
        sum.failures = sum.failures.saturating_add(one.failures);
    }
    sum
}

/// Returns the share of attempts without contact on sound paths, raised by its standard error.
fn failure_share(counts: ContactCounts) -> f64 {
    let (failures, all) = (
        f64::from(counts.failures) + 1.0,
        f64::from(counts.contacts) + f64::from(counts.failures) + 2.0,
    );
    let share = (failures / all).max(MIN_FAILURE_SHARE);
    share + (share * (1.0 - share) / all).sqrt()
}

fn is_fresh(now: TimePoint, received: TimePoint) -> bool {
    now.since(received) < STATEMENT_LIFETIME
}
