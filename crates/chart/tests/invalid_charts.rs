//! Validation of charts, with the error for each kind of fault.

use wingbridge_chart::{ChartError, StateChart};

struct ChartCase {
    name: &'static str,
    text: &'static str,
    expected: Result<(), ChartError>,
}

const STATES: &[&str] = &["open", "shut"];
const EVENTS: &[&str] = &["push", "pull"];

#[test]
fn invalid_charts_are_rejected() {
    let cases = [
        ChartCase {
            name: "sound",
            text: "start='open'\n[states.open]\npush='shut'\n[states.shut]\npull='open'\n",
            expected: Ok(()),
        },
        ChartCase {
            name: "dead end",
            text: "start='open'\n[states.open]\npush='shut'\n[states.shut]\npull='shut'\n",
            expected: Err(ChartError::DeadEnd("shut".into())),
        },
        ChartCase {
            name: "missing state",
            text: "start='open'\n[states.open]\npush='shut'\n",
            expected: Err(ChartError::DeadEnd("shut".into())),
        },
        ChartCase {
            name: "unreachable",
            text: "start='open'\n[states.open]\npush='open'\npull='open'\n[states.shut]\npull='open'\n",
            expected: Err(ChartError::DeadEnd("open".into())),
        },
        ChartCase {
            name: "unknown event",
            text: "start='open'\n[states.open]\nkick='shut'\n",
            expected: Err(ChartError::UnknownEvent { state: "open".into(), event: "kick".into() }),
        },
        ChartCase {
            name: "unknown state",
            text: "start='open'\n[states.open]\npush='ajar'\n",
            expected: Err(ChartError::UnknownState("ajar".into())),
        },
    ];
    for case in cases {
        let result = StateChart::parse(case.text, STATES, EVENTS).map(|_| ());
        assert_eq!(result, case.expected, "case {}", case.name);
    }
}

#[test]
fn unreachable_state_is_rejected() {
    let text = "start='a'\n[states.a]\npush='b'\n[states.b]\npush='a'\n[states.c]\npush='a'\n";
    let result = StateChart::parse(text, &["a", "b", "c"], EVENTS);
    assert_eq!(result, Err(ChartError::Unreachable("c".into())));
}

#[test]
fn events_give_the_next_state() {
    let text = "start='open'\n[states.open]\npush='shut'\n[states.shut]\npull='open'\n";
    let chart = StateChart::parse(text, STATES, EVENTS).expect("a valid chart");
    assert_eq!(chart.start(), 0);
    assert_eq!(chart.next(0, 0), Some(1));
    assert_eq!(chart.next(0, 1), None);
    assert_eq!(chart.next(1, 1), Some(0));
}
