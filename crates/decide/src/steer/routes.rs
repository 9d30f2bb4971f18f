//! What is typical for each route.
//!
//! Routes to one service differ in their work, some by a factor of twenty, so an attempt's
//! age says something only beside what is typical for its route. Some routes have less time
//! than their work takes, wherever they go: what runs out of time there speaks of the
//! route, and would make each target that it meets a suspect: two requests a second of one
//! such route, which never came back in time, did so at a service of ten targets.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::steer::average::RunningAverage;

/// Routes that are remembered; beyond it all are forgotten. Source: 6,000 routes are planned for.
const ROUTES_MOST: usize = 10_000;
/// Answers over which a route's typical time is averaged: the work of single requests varies
/// by a factor of two and more.
const SETTLED: f64 = 50.0;
/// Answers from which on a route's typical time is known well enough.
const KNOWN_FROM: u32 = 3;
/// Attempts of a route that are remembered: its time or its work may change.
const REMEMBERED: u32 = 20;

/// How attempts of each route ended at this box.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    routes: HashMap<Name, RouteRecord>,
}

#[derive(Debug)]
struct RouteRecord {
    typical: RunningAverage,
    answered: u32,
    out_of_time: u32,
}

impl RouteTable {
    /// The typical time of an attempt of the route, if it is known.
    pub(crate) fn typical_time(&self, route: &str) -> Option<Duration> {
        let record = self.routes.get(route)?;
        let known = record.answered >= KNOWN_FROM;
        record.typical.get().filter(|_| known).map(Duration::from_secs_f64)
    }

    /// Whether attempts of the route mostly come back in its time.
    pub(crate) fn is_informative(&self, route: &str) -> bool {
        let record = self.routes.get(route);
        record.is_some_and(|record| {
            record.answered >= KNOWN_FROM && record.answered >= record.out_of_time
        })
    }

    /// Counts an attempt that came back after `time`.
    pub(crate) fn note_answer(&mut self, route: &Name, time: Duration) {
        let record = self.record(route);
        record.typical.add(time.as_secs_f64());
        record.answered += 1;
        record.forget();
    }

    /// Counts an attempt that ran out of time.
    pub(crate) fn note_out_of_time(&mut self, route: &Name) {
        let record = self.record(route);
        record.out_of_time += 1;
        record.forget();
    }

    fn record(&mut self, route: &Name) -> &mut RouteRecord {
        if self.routes.len() >= ROUTES_MOST && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_insert_with(|| RouteRecord {
            typical: RunningAverage::new(SETTLED),
            answered: 0,
            out_of_time: 0,
        })
    }
}

impl RouteRecord {
    fn forget(&mut self) {
        if self.answered + self.out_of_time > REMEMBERED {
            self.answered /= 2;
            self.out_of_time /= 2;
        }
    }
}
