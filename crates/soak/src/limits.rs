//! Checks of limits that targets named: what all boxes together sent them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::TargetNotice;

use crate::checks::{SoakEvidence, box_of};
use crate::notices::{records_by_id, was_answered, was_disturbed};

/// The time over which arrivals are counted, from when on after a limit was named, and after how
/// long a box that passed on such an answer counts. Source: the users' rules.
const WINDOW: Duration = Duration::from_secs(4);
const NEWS_TIME: Duration = Duration::from_secs(3);
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Arrivals that are allowed in it, in multiples of what the limit allows, and beyond that.
const ALLOWED_TIMES: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// A time in which a target named a limit in its answers.
struct LimitSpan {
    per_second: f64,
    first: Instant,
    last: Instant,
}

/// Targets that got more than the limits allow that they had named, of boxes that had passed that on.
pub(crate) fn above_limit(evidence: &SoakEvidence) -> Vec<String> {
    let spans = spans_by_target(evidence);
    let told = told_boxes(evidence);
    let mut cases = Vec::new();
    for (target, spans) in &spans {
        let counted = evidence.arrivals.iter().filter(|arrival| {
            let index = box_of(&arrival.request);
            let told = index.and_then(|index| told.get(&(index, target.as_str())));
            let was_told = told.is_some_and(|told| arrival.at >= *told + TOLD_TIME);
            let disturbed = |index| was_disturbed(evidence, index, spans[0].first, arrival);
            arrival.target == *target && was_told && !index.is_some_and(disturbed)
        });
        let arrivals: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
        if let Some((count, allowed)) = worst_window(&arrivals, spans, evidence.margin) {
            cases.push(format!("{target}: {count} in 4 s, allowed {allowed:.0}"));
        }
    }
    cases
}

/// The first window with more than is allowed, and what is.
fn worst_window(
    arrivals: &[Instant],
    spans: &[LimitSpan],
    margin: Duration,
) -> Option<(usize, f64)> {
    arrivals.iter().find_map(|end| {
        let start = end.checked_sub(WINDOW)?;
        let whole =
            spans.iter().any(|span| span.first + NEWS_TIME + margin <= start && *end <= span.last);
        let touched = spans.iter().filter(|span| span.first <= *end && start <= span.last);
        let rate = touched.map(|span| span.per_second).fold(0.0, f64::max);
        let allowed = ALLOWED_TIMES * rate * WINDOW.as_secs_f64() + ALLOWED_MORE;
        let count = arrivals.iter().filter(|at| **at > start && *at <= end).count();
        (whole && count as f64 > allowed).then_some((count, allowed))
    })
}

fn spans_by_target(evidence: &SoakEvidence) -> BTreeMap<String, Vec<LimitSpan>> {
    let mut spans: BTreeMap<String, Vec<LimitSpan>> = BTreeMap::new();
    for notice in &evidence.notices {
        let TargetNotice::Limit(millionths) = notice.notice else { continue };
        let per_second = millionths as f64 / 1e6;
        let named = spans.entry(notice.target.clone()).or_default();
        match named.last_mut().filter(|span| span.per_second == per_second) {
            Some(span) => span.last = notice.at,
            None => named.push(LimitSpan { per_second, first: notice.at, last: notice.at }),
        }
    }
    spans
}

/// When boxes first passed on an answer by which a target named a limit.
fn told_boxes(evidence: &SoakEvidence) -> HashMap<(usize, &str), Instant> {
    let records = records_by_id(evidence);
    let answered: HashSet<&str> =
        records.iter().filter(|(_, record)| was_answered(record)).map(|(id, _)| *id).collect();
    let mut told = HashMap::new();
    for notice in &evidence.notices {
        let named = matches!(notice.notice, TargetNotice::Limit(_));
        if let Some(index) = box_of(&notice.request)
            && named
            && answered.contains(notice.request.as_str())
        {
            told.entry((index, notice.target.as_str())).or_insert(notice.at);
        }
    }
    told
}
