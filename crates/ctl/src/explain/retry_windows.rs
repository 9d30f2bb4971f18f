//! The windows in which the boxes together made the most retries.
//!
//! The bound on retries holds for all boxes and any window, and no single box sees all of it. What targets received
//! beyond the first time, beside what the boxes allowed, tells sends that were not charged from a budget that was
//! spent twice. The requests of each data centre, in the window and before it, show whether callers have moved.

use std::collections::BTreeMap;

use serde::Serialize;

use super::log_line::RequestLine;

/// Length of a window in milliseconds: the usual one of operators.
const WINDOW_MS: i64 = 10_000;
/// Length in milliseconds of the steps by which windows begin.
const STEP_MS: i64 = 100;
/// Number of steps of a window.
const WINDOW_STEPS: i64 = WINDOW_MS / STEP_MS;

/// Log line of the retries that a box allowed since its line before.
#[derive(Debug, Clone)]
pub(super) struct RetriesLine {
    /// Milliseconds since 1970.
    pub(super) at_ms: i64,
    pub(super) service: String,
    pub(super) allowed: u32,
}

/// The window of a service in which the most requests reached a further target.
#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
pub struct RetryWindowRow {
    /// Name of the service.
    pub service: String,
    /// Begin of the window in milliseconds since 1970.
    pub since_ms: i64,
    /// How often a target received a request that another one had received before.
    pub further_sends: u32,
    /// Retries that the boxes allowed, by lines that each sums up a second.
    pub allowed: u32,
    /// The data centres of the boxes, in the order of their names.
    pub centres: Vec<CentreRow>,
}

/// The requests of the boxes of one data centre in a window.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct CentreRow {
    /// Name of the data centre; empty if the logs don't have it.
    pub data_centre: String,
    /// Requests that ended in the window.
    pub requests: u32,
    /// Requests that ended in the window before it.
    pub requests_before: u32,
    /// How often a target received a request that another one had received before.
    pub further_sends: u32,
}

/// Counts what each service's requests and boxes did, by time.
#[derive(Debug, Default)]
pub(super) struct RetryWindows {
    services: BTreeMap<String, BTreeMap<i64, StepCounts>>,
}

#[derive(Debug, Default)]
struct StepCounts {
    allowed: u32,
    centres: BTreeMap<String, SendCounts>,
}

#[derive(Debug, Clone, Copy, Default)]
struct SendCounts {
    requests: u32,
    further_sends: u32,
}

impl RetryWindows {
    pub(super) fn record_request(&mut self, line: &RequestLine, data_centre: Option<&str>) {
        let step = self.step(&line.service, line.ended_ms);
        let centre = step.centres.entry(data_centre.unwrap_or_default().to_string()).or_default();
        centre.requests += 1;
        centre.further_sends += line.deliveries.saturating_sub(1);
    }

    pub(super) fn record_retries(&mut self, line: &RetriesLine) {
        self.step(&line.service, line.at_ms).allowed += line.allowed;
    }

    /// Returns the worst window of each service with further sends.
    pub(super) fn rows(self) -> Vec<RetryWindowRow> {
        let services = self.services.into_iter();
        services.filter_map(|(service, steps)| worst_window(service, &steps)).collect()
    }

    fn step(&mut self, service: &str, at_ms: i64) -> &mut StepCounts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_string(), BTreeMap::new());
        }
        let steps = self.services.get_mut(service).expect("the service was just inserted");
        steps.entry(at_ms.div_euclid(STEP_MS)).or_default()
    }
}

fn worst_window(service: String, steps: &BTreeMap<i64, StepCounts>) -> Option<RetryWindowRow> {
    let sends = |from: i64| -> u32 {
        let window = steps.range(from..from + WINDOW_STEPS);
        window.flat_map(|(_, step)| step.centres.values()).map(|one| one.further_sends).sum()
    };
    // The first of several equal ones.
    let starts = steps.keys().rev().map(|from| (*from, sends(*from)));
    let (from, further_sends) = starts.max_by_key(|(_, sends)| *sends)?;
    if further_sends == 0 {
        return None;
    }
    let mut centres: BTreeMap<&str, CentreRow> = BTreeMap::new();
    let mut allowed = 0;
    for (at, step) in steps.range(from - WINDOW_STEPS..from + WINDOW_STEPS) {
        let is_before = *at < from;
        allowed += if is_before { 0 } else { step.allowed };
        for (name, counts) in &step.centres {
            let centre = centres.entry(name).or_default();
            if is_before {
                centre.requests_before += counts.requests;
            } else {
                centre.requests += counts.requests;
                centre.further_sends += counts.further_sends;
            }
        }
    }
    let named = centres.into_iter();
    let centres =
        named.map(|(name, row)| CentreRow { data_centre: name.to_string(), ..row }).collect();
    let since_ms = from * STEP_MS;
    Some(RetryWindowRow { service, since_ms, further_sends, allowed, centres })
}
