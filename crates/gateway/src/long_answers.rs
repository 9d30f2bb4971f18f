//! Routes whose answers may be passed on before all of them is known to come.
//!
//! If such an answer breaks off, its connection must be closed, and requests behind it on that connection get no answer.
//! So none is sent to a target before it is through.

use std::collections::HashSet;
use std::sync::Mutex;

use wingbridge_decide::Name;

use crate::context::lock;
use crate::routes::{Route, RouteKind};

/// Maximum number of routes that are remembered; the planned size has 6,000 routes, a part of them with long answers.
const MAX_ROUTES: usize = 8192;

/// The routes that had a long answer in the life of this box.
#[derive(Debug, Default)]
pub(crate) struct LongAnswers {
    routes: Mutex<HashSet<Name>>,
}

impl LongAnswers {
    /// Records that an answer of the route named `route` was passed on before all of it had come.
    pub(crate) fn record(&self, route: &Name) {
        let mut routes = lock(&self.routes);
        if routes.len() < MAX_ROUTES && routes.insert(route.clone()) {
            log::info!(route:% = route; "long-answers-expected");
        }
    }

    /// Returns whether answers of `route` may be long.
    pub(crate) fn may_be_long(&self, route: &Route) -> bool {
        route.kind == RouteKind::Download || lock(&self.routes).contains(&route.name)
    }
}
