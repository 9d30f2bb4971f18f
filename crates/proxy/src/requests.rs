//! Runs a request from its plan to its conclusion, over one or more attempts.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures::future::{Either, select};
use wingbridge_decide::{AttemptOutcome, BoxEvent, Conclusion, RequestId, RequestPlan, TimePoint};

use crate::attempt::{AttemptResult, OutgoingRequest, TargetAnswer, attempt_target};
use crate::context::ProxyContext;
use crate::inputs::{DecisionInput, Directive, MAX_QUEUED_DIRECTIVES};

type RunningAttempt = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

/// The result of a request.
#[derive(Debug)]
pub(crate) enum RequestResult {
    /// The answer of a target.
    Answered(Box<TargetAnswer>),
    /// No answer, with the conclusion of the core.
    Failed(Conclusion),
}

/// Reports a cancellation to the core if the future of a request is dropped before its conclusion,
/// because the caller has hung up.
struct CancelGuard {
    context: Arc<ProxyContext>,
    request: Option<RequestId>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(request) = self.request else { return };
        let decisions = self.context.decisions.clone();
        let input = DecisionInput::Event(BoxEvent::RequestCancelled(request));
        if let Err(async_channel::TrySendError::Full(input)) = decisions.try_send(input) {
            async_std::task::spawn(async move { decisions.send(input).await });
        }
    }
}

/// Runs a request until its conclusion. Dropping the future cancels the request, including an
/// attempt at a target.
pub(crate) async fn run_request(
    context: &Arc<ProxyContext>,
    request: RequestId,
    outgoing: Arc<OutgoingRequest>,
    plan: RequestPlan,
) -> RequestResult {
    let deadline = plan.deadline;
    let (sender, directives) = async_channel::bounded(MAX_QUEUED_DIRECTIVES);
    let mut guard = CancelGuard { context: Arc::clone(context), request: Some(request) };
    let arrived = DecisionInput::Arrived { request, plan, directives: sender };
    if context.decisions.send(arrived).await.is_err() {
        guard.request = None;
        return decision_thread_ended();
    }
    let mut run = RequestRun { context, request, outgoing, deadline, last_answer: None };
    let result = run.run(&directives).await;
    guard.request = None;
    result
}

struct RequestRun<'a> {
    context: &'a Arc<ProxyContext>,
    request: RequestId,
    outgoing: Arc<OutgoingRequest>,
    deadline: TimePoint,
    last_answer: Option<TargetAnswer>,
}

impl RequestRun<'_> {
    async fn run(&mut self, directives: &Receiver<Directive>) -> RequestResult {
        let mut running: Option<(u32, RunningAttempt)> = None;
        loop {
            let directive = match running.take() {
                None => directives.recv().await,
                Some((attempt, work)) => {
                    let next = std::pin::pin!(directives.recv());
                    match select(work, next).await {
                        Either::Left((result, _)) => {
                            self.end_attempt(attempt, result).await;
                            continue;
                        }
                        // A new directive cancels the running attempt.
                        Either::Right((directive, _)) => directive,
                    }
                }
            };
            match directive {
                Ok(Directive::Send { attempt, target, fresh_connection }) => {
                    self.last_answer = None;
                    let work = attempt_target(
                        Arc::clone(self.context),
                        Arc::clone(&self.outgoing),
                        target,
                        self.remaining(),
                        fresh_connection,
                    );
                    running = Some((attempt, Box::pin(work)));
                }
                Ok(Directive::Conclude(conclusion)) => return self.conclude(conclusion),
                Err(_) => return decision_thread_ended(),
            }
        }
    }

    async fn end_attempt(&mut self, attempt: u32, result: AttemptResult) {
        let AttemptResult { outcome, answer } = result;
        self.last_answer = answer;
        let request = self.request;
        let event = BoxEvent::AttemptEnded { request, attempt, outcome };
        let _ = self.context.decisions.send(DecisionInput::Event(event)).await;
        debug_assert!(
            self.last_answer.is_some()
                || matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Broken)
        );
    }

    fn conclude(&mut self, conclusion: Conclusion) -> RequestResult {
        match (conclusion, self.last_answer.take()) {
            (Conclusion::Answered, Some(answer)) => RequestResult::Answered(Box::new(answer)),
            (Conclusion::Answered, None) => {
                debug_assert!(false, "request concluded as answered, but no answer was received");
                RequestResult::Failed(Conclusion::Unknown { retry_after: Duration::from_secs(1) })
            }
            (failed, _) => RequestResult::Failed(failed),
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(TimePoint::from_micros(self.context.clock.micros()))
    }
}

/// Returns the result of a request after the decision thread has ended, which happens only if the
/// planned stop exceeded its time.
fn decision_thread_ended() -> RequestResult {
    RequestResult::Failed(Conclusion::Unknown { retry_after: Duration::from_secs(1) })
}
