//! Whether a box has paths to the targets: runs of attempts without a contact, what peers state about theirs, and how
//! lost paths are found to be back.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::paths::{
    ContactCounts, ContactFailure, FailedAttempt, ListedTargets, MIN_FAILING, PathChange,
    PathMonitor, PathRoute, PathScope, PathState, PathStatement, check_chart,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};

/// Time between two attempts.
const STEP: Duration = Duration::from_millis(100);
const LISTED: ListedTargets = ListedTargets { of_service: 6, all: 18 };

fn at(step: u32) -> TimePoint {
    TimePoint::default() + STEP * step
}

fn peer(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Records an attempt of a step: an upper-case letter is a contact with a target of that service, a lower-case one an
/// attempt without.
fn record(monitor: &mut PathMonitor, step: u32, letter: char) -> Vec<PathChange> {
    let service = Name::from(letter.to_lowercase().to_string());
    if letter.is_uppercase() {
        return monitor.record_contact(at(step), &service);
    }
    let attempt = failed(step, ContactFailure::NotConnected);
    monitor.record_failure(at(step), &service, attempt, LISTED)
}

fn failed(step: u32, failure: ContactFailure) -> FailedAttempt {
    FailedAttempt { target: TargetKey::of(&format!("target-{step}")), started: at(step), failure }
}

#[test]
fn chart_of_paths_is_valid() {
    check_chart().expect("the chart that is compiled in is valid");
}

struct RunCase {
    name: &'static str,
    attempts: &'static str,
    /// The changes, each with the number of its attempt, its service ("" for all), and its state.
    changes: &'static [(u32, &'static str, PathState)],
}

const RUN_CASES: &[RunCase] = &[
    RunCase { name: "no failure", attempts: "AAAB", changes: &[] },
    RunCase { name: "single failures", attempts: "aaAaaAaaA", changes: &[] },
    RunCase {
        name: "no contact at any service",
        attempts: "abaB",
        changes: &[(2, "", PathState::Failing), (3, "", PathState::Reaching)],
    },
    RunCase {
        name: "no contact at one service",
        attempts: "aBaBaBA",
        changes: &[(4, "a", PathState::Failing), (6, "a", PathState::Reaching)],
    },
];

/// Paths count as failing after a run without contact, and as restored at the first contact, whichever way it answers.
#[test]
fn paths_fail_with_a_run_of_attempts_without_contact() {
    assert_eq!(MIN_FAILING, 3, "the cases are for this length");
    for case in RUN_CASES {
        let mut monitor = PathMonitor::default();
        let mut changes = Vec::new();
        for (step, letter) in (0..).zip(case.attempts.chars()) {
            let found = record(&mut monitor, step, letter);
            changes.extend(found.into_iter().map(|change| (step, change.scope, change.state)));
        }
        let expected = case.changes.iter();
        let expected: Vec<_> =
            expected.map(|(step, name, state)| (*step, PathScope::of(name), *state)).collect();
        assert_eq!(changes, expected, "{}", case.name);
    }
}

/// What a peer states: contacts, failures, and whether its own paths are lost.
type Stated = (u32, u32, bool);

struct JudgementCase {
    name: &'static str,
    /// Attempts of this box without a contact.
    failures: u32,
    /// Targets that could be chosen, and number of those that were attempted.
    targets: (usize, u32),
    peers: &'static [Stated],
    lost: bool,
}

