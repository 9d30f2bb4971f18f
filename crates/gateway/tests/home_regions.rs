//! Requests with home regions: no target of another region receives them, whatever fails in the home regions.

mod harness;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, RelayCaller, Script, StoreStandin, TargetStandin, config, customer, eventually,
    route,
};
use wingbridge_decide::Name;
use wingbridge_gateway::customers::CustomerTable;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::relay::{RelayOutcome, RelayRequest};

struct HomeCase {
    name: &'static str,
    route: Option<&'static [&'static str]>,
    customer: Option<&'static [&'static str]>,
    /// Script of the target in the region "home".
    script: Script,
    status: u16,
    /// Whether the target in the region "abroad" receives requests.
    abroad: bool,
}

const HOME: &[&str] = &["home"];
const ABROAD: &[&str] = &["abroad"];

const CASES: &[HomeCase] = &[
    HomeCase {
        name: "none",
        route: None,
        customer: None,
        script: Script::Sheds,
        status: 200,
        abroad: true,
    },
    HomeCase {
        name: "home region of the route",
        route: Some(HOME),
        customer: None,
        script: Script::Good,
        status: 200,
        abroad: false,
    },
    HomeCase {
        name: "home region of the customer",
        route: None,
        customer: Some(HOME),
        script: Script::Good,
        status: 200,
        abroad: false,
    },
    HomeCase {
        name: "all targets in the home region refuse",
        route: Some(HOME),
        customer: None,
        script: Script::Sheds,
        status: 503,
        abroad: false,
    },
    HomeCase {
        name: "route and customer without a common region",
        route: Some(HOME),
        customer: Some(ABROAD),
        script: Script::Good,
        status: 503,
        abroad: false,
    },
    HomeCase {
        name: "a home region that does not exist",
        route: Some(&["nowhere"]),
        customer: None,
        script: Script::Good,
        status: 503,
        abroad: false,
    },
];

fn names(homes: Option<&[&str]>) -> Option<Arc<[Name]>> {
    homes.map(|homes| homes.iter().map(|home| Name::from(*home)).collect())
}

/// Starts a box in the region "home".
fn start_at_home(store: &StoreStandin) -> BoxUnderTest {
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.regions = [("centre", "home"), ("elsewhere", "abroad")]
            .map(|(centre, region)| (centre.to_string(), region.into()))
            .into();
    });
    gateway.wait_ready();
    gateway
}

fn check(case: &HomeCase) {
    let store = StoreStandin::default();
    let home = TargetStandin::start("home", "service", case.script);
    let mut abroad = TargetStandin::start("abroad", "service", Script::Good);
    abroad.entry.data_centre = "elsewhere".into();
    let mut setup = customer("one", &["key-of-one"]);
    setup.customer.home_regions = names(case.customer);
    let mut home_route = route("r", "service", RouteKind::Repeatable);
    home_route.home_regions = names(case.route);
    let routes = config(1, vec![home_route]);
    store.put_config(routes.with_customers(CustomerTable::new(vec![setup])));
    store.put_targets(vec![abroad.entry.clone(), home.entry.clone()]);
    let gateway = start_at_home(&store);
    for _ in 0..40 {
        let reply = gateway.connect().request("GET", "/r/x", "X-Key: key-of-one\r\n");
        assert_eq!(reply.status, case.status, "{}", case.name);
    }
    assert_eq!(!abroad.requests().is_empty(), case.abroad, "{}", case.name);
    if case.status == 503 && case.script == Script::Good {
        assert!(home.requests().is_empty(), "{}", case.name);
    }
}

#[test]
fn requests_are_served_only_in_their_home_regions() {
    for case in CASES {
        check(case);
    }
}

/// Returns an order that its first box accepted for the region "home" alone.
fn order_for_home() -> RelayRequest {
    RelayRequest {
        host: "host.example".into(),
        path: "/r/relayed".into(),
        service: "service".into(),
        remaining_ms: 60_000,
        max_attempts: 1,
        has_homes: true,
        homes: vec!["home".into()],
        ..RelayRequest::default()
    }
}

const RELAYED_ORDER: &str = "GET /r/relayed HTTP/1.1\r\nHost: host.example\r\n\r\n";
/// Time for a result that is there already.
const SOON: Duration = Duration::from_secs(5);

/// A relayed order lost the homes by which its first box had accepted it when the peer's older configuration changed.
#[test]
fn relayed_request_keeps_its_homes_when_the_configuration_of_its_peer_changes() {
    let store = StoreStandin::default();
    let home = TargetStandin::start_cold("home", "service");
    let mut abroad = TargetStandin::start("abroad", "service", Script::Good);
    abroad.entry.data_centre = "elsewhere".into();
    let orders = || route("r", "service", RouteKind::AtMostOnce);
    store.put_config(config(1, vec![orders()]));
    store.put_targets(vec![abroad.entry.clone()]);
    let gateway = start_at_home(&store);
    (0..10).for_each(|_| assert_eq!(gateway.request("GET", "/r/usual").status, 200));
    store.put_targets(vec![abroad.entry.clone(), home.entry.clone()]);
    let mut first = None;
    eventually("the target at home has an order", || {
        let offered = RelayCaller::offer(gateway.host(), &order_for_home());
        let relay = first.insert(offered.expect("it agrees"));
        relay.send(RELAYED_ORDER);
        thread::sleep(Duration::from_millis(100));
        !home.requests().is_empty()
    });
    home.release_late();
    let reply = first.and_then(|relay| relay.reply(SOON)).expect("a result");
    assert_eq!(reply.result.outcome(), RelayOutcome::Answered, "{reply:?}");
    let mut relay = RelayCaller::offer(gateway.host(), &order_for_home()).expect("it agrees");
    relay.send(RELAYED_ORDER);
    store.put_config(config(2, vec![orders(), route("later", "later", RouteKind::Repeatable)]));
    eventually("the change is in force", || gateway.request("GET", "/later/x").status != 404);
    // Several times the interval at which an order that is held back looks for a target.
    thread::sleep(Duration::from_millis(400));
    relay.ask_end();
    let reply = relay.reply(SOON).expect("a result");
    let is_relayed = |text: &String| text.contains("/r/relayed");
    assert!(!abroad.requests().iter().any(is_relayed), "it was sent to another region: {reply:?}");
}
