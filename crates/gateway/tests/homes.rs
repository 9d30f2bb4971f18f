//! Requests that may be served in some regions only: no other region's target sees them, whatever fails at
//! home.

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
    /// What the targets in the region "home" do.
    script: Script,
    status: u16,
    /// Whether the target in the region "abroad" may get some.
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
        name: "the route's",
        route: Some(HOME),
        customer: None,
        script: Script::Good,
        status: 200,
        abroad: false,
    },
    HomeCase {
        name: "the customer's",
        route: None,
        customer: Some(HOME),
        script: Script::Good,
        status: 200,
        abroad: false,
    },
    HomeCase {
        name: "all at home refuse",
        route: Some(HOME),
        customer: None,
        script: Script::Sheds,
        status: 503,
        abroad: false,
    },
    HomeCase {
        name: "both, with nothing in common",
        route: Some(HOME),
        customer: Some(ABROAD),
        script: Script::Good,
        status: 503,
        abroad: false,
    },
    HomeCase {
        name: "one that is no region",
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
    let mut taken = route("r", "service", RouteKind::Repeatable);
    taken.home_regions = names(case.route);
    let routes = config(1, vec![taken]);
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
fn a_request_is_served_in_its_home_regions_alone() {
    for case in CASES {
        check(case);
    }
}
