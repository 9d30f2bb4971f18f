//! What boxes tell each other of targets and configurations: the delta, and never
//! anything but what the other one holds.

mod harness;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use harness::{StoreStandin, config, entry, route};
use proptest::prelude::*;
use wingbridge_decide::TargetKey;
use wingbridge_gateway::ports::TargetListing;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::text_patch::{PatchError, apply_patch, make_patch};
use wingbridge_gateway::view::{CachedView, ConfigText, PeerListingDelta, StoreView, TargetEntry};

/// Routes of a large configuration, some 170 bytes each.
const ROUTES: usize = 4200;

fn routes(numbers: impl Iterator<Item = usize>, weight: usize) -> Vec<u8> {
    let route = |number: usize| {
        // Names are in no order, so that new ones come in between.
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) % 100_000_007;
        format!(
            r#""r-{name:x}":{{"host":"h{name}.example","path_prefix":"/p{name:o}/","kind":"idempotent","timeout":"3000ms","goal":"1200ms","backends":[{{"service":"s","weight":{weight}}}],"attempts":2}}"#
        )
    };
    let mut routes: Vec<String> = numbers.map(route).collect();
    routes.sort();
    format!(r#"{{"routes":{{{}}}}}"#, routes.join(",")).into_bytes()
}

struct PatchCase {
    name: &'static str,
    old: Vec<u8>,
    new: Vec<u8>,
    /// Bytes that the patch may have at most.
    most: usize,
}

/// The figures are those that the product plans its times by: 10 Mbit/s carry 125 KB in a
/// tenth of a second.
#[test]
fn a_patch_has_little_more_than_what_is_new() {
    let base = || routes(0..ROUTES, 10);
    let mut one_weight = base();
    let at = one_weight.len() / 2;
    let digit = one_weight[at..].iter().position(|byte| *byte == b'9').expect("a number");
    one_weight[at + digit] = b'8';
    let cases = [
        PatchCase { name: "nothing", old: base(), new: base(), most: 32 },
        PatchCase { name: "one figure", old: base(), new: one_weight, most: 512 },
        PatchCase {
            name: "a third more",
            old: base(),
            new: routes(0..ROUTES / 3 * 4, 10),
            most: 120_000,
        },
        PatchCase { name: "all gone", old: base(), new: b"{}".to_vec(), most: 64 },
        PatchCase { name: "the first", old: Vec::new(), new: base(), most: 320_000 },
    ];
    for case in cases {
        let patch = make_patch(&case.old, &case.new);
        assert!(patch.len() <= case.most, "{}: {} bytes", case.name, patch.len());
        assert_eq!(apply_patch(&case.old, &patch), Ok(case.new), "{}", case.name);
    }
}

#[test]
fn a_patch_that_makes_too_much_is_refused_before_it_does() {
    let mut patch = make_patch(b"", b"text");
    patch[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(apply_patch(b"", &patch), Err(PatchError::TooLong));
    assert_eq!(apply_patch(b"", b""), Err(PatchError::Malformed));
    let other_base = make_patch(&routes(0..9, 1), &routes(0..9, 1));
    assert_eq!(apply_patch(b"short", &other_base), Err(PatchError::OutOfRange));
}

fn text() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        "[a-c]{0,40}\\}".prop_map(String::into_bytes),
        "[a-c]{0,90}\n".prop_map(String::into_bytes),
        proptest::collection::vec(any::<u8>(), 0..60),
    ];
    proptest::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

