//! What goes into the decision thread, and what it tells a request's task.

use async_channel::Sender;
use wingbridge_decide::{BoxEvent, Conclusion, Name, RequestId, RequestPlan};

/// Directives that wait for one request; the core gives at most one for each attempt
/// and one at the end.
pub(crate) const MAX_QUEUED_DIRECTIVES: usize = 16;

/// Into the decision thread.
#[derive(Clone)]
pub(crate) enum DecisionInput {
    /// A request with where its directives go.
    Arrived { request: RequestId, plan: RequestPlan, directives: Sender<Directive> },
    /// Anything else for the core.
    Event(BoxEvent),
    /// The proxy's state is to be reported to the agent.
    StateDue,
}

/// What the core wants of one request's task.
#[derive(Debug, Clone)]
pub(crate) enum Directive {
    /// Send it to a target, and drop an earlier attempt.
    Send { attempt: u32, target: Name, fresh_connection: bool },
    /// It is finished.
    Conclude(Conclusion),
}
