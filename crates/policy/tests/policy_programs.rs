//! Programs that are refused with line and column, and what sound ones say.

use std::time::Duration;

use proptest::prelude::*;
use wingbridge_policy::{PolicyDecision, PolicyProgram, RequestView};

struct FaultCase {
    name: &'static str,
    text: &'static str,
    line: Option<usize>,
    column: Option<usize>,
    says: &'static str,
}

#[test]
fn faulty_programs_are_refused_with_their_place() {
    let cases = [
        FaultCase {
            name: "syntax",
            text: "fn plan(request) {\n  route(\"a\"\n}",
            line: Some(3),
            column: Some(1),
            says: "",
        },
        FaultCase {
            name: "no plan",
            text: "fn other() { 1 }",
            line: None,
            column: None,
            says: "fn plan(request)",
        },
        FaultCase {
            // The library gives no place for a program that ran out of steps.
            name: "endless",
            text: "fn plan(request) {\n  loop { }\n}",
            line: None,
            column: None,
            says: "Too many operations",
        },
        FaultCase {
            name: "unknown function",
            text: "fn plan(request) {\n  rout(\"a\")\n}",
            line: Some(2),
            column: Some(3),
            says: "rout",
        },
        FaultCase {
            name: "bad status",
            text: "fn plan(request) { refuse(200, \"no\") }",
            line: Some(1),
            column: None,
            says: "400 to 599",
        },
        FaultCase {
            name: "wrong result",
            text: "fn plan(request) { 42 }",
            line: None,
            column: None,
            says: "",
        },
    ];
    for case in cases {
        let fault = PolicyProgram::compile(case.text).expect_err(case.name);
        assert!(case.line.is_none() || fault.line == case.line, "{}: {fault}", case.name);
        assert!(case.column.is_none() || fault.column == case.column, "{}: {fault}", case.name);
        assert!(fault.reason.contains(case.says), "{}: {fault}", case.name);
    }
}

#[test]
fn a_policy_tells_kinds_of_requests_apart() {
    let text = r#"
        fn plan(request) {
            if request.method == "GET" {
                return route("browse").deadline(800).repeatable().attempts(3).caller_limit(7);
            }
            if request.header("x-key") == "" { return refuse(401, "a key is needed"); }
            route("orders").priority(9).finish_without_caller()
        }"#;
    let program = PolicyProgram::compile(text).expect("a sound program");
    let view =
        |method| RequestView::new(method, "/x", "", "me", vec![("x-key".into(), "k".into())]);
    let PolicyDecision::Route(plan) = program.plan(view("GET")).expect("a plan") else {
        panic!("a route");
    };
    assert_eq!(plan.service, "browse");
    assert_eq!(plan.deadline, Duration::from_millis(800));
    assert!(plan.repeatable && plan.attempts == 3 && plan.caller_limit == 7);
    let PolicyDecision::Route(plan) = program.plan(view("POST")).expect("a plan") else {
        panic!("a route");
    };
    assert!(!plan.repeatable && !plan.cancel_on_hangup && plan.priority == 9);
    let bare = RequestView::new("POST", "/x", "", "me", Vec::new());
    let refused = PolicyDecision::Refuse { status: 401, reason: "a key is needed".into() };
    assert_eq!(program.plan(bare), Ok(refused));
}

proptest! {
    /// Whatever is submitted, the check ends and does not panic.
    #[test]
    fn any_text_is_taken_or_refused(text in "[a-z(){};=+ \n\"0-9.]{0,200}") {
        let _ = PolicyProgram::compile(&text);
        let _ = PolicyProgram::compile(&format!("fn plan(request) {{ {text} }}"));
    }
}
