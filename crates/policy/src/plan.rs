//! What a policy can decide.

use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(5);
const ATTEMPTS: u32 = 2;

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// It goes to a service.
    Route(PolicyPlan),
    /// It is refused and not run.
    Refuse {
        /// The status code for the caller, 400 to 599.
        status: u16,
        /// One line for the caller.
        reason: String,
    },
}

/// How a request goes to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyPlan {
    /// The service.
    pub service: String,
    /// Time for it, at most; a caller may ask for less.
    pub deadline: Duration,
    /// Whether it may run more than once. A policy must say so.
    pub repeatable: bool,
    /// Attempts at most, the first counted.
    pub attempts: u32,
    /// Higher goes first when there is a queue.
    pub priority: u8,
    /// Requests of one caller that may be open or queued in a box; 0 for no limit.
    pub caller_limit: usize,
    /// Whether it is cancelled at the target when the caller hangs up.
    pub cancel_on_hangup: bool,
}

impl PolicyPlan {
    /// A careful plan: not repeatable, five seconds.
    pub fn for_service(service: &str) -> PolicyPlan {
        PolicyPlan {
            service: service.to_string(),
            deadline: DEADLINE,
            repeatable: false,
            attempts: ATTEMPTS,
            priority: 0,
            caller_limit: 0,
            cancel_on_hangup: true,
        }
    }
}
