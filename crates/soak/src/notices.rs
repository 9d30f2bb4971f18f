//! Checks of what targets said of themselves: that they leave, and for how long they want nothing.
//!
//! Both bind the box that got the answer, in touch or not; only what happened to that box itself
//! excuses it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{Arrival, NoticeRecord, TargetNotice};

use crate::callers::{CallerEnd, CallerRecord};
use crate::checks::{CHANGE_TIME, SoakEvidence, box_of};
use crate::spans::SpanScope;

/// What was on its way when a target asked for rest, and how many more it may get. Source: the
/// users' pages.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const SENDS_IN_REST: usize = 2;

/// Requests that reached a target long after their box had passed on its word that it leaves.
pub(crate) fn after_word(evidence: &SoakEvidence) -> Vec<String> {
    let records = records_by_id(evidence);
    let passed_on = |notice: &&NoticeRecord| {
        notice.notice == TargetNotice::Draining
            && records.get(notice.request.as_str()).is_some_and(|record| was_answered(record))
    };
    let mut firsts: HashMap<(usize, &str), Instant> = HashMap::new();
    for notice in evidence.notices.iter().filter(passed_on) {
        let Some(index) = box_of(&notice.request) else { continue };
        let first = firsts.entry((index, &notice.target)).or_insert(notice.at);
        *first = notice.at.min(*first);
    }
    let mut cases = Vec::new();
    for arrival in &evidence.arrivals {
        let Some(index) = box_of(&arrival.request) else { continue };
        let Some(told) = firsts.get(&(index, arrival.target.as_str())) else { continue };
        let until = *told + CHANGE_TIME + evidence.margin;
        let sent = records.get(arrival.request.as_str()).map(|record| record.sent);
        if sent.is_some_and(|sent| sent > until) && !was_disturbed(evidence, index, *told, arrival)
        {
            let after = (arrival.at - *told).as_millis();
            cases.push(format!(
                "{} at {} {after} ms after its word",
                arrival.request, arrival.target
            ));
        }
    }
    cases
}

/// Requests of a box that reached a target within the rest that it had asked that box for, beyond
/// those that may.
pub(crate) fn sent_in_rest(evidence: &SoakEvidence) -> Vec<String> {
    let records = records_by_id(evidence);
    let mut cases = Vec::new();
    for notice in &evidence.notices {
        let TargetNotice::Backoff(rest) = notice.notice else { continue };
        let Some(index) = box_of(&notice.request) else { continue };
        let from = notice.at + ON_THE_WAY;
        let sent = evidence.arrivals.iter().filter(|arrival| {
            let asked = records.get(arrival.request.as_str()).map(|record| record.sent);
            arrival.target == notice.target
                && box_of(&arrival.request) == Some(index)
                && arrival.at < notice.at + rest
                // One that was sent before may have been held up on a disturbed path.
                && asked.is_some_and(|asked| asked > from)
                && !was_disturbed(evidence, index, notice.at, arrival)
        });
        let sent = sent.count();
        if sent > SENDS_IN_REST {
            let rest_ms = rest.as_millis();
            cases.push(format!("{}: {sent} of box {index} within {rest_ms} ms", notice.target));
        }
    }
    cases
}

pub(crate) fn records_by_id(evidence: &SoakEvidence) -> HashMap<&str, &CallerRecord> {
    evidence.records.iter().map(|record| (record.id.as_str(), record)).collect()
}

pub(crate) fn was_answered(record: &CallerRecord) -> bool {
    matches!(record.end, CallerEnd::Answered(_, _))
}

/// Whether the box stood still or started anew between a notice and an arrival.
pub(crate) fn was_disturbed(
    evidence: &SoakEvidence,
    index: usize,
    told: Instant,
    arrival: &Arrival,
) -> bool {
    let scopes = [SpanScope::Box(index), SpanScope::PlannedStop(index)];
    scopes.iter().any(|scope| evidence.spans.touches(scope, told, arrival.at))
}
