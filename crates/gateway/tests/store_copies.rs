//! What a copy of the store may take back from a box's view: nothing that was acknowledged before.

mod harness;

use std::time::{Duration, Instant};

use harness::{StoreStandin, config, entry, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::store_revision::{ConfigId, StoreRevision};
use wingbridge_gateway::view::{CachedView, ConfigText, StoreView, TargetEntry};

/// Time until targets and operators have written again what was lost.
const REWRITE: Duration = Duration::from_millis(1500);
/// A time after which nothing holds in place of the copy any more.
const LONG: Duration = Duration::from_secs(10);

/// What a reading contains.
#[derive(Clone, Copy, Default)]
struct Reading {
    config: Option<u64>,
    ready: &'static [&'static str],
    draining: &'static [&'static str],
    evacuated: &'static [&'static str],
}

/// What is in force after a reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct InForce {
    config: u64,
    used: &'static [&'static str],
    evacuated: &'static [&'static str],
}

struct CopyCase {
    name: &'static str,
    /// Readings before the return, in order.
    before: &'static [Reading],
    /// The first reading of the copy, and what is in force then.
    copy: Reading,
    at_once: InForce,
    /// A reading after what was lost has been written again.
    rewritten: Reading,
    at_last: InForce,
}

const BOTH: Reading =
    Reading { config: Some(5), ready: &["a", "b"], draining: &[], evacuated: &[] };
const ONE: Reading = Reading { ready: &["a"], ..BOTH };
const DRAINING: Reading = Reading { ready: &["a"], draining: &["b"], ..BOTH };
const EVACUATED: Reading = Reading { evacuated: &["z"], ..BOTH };
const USES_BOTH: InForce = InForce { config: 5, used: &["a", "b"], evacuated: &[] };
const USES_ONE: InForce = InForce { used: &["a"], ..USES_BOTH };
const KEEPS_EVACUATED: InForce = InForce { evacuated: &["z"], ..USES_BOTH };

const COPIES: &[CopyCase] = &[
    CopyCase {
        name: "an older configuration",
        before: &[Reading { config: Some(4), ..BOTH }, BOTH],
        copy: Reading { config: Some(4), ..BOTH },
        at_once: USES_BOTH,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "no configuration",
        before: &[BOTH],
        copy: Reading { config: None, ..BOTH },
        at_once: USES_BOTH,
        rewritten: Reading { config: Some(6), ..BOTH },
        at_last: InForce { config: 6, ..USES_BOTH },
    },
    CopyCase {
        name: "a draining target is ready",
        before: &[BOTH, DRAINING],
        copy: BOTH,
        at_once: USES_ONE,
        rewritten: DRAINING,
        at_last: USES_ONE,
    },
    CopyCase {
        name: "a target that had drained and ended is ready",
        before: &[BOTH, DRAINING, ONE],
        copy: BOTH,
        at_once: USES_ONE,
        rewritten: ONE,
        at_last: USES_ONE,
    },
    CopyCase {
        name: "a target that was removed without draining is ready",
        before: &[BOTH, ONE],
        copy: BOTH,
        at_once: USES_ONE,
        rewritten: ONE,
        at_last: USES_ONE,
    },
    CopyCase {
        name: "a target that was removed runs again",
        before: &[BOTH, ONE],
        copy: BOTH,
        at_once: USES_ONE,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "a target is missing",
        before: &[ONE, BOTH],
        copy: ONE,
        at_once: USES_BOTH,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "a target is missing and does not come back",
        before: &[ONE, BOTH],
        copy: ONE,
        at_once: USES_BOTH,
        rewritten: ONE,
        at_last: USES_ONE,
    },
    CopyCase {
        name: "an evacuation is missing",
        before: &[BOTH, EVACUATED],
        copy: BOTH,
        at_once: KEEPS_EVACUATED,
        rewritten: EVACUATED,
        at_last: KEEPS_EVACUATED,
    },
    CopyCase {
        name: "an evacuation is missing and is not written again",
        before: &[BOTH, EVACUATED],
        copy: BOTH,
        at_once: KEEPS_EVACUATED,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "a revoked evacuation is back",
        before: &[EVACUATED, BOTH],
        copy: EVACUATED,
        at_once: USES_BOTH,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "a new evacuation is in force at once",
        before: &[BOTH],
        copy: EVACUATED,
        at_once: KEEPS_EVACUATED,
        rewritten: EVACUATED,
        at_last: KEEPS_EVACUATED,
    },
    CopyCase {
        name: "a new target is used at once",
        before: &[ONE],
        copy: BOTH,
        at_once: USES_BOTH,
        rewritten: BOTH,
        at_last: USES_BOTH,
    },
    CopyCase {
        name: "a target that drains is not used",
        before: &[BOTH],
        copy: DRAINING,
        at_once: USES_ONE,
        rewritten: DRAINING,
        at_last: USES_ONE,
    },
];

