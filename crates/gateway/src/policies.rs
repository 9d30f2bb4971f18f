//! The policies that wingbridge ships for the kinds of routes.
//!
//! A route table says what kind of requests a route takes, and its figures; the policy
//! program of that kind says how such requests are handled. The programs stand in
//! `policies/`, in the language that operators write theirs in.

use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_http::raw::RawRequestHead;
use wingbridge_policy::{PolicyDecision, PolicyError, PolicyProgram, RequestView, RouteDefaults};

use crate::routes::{Route, RouteKind};

/// The highest rank of a policy; routes count theirs the other way, from 0.
const TOP_PRIORITY: u32 = 255;

/// What programs can say of times and attempts; a table that asks for more gets the most.
const LEAST_TIME: Duration = Duration::from_millis(1);
const MOST_TIME: Duration = Duration::from_secs(3600);
const MOST_ATTEMPTS: u32 = 10;

/// One compiled program for each kind.
#[derive(Debug)]
pub(crate) struct PolicySet {
    repeatable: PolicyProgram,
    at_most_once: PolicyProgram,
    download: PolicyProgram,
}

impl PolicySet {
    /// Compiles the programs.
    ///
    /// # Errors
    /// One of them is faulty, which a test would have shown.
    pub(crate) fn compile() -> Result<PolicySet, PolicyError> {
        Ok(PolicySet {
            repeatable: PolicyProgram::compile(include_str!("../policies/repeatable.rhai"))?,
            at_most_once: PolicyProgram::compile(include_str!("../policies/at-most-once.rhai"))?,
            download: PolicyProgram::compile(include_str!("../policies/download.rhai"))?,
        })
    }

    /// What the policy of the route's kind says of a request that goes to `service` with the
    /// rank `priority`; 0 is the highest.
    ///
    /// # Errors
    /// The program failed at run time.
    pub(crate) fn plan(
        &self,
        route: &Route,
        service: &Name,
        priority: u32,
        start: &RawRequestHead,
        caller: &str,
    ) -> Result<PolicyDecision, PolicyError> {
        let program = match route.kind {
            RouteKind::Repeatable => &self.repeatable,
            RouteKind::AtMostOnce | RouteKind::Upload => &self.at_most_once,
            RouteKind::Download => &self.download,
        };
        let defaults = RouteDefaults {
            service: service.clone(),
            timeout: route.timeout.clamp(LEAST_TIME, MOST_TIME),
            max_attempts: route.max_attempts.clamp(1, MOST_ATTEMPTS),
            priority: TOP_PRIORITY.saturating_sub(priority) as u8,
        };
        program.plan(view(start, caller).with_route_defaults(defaults))
    }
}

fn view(start: &RawRequestHead, caller: &str) -> RequestView {
    let headers = start.headers.iter().filter_map(|field| {
        let value = std::str::from_utf8(&field.value).ok()?;
        Some((field.name.to_ascii_lowercase(), value.to_string()))
    });
    let query = start.target.split_once('?').map_or("", |(_, query)| query);
    RequestView::new(&start.method, start.path(), query, caller, headers.collect())
}
