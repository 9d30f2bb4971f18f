//! Built-in policy programs, one for each kind of route.
//!
//! The route table gives the kind of a route and its parameters (timeout, attempts, priority); the
//! policy program of that kind decides how its requests are handled. The programs are in
//! `policies/`, in the same language as the policies of operators.

use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_http::raw::RawRequestHead;
use wingbridge_policy::{PolicyDecision, PolicyError, PolicyProgram, RequestView, RouteDefaults};

use crate::routes::{Route, RouteKind};

/// Highest priority in the scale of policies, in which a higher number is more urgent. Routes use the
/// opposite scale, where 0 is the most urgent.
const MAX_POLICY_PRIORITY: u32 = 255;

/// Lower bound of a route's timeout. Policy programs accept times and attempts within these bounds only,
/// so that values of the route table are clamped to them.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// Upper bound of a route's timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Upper bound of a route's attempts.
const MAX_ATTEMPTS: u32 = 10;

/// The compiled built-in programs.
#[derive(Debug)]
pub(crate) struct PolicySet {
    repeatable: PolicyProgram,
    at_most_once: PolicyProgram,
    download: PolicyProgram,
}

impl PolicySet {
    /// Compiles the built-in programs.
    ///
    /// # Errors
    /// Returns an error if one of them does not compile; tests compile all of them.
    pub(crate) fn compile() -> Result<PolicySet, PolicyError> {
        Ok(PolicySet {
            repeatable: PolicyProgram::compile(include_str!("../policies/repeatable.rhai"))?,
            at_most_once: PolicyProgram::compile(include_str!("../policies/at-most-once.rhai"))?,
            download: PolicyProgram::compile(include_str!("../policies/download.rhai"))?,
        })
    }

    /// Runs the program of the route's kind for a request to `service`. `priority` is in the scale of
    /// routes: 0 is the most urgent.
    ///
    /// # Errors
    /// Returns an error if the program fails at run time.
    pub(crate) fn plan(
        &self,
        route: &Route,
        service: &Name,
        priority: u32,
        head: &RawRequestHead,
        caller: &str,
    ) -> Result<PolicyDecision, PolicyError> {
        let program = match route.kind {
            RouteKind::Repeatable => &self.repeatable,
            RouteKind::AtMostOnce | RouteKind::Upload => &self.at_most_once,
            RouteKind::Download => &self.download,
        };
        let defaults = RouteDefaults {
            service: service.clone(),
            timeout: route.timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT),
            max_attempts: route.max_attempts.clamp(1, MAX_ATTEMPTS),
            priority: MAX_POLICY_PRIORITY.saturating_sub(priority) as u8,
        };
        program.plan(request_view(head, caller).with_route_defaults(defaults))
    }
}

fn request_view(head: &RawRequestHead, caller: &str) -> RequestView {
    let headers = head.headers.iter().filter_map(|field| {
        let value = std::str::from_utf8(&field.value).ok()?;
        Some((field.name.to_ascii_lowercase(), value.to_string()))
    });
    let query = head.target.split_once('?').map_or("", |(_, query)| query);
    RequestView::new(&head.method, head.path(), query, caller, headers.collect())
}
