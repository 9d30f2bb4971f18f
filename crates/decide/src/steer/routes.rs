//! Typical latency and outcomes of the attempts of each route.
//!
//! Routes to one service differ in their work, some by a factor of twenty, so the age of an attempt is
//! evidence only relative to the typical time of its route. Some routes have a deadline that is shorter
//! than their work, whichever target they go to. Their time-outs are a property of the route and must not
//! count against targets: otherwise two requests a second of one such route, none of which was ever
//! answered in time, made suspects of the targets of a service of ten.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::steer::average::RunningAverage;

/// Number of routes at which the table is cleared to bound its memory; deployments plan for 6,000 routes.
const MAX_ROUTES: usize = 10_000;
/// Number of answers over which the typical time of a route is averaged: the work of single requests
/// varies by a factor of two and more.
const AVERAGE_WINDOW: f64 = 50.0;
/// Minimum number of answers at which the typical time of a route is known.
const MIN_ANSWERS: u32 = 3;
/// Number of attempts of a route above which its counts are halved, since its deadline or its work may
/// change.
const MAX_COUNTED_ATTEMPTS: u32 = 20;

/// Typical latency and outcomes of the attempts of each route at this box.
#[derive(Debug, Default)]
pub(crate) struct RouteStats {
    routes: HashMap<Name, RouteEntry>,
}

#[derive(Debug)]
struct RouteEntry {
    typical: RunningAverage,
    answered: u32,
    deadline_exceeded: u32,
}

impl RouteStats {
    /// Returns the typical time of an attempt of the route, if it is known.
    pub(crate) fn typical_time(&self, route: &str) -> Option<Duration> {
        let entry = self.routes.get(route)?;
        let known = entry.answered >= MIN_ANSWERS;
        entry.typical.get().filter(|_| known).map(Duration::from_secs_f64)
    }

    /// Returns whether the age of an attempt of the route is evidence about its target: it is if at
    /// least as many attempts were answered as exceeded their deadline.
    pub(crate) fn is_informative(&self, route: &str) -> bool {
        let entry = self.routes.get(route);
        entry.is_some_and(|entry| {
            entry.answered >= MIN_ANSWERS && entry.answered >= entry.deadline_exceeded
        })
    }

    /// Counts an attempt that was answered after `time`.
    pub(crate) fn record_answer(&mut self, route: &Name, time: Duration) {
        let entry = self.entry(route);
        entry.typical.add(time.as_secs_f64());
        entry.answered += 1;
        entry.limit_counts();
    }

    /// Counts an attempt that exceeded its deadline.
    pub(crate) fn record_deadline_exceeded(&mut self, route: &Name) {
        let entry = self.entry(route);
        entry.deadline_exceeded += 1;
        entry.limit_counts();
    }

    /// Returns the entry of the route, and creates it if there is none.
    fn entry(&mut self, route: &Name) -> &mut RouteEntry {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_insert_with(|| RouteEntry {
            typical: RunningAverage::new(AVERAGE_WINDOW),
            answered: 0,
            deadline_exceeded: 0,
        })
    }
}

impl RouteEntry {
    /// Halves the counts once they exceed [`MAX_COUNTED_ATTEMPTS`].
    fn limit_counts(&mut self) {
        if self.answered + self.deadline_exceeded > MAX_COUNTED_ATTEMPTS {
            self.answered /= 2;
            self.deadline_exceeded /= 2;
        }
    }
}
