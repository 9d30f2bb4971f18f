//! The box's view of the store: which readings are applied, and which targets stay in use or are dropped.

mod harness;

use std::time::{Duration, Instant};

use harness::{StoreStandin, config, entry, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::store_revision::StoreRevision;
use wingbridge_gateway::view::{CachedView, ConfigText, StoreView, TargetEntry};

/// Gap between two readings that counts as an outage of the store.
const OUTAGE: Duration = Duration::from_secs(5);

fn view(revision: u64, targets: &[TargetEntry]) -> StoreView {
    StoreView {
        revision: revision.into(),
        config_revision: StoreRevision::NONE,
        config: None,
        targets: targets.to_vec(),
        ..StoreView::default()
    }
}

fn ids(cached: &CachedView, now: Instant) -> Vec<String> {
    let mut ids: Vec<String> =
        cached.usable(now).iter().map(|target| target.id.to_string()).collect();
    ids.sort();
    ids
}

fn named(id: &str) -> TargetEntry {
    entry(id, "s", "10.0.0.1:80")
}

#[test]
fn removed_and_draining_targets_are_not_used() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    cached.apply(view(1, &[named("a"), named("b"), named("c")]), start, &*port);
    let mut draining_b = named("b");
    draining_b.draining = true;
    let soon = start + Duration::from_millis(500);
    let change = cached.apply(view(2, &[named("a"), draining_b]), soon, &*port);
    assert_eq!(ids(&cached, soon), ["a"]);
    assert_eq!(change.departed.len(), 2);
    // An older reading that arrives late does not restore them.
    cached.apply(view(1, &[named("a"), named("b"), named("c")]), soon, &*port);
    assert_eq!(ids(&cached, soon), ["a"]);
    // A drained incarnation does not return, even if it is listed again.
    cached.apply(view(3, &[named("a"), named("b")]), soon, &*port);
    assert_eq!(ids(&cached, soon), ["a"]);
    // A target that was cut off from the store returns when it is listed again.
    cached.apply(view(4, &[named("a"), named("c")]), soon, &*port);
    assert_eq!(ids(&cached, soon), ["a", "c"]);
}

#[test]
fn targets_missing_after_an_outage_have_two_seconds_to_return() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    cached.apply(view(1, &[named("a"), named("b"), named("c")]), start, &*port);
    let back = start + OUTAGE;
    cached.apply(view(2, &[named("a")]), back, &*port);
    assert_eq!(ids(&cached, back), ["a", "b", "c"], "lapsed targets stay in use");
    let later = back + Duration::from_millis(1500);
    cached.apply(view(3, &[named("a"), named("b")]), later, &*port);
    assert_eq!(ids(&cached, later), ["a", "b", "c"]);
    let over = back + Duration::from_millis(2100);
    assert_eq!(ids(&cached, over), ["a", "b"], "a target that did not return is dropped");
    assert!(cached.drop_lapsed(over));
    assert!(!cached.drop_lapsed(over));
}

#[test]
fn a_target_that_drained_before_an_outage_is_not_used_after_it() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let mut draining_b = named("b");
    draining_b.draining = true;
    cached.apply(view(1, &[named("a"), draining_b]), start, &*port);
    let back = start + OUTAGE;
    cached.apply(view(2, &[named("a")]), back, &*port);
    assert_eq!(ids(&cached, back), ["a"]);
}

#[test]
fn an_older_reading_does_not_change_the_age() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let late = start + Duration::from_secs(1);
    cached.apply(view(5, &[named("a")]), late, &*port);
    cached.confirm(5.into(), start);
    assert_eq!(cached.as_of(), Some(late));
    cached.confirm(4.into(), late + Duration::from_secs(1));
    assert_eq!(cached.as_of(), Some(late), "a peer with an older listing confirms nothing");
    cached.confirm(6.into(), late + Duration::from_secs(2));
    assert_eq!(
        (cached.revision(), cached.as_of()),
        (6.into(), Some(late + Duration::from_secs(2)))
    );
}

struct ConfigCase {
    name: &'static str,
    version: u64,
    decodes: bool,
    in_force: u64,
}

const CONFIGS: &[ConfigCase] = &[
    ConfigCase { name: "the first version", version: 3, decodes: true, in_force: 3 },
    ConfigCase { name: "a newer version", version: 5, decodes: true, in_force: 5 },
    ConfigCase { name: "a version that can't be decoded", version: 6, decodes: false, in_force: 5 },
    ConfigCase { name: "an older version", version: 4, decodes: true, in_force: 5 },
    ConfigCase {
        name: "a valid version after the refused ones",
        version: 7,
        decodes: true,
        in_force: 7,
    },
];