const JUDGEMENT_CASES: &[JudgementCase] = &[
    JudgementCase {
        name: "peers reach the targets",
        failures: 9,
        targets: (6, 6),
        peers: &[(12, 0, false), (8, 0, false)],
        lost: true,
    },
    JudgementCase {
        name: "too few failures",
        failures: 8,
        targets: (6, 6),
        peers: &[(12, 0, false), (8, 0, false)],
        lost: false,
    },
    JudgementCase {
        name: "no peer is heard",
        failures: 40,
        targets: (6, 6),
        peers: &[],
        lost: false,
    },
    JudgementCase {
        name: "the targets are down for all",
        failures: 40,
        targets: (6, 6),
        peers: &[(0, 12, false), (0, 9, false)],
        lost: false,
    },
    JudgementCase {
        name: "all have just started",
        failures: 12,
        targets: (6, 6),
        peers: &[(0, 0, false), (0, 0, false)],
        lost: false,
    },
    JudgementCase {
        name: "most peers are cut as well",
        failures: 15,
        targets: (6, 6),
        peers: &[(0, 12, false), (0, 12, true), (0, 8, false), (4, 0, false)],
        lost: true,
    },
    JudgementCase {
        name: "peers that are cut had contacts just before",
        failures: 12,
        targets: (6, 6),
        peers: &[(5, 2, true), (3, 2, true)],
        lost: false,
    },
    JudgementCase {
        name: "nine in ten attempts fail for all",
        failures: 20,
        targets: (6, 6),
        peers: &[(1, 9, false), (2, 18, false), (1, 9, false)],
        lost: false,
    },
    JudgementCase {
        name: "half of the attempts fail for all",
        failures: 12,
        targets: (6, 6),
        peers: &[(6, 6, false), (5, 7, false)],
        lost: false,
    },
    JudgementCase {
        name: "one target of many is at fault",
        failures: 12,
        targets: (6, 1),
        peers: &[(6, 0, false)],
        lost: false,
    },
    JudgementCase {
        name: "the only target is reached by peers",
        failures: 12,
        targets: (1, 1),
        peers: &[(6, 0, false)],
        lost: true,
    },
];

/// A box judged its paths by its own attempts alone, or not at all.
#[test]
fn paths_are_lost_if_peers_have_contacts_that_are_no_chance() {
    for case in JUDGEMENT_CASES {
        let mut monitor = PathMonitor::default();
        let service = Name::from("a");
        let (listed, attempted) = case.targets;
        let listed = ListedTargets { of_service: listed, all: listed };
        for step in 0..case.failures {
            let failed = failed(step % attempted, ContactFailure::NotConnected);
            monitor.record_failure(at(step), &service, failed, listed);
        }
        let now = at(case.failures);
        let (questions, _) = monitor.take_questions(now);
        let [question] = &questions[..] else { panic!("{}: one question", case.name) };
        assert_eq!(question.scope, PathScope::All, "{}", case.name);
        for (number, (contacts, failures, is_lost)) in (1..).zip(case.peers) {
            let counts = ContactCounts { contacts: *contacts, failures: *failures };
            let statement =
                PathStatement { counts, is_lost: *is_lost, busy: 0, is_local: number % 2 == 0 };
            monitor.merge_statement(now, peer(number), &PathScope::All, question.run, statement);
        }
        assert_eq!(monitor.state(&service) == PathState::Lost, case.lost, "{}", case.name);
    }
}

/// Returns a monitor that has lost all paths at step 10, by the statement of a peer that has `contacts`.
fn lost_monitor(failure: ContactFailure) -> PathMonitor {
    let mut monitor = PathMonitor::default();
    for step in 0..10 {
        monitor.record_failure(at(step), &Name::from("a"), failed(step, failure), LISTED);
    }
    state_contacts(&mut monitor, 10, peer(1), true);
    assert_eq!(monitor.state(&Name::from("a")), PathState::Lost);
    monitor
}

/// Merges the statement of a peer with contacts, asked for at `step`.
fn state_contacts(monitor: &mut PathMonitor, step: u32, peer: IpAddr, is_local: bool) {
    let (questions, _) = monitor.take_questions(at(step));
    let run = questions.first().expect("peers are asked").run;
    let counts = ContactCounts { contacts: 20, failures: 0 };
    let statement = PathStatement { counts, is_lost: false, busy: 0, is_local };
    monitor.merge_statement(at(step), peer, &PathScope::All, run, statement);
}

/// A statement about an earlier run of failures says nothing about this one.
#[test]
fn statements_about_an_earlier_run_are_dropped() {
    let mut monitor = PathMonitor::default();
    let service = Name::from("a");
    (0..8).for_each(|step| drop(record(&mut monitor, step, 'a')));
    let run = monitor.take_questions(at(8)).0[0].run;
    record(&mut monitor, 9, 'A');
    (10..20).for_each(|step| drop(record(&mut monitor, step, 'a')));
    let counts = ContactCounts { contacts: 9, failures: 0 };
    let statement = PathStatement { counts, is_lost: false, busy: 0, is_local: true };
    assert_eq!(monitor.merge_statement(at(20), peer(1), &PathScope::All, run, statement), None);
    assert_eq!(monitor.state(&service), PathState::Failing);
}

