//! Names that other writers choose, in the heads of requests to targets.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, customer, route};
use wingbridge_gateway::customers::CustomerTable;
use wingbridge_gateway::routes::{Route, RouteAccess, RouteConfig, RouteKind};

const KEY: &str = "key-of-the-customer";

struct NameCase {
    target: &'static str,
    customer: &'static str,
    /// Whether the names can be written into a head.
    is_sent: bool,
}

const CASES: &[NameCase] = &[
    NameCase { target: "t", customer: "c", is_sent: true },
    NameCase { target: "zlín", customer: "kůň", is_sent: true },
    NameCase { target: "t\r\nX-Evil: 1", customer: "c", is_sent: false },
    NameCase { target: "t\nX-Evil: 1", customer: "c", is_sent: false },
    NameCase {
        target: "t\r\n\r\nGET /r/smuggled HTTP/1.1\r\nX-Id: id-2",
        customer: "c",
        is_sent: false,
    },
    NameCase { target: "t\rX-Evil: 1", customer: "c", is_sent: false },
    NameCase { target: "t\u{0}", customer: "c", is_sent: false },
    NameCase { target: "t\u{7f}", customer: "c", is_sent: false },
    NameCase { target: "t", customer: "c\r\nX-Evil: 1", is_sent: false },
];

fn config_with(name: &str) -> RouteConfig {
    let closed = route("r", "service", RouteKind::AtMostOnce);
    let routes = vec![Route { access: RouteAccess::Closed, ..closed }];
    config(1, routes).with_customers(CustomerTable::new(vec![customer(name, &[KEY])]))
}

/// A name with line ends added lines to the head of each request, or ended it, so that the rest read as a request that
/// no caller had sent. A box may hear of such a name from a peer, whose adapter accepted it.
#[test]
fn a_name_that_no_head_can_carry_is_never_sent() {
    for case in CASES {
        let target = TargetStandin::start(case.target, "service", Script::Good);
        let store = StoreStandin::default();
        store.put_config(config_with(case.customer));
        store.put_targets(vec![target.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        let reply = gateway.connect().request("GET", "/r/x", &format!("X-Key: {KEY}\r\n"));
        let received = target.requests();
        let name = format!("{:?} for {:?}: {received:?}", case.target, case.customer);
        if case.is_sent {
            assert_eq!(reply.status, 200, "{name}");
            assert!(received[0].contains(&format!("X-Wanted: {}\r\n", case.target)), "{name}");
        } else {
            assert_eq!(reply.status, 503, "nothing has run: {name}");
            assert!(received.iter().all(String::is_empty), "{name}");
        }
    }
}
