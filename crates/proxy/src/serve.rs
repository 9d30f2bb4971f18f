//! Handles a caller's request, up to the answer for the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Response;
use wingbridge_config::ServiceConfig;
use wingbridge_decide::{Name, RequestId, RequestPlan, TimePoint};
use wingbridge_http::IncomingRequest;
use wingbridge_http::server::PeerRequest;
use wingbridge_policy::{PolicyDecision, PolicyPlan, RequestView};

use crate::answers::{CallerAnswer, caller_answer, failure_answer, not_run};
use crate::attempt::OutgoingRequest;
use crate::context::ProxyContext;
use crate::headers;
use crate::requests::{RequestResult, run_request};
use crate::streaming::{StreamContext, stream_body};

/// Time after which a caller may retry at a box that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);

/// Answers one request. Dropping the future cancels the request if its policy allows that.
pub(crate) async fn answer_caller(context: Arc<ProxyContext>, request: PeerRequest) -> Response {
    let started = Instant::now();
    let id = context.next_request_id();
    let name = context.request_name(id);
    let caller = caller_name(&request);
    let path = request.incoming.request.url().path().to_string();
    let method = request.incoming.request.method();
    let plan = plan_request(&context, &request.incoming, &caller);
    let (service, answer) = match plan {
        Err(refusal) => (String::new(), *refusal),
        Ok(plan) => {
            let service = plan.service.clone();
            let work =
                execute_request(Arc::clone(&context), request.incoming, plan.clone(), id, caller);
            let answer = if plan.cancel_on_hangup {
                work.await
            } else {
                // The request runs in a task of its own: if the caller hangs up, only the wait for
                // the task is cancelled.
                task::spawn(work).await
            };
            (service, answer)
        }
    };
    let millis = started.elapsed().as_secs_f64() * 1000.0;
    log::info!(
        request = name.as_str(), service = service.as_str(), method:% = method, path = path.as_str(),
        status = answer.response.status() as u16, outcome = answer.outcome.as_str(),
        why = answer.reason.as_str(), millis;
        "request"
    );
    let labels = [("service", service), ("outcome", answer.outcome.as_str().to_string())];
    metrics::counter!("wingbridge_requests", &labels).increment(1);
    metrics::histogram!("wingbridge_request_millis").record(millis);
    answer.with_headers(&name).response
}

async fn execute_request(
    context: Arc<ProxyContext>,
    incoming: IncomingRequest,
    policy: PolicyPlan,
    id: RequestId,
    caller: String,
) -> CallerAnswer {
    let timeout =
        headers::caller_deadline(&incoming.request).map_or(policy.deadline, |requested| {
            // The caller may shorten the time that the policy allows, but not extend it.
            requested.min(policy.deadline)
        });
    let plan = RequestPlan {
        service: Name::from(policy.service.as_str()),
        deadline: TimePoint::from_micros(context.clock.micros()) + timeout,
        repeatable: policy.repeatable,
        attempts: policy.max_attempts,
        caller: caller_hash(&caller),
        caller_limit: policy.caller_limit,
        priority: policy.priority,
    };
    let outgoing = Arc::new(outgoing_request(&context, incoming, &policy, id, &caller));
    match run_request(&context, id, Arc::clone(&outgoing), plan.clone()).await {
        RequestResult::Failed(conclusion) => failure_answer(conclusion),
        RequestResult::Answered(mut answer) => {
            let stream = StreamContext { context, outgoing, plan, head_timeout: policy.deadline };
            let body = stream_body(stream, &mut answer);
            caller_answer(*answer, body)
        }
    }
}

/// Returns the plan of the policy, or the refusal for the caller.
fn plan_request(
    context: &ProxyContext,
    incoming: &IncomingRequest,
    caller: &str,
) -> Result<PolicyPlan, Box<CallerAnswer>> {
    let Some(config) = context.config.get() else {
        return Err(refused(503, "this box has no configuration yet", Some(NOT_READY_RETRY)));
    };
    let url = incoming.request.url();
    let Some((service, policy)) = config.policy_for(url.path()) else {
        return Err(refused(404, "no route leads anywhere from this path", None));
    };
    let Some(policy) = policy else {
        let reason = format!("the policy '{}' is not configured", service.policy);
        return Err(refused(503, &reason, Some(NOT_READY_RETRY)));
    };
    let view = request_view(incoming, caller);
    match policy.plan(view) {
        Ok(PolicyDecision::Route(plan)) => Ok(plan),
        Ok(PolicyDecision::Refuse { status, reason }) => Err(refused(status, &reason, None)),
        Err(fault) => Err(Box::new(on_policy_fault(context, service, &fault.to_string()))),
    }
}

fn refused(status: u16, reason: &str, retry_after: Option<Duration>) -> Box<CallerAnswer> {
    Box::new(not_run(status, reason, retry_after))
}

/// Refuses a request whose policy has failed at run time. The refusal is safe, since nothing has
/// been sent to a target.
fn on_policy_fault(context: &ProxyContext, service: &ServiceConfig, fault: &str) -> CallerAnswer {
    let policy = service.policy.as_str();
    log::error!(policy, reason = fault; "policy-failed");
    context.trace.record("policy-failed", &[("policy", policy), ("reason", fault)]);
    metrics::counter!("wingbridge_policy_faults").increment(1);
    not_run(503, "the policy for this path failed", Some(NOT_READY_RETRY))
}

fn request_view(incoming: &IncomingRequest, caller: &str) -> RequestView {
    let url = incoming.request.url();
    let headers = incoming
        .request
        .iter()
        .map(|(name, values)| (name.as_str().to_string(), values.last().as_str().to_string()));
    RequestView::new(
        incoming.request.method().as_ref(),
        url.path(),
        url.query().unwrap_or_default(),
        caller,
        headers.collect(),
    )
}

fn outgoing_request(
    context: &ProxyContext,
    incoming: IncomingRequest,
    policy: &PolicyPlan,
    id: RequestId,
    caller: &str,
) -> OutgoingRequest {
    let mut headers = headers::forwarded(&incoming.request);
    let forwarded = headers.iter_mut().find(|(name, _)| name == "x-forwarded-for");
    match forwarded {
        Some((_, chain)) => *chain = format!("{chain}, {caller}"),
        None => headers.push(("x-forwarded-for".into(), caller.to_string())),
    }
    OutgoingRequest {
        method: incoming.request.method(),
        url: incoming.request.url().clone(),
        headers,
        body: incoming.body,
        name: context.request_name(id),
        repeatable: policy.repeatable,
    }
}

/// Returns the caller's name: the first address that the balancer added to the header, or the
/// address of the peer.
fn caller_name(request: &PeerRequest) -> String {
    let addresses = headers::text(request.incoming.request.header("x-forwarded-for"));
    let first = addresses.split(',').next().unwrap_or_default().trim();
    if first.is_empty() { request.peer.ip().to_string() } else { first.to_string() }
}

fn caller_hash(caller: &str) -> u64 {
    wingbridge_decide::names::stable_hash(caller)
}
