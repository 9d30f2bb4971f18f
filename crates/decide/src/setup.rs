//! The validated configuration of a service.

use std::time::Duration;

use crate::names::{Name, TargetKey};

/// The configuration of a service and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSetup {
    /// Name of the service.
    pub name: Name,
    /// Targets, in the order of the configuration file.
    pub targets: Vec<TargetSetup>,
    /// Minimum share of all slots that ejections must leave in service, 0 to 1.
    pub floor: f64,
    /// Intended number of target-days between two false ejections. It is the operators' only setting for the trade-off
    /// between detection time and false ejections; higher values detect failures later.
    pub false_alarm_days: f64,
    /// Limits that apply in each box.
    pub limits: LimitSetup,
}

impl ServiceSetup {
    /// Returns the number of slots of all targets.
    pub fn total_slots(&self) -> u32 {
        self.targets.iter().map(|target| target.slots).sum()
    }
}

/// The configuration of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSetup {
    /// Address on which the target listens, as `IP:port`.
    pub address: Name,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
}

impl TargetSetup {
    /// Returns the key that identifies the target in messages between boxes.
    pub fn key(&self) -> TargetKey {
        TargetKey::of(&self.address)
    }
}

/// The limits of a service in one box.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSetup {
    /// Maximum number of concurrent requests to targets of the service.
    pub open: usize,
    /// Maximum number of queued requests when `open` is reached.
    pub queued: usize,
    /// Retries that each request earns, 0 to 1.
    pub retry_share: f64,
    /// Maximum number of earned retries that are kept, and their number at the start.
    pub retry_burst: f64,
    /// Back-off after the first ejection; it doubles with each further one.
    pub backoff: Duration,
    /// Maximum back-off.
    pub backoff_max: Duration,
    /// Time over which the share of a target grows to the full one after a trial or a cold start.
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

/// An operator's manual override of the health of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManualOverride {
    /// Address of the target.
    pub target: Name,
    /// State that the override sets.
    pub kind: OverrideKind,
}

/// The kinds of manual overrides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverrideKind {
    /// Ejects the target, as far as the capacity floor allows.
    Eject,
    /// Drains the target: it gets no new requests, regardless of the capacity floor.
    Drain,
}
