//! Retries of one box, paid with what its peer holds.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::Duration;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, own_host, route};
use wingbridge_gateway::routes::RouteKind;

/// Window of the retry budget, which boxes spend nothing of the slack in after their start.
const WINDOW: Duration = Duration::from_secs(6);
/// Slack of which each of the 40 boxes that are assumed at least may use 1.7 retries.
const SLACK: f64 = 80.0;
/// Lookups that are sent, each of which wants two retries.
const LOOKUPS: usize = 6;

struct CreditCase {
    name: &'static str,
    has_peer: bool,
    /// Retries that all lookups together get.
    retries: usize,
}

const CREDIT_CASES: &[CreditCase] = &[
    CreditCase { name: "a box alone", has_peer: false, retries: 1 },
    CreditCase { name: "beside a peer that needs none", has_peer: true, retries: 3 },
];

/// Guards against lookups that are lost at the box where failures occur while its peers have retries to spare.
#[test]
fn box_that_lacks_retries_gets_those_of_its_peer() {
    for case in CREDIT_CASES {
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
        let targets = [
            TargetStandin::start("one", "service", Script::Fails),
            TargetStandin::start("two", "service", Script::Fails),
        ];
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let start = |host: IpAddr, seeds: &[IpAddr]| {
            BoxUnderTest::start_at(host, store.port(true), seeds, |settings| {
                settings.retry_share = 0.0;
                settings.retry_slack = SLACK;
                settings.retry_window = WINDOW;
            })
        };
        let (host, peer_host) = (own_host(), own_host());
        let gateway = start(host, &[peer_host]);
        let peer = case.has_peer.then(|| start(peer_host, &[host]));
        gateway.wait_ready();
        peer.iter().for_each(|peer| {
            peer.wait_ready();
        });
        thread::sleep(WINDOW);
        (0..LOOKUPS).for_each(|_| {
            gateway.request("GET", "/r/x");
        });
        let sent: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!(sent - LOOKUPS, case.retries, "{}", case.name);
    }
}
