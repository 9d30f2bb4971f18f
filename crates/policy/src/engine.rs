//! The Rhai engine that runs policy programs, with its resource limits and registered functions.

use std::time::Duration;

use rhai::{Engine, EvalAltResult};

use crate::MAX_STEPS;
use crate::plan::{PolicyDecision, PolicyPlan};
use crate::request::{RequestView, RouteDefaults};

const MAX_CALL_LEVELS: usize = 16;
const MAX_EXPRESSION_DEPTH: usize = 32;
const MAX_STRING_BYTES: usize = 16 * 1024;
/// Maximum number of items in an array or a map.
const MAX_COLLECTION_ITEMS: usize = 256;
/// Maximum deadline that a policy can set.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Maximum number of attempts that a policy can set.
const MAX_ATTEMPTS: i64 = 10;

type EvalResult<T> = Result<T, Box<EvalAltResult>>;

/// Creates an engine that gives programs access to the request and nothing else.
pub(crate) fn policy_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_STEPS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_STRING_BYTES);
    engine.set_max_array_size(MAX_COLLECTION_ITEMS);
    engine.set_max_map_size(MAX_COLLECTION_ITEMS);
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
    engine.register_get("offer", |request: &mut RequestView| request.route_defaults());
    engine.register_type_with_name::<RouteDefaults>("Offer");
    engine.register_get("service", |defaults: &mut RouteDefaults| defaults.service.to_string());
    engine.register_get("millis", |defaults: &mut RouteDefaults| {
        i64::try_from(defaults.timeout.as_millis()).unwrap_or(i64::MAX)
    });
    engine
        .register_get("attempts", |defaults: &mut RouteDefaults| i64::from(defaults.max_attempts));
    engine.register_get("priority", |defaults: &mut RouteDefaults| i64::from(defaults.priority));
}

fn register_plan(engine: &mut Engine) {
    engine.register_type_with_name::<PolicyDecision>("Decision");
    engine.register_fn("route", |service: &str| {
        PolicyDecision::Route(PolicyPlan::for_service(service))
    });
    engine.register_fn("refuse", |status: i64, reason: &str| -> EvalResult<PolicyDecision> {
        let status = u16::try_from(status).ok().filter(|status| (400..=599).contains(status));
        let status = status.ok_or("refuse: the status must be 400 to 599")?;
        Ok(PolicyDecision::Refuse { status, reason: reason.into() })
    });
    engine.register_fn("deadline", |decision: PolicyDecision, millis: i64| {
        let deadline = u64::try_from(millis).ok().map(Duration::from_millis);
        let deadline = deadline.filter(|span| !span.is_zero() && *span <= MAX_DEADLINE);
        let deadline = deadline.ok_or("deadline: the milliseconds must be 1 to 3600000")?;
        update_plan(decision, |plan| plan.deadline = deadline)
    });
    engine.register_fn("repeatable", |decision: PolicyDecision| {
        update_plan(decision, |plan| plan.repeatable = true)
    });
    engine.register_fn("attempts", |decision: PolicyDecision, attempts: i64| {
        if !(1..=MAX_ATTEMPTS).contains(&attempts) {
            return Err("attempts: must be 1 to 10".into());
        }
        update_plan(decision, |plan| plan.max_attempts = attempts as u32)
    });
    engine.register_fn("priority", |decision: PolicyDecision, priority: i64| {
        let priority = u8::try_from(priority).map_err(|_| "priority: must be 0 to 255")?;
        update_plan(decision, |plan| plan.priority = priority)
    });
    engine.register_fn("caller_limit", |decision: PolicyDecision, limit: i64| {
        let limit = usize::try_from(limit).map_err(|_| "caller_limit: must be 0 or more")?;
        update_plan(decision, |plan| plan.caller_limit = limit)
    });
    engine.register_fn("finish_without_caller", |decision: PolicyDecision| {
        update_plan(decision, |plan| plan.cancel_on_hangup = false)
    });
}

/// Applies `update` to the plan of a route decision; fails for a refusal, which has no plan.
fn update_plan(
    decision: PolicyDecision,
    update: impl FnOnce(&mut PolicyPlan),
) -> EvalResult<PolicyDecision> {
    match decision {
        PolicyDecision::Route(mut plan) => {
            update(&mut plan);
            Ok(PolicyDecision::Route(plan))
        }
        PolicyDecision::Refuse { .. } => Err("only a route can be planned further".into()),
    }
}
