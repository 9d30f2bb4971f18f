//! Retries while overload control is on.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, counter_value, route};
use wingbridge_gateway::OverloadControl;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::metrics::start_metrics;

const REQUESTS: usize = 20;

struct RetryCase {
    name: &'static str,
    slack: f64,
    /// Counter that the case increments.
    counter: &'static str,
    /// Number of sends of a request that both targets refuse.
    sends: usize,
}

const CASES: &[RetryCase] = &[
    RetryCase {
        name: "a refused order is sent again",
        slack: 10_000.0,
        counter: "wingbridge_retries_taken{use=\"refused\"}",
        sends: 2,
    },
    RetryCase {
        name: "an empty budget is counted as such",
        slack: 0.0,
        counter: "wingbridge_retries_withheld{cause=\"used_up\"}",
        sends: 1,
    },
];

/// Guards against a setting that does not reach the budget, and against retries that no metric counts.
#[test]
fn retries_are_counted_by_use_and_by_cause() {
    start_metrics();
    for case in CASES {
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        let targets = [
            TargetStandin::start("refuses", "service", Script::Sheds),
            TargetStandin::start("refuses-too", "service", Script::Sheds),
        ];
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
            settings.overload = OverloadControl::On;
            settings.retry_share = 0.0;
            settings.retry_slack = case.slack;
        });
        gateway.wait_ready();
        let before = counter_value(case.counter);
        for _ in 0..REQUESTS {
            assert_eq!(gateway.request("POST", "/r/x").status, 503, "{}", case.name);
        }
        let sends: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!(sends, case.sends * REQUESTS, "{}", case.name);
        assert!(counter_value(case.counter) > before, "{}", case.name);
    }
}
