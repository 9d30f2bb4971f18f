//! The real programs as separate processes, on ports that the system chooses.

mod programs;

use std::time::Duration;

use async_std::task;
use http_types::Method;
use wingbridge_demo::LoadCaller;
use wingbridge_demo::caller::CallerRequest;

use crate::programs::ProgramFleet;

const CALL_TIME: Duration = Duration::from_secs(10);

#[test]
fn a_request_goes_from_caller_to_target_and_back() {
    let fleet = ProgramFleet::start(2, 2);
    let route = "[[service]]\nname='huts'\npolicy='read'\nroutes=['/huts']\nslots=3\n";
    fleet.put_policy("read", "fn plan(request) { route(\"huts\").repeatable().attempts(3) }");
    fleet.put_service(&format!("{route}targets=[{}]\n", fleet.target_list()));
    for proxy in fleet.proxies() {
        fleet.wait_ready(proxy);
        let mut caller = LoadCaller::new(proxy.callers);
        let request = CallerRequest::get("/huts/7?bed=2").with("x-token", "t-1");
        let answer = task::block_on(caller.call(&request, CALL_TIME)).expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome, "answered");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(body["path"], "/huts/7");
        assert_eq!(body["token"], "t-1");
        let missing = CallerRequest { method: Method::Get, ..CallerRequest::get("/nowhere") };
        let answer = task::block_on(caller.call(&missing, CALL_TIME)).expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (404, "not-run"));
    }
    fleet.stop_proxy_as_planned(0);
}
