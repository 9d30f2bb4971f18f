//! Checks that boxes obey the notices in targets' answers: draining and back-off.
//!
//! A notice binds the box that received the answer, whether that box was connected to the store or
//! not. Only a disturbance of that box itself is an excuse.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{Arrival, NoticeRecord, TargetNotice};

use crate::callers::{CallerEnd, CallerRecord};
use crate::checks::{MAX_CHANGE_TIME, SoakEvidence};
use crate::spans::SpanScope;

/// Time after the notice within which a request may have been sent before the notice was received.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests that a box may send to the target after that and within the back-off.
const MAX_SENDS_IN_BACKOFF: usize = 2;

/// Finds requests that reached a target more than [`MAX_CHANGE_TIME`] after their box had relayed
/// an answer in which the target announced that it was draining.
pub(crate) fn sent_to_draining(evidence: &SoakEvidence) -> Vec<String> {
    let records = records_by_id(evidence);
    let was_relayed = |notice: &&NoticeRecord| {
        notice.notice == TargetNotice::Draining
            && records.get(notice.request.as_str()).is_some_and(|record| was_answered(record))
    };
    let mut first_notices: HashMap<(usize, &str), Instant> = HashMap::new();
    for notice in evidence.notices.iter().filter(was_relayed) {
        let Some(index) = evidence.sender_of(&notice.request) else { continue };
        let first = first_notices.entry((index, &notice.target)).or_insert(notice.at);
        *first = notice.at.min(*first);
    }
    let mut cases = Vec::new();
    for arrival in evidence.arrivals.iter().filter(|arrival| !arrival.is_for_other) {
        let Some(index) = evidence.sender_of(&arrival.request) else { continue };
        let Some(notified) = first_notices.get(&(index, arrival.target.as_str())) else { continue };
        let until = *notified + MAX_CHANGE_TIME + evidence.margin;
        let sent = records.get(arrival.request.as_str()).map(|record| record.sent);
        if sent.is_some_and(|sent| sent > until)
            && !was_disturbed(evidence, index, *notified, arrival)
        {
            let after = (arrival.at - *notified).as_millis();
            cases.push(format!(
                "{} at {} {after} ms after its word",
                arrival.request, arrival.target
            ));
        }
    }
    cases
}

/// Finds back-offs during which a box sent more requests to the target than
/// [`MAX_SENDS_IN_BACKOFF`].
pub(crate) fn sent_during_backoff(evidence: &SoakEvidence) -> Vec<String> {
    let records = records_by_id(evidence);
    let mut cases = Vec::new();
    for notice in &evidence.notices {
        let TargetNotice::Backoff(backoff) = notice.notice else { continue };
        let Some(index) = evidence.sender_of(&notice.request) else { continue };
        let from = notice.at + IN_FLIGHT_TIME;
        let sent = evidence.arrivals.iter().filter(|arrival| {
            let sent = records.get(arrival.request.as_str()).map(|record| record.sent);
            arrival.target == notice.target
                && evidence.sender_of(&arrival.request) == Some(index)
                && arrival.at < notice.at + backoff
                // A request that was sent earlier may have been delayed by a disturbed relay.
                && sent.is_some_and(|sent| sent > from)
                && !was_disturbed(evidence, index, notice.at, arrival)
        });
        let sent = sent.count();
        if sent > MAX_SENDS_IN_BACKOFF {
            let backoff_ms = backoff.as_millis();
            cases.push(format!("{}: {sent} of box {index} within {backoff_ms} ms", notice.target));
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

/// Returns whether the box was disturbed or stopped between a notice and an arrival.
pub(crate) fn was_disturbed(
    evidence: &SoakEvidence,
    index: usize,
    notified: Instant,
    arrival: &Arrival,
) -> bool {
    let scopes = [SpanScope::Box(index), SpanScope::PlannedStop(index)];
    scopes.iter().any(|scope| evidence.spans.overlaps(scope, notified, arrival.at))
}
