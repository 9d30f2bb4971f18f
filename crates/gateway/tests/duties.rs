//! Background tasks that panic go on.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, route};
use wingbridge_gateway::routes::RouteKind;

struct PanicCase {
    name: &'static str,
    /// Length in bytes of what the configurations are filled up with; large ones are read by a duty of their own.
    padding: usize,
}

const PANIC_CASES: &[PanicCase] = &[
    PanicCase { name: "targets and configuration in one reading", padding: 0 },
    PanicCase { name: "a configuration that is read on its own", padding: 200_000 },
];

/// A panic while the store was read ended the reading for good, and the box served on by what it knew.
#[test]
fn box_reads_the_store_again_after_a_panic() {
    for case in PANIC_CASES {
        let target = TargetStandin::start("t", "service", Script::Good);
        let store = StoreStandin::default();
        store.set_padding(case.padding);
        store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
        store.put_targets(vec![target.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        store.set_panicking(true);
        eventually("a reading has panicked", || store.panicked() > 0);
        assert_eq!(gateway.request("GET", "/r/x").status, 200, "{}", case.name);
        store.set_panicking(false);
        store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
        eventually("the change is in force", || gateway.request("GET", "/later/x").status == 200);
    }
}
