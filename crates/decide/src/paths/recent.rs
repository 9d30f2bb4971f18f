//! The recent attempts of this box, from which it tells peers whether it reaches targets.

use std::collections::VecDeque;
use std::time::Duration;

use crate::names::Name;
use crate::paths::PathScope;
use crate::time::TimePoint;

/// Time for which an attempt counts. A box with few requests has some contacts within this time.
const RECENT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of attempts that are remembered. A box with more of them has evidence enough in the last ones.
const MAX_ATTEMPTS: usize = 512;

/// Numbers of attempts that came to a contact and that did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ContactCounts {
    /// Attempts that came to a contact.
    pub contacts: u32,
    /// Attempts that did not.
    pub failures: u32,
}

/// The recent attempts, by the time at which they began.
#[derive(Debug, Default)]
pub(crate) struct RecentAttempts {
    attempts: VecDeque<RecentAttempt>,
}

#[derive(Debug)]
struct RecentAttempt {
    started: TimePoint,
    service: Name,
    has_contact: bool,
}

impl RecentAttempts {
    pub(crate) fn record(&mut self, started: TimePoint, service: &Name, has_contact: bool) {
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        let service = service.clone();
        self.attempts.push_back(RecentAttempt { started, service, has_contact });
    }

    /// Counts the attempts of a scope that began within the last `age`.
    pub(crate) fn count(&self, now: TimePoint, scope: &PathScope, age: Duration) -> ContactCounts {
        let from = now.before(age.min(RECENT_TIME));
        let is_counted = |attempt: &&RecentAttempt| {
            let in_scope = match scope {
                PathScope::All => true,
                PathScope::Service(name) => attempt.service == *name,
            };
            in_scope && attempt.started >= from
        };
        let mut counts = ContactCounts::default();
        for attempt in self.attempts.iter().filter(is_counted) {
            if attempt.has_contact {
                counts.contacts += 1;
            } else {
                counts.failures += 1;
            }
        }
        counts
    }
}
