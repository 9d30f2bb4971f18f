//! What the log tells of retry budgets and of targets without requests, so that a refused retry or an idle
//! target can be led back to what the box knew at that time.

use std::time::Duration;

use crate::names::Name;
use crate::steer::SteerCore;
use crate::steer::ledger::LedgerStatus;
use crate::steer::messages::HomeRegions;
use crate::steer::pool::TargetPool;
use crate::steer::trial::due_count;
use crate::time::TimePoint;

/// Time without a known attempt after which a target counts as idle. Operators require that a minimum share of
/// the healthy targets gets requests in any period of this length.
pub const IDLE_TIME: Duration = Duration::from_secs(2);
/// Share of idle targets from which on a service is reported.
const MIN_IDLE_SHARE: f64 = 0.2;

/// The idle targets of one service, as this box knows them.
#[derive(Debug, Clone, PartialEq)]
pub struct IdleStatus {
    /// Name of the service.
    pub service: Name,
    /// Targets that may get requests.
    pub eligible: usize,
    /// Those among them without a known attempt for [`IDLE_TIME`].
    pub idle: usize,
    /// Idle targets whose last attempt failed.
    pub failed: usize,
    /// Targets that are due for a trial.
    pub due: usize,
    /// Share of recent attempts of the data centre that failed.
    pub failure_share: f64,
    /// Share of recent requests of this box that were not served.
    pub unserved_share: f64,
}

impl SteerCore {
    /// Returns what this box knows of the retry budgets in which it allowed or refused a retry since the last call.
    pub fn take_retry_status(&mut self, now: TimePoint) -> Vec<(Name, LedgerStatus)> {
        let window = self.setup.retries.window;
        let statuses = self.ledgers.iter_mut().filter_map(|(service, ledger)| {
            let status = ledger.take_status(now, window)?;
            Some((service.clone(), status))
        });
        statuses.collect()
    }

    /// Returns the `max` services in use of which the most targets are idle.
    pub fn idle_status(&self, now: TimePoint, max: usize) -> Vec<IdleStatus> {
        let in_use = self.pools.iter().filter(|(_, pool)| pool.in_use_for(now) >= IDLE_TIME);
        let statuses = in_use.map(|(service, pool)| self.pool_status(now, service, pool));
        let is_notable = |status: &IdleStatus| {
            status.idle > 0 && status.idle as f64 >= status.eligible as f64 * MIN_IDLE_SHARE
        };
        let mut statuses: Vec<IdleStatus> = statuses.filter(is_notable).collect();
        statuses.sort_unstable_by_key(|status| std::cmp::Reverse(status.idle));
        statuses.truncate(max);
        statuses
    }

    fn pool_status(&self, now: TimePoint, service: &Name, pool: &TargetPool) -> IdleStatus {
        let (mut eligible, mut idle, mut failed) = (0, 0, 0);
        for (_, record) in pool.eligible_targets(now, &[], HomeRegions::Any) {
            eligible += 1;
            if record.idle_time(now) >= IDLE_TIME {
                idle += 1;
                failed += usize::from(record.last_failed());
            }
        }
        IdleStatus {
            service: service.clone(),
            eligible,
            idle,
            failed,
            due: due_count(now, pool, &self.trial_context()),
            failure_share: pool.failure_share(now),
            unserved_share: pool.unserved_share(now),
        }
    }
}
