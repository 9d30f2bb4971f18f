//! The decisions that a policy program can return.

use std::time::Duration;

const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
const DEFAULT_MAX_ATTEMPTS: u32 = 2;

/// The decision of a policy program for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// The request is sent to a service, as the plan specifies.
    Route(PolicyPlan),
    /// The request is refused and not run.
    Refuse {
        /// The status code for the caller, 400 to 599.
        status: u16,
        /// One line of text for the caller.
        reason: String,
    },
}

/// How a request is sent to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyPlan {
    /// The name of the service.
    pub service: String,
    /// Maximum time for the request, all attempts included; a caller may set a shorter one.
    pub deadline: Duration,
    /// Whether the request may run more than once. False unless the program sets it.
    pub repeatable: bool,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Priority in queues; requests with a higher value are served first.
    pub priority: u8,
    /// Maximum number of requests of one caller that are open or queued in a box; 0 for no limit.
    pub caller_limit: usize,
    /// Whether the request is cancelled at the target when the caller disconnects.
    pub cancel_on_hangup: bool,
}

impl PolicyPlan {
    /// Returns a plan for `service` with conservative defaults: not repeatable, a deadline of
    /// five seconds.
    pub fn for_service(service: &str) -> PolicyPlan {
        PolicyPlan {
            service: service.to_string(),
            deadline: DEFAULT_DEADLINE,
            repeatable: false,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            priority: 0,
            caller_limit: 0,
            cancel_on_hangup: true,
        }
    }
}