proptest! {
    #[test]
    fn a_patch_makes_the_new_text_of_the_old_one(old in text(), new in text()) {
        prop_assert_eq!(apply_patch(&old, &make_patch(&old, &new)), Ok(new));
    }

    #[test]
    fn a_patch_that_was_spoiled_harms_nobody(old in text(), new in text(), at: usize, byte: u8) {
        let mut patch = make_patch(&old, &new);
        let at = at % patch.len();
        patch[at] = byte;
        // What comes of it is told apart by the hash that goes with it.
        let _ = apply_patch(&old, &patch[..at]);
        let _ = apply_patch(&old, &patch);
    }

    /// A peer that holds any of the last listings makes the newest one of the delta.
    #[test]
    fn a_difference_makes_the_listing_of_an_earlier_one(
        listings in proptest::collection::vec(
            proptest::collection::btree_map(0u8..12, (any::<bool>(), 0u8..3), 0..12),
            2..12,
        ),
        from: usize,
    ) {
        let start = Instant::now();
        let mut known = CachedView::default();
        let mut held: Vec<(u64, Vec<TargetEntry>)> = Vec::new();
        for (number, listing) in listings.iter().enumerate() {
            let target = |(id, (draining, port)): (&u8, &(bool, u8))| TargetEntry {
                draining: *draining,
                ..entry(&format!("{id:02}"), "s", &format!("10.0.0.{port}:80"))
            };
            let targets: Vec<TargetEntry> = listing.iter().map(target).collect();
            let listing = TargetListing { revision: number as u64 + 1, targets: targets.clone(), evacuated: Vec::new() };
            known.apply_listing(listing, start + Duration::from_millis(700 * number as u64));
            held.push((known.digest(), targets));
        }
        let (digest, old) = &held[from % held.len()];
        let (newest_digest, newest) = &held[held.len() - 1];
        // The newest one itself may not be in the record: it has led nowhere yet.
        let Some(delta) = known.delta_from(*digest) else {
            prop_assert_eq!(digest, newest_digest);
            return Ok(());
        };
        let listing = TargetListing { revision: 1, targets: old.clone(), evacuated: Vec::new() };
        let mut peer = CachedView::default();
        peer.apply_listing(listing, start);
        let revision = known.revision();
        let told = PeerListingDelta { revision, digest: *newest_digest, delta, ..Default::default() };
        let other = PeerListingDelta { digest: newest_digest ^ 1, ..told.clone() };
        prop_assert!(peer.merge_delta(other, start).is_none(), "it makes another listing");
        prop_assert!(peer.merge_delta(told, start).is_some());
        prop_assert_eq!(&peer.listed().cloned().collect::<Vec<_>>(), newest);
        prop_assert_eq!(peer.digest(), *newest_digest);
    }

    /// What is handed on of each change, one after the other, is what takes work in the end.
    #[test]
    fn updates_lead_to_what_takes_work(
        listings in proptest::collection::vec(
            proptest::collection::btree_map(0u8..8, (any::<bool>(), 0u64..3), 0..8),
            1..12,
        ),
    ) {
        let start = Instant::now();
        let mut known = CachedView::default();
        let mut used: BTreeMap<TargetKey, TargetEntry> = BTreeMap::new();
        for (number, listing) in listings.iter().enumerate() {
            let target = |(id, (draining, born_ms)): (&u8, &(bool, u64))| TargetEntry {
                draining: *draining,
                born_ms: *born_ms,
                ..entry(&format!("{id:02}"), "s", "10.0.0.1:80")
            };
            let targets = listing.iter().map(target).collect();
            // Each third one comes after an outage, and lets what is missing lapse.
            let at = start + Duration::from_secs(number as u64 + number as u64 / 3 * 5);
            let listing = TargetListing { revision: number as u64 + 1, targets, evacuated: Vec::new() };
            known.apply_listing(listing, at);
            known.drop_lapsed(at);
            let update = known.take_update();
            update.removed.iter().for_each(|key| drop(used.remove(key)));
            used.extend(update.updated.into_iter().map(|target| (key_of(&target), target)));
            let all: BTreeMap<TargetKey, TargetEntry> =
                known.usable(at).into_iter().map(|target| (key_of(target), target.clone())).collect();
            prop_assert_eq!(&used, &all);
        }
    }
}

fn key_of(target: &TargetEntry) -> TargetKey {
    TargetKey::of_incarnation(&target.id, target.born_ms)
}

