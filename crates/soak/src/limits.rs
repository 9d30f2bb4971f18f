//! Checks that all boxes together respect the limits that targets announce.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::TargetNotice;

use crate::checks::SoakEvidence;
use crate::notices::{records_by_id, was_answered, was_disturbed};

/// Time window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement of a limit from which on it must be respected.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time after a box relayed an answer with a limit from which on its requests are counted.
const APPLY_TIME: Duration = Duration::from_millis(500);
/// Arrivals that are allowed in the window, as a multiple of what the limit allows.
const ALLOWED_FACTOR: f64 = 1.5;
/// Arrivals that are allowed in the window beyond that multiple.
const ALLOWED_EXTRA: f64 = 5.0;

/// A time span in which a target announced the same limit in its answers.
struct LimitSpan {
    per_second: f64,
    first: Instant,
    last: Instant,
}

/// Finds targets that got more requests than their announced limits allow. Only requests of boxes
/// that had relayed an announcement are counted.
pub(crate) fn above_limit(evidence: &SoakEvidence) -> Vec<String> {
    let spans = spans_by_target(evidence);
    let reports = first_reports(evidence);
    let mut cases = Vec::new();
    for (target, spans) in &spans {
        let counted = evidence.arrivals.iter().filter(|arrival| {
            let index = evidence.sender_of(&arrival.request);
            let reported = index.and_then(|index| reports.get(&(index, target.as_str())));
            let bound = reported.is_some_and(|reported| arrival.at >= *reported + APPLY_TIME);
            let disturbed = |index| was_disturbed(evidence, index, spans[0].first, arrival);
            arrival.target == *target && bound && !index.is_some_and(disturbed)
        });
        let arrivals: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
        if let Some((count, allowed)) = first_excessive_window(&arrivals, spans, evidence.margin) {
            cases.push(format!("{target}: {count} in 4 s, allowed {allowed:.0}"));
        }
    }
    cases
}

/// Returns the number of arrivals in the first window that has too many, and the allowed number.
fn first_excessive_window(
    arrivals: &[Instant],
    spans: &[LimitSpan],
    margin: Duration,
) -> Option<(usize, f64)> {
    arrivals.iter().find_map(|end| {
        let start = end.checked_sub(WINDOW)?;
        let covered = spans
            .iter()
            .any(|span| span.first + PROPAGATION_TIME + margin <= start && *end <= span.last);
        let overlapping = spans.iter().filter(|span| span.first <= *end && start <= span.last);
        let rate = overlapping.map(|span| span.per_second).fold(0.0, f64::max);
        let allowed = ALLOWED_FACTOR * rate * WINDOW.as_secs_f64() + ALLOWED_EXTRA;
        let count = arrivals.iter().filter(|at| **at > start && *at <= end).count();
        (covered && count as f64 > allowed).then_some((count, allowed))
    })
}

fn spans_by_target(evidence: &SoakEvidence) -> BTreeMap<String, Vec<LimitSpan>> {
    let mut spans: BTreeMap<String, Vec<LimitSpan>> = BTreeMap::new();
    for notice in &evidence.notices {
        let TargetNotice::Limit(millionths) = notice.notice else { continue };
        let per_second = millionths as f64 / 1e6;
        let of_target = spans.entry(notice.target.clone()).or_default();
        match of_target.last_mut().filter(|span| span.per_second == per_second) {
            Some(span) => span.last = notice.at,
            None => of_target.push(LimitSpan { per_second, first: notice.at, last: notice.at }),
        }
    }
    spans
}

/// Returns when each box first relayed an answer with a limit of each target.
fn first_reports(evidence: &SoakEvidence) -> HashMap<(usize, &str), Instant> {
    let records = records_by_id(evidence);
    let answered: HashSet<&str> =
        records.iter().filter(|(_, record)| was_answered(record)).map(|(id, _)| *id).collect();
    let mut reports = HashMap::new();
    for notice in &evidence.notices {
        let has_limit = matches!(notice.notice, TargetNotice::Limit(_));
        if let Some(index) = evidence.sender_of(&notice.request)
            && has_limit
            && answered.contains(notice.request.as_str())
        {
            reports.entry((index, notice.target.as_str())).or_insert(notice.at);
        }
    }
    reports
}
