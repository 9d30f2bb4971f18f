//! The decision core: which targets are failing, which target gets the next request, and which requests are
//! retried, queued or refused.
//!
//! The core does no I/O and has no threads, no clock and no global state. The caller passes in the time, the
//! seed of the random source and events, and receives commands; the same events always give the same
//! commands. The proxy drives [`BoxCore`], the agent drives [`OutlierDetector`], and the benchmarks drive
//! both. No decision is made anywhere else.

pub mod budget;
pub mod core;
pub mod crashes;
pub mod detector;
pub mod dispersion;
pub mod evidence;
pub mod fingerprint;
mod flaps;
pub mod floor;
pub mod health;
pub mod messages;
pub mod names;
pub mod paths;
pub mod permits;
pub mod pick;
pub mod placement;
pub mod queue;
pub mod quota;
mod requests;
pub mod returns;
mod self_check;
pub mod service;
pub mod setup;
pub mod sketch;
pub mod steer;
pub mod time;
pub mod waiting;

pub use crate::core::BoxCore;
pub use detector::OutlierDetector;
pub use evidence::{EvidenceBatch, EvidenceSource, Sample, SampleKind, TargetSamples};
pub use fingerprint::Fingerprint;
pub use health::{HealthChart, HealthState};
pub use messages::{
    AttemptOutcome, BoxCommand, BoxEvent, Conclusion, RefuseReason, ReportedState, RequestId,
    RequestPlan, TargetReport, Verdict, VerdictCause, VerdictKind, VerdictScope,
};
pub use names::{Name, TargetKey};
pub use setup::{LimitSetup, ManualOverride, OverrideKind, ServiceSetup, TargetSetup};
pub use time::TimePoint;
