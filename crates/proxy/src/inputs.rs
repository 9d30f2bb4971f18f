//! Inputs of the decision thread, and the directives that it sends to the tasks of requests.

use async_channel::Sender;
use wingbridge_decide::{BoxEvent, Conclusion, Name, RequestId, RequestPlan};

/// Maximum number of directives that are queued for one request. The core sends at most one for
/// each attempt and one at the end.
pub(crate) const MAX_QUEUED_DIRECTIVES: usize = 16;

/// An input of the decision thread.
#[derive(Clone)]
pub(crate) enum DecisionInput {
    /// A request has arrived; its directives go into `directives`.
    Arrived { request: RequestId, plan: RequestPlan, directives: Sender<Directive> },
    /// Any other event for the core.
    Event(BoxEvent),
    /// The state of the proxy is due to be reported to the agent.
    StateDue,
}

/// A directive of the core for the task of a request.
#[derive(Debug, Clone)]
pub(crate) enum Directive {
    /// Send the request to a target, and cancel an earlier attempt.
    Send { attempt: u32, target: Name, fresh_connection: bool },
    /// End the request with this conclusion.
    Conclude(Conclusion),
}
