//! A retry that has nowhere to go.
//!
//! A request that failed took a retry of the budget first and looked for another target then. Where all others
//! rested it was taken for nothing: of 202 refusals of three resting targets 43 were met by retries, and 98 requests were
//! refused since the budget was used up.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, counter_value, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::metrics::start_metrics;

#[test]
fn a_retry_that_has_nowhere_to_go_is_not_taken_from_the_budget() {
    start_metrics();
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    let targets = [
        TargetStandin::start("fails", "service", Script::Fails),
        TargetStandin::start("rests", "service", Script::Sheds),
    ];
    targets[1].set_answer_headers("Retry-After: 500\r\n");
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    while targets[1].requests().is_empty() {
        gateway.request("GET", "/r/x");
    }
    let before = counter_value("wingbridge_retries");
    for _ in 0..10 {
        assert_eq!(gateway.request("GET", "/r/x").status, 500, "the one that is left fails");
    }
    assert_eq!(counter_value("wingbridge_retries"), before);
}
