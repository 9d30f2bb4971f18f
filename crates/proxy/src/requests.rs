//! One request from its plan to its conclusion, over as many attempts as it takes.

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

/// How a request ended.
#[derive(Debug)]
pub(crate) enum RequestResult {
    /// A target's answer.
    Answered(Box<TargetAnswer>),
    /// None, with what is known.
    Failed(Conclusion),
}

/// Tells the core if a request is dropped before its conclusion: its caller hung up.
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

/// Sees a request through. Dropping the future cancels it everywhere.
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
        return stopping();
    }
    let mut run = RequestRun { context, request, outgoing, deadline, last: None };
    let end = run.run(&directives).await;
    guard.request = None;
    end
}

struct RequestRun<'a> {
    context: &'a Arc<ProxyContext>,
    request: RequestId,
    outgoing: Arc<OutgoingRequest>,
    deadline: TimePoint,
    last: Option<TargetAnswer>,
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
                        // A new directive drops the attempt that was running.
                        Either::Right((directive, _)) => directive,
                    }
                }
            };
            match directive {
                Ok(Directive::Send { attempt, target, fresh_connection }) => {
                    self.last = None;
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
                Err(_) => return stopping(),
            }
        }
    }

    async fn end_attempt(&mut self, attempt: u32, result: AttemptResult) {
        let AttemptResult { outcome, answer } = result;
        self.last = answer;
        let request = self.request;
        let event = BoxEvent::AttemptEnded { request, attempt, outcome };
        let _ = self.context.decisions.send(DecisionInput::Event(event)).await;
        debug_assert!(
            self.last.is_some()
                || matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Broken)
        );
    }

    fn conclude(&mut self, conclusion: Conclusion) -> RequestResult {
        match (conclusion, self.last.take()) {
            (Conclusion::Answered, Some(answer)) => RequestResult::Answered(Box::new(answer)),
            (Conclusion::Answered, None) => {
                debug_assert!(false, "a conclusion of an answer that never came");
                RequestResult::Failed(Conclusion::Unknown { retry_after: Duration::from_secs(1) })
            }
            (failed, _) => RequestResult::Failed(failed),
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(TimePoint::from_micros(self.context.clock.micros()))
    }
}

/// The decision thread is gone, which only a stop that ran out of time brings about.
fn stopping() -> RequestResult {
    RequestResult::Failed(Conclusion::Unknown { retry_after: Duration::from_secs(1) })
}