/// Without a peer that can handle requests, a box that believes its paths to be lost tries them itself.
#[test]
fn lost_paths_are_tried_again_if_no_peer_has_contacts_any_more() {
    let mut monitor = lost_monitor(ContactFailure::NotConnected);
    assert_eq!(monitor.route(at(11), &Name::from("b"), false), PathRoute::Relay);
    let (_, changes) = monitor.take_questions(at(31));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].state, PathState::Failing);
    assert_eq!(monitor.route(at(31), &Name::from("b"), false), PathRoute::Direct);
}

struct ReturnCase {
    name: &'static str,
    failure: ContactFailure,
    /// Probes from step 20 on, one a step, and whether each connection comes up.
    probes: &'static [bool],
    /// Whether the paths are used again without a request that was tried.
    restored: bool,
    /// Whether a request that may run once only, and one that may be repeated, is tried right after the probes.
    tried: (bool, bool),
}

const RETURN_CASES: &[ReturnCase] = &[
    ReturnCase {
        name: "connections come up again",
        failure: ContactFailure::NotConnected,
        probes: &[true, true, true],
        restored: true,
        tried: (true, true),
    },
    ReturnCase {
        name: "one connection comes up",
        failure: ContactFailure::NotConnected,
        probes: &[true, false, true, false],
        restored: false,
        tried: (false, false),
    },
    ReturnCase {
        name: "connections came up all the time",
        failure: ContactFailure::Silent,
        probes: &[true, true, true],
        restored: false,
        tried: (false, true),
    },
];

/// Requests that may run once only are no probes of paths on which nothing was answered.
#[test]
fn lost_paths_are_used_again_once_probes_come_up() {
    for case in RETURN_CASES {
        let mut monitor = lost_monitor(case.failure);
        let service = Name::from("a");
        assert!(!monitor.due_probes(at(20)).is_empty(), "{}", case.name);
        for (step, connected) in (20..).zip(case.probes) {
            let target = TargetKey::of(&format!("target-{step}"));
            monitor.record_probe(at(step), &PathScope::All, target, *connected, 6);
        }
        let now = at(24);
        assert_eq!(monitor.state(&service) == PathState::Reaching, case.restored, "{}", case.name);
        let tried = [false, true]
            .map(|repeatable| monitor.route(now, &service, repeatable) == PathRoute::Direct);
        assert_eq!((tried[0], tried[1]), case.tried, "{}", case.name);
    }
}

/// Requests go to a box of the own data centre while one has contacts, and are spread over all that have.
#[test]
fn requests_are_spread_over_the_peers_with_contacts() {
    const REQUESTS: usize = 1000;
    let mut monitor = lost_monitor(ContactFailure::NotConnected);
    for (step, number) in (15..).step_by(5).zip(2..=4) {
        state_contacts(&mut monitor, step, peer(number), number != 4);
    }
    let mut random = SmallRng::seed_from_u64(1);
    let now = at(26);
    let mut open = [0; 5];
    for _ in 0..REQUESTS {
        let chosen = monitor.choose_peer(
            now,
            &Name::from("a"),
            |_| true,
            |known| {
                (1..5)
                    .find(|number| peer(*number) == known)
                    .map_or(0, |number| open[usize::from(number)])
            },
            &mut random,
        );
        let number = (1..5).find(|number| Some(peer(*number)) == chosen).expect("a known peer");
        open[usize::from(number)] += 1;
    }
    assert_eq!(open[4], 0, "the remote peer is not needed: {open:?}");
    let local = &open[1..4];
    assert!(local.iter().all(|count| *count > 250), "{open:?}");
    let remote =
        monitor.choose_peer(now, &Name::from("a"), |known| known == peer(4), |_| 0, &mut random);
    assert_eq!(remote, Some(peer(4)), "a remote one is chosen if no local one is allowed");
}

