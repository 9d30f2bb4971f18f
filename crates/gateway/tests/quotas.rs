//! Customers' quotas at boxes: what runs, what is told 429, and who pays for it.

mod harness;

use std::time::Duration;

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, customer, eventually, header, route,
};
use wingbridge_decide::quota::{QuotaLimit, QuotaSlack};
use wingbridge_gateway::customers::{CustomerSetup, CustomerTable};
use wingbridge_gateway::routes::RouteKind;

/// So few that no test sees credit come back: one in a quarter of an hour.
const HARDLY: f64 = 0.001;
/// What a keeper gives out at first: a part of the burst, since another one may have given the rest.
const FIRST: usize = 5;

fn limited(name: &str, key: &str, limit: QuotaLimit) -> CustomerSetup {
    let mut setup = customer(name, &[key]);
    setup.customer.quota = Some(limit);
    setup
}

/// A box before one target, with one customer that may have few requests and one that has no
/// limit.
fn one_target(script: Script) -> (StoreStandin, TargetStandin, BoxUnderTest) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", script);
    let few = QuotaLimit { per_second: HARDLY, burst: 2.0 * FIRST as f64 };
    let customers = vec![limited("few", "key-of-few", few), customer("free", &["key-of-free"])];
    let routes = vec![route("r", "service", RouteKind::AtMostOnce)];
    store.put_config(config(1, routes).with_customers(CustomerTable::new(customers)));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        // A process whose window is over at once is not taken for a young one.
        settings.quota_slack = QuotaSlack { requests: 0.0, window: Duration::ZERO };
    });
    gateway.wait_ready();
    (store, target, gateway)
}

fn ask(gateway: &BoxUnderTest, key: &str) -> u16 {
    gateway.connect().request("POST", "/r/x", &format!("X-Key: {key}\r\n")).status
}

#[test]
fn what_is_beyond_a_quota_is_refused_and_runs_nowhere() {
    let (_store, target, gateway) = one_target(Script::Good);
    let statuses: Vec<u16> = (0..3 * FIRST).map(|_| ask(&gateway, "key-of-few")).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, FIRST, "{statuses:?}");
    assert!(statuses[served..].iter().all(|status| *status == 429), "{statuses:?}");
    assert_eq!(target.requests().len(), served, "429 says that nothing ran");
    assert_eq!(ask(&gateway, "key-of-free"), 200, "others don't pay for it");
    let reply = gateway.connect().request("POST", "/r/x", "X-Key: key-of-few\r\nX-Left: 60000\r\n");
    let wait: f64 = header(&reply.head, "retry-after").expect("told").parse().expect("a number");
    assert!(wait > 0.0);
    let hurried = gateway.connect().request("POST", "/r/x", "X-Key: key-of-few\r\nX-Left: 200\r\n");
    assert_eq!(hurried.status, 429);
    assert_eq!(header(&hurried.head, "retry-after"), None, "it is gone by then");
}

#[test]
fn a_request_that_ran_nowhere_costs_no_credit() {
    let (_store, target, gateway) = one_target(Script::Sheds);
    for _ in 0..3 * FIRST {
        assert_eq!(ask(&gateway, "key-of-few"), 503);
    }
    target.set_script(Script::Good);
    let served = (0..3 * FIRST).filter(|_| ask(&gateway, "key-of-few") == 200).count();
    assert_eq!(served, FIRST);
}

#[test]
fn a_request_that_may_have_run_costs_its_credit() {
    let (_store, target, gateway) = one_target(Script::ClosesUnanswered);
    let lost = (0..2).filter(|_| ask(&gateway, "key-of-few") == 502).count();
    assert_eq!(lost, 2);
    target.set_script(Script::Good);
    let served = (0..3 * FIRST).filter(|_| ask(&gateway, "key-of-few") == 200).count();
    assert_eq!(served, FIRST - lost);
}

#[test]
fn two_boxes_have_one_quota() {
    let (store, target, one) = one_target(Script::Good);
    let two = BoxUnderTest::start_with(store.port(true), &[one.host()], |settings| {
        settings.quota_slack = QuotaSlack { requests: 0.0, window: Duration::ZERO };
    });
    two.wait_ready();
    // Each knows the other once both have the same listing from it; a request that both admit
    // shows nothing of that, so the boxes are asked until neither admits any more.
    eventually("no box has credit left", || {
        [&one, &two].iter().all(|gateway| ask(gateway, "key-of-few") == 429)
    });
    let served = target.requests().len();
    // Each may have had a request or two before it heard of the other.
    assert!(served <= FIRST + 2, "{served}");
}

#[test]
fn a_limit_that_is_raised_or_taken_away_binds_no_more() {
    let (store, _target, gateway) = one_target(Script::Good);
    eventually("the credit is used up", || ask(&gateway, "key-of-few") == 429);
    let free = vec![customer("few", &["key-of-few"])];
    let routes = vec![route("r", "service", RouteKind::AtMostOnce)];
    store.put_config(config(2, routes).with_customers(CustomerTable::new(free)));
    eventually("the limit is gone", || (0..2 * FIRST).all(|_| ask(&gateway, "key-of-few") == 200));
}
