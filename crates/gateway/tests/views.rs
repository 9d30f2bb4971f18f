//! Views of the store: what a box takes, keeps and drops.

mod harness;

use std::time::{Duration, Instant};

use harness::{StoreStandin, config, entry, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::view::{CachedView, ConfigText, StoreView, TargetEntry};

/// A gap after which the store counts as having been away.
const OUTAGE: Duration = Duration::from_secs(5);

fn view(revision: u64, targets: &[TargetEntry]) -> StoreView {
    StoreView {
        revision,
        config_revision: 0,
        config: None,
        targets: targets.to_vec(),
        ..StoreView::default()
    }
}

fn ids(known: &CachedView, now: Instant) -> Vec<String> {
    let mut ids: Vec<String> =
        known.usable(now).iter().map(|target| target.id.to_string()).collect();
    ids.sort();
    ids
}

fn named(id: &str) -> TargetEntry {
    entry(id, "s", "10.0.0.1:80")
}

#[test]
fn a_target_that_is_gone_or_leaves_gets_nothing() {
    let port = StoreStandin::default().port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    known.apply(view(1, &[named("a"), named("b"), named("c")]), start, &*port);
    let mut leaving = named("b");
    leaving.draining = true;
    let soon = start + Duration::from_millis(500);
    let change = known.apply(view(2, &[named("a"), leaving]), soon, &*port);
    assert_eq!(ids(&known, soon), ["a"]);
    assert_eq!(change.departed.len(), 2);
    // An older reading that arrives late brings nothing back.
    known.apply(view(1, &[named("a"), named("b"), named("c")]), soon, &*port);
    assert_eq!(ids(&known, soon), ["a"]);
    // Nor does a leaving target come back under its name.
    known.apply(view(3, &[named("a"), named("b")]), soon, &*port);
    assert_eq!(ids(&known, soon), ["a"]);
    // One that was cut from the store does.
    known.apply(view(4, &[named("a"), named("c")]), soon, &*port);
    assert_eq!(ids(&known, soon), ["a", "c"]);
}

#[test]
fn entries_that_an_outage_took_have_two_seconds_to_return() {
    let port = StoreStandin::default().port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    known.apply(view(1, &[named("a"), named("b"), named("c")]), start, &*port);
    let back = start + OUTAGE;
    known.apply(view(2, &[named("a")]), back, &*port);
    assert_eq!(ids(&known, back), ["a", "b", "c"], "lapsed ones are used on");
    let later = back + Duration::from_millis(1500);
    known.apply(view(3, &[named("a"), named("b")]), later, &*port);
    assert_eq!(ids(&known, later), ["a", "b", "c"]);
    let over = back + Duration::from_millis(2100);
    assert_eq!(ids(&known, over), ["a", "b"], "one that did not return is gone");
    assert!(known.drop_lapsed(over));
    assert!(!known.drop_lapsed(over));
}

#[test]
fn a_target_that_left_before_an_outage_stays_away() {
    let port = StoreStandin::default().port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    let mut leaving = named("b");
    leaving.draining = true;
    known.apply(view(1, &[named("a"), leaving]), start, &*port);
    let back = start + OUTAGE;
    known.apply(view(2, &[named("a")]), back, &*port);
    assert_eq!(ids(&known, back), ["a"]);
}

#[test]
fn an_age_never_grows_younger_by_an_old_reading() {
    let port = StoreStandin::default().port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    let late = start + Duration::from_secs(1);
    known.apply(view(5, &[named("a")]), late, &*port);
    known.confirm(5, start);
    assert_eq!(known.as_of(), Some(late));
    known.confirm(4, late + Duration::from_secs(1));
    assert_eq!(known.as_of(), Some(late), "a peer that is behind confirms nothing");
    known.confirm(6, late + Duration::from_secs(2));
    assert_eq!((known.revision(), known.as_of()), (6, Some(late + Duration::from_secs(2))));
}

struct ConfigCase {
    name: &'static str,
    version: u64,
    decodes: bool,
    in_force: u64,
}

const CONFIGS: &[ConfigCase] = &[
    ConfigCase { name: "the first", version: 3, decodes: true, in_force: 3 },
    ConfigCase { name: "a newer one", version: 5, decodes: true, in_force: 5 },
    ConfigCase { name: "one that can't be read", version: 6, decodes: false, in_force: 5 },
    ConfigCase { name: "an older one", version: 4, decodes: true, in_force: 5 },
    ConfigCase { name: "a good one again", version: 7, decodes: true, in_force: 7 },
];

#[test]
fn configurations_never_go_back_and_bad_ones_change_nothing() {
    let store = StoreStandin::default();
    let port = store.port(true);
    let mut known = CachedView::default();
    for (number, case) in CONFIGS.iter().enumerate() {
        store.put_config(config(case.version, vec![route("r", "s", RouteKind::Repeatable)]));
        let text = if case.decodes { case.version.to_string() } else { "cut".into() };
        let revision = number as u64 + 1;
        let config = Some(ConfigText { revision, text: text.into_bytes().into() });
        let change = known.apply(
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
        let version = known.config().map(|config| config.version);
        assert_eq!(version, Some(case.in_force), "{}", case.name);
        assert_eq!(change.refused.is_some(), case.in_force != case.version, "{}", case.name);
    }
}

#[test]
fn digests_tell_views_apart() {
    let base = view(1, &[named("a"), named("b")]);
    let mut other = base.clone();
    other.targets[1].draining = true;
    assert_ne!(base.digest(), other.digest());
    let moved = view(1, &[named("a"), entry("b", "s", "10.0.0.2:80")]);
    assert_ne!(base.digest(), moved.digest());
    assert_eq!(
        base.digest(),
        view(9, &[named("a"), named("b")]).digest(),
        "the revision alone is no delta"
    );
}

/// A target in its life that began at `born_ms`.
fn born(id: &str, born_ms: u64) -> TargetEntry {
    TargetEntry { born_ms, ..named(id) }
}

fn leaving(target: TargetEntry) -> TargetEntry {
    TargetEntry { draining: true, ..target }
}

struct LifeCase {
    name: &'static str,
    /// What is listed, one reading after the other.
    listed: &'static [&'static [(u64, bool)]],
    /// The life that is used in the end, if one is.
    used: Option<u64>,
}

const LIVES: &[LifeCase] = &[
    LifeCase {
        name: "it starts again",
        listed: &[&[(100, false)], &[(200, false)]],
        used: Some(200),
    },
    LifeCase {
        name: "it left, and starts again",
        listed: &[&[(100, true)], &[(200, false)]],
        used: Some(200),
    },
    LifeCase {
        name: "the life that left is listed again",
        listed: &[&[(100, true)], &[(100, false)]],
        used: None,
    },
    LifeCase {
        name: "an older life's word comes late",
        listed: &[&[(100, false)], &[(200, false)], &[(100, false)]],
        used: Some(200),
    },
    LifeCase {
        name: "an older life leaves late",
        listed: &[&[(200, false)], &[(100, true)]],
        used: Some(200),
    },
    LifeCase {
        name: "the younger one leaves after the older one's late word",
        listed: &[&[(200, false)], &[(100, false)], &[(200, true)]],
        used: None,
    },
    LifeCase {
        name: "the older life's word comes after the younger one is gone",
        listed: &[&[(100, false)], &[(200, false)], &[], &[(100, false)]],
        used: None,
    },
    LifeCase {
        name: "a third life after that",
        listed: &[&[(100, false)], &[(200, false)], &[], &[(100, false)], &[(300, false)]],
        used: Some(300),
    },
    LifeCase {
        name: "one that tells no life comes back as the same",
        listed: &[&[(0, false)], &[], &[(0, false)]],
        used: Some(0),
    },
];

#[test]
fn the_youngest_life_of_a_target_is_the_one_that_counts() {
    let port = StoreStandin::default().port(true);
    for case in LIVES {
        let (mut known, start) = (CachedView::default(), Instant::now());
        for (number, listed) in case.listed.iter().enumerate() {
            let entry = |(life, leaves): &(u64, bool)| {
                if *leaves { leaving(born("a", *life)) } else { born("a", *life) }
            };
            let listed: Vec<TargetEntry> = listed.iter().map(entry).collect();
            let at = start + Duration::from_millis(300 * number as u64);
            known.apply(view(number as u64 + 1, &listed), at, &*port);
        }
        let lives: Vec<u64> = known.usable(start).iter().map(|target| target.born_ms).collect();
        assert_eq!(lives, case.used.into_iter().collect::<Vec<_>>(), "{}", case.name);
    }
}

#[test]
fn a_new_life_is_news_for_peers_and_for_the_log() {
    let port = StoreStandin::default().port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    known.apply(view(1, &[born("a", 100)]), start, &*port);
    let before = known.digest();
    let change = known.apply(view(2, &[born("a", 200)]), start, &*port);
    assert_ne!(known.digest(), before, "a peer that holds the older life asks for the listing");
    assert_eq!((change.targets_changed, change.restarted.len()), (true, 1));
    let delta = known.delta_from(before).expect("it is remembered");
    assert_eq!(delta.changed[0].born_ms, 200);
}
