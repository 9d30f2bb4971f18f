//! Whether a box detects that a target which closed a connection without an answer has ended.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, counter_value, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::metrics::start_metrics;

struct EndCase {
    name: &'static str,
    script: Script,
    /// Number of targets that the box counts as ended.
    ended: u64,
}

const CASES: &[EndCase] = &[
    EndCase { name: "the target ended", script: Script::Crashes, ended: 1 },
    EndCase { name: "its answer was lost", script: Script::ClosesUnanswered, ended: 0 },
    EndCase { name: "its answer was cut short", script: Script::Truncated, ended: 0 },
    EndCase { name: "it failed", script: Script::Fails, ended: 0 },
];

/// The logs gave "closed before an answer" both for targets that had ended and for answers that were lost on the
/// way, so that 18 ended targets could be recognized only by later refusals of connections.
#[test]
fn an_ended_target_is_distinguished_from_a_lost_answer() {
    start_metrics();
    for case in CASES {
        let target = TargetStandin::start("t", "service", case.script);
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        store.put_targets(vec![target.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        let before = counter_value("wingbridge_targets_ended");
        let reply = gateway.request("POST", "/r/x");
        assert!(reply.status >= 500, "{}: {}", case.name, reply.status);
        let ended = counter_value("wingbridge_targets_ended") - before;
        assert_eq!(ended, case.ended, "{}", case.name);
    }
}
