//! Compilation errors with their positions, and the decisions of valid programs.

use std::time::Duration;

use proptest::prelude::*;
use wingbridge_policy::{PolicyDecision, PolicyProgram, RequestView};

struct ErrorCase {
    name: &'static str,
    text: &'static str,
    line: Option<usize>,
    column: Option<usize>,
    reason_contains: &'static str,
}

#[test]
fn invalid_programs_are_rejected_with_their_position() {
    let cases = [
        ErrorCase {
            name: "syntax",
            text: "fn plan(request) {\n  route(\"a\"\n}",
            line: Some(3),
            column: Some(1),
            reason_contains: "",
        },
        ErrorCase {
            name: "plan is not defined",
            text: "fn other() { 1 }",
            line: None,
            column: None,
            reason_contains: "fn plan(request)",
        },
        ErrorCase {
            // Rhai gives no position for a program that exceeds the operation limit.
            name: "endless",
            text: "fn plan(request) {\n  loop { }\n}",
            line: None,
            column: None,
            reason_contains: "Too many operations",
        },
        ErrorCase {
            name: "unknown function",
            text: "fn plan(request) {\n  rout(\"a\")\n}",
            line: Some(2),
            column: Some(3),
            reason_contains: "rout",
        },
        ErrorCase {
            name: "status out of range",
            text: "fn plan(request) { refuse(200, \"no\") }",
            line: Some(1),
            column: None,
            reason_contains: "400 to 599",
        },
        ErrorCase {
            name: "result is not a decision",
            text: "fn plan(request) { 42 }",
            line: None,
            column: None,
            reason_contains: "",
        },
    ];
    for case in cases {
        let error = PolicyProgram::compile(case.text).expect_err(case.name);
        assert!(case.line.is_none() || error.line == case.line, "{}: {error}", case.name);
        assert!(case.column.is_none() || error.column == case.column, "{}: {error}", case.name);
        assert!(error.reason.contains(case.reason_contains), "{}: {error}", case.name);
    }
}

#[test]
fn decision_depends_on_method_and_headers() {
    let text = r#"
        fn plan(request) {
            if request.method == "GET" {
                return route("browse").deadline(800).repeatable().attempts(3).caller_limit(7);
            }
            if request.header("x-key") == "" { return refuse(401, "a key is needed"); }
            route("orders").priority(9).finish_without_caller()
        }"#;
    let program = PolicyProgram::compile(text).expect("valid program");
    let view =
        |method| RequestView::new(method, "/x", "", "me", vec![("x-key".into(), "k".into())]);
    let PolicyDecision::Route(plan) = program.plan(view("GET")).expect("a decision") else {
        panic!("expected a route");
    };
    assert_eq!(plan.service, "browse");
    assert_eq!(plan.deadline, Duration::from_millis(800));
    assert!(plan.repeatable && plan.max_attempts == 3 && plan.caller_limit == 7);
    let PolicyDecision::Route(plan) = program.plan(view("POST")).expect("a decision") else {
        panic!("expected a route");
    };
    assert!(!plan.repeatable && !plan.cancel_on_hangup && plan.priority == 9);
    let without_key = RequestView::new("POST", "/x", "", "me", Vec::new());
    let refused = PolicyDecision::Refuse { status: 401, reason: "a key is needed".into() };
    assert_eq!(program.plan(without_key), Ok(refused));
}

proptest! {
    /// Compilation of arbitrary text terminates and does not panic.
    #[test]
    fn arbitrary_text_compiles_or_is_rejected(text in "[a-z(){};=+ \n\"0-9.]{0,200}") {
        let _ = PolicyProgram::compile(&text);
        let _ = PolicyProgram::compile(&format!("fn plan(request) {{ {text} }}"));
    }
}