fn view(reading: Reading, revision: StoreRevision) -> StoreView {
    let named = |name: &&str| entry(name, "s", "10.0.0.1:80");
    let ready = reading.ready.iter().map(named);
    let draining =
        reading.draining.iter().map(|name| TargetEntry { draining: true, ..named(name) });
    let text =
        |version: u64| ConfigText { revision, text: version.to_string().into_bytes().into() };
    let config = reading.config.map(text);
    StoreView {
        revision,
        config_revision: config.as_ref().map_or(StoreRevision::NONE, |config| config.revision),
        config,
        targets: ready.chain(draining).collect(),
        evacuated: reading.evacuated.iter().map(|name| (*name).into()).collect(),
        ..StoreView::default()
    }
}

fn check(cached: &CachedView, now: Instant, expected: InForce, what: &str) {
    let mut used: Vec<&str> = cached.usable(now).iter().map(|target| &*target.id).collect();
    used.sort_unstable();
    let evacuated: Vec<&str> = cached.evacuated_in_force().iter().map(|name| &**name).collect();
    let config = cached.config().map_or(0, |config| config.version);
    assert_eq!(config, expected.config, "configuration: {what}");
    assert_eq!(used, expected.used, "targets: {what}");
    assert_eq!(evacuated, expected.evacuated, "evacuations: {what}");
}

#[test]
fn a_copy_of_the_store_takes_back_nothing_that_was_acknowledged() {
    let store = StoreStandin::default();
    for version in 4..=6 {
        store.put_config(config(version, vec![route("r", "s", RouteKind::Repeatable)]));
    }
    let port = store.port(true);
    for case in COPIES {
        let (mut cached, start) = (CachedView::default(), Instant::now());
        for (number, reading) in case.before.iter().enumerate() {
            let revision = StoreRevision { era: 1, number: 100 + number as u64 };
            cached.apply(view(*reading, revision), start, &*port);
        }
        let change =
            cached.apply(view(case.copy, StoreRevision { era: 2, number: 50 }), start, &*port);
        assert!(change.returned, "{}", case.name);
        check(&cached, start, case.at_once, case.name);
        // A reading of the earlier era that arrives late changes nothing.
        let late = Reading { ready: &["late"], ..BOTH };
        let change = cached.apply(view(late, StoreRevision { era: 1, number: 900 }), start, &*port);
        assert!(change.is_outdated, "{}", case.name);
        check(&cached, start, case.at_once, case.name);
        let later = start + REWRITE;
        let change =
            cached.apply(view(case.rewritten, StoreRevision { era: 2, number: 60 }), later, &*port);
        assert!(!change.returned, "{}", case.name);
        let last = start + LONG;
        cached.drop_lapsed(last);
        cached.end_overrides(last);
        check(&cached, last, case.at_last, case.name);
        assert_eq!(cached.next_lapse(), None, "{}: nothing is left", case.name);
    }
}

