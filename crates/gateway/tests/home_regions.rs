//! Requests with home regions: no target of another region receives them, whatever fails in the home regions.

mod harness;

use std::sync::Arc;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, customer, route};
use wingbridge_decide::Name;
use wingbridge_gateway::customers::CustomerTable;
use wingbridge_gateway::routes::RouteKind;

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
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.regions = [("centre", "home"), ("elsewhere", "abroad")]
            .map(|(centre, region)| (centre.to_string(), region.into()))
            .into();
    });
    gateway.wait_ready();
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
