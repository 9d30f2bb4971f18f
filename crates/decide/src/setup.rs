//! What operators set for a service, already checked.

use std::time::Duration;

use crate::names::{Name, TargetKey};

/// A service and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSetup {
    /// The service's name.
    pub name: Name,
    /// Its targets, in the order of the configuration.
    pub targets: Vec<TargetSetup>,
    /// The share of all slots that ejections must leave in service, 0 to 1.
    pub floor: f64,
    /// Target-days that may pass between two false ejections: the operators' one
    /// knob between detection time and false ejections. Larger is more careful.
    pub false_alarm_days: f64,
    /// Limits in one box.
    pub limits: LimitSetup,
}

impl ServiceSetup {
    /// Slots of all targets.
    pub fn total_slots(&self) -> u32 {
        self.targets.iter().map(|target| target.slots).sum()
    }
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSetup {
    /// Where it listens, as `IP:port`.
    pub address: Name,
    /// How many requests it works on at once.
    pub slots: u32,
}

impl TargetSetup {
    /// The target's identity between boxes.
    pub fn key(&self) -> TargetKey {
        TargetKey::of(&self.address)
    }
}

/// Limits of a service in one box.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSetup {
    /// Requests of the service that are at targets at once.
    pub open: usize,
    /// Requests that wait when `open` is reached.
    pub queued: usize,
    /// Retries that a request earns, 0 to 1.
    pub retry_share: f64,
    /// Retries that may run ahead of what was earned.
    pub retry_burst: f64,
    /// The first back-off after an ejection; it doubles with each one that follows.
    pub backoff: Duration,
    /// The longest back-off.
    pub backoff_max: Duration,
    /// How long a target's share grows after a trial or a cold start.
    pub warm_up: Duration,
}

impl Default for LimitSetup {
    fn default() -> LimitSetup {
        LimitSetup {
            open: 64,
            queued: 64,
            retry_share: 0.1,
            retry_burst: 10.0,
            backoff: Duration::from_secs(5),
            backoff_max: Duration::from_secs(600),
            warm_up: Duration::from_secs(10),
        }
    }
}

/// An operator's order about one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManualOverride {
    /// The target's address.
    pub target: Name,
    /// What is ordered.
    pub kind: OverrideKind,
}

/// What an operator can order by hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverrideKind {
    /// Keep it out, as far as the floor allows.
    Eject,
    /// It leaves: no new work, whatever the floor.
    Drain,
}