#[test]
fn older_and_malformed_configurations_are_refused() {
    let store = StoreStandin::default();
    let port = store.port(true);
    let mut cached = CachedView::default();
    for (number, case) in CONFIGS.iter().enumerate() {
        store.put_config(config(case.version, vec![route("r", "s", RouteKind::Repeatable)]));
        let text = if case.decodes { case.version.to_string() } else { "cut".into() };
        let revision = StoreRevision::from(number as u64 + 1);
        let config = Some(ConfigText { revision, text: text.into_bytes().into() });
        let change = cached.apply(
            StoreView {
                revision,
                config_revision: revision,
                config,
                targets: Vec::new(),
                ..StoreView::default()
            },
            Instant::now(),
            &*port,
        );
        let version = cached.config().map(|config| config.version);
        assert_eq!(version, Some(case.in_force), "{}", case.name);
        assert_eq!(change.refused.is_some(), case.in_force != case.version, "{}", case.name);
    }
}

#[test]
fn digests_of_different_listings_differ() {
    let base = view(1, &[named("a"), named("b")]);
    let mut other = base.clone();
    other.targets[1].draining = true;
    assert_ne!(base.digest(), other.digest());
    let moved = view(1, &[named("a"), entry("b", "s", "10.0.0.2:80")]);
    assert_ne!(base.digest(), moved.digest());
    assert_eq!(
        base.digest(),
        view(9, &[named("a"), named("b")]).digest(),
        "the revision is not part of the digest"
    );
}

/// Returns the entry of the incarnation of a target that started at `started_ms`.
fn incarnation(id: &str, started_ms: u64) -> TargetEntry {
    TargetEntry { started_ms, ..named(id) }
}

fn draining(target: TargetEntry) -> TargetEntry {
    TargetEntry { draining: true, ..target }
}

struct IncarnationCase {
    name: &'static str,
    /// Entries in successive readings, each with its incarnation and whether it is draining.
    listed: &'static [&'static [(u64, bool)]],
    /// The incarnation that is in use after the last reading, if any.
    used: Option<u64>,
}

const INCARNATIONS: &[IncarnationCase] = &[
    IncarnationCase {
        name: "it restarts",
        listed: &[&[(100, false)], &[(200, false)]],
        used: Some(200),
    },
    IncarnationCase {
        name: "it drained and restarts",
        listed: &[&[(100, true)], &[(200, false)]],
        used: Some(200),
    },
    IncarnationCase {
        name: "the drained incarnation is listed again",
        listed: &[&[(100, true)], &[(100, false)]],
        used: None,
    },
    IncarnationCase {
        name: "a delayed write of an older incarnation",
        listed: &[&[(100, false)], &[(200, false)], &[(100, false)]],
        used: Some(200),
    },
    IncarnationCase {
        name: "a delayed write of an older incarnation that drains",
        listed: &[&[(200, false)], &[(100, true)]],
        used: Some(200),
    },
    IncarnationCase {
        name: "the newer incarnation drains after a delayed write of the older one",
        listed: &[&[(200, false)], &[(100, false)], &[(200, true)]],
        used: None,
    },
    IncarnationCase {
        name: "a delayed write of the older incarnation after the newer one was removed",
        listed: &[&[(100, false)], &[(200, false)], &[], &[(100, false)]],
        used: None,
    },
    IncarnationCase {
        name: "a third incarnation after that",
        listed: &[&[(100, false)], &[(200, false)], &[], &[(100, false)], &[(300, false)]],
        used: Some(300),
    },
    IncarnationCase {
        name: "a target without a reported start returns as the same incarnation",
        listed: &[&[(0, false)], &[], &[(0, false)]],
        used: Some(0),
    },
];

#[test]
fn only_the_newest_incarnation_of_a_target_is_used() {
    let port = StoreStandin::default().port(true);
    for case in INCARNATIONS {
        let (mut cached, start) = (CachedView::default(), Instant::now());
        for (number, listed) in case.listed.iter().enumerate() {
            let entry = |(started_ms, is_draining): &(u64, bool)| {
                if *is_draining {
                    draining(incarnation("a", *started_ms))
                } else {
                    incarnation("a", *started_ms)
                }
            };
            let listed: Vec<TargetEntry> = listed.iter().map(entry).collect();
            let at = start + Duration::from_millis(300 * number as u64);
            cached.apply(view(number as u64 + 1, &listed), at, &*port);
        }
        let used: Vec<u64> = cached.usable(start).iter().map(|target| target.started_ms).collect();
        assert_eq!(used, case.used.into_iter().collect::<Vec<_>>(), "{}", case.name);
    }
}

#[test]
fn a_restart_changes_the_digest_and_is_reported() {
    let port = StoreStandin::default().port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    cached.apply(view(1, &[incarnation("a", 100)]), start, &*port);
    let before = cached.digest();
    let change = cached.apply(view(2, &[incarnation("a", 200)]), start, &*port);
    assert_ne!(
        cached.digest(),
        before,
        "a peer that holds the older incarnation requests the listing"
    );
    assert_eq!((change.targets_changed, change.restarted.len()), (true, 1));
    let delta = cached.delta_from(before).expect("the change is in the history");
    assert_eq!(delta.changed[0].started_ms, 200);
}
