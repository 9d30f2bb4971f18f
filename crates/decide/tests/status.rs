//! What the log tells of retry budgets and idle targets.

mod steering;

use std::time::Duration;

use steering::{SERVICE, at, core_with_healthy_targets, report_failure, report_success};
use wingbridge_decide::steer::RetryUse;
use wingbridge_decide::steer::ledger::{RetryCounts, RetryDecisions};

#[test]
fn retry_status_tells_what_a_decision_was_based_on() {
    let mut core = core_with_healthy_targets(&[("a", "near")], at(20_000));
    assert!(core.take_retry_status(at(20_000)).is_empty(), "nothing was decided");
    (0..40).for_each(|_| core.record_request(at(20_000), SERVICE));
    let reported = RetryCounts { requests: 10, retries: 3, ..RetryCounts::default() };
    core.merge_retry_counts(at(19_400), 1, SERVICE, reported);
    let allowed = (0..100).filter(|_| core.spend_retry(at(20_000), SERVICE, RetryUse::Repeat));
    let allowed = allowed.count() as u32;
    let statuses = core.take_retry_status(at(20_100));
    let [(service, status)] = statuses.as_slice() else { panic!("{statuses:?}") };
    assert_eq!(&**service, SERVICE);
    assert_eq!(status.decisions, RetryDecisions { allowed, refused: 0, lacking: 100 - allowed });
    assert_eq!((status.own.requests, status.own.retries), (40, allowed));
    assert_eq!((status.peers.requests, status.peers.retries), (10, 3));
    assert_eq!((status.reporting, status.oldest_report), (1, Duration::from_millis(700)));
    assert!(core.take_retry_status(at(20_200)).is_empty(), "all was told");
}

#[test]
fn idle_status_names_services_with_many_idle_targets() {
    let ids = ["a", "b", "c", "d"];
    let near: Vec<(&str, &str)> = ids.iter().map(|id| (*id, "near")).collect();
    let mut core = core_with_healthy_targets(&near, at(20_000));
    report_failure(&mut core, at(20_000), "a");
    assert!(core.idle_status(at(21_900), 4).is_empty(), "no target is idle yet");
    let now = at(22_500);
    ["c", "d"].iter().for_each(|id| report_success(&mut core, now, id, 1));
    let statuses = core.idle_status(now, 4);
    let [status] = statuses.as_slice() else { panic!("{statuses:?}") };
    assert_eq!((status.eligible, status.idle, status.failed), (4, 2, 1));
    assert!(core.idle_status(now, 0).is_empty());
}
