//! Customers' quotas at boxes: which requests are executed, which are refused with 429, and which cost a token.

mod harness;

use std::time::Duration;

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, customer, eventually, header, route,
};
use wingbridge_decide::quota::{QuotaLimit, QuotaSlack};
use wingbridge_gateway::customers::{CustomerSetup, CustomerTable};
use wingbridge_gateway::routes::RouteKind;

/// Rate so low that no token is refilled within a test: one in a quarter of an hour.
const VERY_LOW_RATE: f64 = 0.001;
/// Number of tokens that a new coordinator grants at first. It is a part of the burst, since an earlier coordinator may
/// have granted the rest.
const FIRST_GRANT: usize = 5;

fn limited(name: &str, key: &str, limit: QuotaLimit) -> CustomerSetup {
    let mut setup = customer(name, &[key]);
    setup.customer.quota = Some(limit);
    setup
}

/// Starts a box and one target, with one customer that has a low quota and one without a quota.
fn one_target(script: Script) -> (StoreStandin, TargetStandin, BoxUnderTest) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", script);
    let few = QuotaLimit { per_second: VERY_LOW_RATE, burst: 2.0 * FIRST_GRANT as f64 };
    let customers = vec![limited("few", "key-of-few", few), customer("free", &["key-of-free"])];
    let routes = vec![route("r", "service", RouteKind::AtMostOnce)];
    store.put_config(config(1, routes).with_customers(CustomerTable::new(customers)));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        // With a window of zero the box does not count as recently started.
        settings.quota_slack = QuotaSlack { requests: 0.0, window: Duration::ZERO };
    });
    gateway.wait_ready();
    (store, target, gateway)
}

fn ask(gateway: &BoxUnderTest, key: &str) -> u16 {
    gateway.connect().request("POST", "/r/x", &format!("X-Key: {key}\r\n")).status
}

#[test]
fn requests_beyond_a_quota_are_refused_and_not_executed() {
    let (_store, target, gateway) = one_target(Script::Good);
    let statuses: Vec<u16> = (0..3 * FIRST_GRANT).map(|_| ask(&gateway, "key-of-few")).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, FIRST_GRANT, "{statuses:?}");
    assert!(statuses[served..].iter().all(|status| *status == 429), "{statuses:?}");
    assert_eq!(target.requests().len(), served, "a request refused with 429 is not executed");
    assert_eq!(ask(&gateway, "key-of-free"), 200, "other customers are not affected");
    let reply = gateway.connect().request("POST", "/r/x", "X-Key: key-of-few\r\nX-Left: 60000\r\n");
    let wait: f64 = header(&reply.head, "retry-after")
        .expect("a retry-after header")
        .parse()
        .expect("a number");
    assert!(wait > 0.0);
    let short_deadline =
        gateway.connect().request("POST", "/r/x", "X-Key: key-of-few\r\nX-Left: 200\r\n");
    assert_eq!(short_deadline.status, 429);
    assert_eq!(header(&short_deadline.head, "retry-after"), None, "its deadline is over by then");
}

#[test]
fn request_that_was_not_executed_costs_no_token() {
    let (_store, target, gateway) = one_target(Script::Sheds);
    for _ in 0..3 * FIRST_GRANT {
        assert_eq!(ask(&gateway, "key-of-few"), 503);
    }
    target.set_script(Script::Good);
    let served = (0..3 * FIRST_GRANT).filter(|_| ask(&gateway, "key-of-few") == 200).count();
    assert_eq!(served, FIRST_GRANT);
}

#[test]
fn request_that_may_have_been_executed_costs_a_token() {
    let (_store, target, gateway) = one_target(Script::ClosesUnanswered);
    let lost = (0..2).filter(|_| ask(&gateway, "key-of-few") == 502).count();
    assert_eq!(lost, 2);
    target.set_script(Script::Good);
    let served = (0..3 * FIRST_GRANT).filter(|_| ask(&gateway, "key-of-few") == 200).count();
    assert_eq!(served, FIRST_GRANT - lost);
}

#[test]
fn two_boxes_share_one_quota() {
    let (store, target, one) = one_target(Script::Good);
    let two = BoxUnderTest::start_with(store.port(true), &[one.host()], |settings| {
        settings.quota_slack = QuotaSlack { requests: 0.0, window: Duration::ZERO };
    });
    two.wait_ready();
    // The boxes know each other once both have the same listing. A request that both admit does not show this, so
    // requests are sent until neither box admits any more.
    eventually("no box has tokens left", || {
        [&one, &two].iter().all(|gateway| ask(gateway, "key-of-few") == 429)
    });
    let served = target.requests().len();
    // Each may have admitted a request or two before it learned of the other.
    assert!(served <= FIRST_GRANT + 2, "{served}");
}

#[test]
fn removed_limit_no_longer_applies() {
    let (store, _target, gateway) = one_target(Script::Good);
    eventually("the tokens are used up", || ask(&gateway, "key-of-few") == 429);
    let free = vec![customer("few", &["key-of-few"])];
    let routes = vec![route("r", "service", RouteKind::AtMostOnce)];
    store.put_config(config(2, routes).with_customers(CustomerTable::new(free)));
    eventually("the limit no longer applies", || {
        (0..2 * FIRST_GRANT).all(|_| ask(&gateway, "key-of-few") == 200)
    });
}
