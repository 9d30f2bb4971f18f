//! The bounded engine with what programs can say.

use std::time::Duration;

use rhai::{Engine, EvalAltResult};

use crate::MAX_STEPS;
use crate::plan::{PolicyDecision, PolicyPlan};
use crate::request::{RequestView, RouteDefaults};

const CALL_LEVELS: usize = 16;
const EXPRESSION_DEPTH: usize = 32;
const STRING_BYTES: usize = 16 * 1024;
const COLLECTION_ITEMS: usize = 256;
/// Longest deadline that a policy can give.
const DEADLINE_MOST: Duration = Duration::from_secs(3600);
const ATTEMPTS_MOST: i64 = 10;

type Fallible<T> = Result<T, Box<EvalAltResult>>;

/// An engine that runs policy programs and nothing else.
pub(crate) fn policy_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_STEPS);
    engine.set_max_call_levels(CALL_LEVELS);
    engine.set_max_expr_depths(EXPRESSION_DEPTH, EXPRESSION_DEPTH);
    engine.set_max_string_size(STRING_BYTES);
    engine.set_max_array_size(COLLECTION_ITEMS);
    engine.set_max_map_size(COLLECTION_ITEMS);
    engine.disable_symbol("eval");
    engine.disable_symbol("print");
    engine.disable_symbol("debug");
    register_request(&mut engine);
    register_plan(&mut engine);
    engine
}

fn register_request(engine: &mut Engine) {
    engine.register_type_with_name::<RequestView>("Request");
    engine.register_get("method", |request: &mut RequestView| request.method());
    engine.register_get("path", |request: &mut RequestView| request.path());
    engine.register_get("query", |request: &mut RequestView| request.query());
    engine.register_get("caller", |request: &mut RequestView| request.caller());
    engine.register_fn("header", |request: &mut RequestView, name: &str| request.header(name));
    engine.register_get("offer", |request: &mut RequestView| request.offer());
    engine.register_type_with_name::<RouteDefaults>("Offer");
    engine.register_get("service", |offer: &mut RouteDefaults| offer.service.to_string());
    engine.register_get("millis", |offer: &mut RouteDefaults| {
        i64::try_from(offer.timeout.as_millis()).unwrap_or(i64::MAX)
    });
    engine.register_get("attempts", |offer: &mut RouteDefaults| i64::from(offer.attempts));
    engine.register_get("priority", |offer: &mut RouteDefaults| i64::from(offer.priority));
}

fn register_plan(engine: &mut Engine) {
    engine.register_type_with_name::<PolicyDecision>("Decision");
    engine.register_fn("route", |service: &str| {
        PolicyDecision::Route(PolicyPlan::for_service(service))
    });
    engine.register_fn("refuse", |status: i64, reason: &str| -> Fallible<PolicyDecision> {
        let status = u16::try_from(status).ok().filter(|status| (400..=599).contains(status));
        let status = status.ok_or("refuse: the status must be 400 to 599")?;
        Ok(PolicyDecision::Refuse { status, reason: reason.into() })
    });
    engine.register_fn("deadline", |decision: PolicyDecision, millis: i64| {
        let deadline = u64::try_from(millis).ok().map(Duration::from_millis);
        let deadline = deadline.filter(|span| !span.is_zero() && *span <= DEADLINE_MOST);
        let deadline = deadline.ok_or("deadline: the milliseconds must be 1 to 3600000")?;
        change(decision, |plan| plan.deadline = deadline)
    });
    engine.register_fn("repeatable", |decision: PolicyDecision| {
        change(decision, |plan| plan.repeatable = true)
    });
    engine.register_fn("attempts", |decision: PolicyDecision, attempts: i64| {
        if !(1..=ATTEMPTS_MOST).contains(&attempts) {
            return Err("attempts: must be 1 to 10".into());
        }
        change(decision, |plan| plan.attempts = attempts as u32)
    });
    engine.register_fn("priority", |decision: PolicyDecision, priority: i64| {
        let priority = u8::try_from(priority).map_err(|_| "priority: must be 0 to 255")?;
        change(decision, |plan| plan.priority = priority)
    });
    engine.register_fn("caller_limit", |decision: PolicyDecision, limit: i64| {
        let limit = usize::try_from(limit).map_err(|_| "caller_limit: must be 0 or more")?;
        change(decision, |plan| plan.caller_limit = limit)
    });
    engine.register_fn("finish_without_caller", |decision: PolicyDecision| {
        change(decision, |plan| plan.cancel_on_hangup = false)
    });
}

fn change(decision: PolicyDecision, set: impl FnOnce(&mut PolicyPlan)) -> Fallible<PolicyDecision> {
    match decision {
        PolicyDecision::Route(mut plan) => {
            set(&mut plan);
            Ok(PolicyDecision::Route(plan))
        }
        PolicyDecision::Refuse { .. } => Err("only a route can be planned further".into()),
    }
}