/// A connection from before the paths were lost may live on, and its answer is no sign that new ones come up.
#[test]
fn answers_to_attempts_from_before_do_not_end_a_run() {
    let mut monitor = PathMonitor::default();
    (5..9).for_each(|step| drop(record(&mut monitor, step, 'a')));
    assert_eq!(monitor.record_contact(at(2), &Name::from("a")), Vec::new());
    assert_eq!(monitor.state(&Name::from("a")), PathState::Failing);
    assert_eq!(monitor.record_contact(at(6), &Name::from("a")).len(), 2);
}

/// One service whose targets were down for all made a box refuse the requests for all others: its only peer had declined.
#[test]
fn a_peer_that_declines_for_one_service_handles_requests_for_others() {
    let mut monitor = lost_monitor(ContactFailure::NotConnected);
    let mut random = SmallRng::seed_from_u64(1);
    let mut choose = |monitor: &PathMonitor, service: &str| {
        monitor.choose_peer(at(11), &Name::from(service), |_| true, |_| 0, &mut random)
    };
    monitor.record_declined(peer(1), &Name::from("b"));
    assert_eq!(choose(&monitor, "b"), None);
    assert_eq!(choose(&monitor, "c"), Some(peer(1)));
    assert_eq!(monitor.route(at(11), &Name::from("b"), true), PathRoute::Relay, "still lost");
    state_contacts(&mut monitor, 15, peer(1), true);
    assert_eq!(choose(&monitor, "b"), Some(peer(1)), "after its next statement");
}

struct ChanceCase {
    name: &'static str,
    /// Share of the attempts of all boxes that come to no contact.
    failure_share: f64,
    /// Number of targets.
    targets: u32,
}

const CHANCE_CASES: &[ChanceCase] = &[
    ChanceCase { name: "few failures", failure_share: 0.02, targets: 36 },
    ChanceCase { name: "one in ten", failure_share: 0.1, targets: 36 },
    ChanceCase { name: "a third", failure_share: 0.33, targets: 9 },
    ChanceCase { name: "most", failure_share: 0.7, targets: 9 },
    ChanceCase { name: "nearly all", failure_share: 0.95, targets: 9 },
    ChanceCase { name: "a third, two targets", failure_share: 0.33, targets: 2 },
];

/// With the same share of failures at all boxes no box must judge its paths as lost, whatever the share.
#[test]
fn failures_that_all_boxes_share_are_no_lost_paths() {
    /// Attempts of each case, an hour of virtual time.
    const STEPS: u32 = 3600 * 10;
    const PEERS: u8 = 12;
    for case in CHANCE_CASES {
        let mut random = SmallRng::seed_from_u64(7);
        let mut monitor = PathMonitor::default();
        let service = Name::from("a");
        let targets = case.targets as usize;
        let listed = ListedTargets { of_service: targets, all: targets };
        let mut lost = 0;
        for step in 0..STEPS {
            let now = at(step);
            let attempt = FailedAttempt {
                target: TargetKey(random.random_range(0..case.targets).into()),
                started: now,
                failure: ContactFailure::NotConnected,
            };
            let changes = if random.random_bool(case.failure_share) {
                monitor.record_failure(now, &service, attempt, listed)
            } else {
                monitor.record_contact(now, &service)
            };
            lost += changes.iter().filter(|change| change.state == PathState::Lost).count();
            let (questions, _) = monitor.take_questions(now);
            for question in questions {
                // A peer makes as many attempts as this box; at least 50 ms of the time are not counted.
                let attempts = (question.age.as_millis().saturating_sub(50).min(2000) / 100) as u32;
                for number in 0..PEERS {
                    let is_failure = |_: &u32| random.random_bool(case.failure_share);
                    let failures = (0..attempts).filter(is_failure).count() as u32;
                    let counts = ContactCounts { contacts: attempts - failures, failures };
                    let (is_lost, is_local) = (false, true);
                    let statement = PathStatement { counts, is_lost, busy: 0, is_local };
                    let scope = &question.scope;
                    let change =
                        monitor.merge_statement(now, peer(number), scope, question.run, statement);
                    lost +=
                        usize::from(change.is_some_and(|change| change.state == PathState::Lost));
                }
            }
        }
        assert_eq!(lost, 0, "{}", case.name);
    }
}
