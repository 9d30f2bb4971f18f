//! Tests of the real programs as separate processes, on ports that the operating system chooses.

mod programs;

use std::time::Duration;

use async_std::task;
use http_types::Method;
use wingbridge_demo::LoadCaller;
use wingbridge_demo::caller::CallerRequest;

use crate::programs::ProgramFleet;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_request_goes_from_caller_to_target_and_back() {
    let fleet = ProgramFleet::start(2, 2);
    let route = "[[service]]\nname='huts'\npolicy='read'\nroutes=['/huts']\nslots=3\n";
    fleet.put_policy("read", "fn plan(request) { route(\"huts\").repeatable().attempts(3) }");
    fleet.put_service(&format!("{route}targets=[{}]\n", fleet.target_list()));
    for proxy in fleet.proxies() {
        fleet.wait_ready(proxy);
        let mut caller = LoadCaller::new(proxy.callers);
        let request = CallerRequest::get("/huts/7?bed=2").with_header("x-token", "t-1");
        let answer = task::block_on(caller.call(&request, CALL_TIMEOUT)).expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome, "answered");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(body["path"], "/huts/7");
        assert_eq!(body["token"], "t-1");
        let missing = CallerRequest { method: Method::Get, ..CallerRequest::get("/nowhere") };
        let answer = task::block_on(caller.call(&missing, CALL_TIMEOUT)).expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (404, "not-run"));
    }
    fleet.stop_proxy_as_planned(0);
}

const ROUTE: &str = "[[service]]\nname='huts'\npolicy='read'\nroutes=['/huts']\nslots=3\n";
const POLICY: &str = "fn plan(request) { route(\"huts\").repeatable().attempts(3).deadline(3000) }";

fn ready_fleet(boxes: usize, targets: usize) -> ProgramFleet {
    let fleet = ProgramFleet::start(boxes, targets);
    fleet.put_policy("read", POLICY);
    fleet.put_service(&format!("{ROUTE}targets=[{}]\n", fleet.target_list()));
    for proxy in fleet.proxies() {
        fleet.wait_ready(proxy);
    }
    fleet
}

/// Returns status and outcome of `count` requests through the box `index`.
fn outcomes(fleet: &ProgramFleet, index: usize, count: usize) -> Vec<(u16, String)> {
    let mut caller = LoadCaller::new(fleet.proxies()[index].callers);
    let mut call = |number: usize| {
        let token = format!("t-{number}");
        let request = CallerRequest::get("/huts/1").with_header("x-token", token.as_str());
        let answer = task::block_on(caller.call(&request, CALL_TIMEOUT)).expect("an answer");
        if answer.outcome == "answered" {
            let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!(body["token"], token, "the answer belongs to another request");
        }
        (answer.status, answer.outcome)
    };
    (0..count).map(&mut call).collect()
}

fn all_answered(outcomes: &[(u16, String)]) -> bool {
    outcomes.iter().all(|(status, outcome)| *status == 200 && outcome == "answered")
}

#[test]
fn a_killed_agent_cuts_no_request() {
    let mut fleet = ready_fleet(2, 3);
    fleet.agents[0].signal("KILL");
    fleet.agents[0].wait();
    assert!(all_answered(&outcomes(&fleet, 0, 50)));
    assert!(all_answered(&outcomes(&fleet, 1, 50)));
}

#[test]
fn a_suspended_agent_catches_up_when_it_continues() {
    let fleet = ready_fleet(2, 3);
    fleet.agents[1].signal("STOP");
    assert!(all_answered(&outcomes(&fleet, 1, 20)));
    let changed = "fn plan(request) { refuse(418, \"changed\") }";
    // Exit code 3 means that the change is accepted but not in force in the suspended box.
    assert_eq!(fleet.ctl_code(&["--wait-s=1", "policy", "put", "read", "-"], changed), Some(3));
    assert_eq!(outcomes(&fleet, 0, 1)[0].0, 418);
    assert_eq!(outcomes(&fleet, 1, 1)[0].0, 200);
    fleet.agents[1].signal("CONT");
    let mut status = 200;
    while status != 418 {
        assert_eq!(fleet.agents[1].ended(), None, "the agent that was to go on has ended");
        status = outcomes(&fleet, 1, 1)[0].0;
    }
}

