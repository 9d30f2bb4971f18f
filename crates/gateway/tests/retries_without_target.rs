//! Retries while no other target is eligible.
//!
//! A failed request took a retry from the budget before it looked for another target. If all others were backing off,
//! that retry was wasted: of 202 refusals by three targets that were backing off, 43 were answers to retries, and 98
//! requests were refused because the budget was used up.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, counter_value, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::metrics::start_metrics;

#[test]
fn a_retry_without_an_eligible_target_does_not_use_the_budget() {
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
        assert_eq!(
            gateway.request("GET", "/r/x").status,
            500,
            "only the failing target is eligible"
        );
    }
    assert_eq!(counter_value("wingbridge_retries"), before);
}