/// What holds in place of a copy holds on while the store comes back again.
#[test]
fn a_second_return_takes_back_nothing_either() {
    let port = StoreStandin::default().port(true);
    let without = |reading: Reading| Reading { config: None, ..reading };
    let cases = [("missing", BOTH, ONE), ("removed", ONE, BOTH), ("evacuated", EVACUATED, BOTH)];
    for (name, held, copy) in cases {
        let (mut cached, start) = (CachedView::default(), Instant::now());
        cached.apply(view(without(BOTH), StoreRevision { era: 1, number: 99 }), start, &*port);
        cached.apply(view(without(held), StoreRevision { era: 1, number: 100 }), start, &*port);
        let mut in_force = Vec::new();
        for era in 2..5 {
            let now = start + REWRITE * (era - 2);
            let revision = StoreRevision { era: u64::from(era), number: 50 };
            cached.apply(view(without(copy), revision), now, &*port);
            cached.drop_lapsed(now);
            cached.end_overrides(now);
            let used: Vec<String> =
                cached.usable(now).iter().map(|target| target.id.to_string()).collect();
            in_force.push((used.len(), cached.evacuated_in_force().to_vec()));
        }
        let first = in_force[0].clone();
        assert!(in_force.iter().all(|state| *state == first), "{name}: {in_force:?}");
    }
}

/// The change of a listing that a peer reports as confirmed is of the new era, too.
#[test]
fn a_peer_with_the_same_listing_confirms_it_in_a_new_era() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let reading = Reading { config: None, ..BOTH };
    cached.apply(view(reading, StoreRevision { era: 1, number: 100 }), start, &*port);
    let of_copy = StoreRevision { era: 2, number: 50 };
    assert!(cached.confirm(of_copy, start));
    assert_eq!((cached.revision(), cached.target_poll_revision()), (of_copy, None));
    let late = StoreRevision { era: 1, number: 900 };
    assert!(!cached.confirm(late, start + LONG));
    assert_eq!((cached.revision(), cached.as_of()), (of_copy, Some(start)));
}

struct OrderCase {
    name: &'static str,
    one: (u64, u64, u64),
    other: (u64, u64, u64),
    is_newer: bool,
}

/// Configurations as version, era and number.
const ORDER: &[OrderCase] = &[
    OrderCase { name: "a later write", one: (6, 1, 9), other: (5, 1, 8), is_newer: true },
    OrderCase { name: "the same", one: (5, 1, 8), other: (5, 1, 8), is_newer: false },
    OrderCase { name: "rewritten", one: (5, 2, 3), other: (5, 1, 8), is_newer: true },
    OrderCase { name: "an older one in a copy", one: (4, 2, 3), other: (5, 1, 8), is_newer: false },
    OrderCase { name: "in force at a peer", one: (5, 1, 8), other: (4, 2, 3), is_newer: true },
    OrderCase { name: "the same revision", one: (6, 2, 8), other: (5, 1, 8), is_newer: true },
    OrderCase { name: "an earlier release", one: (0, 0, 9), other: (5, 0, 8), is_newer: true },
    OrderCase { name: "its older news", one: (0, 0, 9), other: (5, 1, 8), is_newer: false },
    OrderCase { name: "the first one", one: (1, 0, 1), other: (0, 0, 0), is_newer: true },
];

#[test]
fn versions_decide_between_configurations_of_two_eras() {
    let id = |(version, era, number)| ConfigId { version, revision: StoreRevision { era, number } };
    for case in ORDER {
        assert_eq!(id(case.one).is_newer_than(id(case.other)), case.is_newer, "{}", case.name);
    }
}

/// A target that had started again was reported as ended, because the copy listed its earlier start.
#[test]
fn a_copy_with_an_earlier_incarnation_ends_no_target() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let started = |started_ms| TargetEntry { started_ms, ..entry("a", "s", "10.0.0.1:80") };
    let listing = |era, number, started_ms| StoreView {
        revision: StoreRevision { era, number },
        targets: vec![started(started_ms)],
        ..StoreView::default()
    };
    cached.apply(listing(1, 100, 1), start, &*port);
    let restart = cached.apply(listing(1, 101, 2), start, &*port);
    assert_eq!((restart.ended.len(), restart.restarted.len()), (1, 1));
    let copy = cached.apply(listing(2, 50, 1), start, &*port);
    assert_eq!((copy.ended, copy.restarted), (Vec::new(), Vec::new()));
    assert_eq!(cached.usable(start)[0].started_ms, 2, "the later incarnation stays in use");
    let rewritten = cached.apply(listing(2, 60, 2), start, &*port);
    assert_eq!((rewritten.ended, rewritten.restarted), (Vec::new(), Vec::new()));
}