#[test]
fn a_suspended_target_fails_no_request() {
    let fleet = ready_fleet(2, 5);
    outcomes(&fleet, 0, 100);
    fleet.targets[0].signal("STOP");
    assert!(all_answered(&outcomes(&fleet, 0, 200)));
    fleet.targets[0].signal("CONT");
}

#[test]
fn a_killed_proxy_leaves_the_other_boxes_serving() {
    let fleet = ready_fleet(2, 3);
    {
        let mut proxy = fleet.proxies[0].borrow_mut();
        proxy.signal("KILL");
        proxy.wait();
    }
    assert!(all_answered(&outcomes(&fleet, 1, 100)));
}

#[test]
fn wingctl_commands_exit_with_the_documented_codes() {
    let fleet = ready_fleet(1, 2);
    let file = std::env::temp_dir().join(format!("wingbridge-{}.html", std::process::id()));
    let page = format!("--html={}", file.display());
    let cases: [(&[&str], &str, i32); 17] = [
        (&["policy", "check", "-"], POLICY, 0),
        (&["policy", "check", "-"], "fn plan(", 1),
        (&["policy", "get", "read"], "", 0),
        (&["--json", "policy", "list"], "", 0),
        (&["policy", "history", "read"], "", 0),
        (&["policy", "diff", "read", "-"], POLICY, 0),
        (&["policy", "diff", "read", "-"], "// other", 1),
        (&["policy", "put", "read", "-", "--expect=999"], POLICY, 1),
        (&["policy", "put", "No Name", "-"], POLICY, 2),
        (&["policy", "delete", "read"], "", 0),
        (&["policy", "get", "read"], "", 1),
        (&["config", "get", "huts"], "", 0),
        (&["status"], "", 0),
        (&["boxes"], "", 0),
        (&["targets"], "", 0),
        (&["timeline", &page], "", 0),
        (&["completions", "bash"], "", 0),
    ];
    for (arguments, input, code) in cases {
        assert_eq!(fleet.ctl_code(arguments, input), Some(code), "wingctl {arguments:?}");
    }
    let html = std::fs::read_to_string(&file).expect("a page");
    std::fs::remove_file(&file).expect("it was there");
    assert!(
        html.contains("<svg") && html.contains("config-in-force"),
        "the page shows a chart of the events"
    );
}

#[test]
fn help_texts_do_not_show_the_fleet_key() {
    for program in ["wingbridge-agent", "wingbridge-proxy"] {
        for flag in ["-h", "--help"] {
            let help = programs::help_with_key(program, flag, "a secret of the fleet");
            assert!(help.contains("--fleet-key"), "{program} {flag}");
            assert!(!help.contains("a secret of the fleet"), "{program} {flag}");
        }
    }
}

#[test]
fn invalid_settings_are_named_and_prevent_the_start() {
    let cases: [(&str, &[&str], &str); 5] = [
        ("wingbridge-agent", &["--box-id=a b"], "box-id"),
        ("wingbridge-proxy", &["--box-id=a", "--data-centre=d", "--agent=10.0.0.1:1"], "agent"),
        ("wingctl", &["--store=nowhere", "policy", "list"], "store"),
        ("standin-target", &["--slots=0"], "slots"),
        ("wingbridge-demo", &["--seconds=many"], "seconds"),
    ];
    for (program, arguments, setting) in cases {
        let (code, error) = programs::run_to_end(program, arguments);
        assert_eq!(code, Some(2), "{program}: {error}");
        assert!(error.contains(&format!("--{setting}")) && error.contains("allowed"), "{error}");
    }
}