/// A listing and a configuration grow old apart, each by what was heard of it.
#[test]
fn targets_and_configuration_have_an_age_each() {
    let port = StoreStandin::default();
    port.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = port.port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    let config = Some(ConfigText { revision: 5, text: b"1".as_slice().into() });
    let view = StoreView {
        revision: 9,
        config_revision: 5,
        config,
        targets: Vec::new(),
        ..StoreView::default()
    };
    known.apply(view, start, &*port);
    assert_eq!(known.oldest(), Some(start));
    let later = start + Duration::from_millis(700);
    known.apply_listing(
        TargetListing { revision: 12, targets: Vec::new(), evacuated: Vec::new() },
        later,
    );
    assert_eq!((known.as_of(), known.config_as_of()), (Some(later), Some(start)));
    known.confirm_config(4, later);
    assert_eq!(known.oldest(), Some(start), "an older configuration says nothing of this one");
    known.confirm_config(5, later);
    assert_eq!(known.oldest(), Some(later));
    known.confirm_config(5, start);
    assert_eq!(known.oldest(), Some(later), "a late word makes nothing older");
}

/// A configuration that is confirmed more often than the targets are read left nothing to ask from: each reading
/// of a long listing was of all its pages.
#[test]
fn news_of_targets_is_asked_for_though_the_configuration_is_known_to_be_newer() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = store.port(true);
    let (mut known, start) = (CachedView::default(), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    let config = Some(ConfigText { revision: 50, text: b"1".as_slice().into() });
    known.apply(
        StoreView { revision: 50, config_revision: 50, config, ..Default::default() },
        start,
        &*port,
    );
    for (millis, revision) in [(1_400, 60), (2_800, 70), (4_200, 80)] {
        let listing = TargetListing { revision, ..TargetListing::default() };
        known.apply_listing(listing, at(millis));
        known.confirm_config(50, at(millis + 1_300));
    }
    // It is known since 2.8 s, 1.4 s before the last reading; that of 1.4 s is the newest that is safe.
    assert_eq!(known.target_poll_revision(), Some(50));
}

struct NewsCase {
    name: &'static str,
    /// Milliseconds from the first reading, and its revision.
    listings: &'static [(u64, u64)],
    /// When it was last known that the configuration is the newest.
    confirmed: u64,
    from: u64,
}

/// News is asked for from what was known a while before the configuration was last confirmed,
/// since a store may hide the last second before it forgets its history; but never from before
/// the configuration that is held, which had it sent two or three times.
const NEWS: &[NewsCase] = &[
    NewsCase { name: "at once", listings: &[], confirmed: 0, from: 50 },
    NewsCase { name: "soon", listings: &[(700, 60), (1400, 70)], confirmed: 1500, from: 50 },
    NewsCase {
        name: "later",
        listings: &[(700, 60), (1400, 70), (2800, 80)],
        confirmed: 2900,
        from: 60,
    },
    NewsCase { name: "much later", listings: &[(700, 60), (1400, 70)], confirmed: 9000, from: 60 },
    NewsCase {
        name: "targets alone were heard of",
        listings: &[(700, 60), (1400, 70), (2800, 80), (9000, 90)],
        confirmed: 0,
        from: 50,
    },
];

/// Symptom: none was seen; it was read in the code, and is shown by the last case above.
/// Sequence: a box hears of targets by a listing that is newer than a change of the
/// configuration, reads the configuration late, asks for news since that listing, and is told
/// of none.
/// Cause: what was heard of targets counted as known of the configuration.
/// What settled it: with that planted the last case asks from 70 in place of 50.
#[test]
fn news_is_asked_for_from_a_revision_that_is_safe() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = store.port(true);
    for case in NEWS {
        let (mut known, start) = (CachedView::default(), Instant::now());
        assert_eq!(known.config_poll_revision(), None, "{}", case.name);
        let config = Some(ConfigText { revision: 50, text: b"1".as_slice().into() });
        let view = StoreView {
            revision: 50,
            config_revision: 50,
            config,
            targets: Vec::new(),
            ..StoreView::default()
        };
        known.apply(view, start, &*port);
        let at = |millis| start + Duration::from_millis(millis);
        for (millis, revision) in case.listings {
            let listing =
                TargetListing { revision: *revision, targets: Vec::new(), evacuated: Vec::new() };
            known.apply_listing(listing, at(*millis));
        }
        known.confirm_config(50, at(case.confirmed));
        assert_eq!(known.config_poll_revision(), Some(case.from), "{}", case.name);
    }
}
