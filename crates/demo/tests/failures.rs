//! Tests of the complete system under the failures that its users describe. Each test causes one.

mod small;

use std::time::Duration;

use async_std::task;
use http_types::Method;
use wingbridge_demo::caller::CallerRequest;
use wingbridge_demo::{CallerLedger, LoadCaller};
use wingbridge_process::Outcome;
use wingbridge_standin::{StoreFaults, TargetFaults};
use wingbridge_store::StoredValue;
use wingctl::overrides;

use crate::small::{CALL_TIMEOUT, Load, eventually, excluded_everywhere, small_system};

const POLICY: &str = "fn plan(request) { route(\"availability\").repeatable().attempts(3) }";

#[test]
fn a_stalled_target_is_ejected_by_every_box_during_a_store_outage() {
    let system = small_system(3);
    let load = Load::start(&system);
    load.wait_for(200);
    system.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let target = system.targets_of("availability")[0].clone();
    target.handle.set_faults(TargetFaults { stall: true, ..TargetFaults::default() });
    eventually("ejected everywhere", || excluded_everywhere(&system, &target.address.to_string()));
    // The target returns through ordinary requests only; nothing reports to the boxes that it has
    // recovered.
    target.handle.set_faults(TargetFaults::default());
    eventually("back everywhere", || !excluded_everywhere(&system, &target.address.to_string()));
    let counts = load.stop();
    assert_eq!((counts.cut, counts.wrong_answer), (0, 0), "{counts:?}");
}

#[test]
fn a_new_box_serves_during_a_store_outage() {
    let mut system = small_system(2);
    system.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    system.add_box().expect("it starts");
    system.wait_ready().expect("the box gets the configuration from its peers");
    let mut caller = LoadCaller::new(system.boxes[2].proxy.callers);
    let request = CallerRequest::get("/availability/1").with_header("x-token", "t");
    let answer = task::block_on(caller.call(&request, CALL_TIMEOUT)).expect("an answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
}

#[test]
fn a_proxy_serves_without_its_agent() {
    let mut system = small_system(2);
    system.stop_agent(0).expect("it ends");
    let load = Load::start(&system);
    load.wait_for(200);
    let target = system.targets_of("availability")[0].clone();
    target.handle.set_faults(TargetFaults { stall: true, ..TargetFaults::default() });
    // The box without an agent also stops sending there, on its own evidence only.
    let received = || target.handle.log().received;
    eventually("quiet", || {
        let before = received();
        load.wait_for(150);
        received() == before
    });
    let counts = load.stop();
    assert_eq!((counts.cut, counts.wrong_answer), (0, 0), "{counts:?}");
}

#[test]
fn replacing_every_box_under_load_cuts_no_request() {
    let mut system = small_system(3);
    let load = Load::start(&system);
    for _ in 0..3 {
        load.wait_for(150);
        system.add_box().expect("it starts");
        system.wait_ready().expect("it is ready");
        load.send_to(&system.caller_addresses()[1..]);
        system.stop_box(0).expect("it cuts nothing");
    }
    load.wait_for(150);
    let audit = load.audit(&system);
    let counts = load.stop();
    assert_eq!((counts.cut, counts.wrong_answer), (0, 0), "{counts:?}");
    assert_eq!((audit.doubled, audit.not_run_ran, audit.answered_not_ran), (0, 0, 0));
}

#[test]
fn a_planned_stop_finishes_requests_in_flight() {
    let mut system = small_system(2);
    let slow = TargetFaults { slow: 100.0, ..TargetFaults::default() };
    for target in system.targets_of("orders") {
        target.handle.set_faults(slow.clone());
    }
    let callers = system.boxes[0].proxy.callers;
    let in_flight = task::spawn(async move {
        let request = CallerRequest { method: Method::Post, ..CallerRequest::get("/orders") };
        LoadCaller::new(callers).call(&request.with_header("x-token", "t"), CALL_TIMEOUT).await
    });
    let received =
        || system.targets_of("orders").iter().any(|target| target.handle.log().received > 0);
    eventually("in flight", received);
    system.stop_box(0).expect("it cuts nothing");
    let answer = task::block_on(in_flight).expect("a complete answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
}

#[test]
fn a_lost_write_answer_of_the_store_changes_the_key_once() {
    let system = small_system(2);
    system.store.set_faults(StoreFaults { lose_write_answers: 1, ..StoreFaults::default() });
    let before = generation(&system, "policy/availability");
    let report = system.put("policy/availability", POLICY).expect("accepted");
    assert_eq!(report.generation, before + 1);
    assert_eq!(generation(&system, "policy/availability"), before + 1);
}

#[test]
fn of_two_concurrent_changes_one_wins_and_the_other_shows_the_difference() {
    let system = small_system(2);
    let one = system.change_client();
    let other = system.change_client();
    let revision = system.store.read("policy/availability").map(|record| record.revision);
    let text = |name: &str| Some(format!("// {name}\n{POLICY}"));
    let results = task::block_on(futures::future::join(
        one.change("policy/availability", text("one"), revision),
        other.change("policy/availability", text("other"), revision),
    ));
    let results = [results.0, results.1];
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1);
    let refused = results.into_iter().find_map(Result::err).expect("one was refused").to_string();
    assert!(refused.contains("changed it first") && refused.contains("// o"), "{refused}");
}

#[test]
fn a_restored_older_store_reverts_nothing_and_accepts_the_next_change() {
    let system = small_system(3);
    let old = system.store.snapshot();
    let kept = system.put("policy/availability", POLICY).expect("accepted");
    system.store.restore(old);
    let next = system.put("policy/availability", &format!("// next\n{POLICY}")).expect("accepted");
    assert_eq!(next.generation, kept.generation + 1, "above what the boxes hold");
    assert_eq!((next.in_force, next.boxes), (3, 3));
}

#[test]
fn skipped_and_repeated_watch_answers_lose_no_change() {
    let system = small_system(2);
    let faults =
        StoreFaults { skip_watch_answers: 2, repeat_watch_answers: 2, ..StoreFaults::default() };
    system.store.set_faults(faults);
    let report = system.put("policy/availability", POLICY).expect("accepted");
    assert_eq!(report.outcome(), Outcome::Done);
}

#[test]
fn a_one_way_cut_between_agents_does_not_stop_a_change() {
    let system = small_system(3);
    // box-1 receives nothing from box-2, while box-2 still receives from box-1.
    system.boxes[0].cuts.block("box-2");
    let report = system.put("policy/availability", POLICY).expect("accepted");
    assert_eq!((report.in_force, report.boxes), (3, 3));
    system.boxes[0].cuts.unblock_all();
}

#[test]
fn an_order_with_a_lost_answer_is_unknown_and_ran_once() {
    let system = small_system(2);
    let target = |index: usize| system.targets_of("orders")[index].clone();
    for index in 0..system.targets_of("orders").len() {
        target(index)
            .handle
            .set_faults(TargetFaults { lose_answers: 3, ..TargetFaults::default() });
    }
    let ledger = CallerLedger::default();
    let mut unknown = 0;
    let mut caller = LoadCaller::new(system.boxes[0].proxy.callers);
    for number in 0..20 {
        let name = format!("order-{number}");
        let request = CallerRequest {
            method: Method::Post,
            path: "/orders".into(),
            headers: vec![("x-order", name.clone()), ("x-token", name.clone())],
            body: b"one bunk".to_vec(),
        };
        let answer = task::block_on(caller.call(&request, CALL_TIMEOUT)).expect("an answer");
        unknown += usize::from(answer.outcome == "unknown");
        ledger.record_order(&name, &answer);
    }
    let audit = ledger.audit(&system.targets);
    assert!(unknown > 0);
    assert_eq!((audit.doubled, audit.not_run_ran, audit.answered_not_ran), (0, 0, 0));
}

#[test]
fn a_long_answer_that_breaks_off_is_resumed_or_visibly_incomplete() {
    let system = small_system(2);
    let targets = system.targets_of("downloads");
    let cut = TargetFaults { cut_answers_after: 700_000, ..TargetFaults::default() };
    for target in &targets[1..] {
        target.handle.set_faults(cut.clone());
    }
    let length = system.setup.services[2].download_bytes;
    let ledger = CallerLedger::default();
    let mut caller = LoadCaller::new(system.boxes[0].proxy.callers);
    for _ in 0..6 {
        match task::block_on(caller.call(&CallerRequest::get("/download"), CALL_TIMEOUT)) {
            Ok(answer) => ledger.record_download(length, &answer),
            Err(_) => ledger.record_cut(),
        }
    }
    let counts = ledger.counts();
    assert_eq!(counts.wrong_answer, 0, "{counts:?}");
    assert!(counts.complete >= 4, "{counts:?}");
}

#[test]
fn a_caller_that_hangs_up_cancels_the_work() {
    let system = small_system(1);
    for target in system.targets_of("availability") {
        target.handle.set_faults(TargetFaults { slow: 1000.0, ..TargetFaults::default() });
    }
    let address = system.boxes[0].proxy.callers;
    let mut caller = LoadCaller::new(address);
    let request = CallerRequest::get("/availability/1");
    let short = Duration::from_millis(300);
    assert!(task::block_on(caller.call(&request, short)).is_err());
    eventually("cancelled", || {
        system.targets_of("availability").iter().any(|target| target.handle.log().cancelled > 0)
    });
}

#[test]
fn a_draining_target_gets_no_new_work_from_any_box() {
    let system = small_system(3);
    let load = Load::start(&system);
    load.wait_for(200);
    let target = system.targets_of("availability")[0].clone();
    target.handle.set_faults(TargetFaults { draining: true, ..TargetFaults::default() });
    let received = || target.handle.log().received;
    eventually("no new work", || {
        let before = received();
        load.wait_for(200);
        received() == before
    });
    let counts = load.stop();
    assert_eq!((counts.cut, counts.wrong_answer, counts.unknown), (0, 0, 0), "{counts:?}");
}

#[test]
fn boxes_without_requests_learn_from_peers_that_a_target_drains() {
    let system = small_system(3);
    let load = Load::start(&system);
    load.send_to(&system.caller_addresses()[..1]);
    load.wait_for(50);
    let target = system.targets_of("availability")[0].clone();
    target.handle.set_faults(TargetFaults { draining: true, ..TargetFaults::default() });
    let address = target.address.to_string();
    eventually("known in every box", || {
        let views = small::targets_of_all(&system);
        views
            .iter()
            .all(|views| views.iter().any(|view| view.target == address && view.state == "leaving"))
    });
    load.stop();
}

#[test]
fn manual_overrides_are_handled_as_configuration() {
    let system = small_system(2);
    let target = system.targets_of("availability")[0].address.to_string();
    let eject = Some(wingbridge_decide::OverrideKind::Eject);
    let client = system.change_client();
    let report = task::block_on(overrides::set_override(&client, "availability", &target, eject));
    assert_eq!(report.expect("accepted").in_force, 2);
    eventually("kept out", || excluded_everywhere(&system, &target));
    let report = task::block_on(overrides::set_override(&client, "availability", &target, None));
    assert_eq!(report.expect("accepted").in_force, 2);
    eventually("back", || !excluded_everywhere(&system, &target));
}

#[test]
fn a_peer_without_the_fleet_key_is_refused_before_any_message() {
    let system = small_system(1);
    let address = system.boxes[0].agent.peers;
    let result = task::block_on(async {
        let mut stream = async_std::net::TcpStream::connect(address).await?;
        let key = wingbridge_wire::FleetKey::derive("another key, not the fleet's");
        let side = wingbridge_wire::HandshakeSide::Client;
        wingbridge_wire::handshake::prove(&mut stream, &key, side).await
    });
    assert_eq!(
        result.map_err(|error| error.kind()),
        Err(wingbridge_wire::ErrorKind::Unauthenticated)
    );
}

fn generation(system: &wingbridge_demo::SmallSystem, key: &str) -> u64 {
    let record = system.store.read(key).expect("a key");
    StoredValue::from_json(&record.value).expect("a value").current.generation
}
