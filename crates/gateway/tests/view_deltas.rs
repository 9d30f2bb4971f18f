//! Deltas of listings and configurations between boxes, and the revisions from which the store is polled.
//! A delta must reproduce exactly what the sender holds.

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

/// Number of routes of a large configuration, about 170 bytes each.
const ROUTES: usize = 4200;

fn routes(numbers: impl Iterator<Item = usize>, weight: usize) -> Vec<u8> {
    let route = |number: usize| {
        // The names are in random order, so that new routes are inserted between the others.
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
    /// Maximum size of the patch in bytes.
    max_bytes: usize,
}

/// The sizes are those that the time budget of a change allows for: a link with 10 Mbit/s carries 125 KB in
/// a tenth of a second.
#[test]
fn a_patch_is_little_larger_than_the_change() {
    let base = || routes(0..ROUTES, 10);
    let mut one_weight = base();
    let at = one_weight.len() / 2;
    let digit = one_weight[at..].iter().position(|byte| *byte == b'9').expect("a number");
    one_weight[at + digit] = b'8';
    let cases = [
        PatchCase { name: "no change", old: base(), new: base(), max_bytes: 32 },
        PatchCase { name: "one changed digit", old: base(), new: one_weight, max_bytes: 512 },
        PatchCase {
            name: "a third more routes",
            old: base(),
            new: routes(0..ROUTES / 3 * 4, 10),
            max_bytes: 120_000,
        },
        PatchCase { name: "all routes removed", old: base(), new: b"{}".to_vec(), max_bytes: 64 },
        PatchCase {
            name: "the first configuration",
            old: Vec::new(),
            new: base(),
            max_bytes: 320_000,
        },
    ];
    for case in cases {
        let patch = make_patch(&case.old, &case.new);
        assert!(patch.len() <= case.max_bytes, "{}: {} bytes", case.name, patch.len());
        assert_eq!(apply_patch(&case.old, &patch), Ok(case.new), "{}", case.name);
    }
}

#[test]
fn a_patch_with_too_large_a_result_is_refused_before_it_is_applied() {
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
    fn a_patch_turns_the_old_text_into_the_new_one(old in text(), new in text()) {
        prop_assert_eq!(apply_patch(&old, &make_patch(&old, &new)), Ok(new));
    }

    #[test]
    fn a_corrupted_patch_does_not_panic(old in text(), new in text(), at: usize, byte: u8) {
        let mut patch = make_patch(&old, &new);
        let at = at % patch.len();
        patch[at] = byte;
        // A wrong result is detected by the hash that is sent with the patch.
        let _ = apply_patch(&old, &patch[..at]);
        let _ = apply_patch(&old, &patch);
    }

    /// A peer that holds any of the last listings gets the newest one by applying the delta.
    #[test]
    fn a_delta_turns_an_earlier_listing_into_the_newest_one(
        listings in proptest::collection::vec(
            proptest::collection::btree_map(0u8..12, (any::<bool>(), 0u8..3), 0..12),
            2..12,
        ),
        from: usize,
    ) {
        let start = Instant::now();
        let mut cached = CachedView::default();
        let mut held: Vec<(u64, Vec<TargetEntry>)> = Vec::new();
        for (number, listing) in listings.iter().enumerate() {
            let target = |(id, (draining, port)): (&u8, &(bool, u8))| TargetEntry {
                draining: *draining,
                ..entry(&format!("{id:02}"), "s", &format!("10.0.0.{port}:80"))
            };
            let targets: Vec<TargetEntry> = listing.iter().map(target).collect();
            let listing = TargetListing { revision: (number as u64 + 1).into(), targets: targets.clone(), evacuated: Vec::new() };
            cached.apply_listing(listing, start + Duration::from_millis(700 * number as u64));
            held.push((cached.digest(), targets));
        }
        let (digest, old) = &held[from % held.len()];
        let (newest_digest, newest) = &held[held.len() - 1];
        // The newest listing itself may not be in the history: no change has started from it yet.
        let Some(delta) = cached.delta_from(*digest) else {
            prop_assert_eq!(digest, newest_digest);
            return Ok(());
        };
        let listing = TargetListing { revision: 1.into(), targets: old.clone(), evacuated: Vec::new() };
        let mut peer = CachedView::default();
        peer.apply_listing(listing, start);
        let revision = cached.revision();
        let received = PeerListingDelta { revision, digest: *newest_digest, delta, ..Default::default() };
        let other = PeerListingDelta { digest: newest_digest ^ 1, ..received.clone() };
        prop_assert!(peer.merge_delta(other, start).is_none(), "the digest is of another listing");
        prop_assert!(peer.merge_delta(received, start).is_some());
        prop_assert_eq!(&peer.listed().cloned().collect::<Vec<_>>(), newest);
        prop_assert_eq!(peer.digest(), *newest_digest);
    }

    /// The updates of all changes, applied in order, result in the targets that take requests.
    #[test]
    fn updates_result_in_the_usable_targets(
        listings in proptest::collection::vec(
            proptest::collection::btree_map(0u8..8, (any::<bool>(), 0u64..3), 0..8),
            1..12,
        ),
    ) {
        let start = Instant::now();
        let mut cached = CachedView::default();
        let mut used: BTreeMap<TargetKey, TargetEntry> = BTreeMap::new();
        for (number, listing) in listings.iter().enumerate() {
            let target = |(id, (draining, started_ms)): (&u8, &(bool, u64))| TargetEntry {
                draining: *draining,
                started_ms: *started_ms,
                ..entry(&format!("{id:02}"), "s", "10.0.0.1:80")
            };
            let targets = listing.iter().map(target).collect();
            // Each third listing is read after an outage, after which missing targets lapse.
            let at = start + Duration::from_secs(number as u64 + number as u64 / 3 * 5);
            let listing = TargetListing { revision: (number as u64 + 1).into(), targets, evacuated: Vec::new() };
            cached.apply_listing(listing, at);
            cached.drop_lapsed(at);
            let update = cached.take_update();
            update.removed.iter().for_each(|key| drop(used.remove(key)));
            used.extend(update.updated.into_iter().map(|target| (key_of(&target), target)));
            let all: BTreeMap<TargetKey, TargetEntry> =
                cached.usable(at).into_iter().map(|target| (key_of(target), target.clone())).collect();
            prop_assert_eq!(&used, &all);
        }
    }
}

fn key_of(target: &TargetEntry) -> TargetKey {
    TargetKey::of_incarnation(&target.id, target.started_ms)
}

/// The ages of the listing and of the configuration are independent.
#[test]
fn targets_and_configuration_have_separate_ages() {
    let port = StoreStandin::default();
    port.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = port.port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let config = Some(ConfigText { revision: 5.into(), text: b"1".as_slice().into() });
    let view = StoreView {
        revision: 9.into(),
        config_revision: 5.into(),
        config,
        targets: Vec::new(),
        ..StoreView::default()
    };
    cached.apply(view, start, &*port);
    assert_eq!(cached.oldest(), Some(start));
    let later = start + Duration::from_millis(700);
    cached.apply_listing(
        TargetListing { revision: 12.into(), targets: Vec::new(), evacuated: Vec::new() },
        later,
    );
    assert_eq!((cached.as_of(), cached.config_as_of()), (Some(later), Some(start)));
    cached.confirm_config(4.into(), 12.into(), later);
    assert_eq!(
        cached.oldest(),
        Some(start),
        "a confirmation of an older configuration does not count"
    );
    cached.confirm_config(5.into(), 12.into(), later);
    assert_eq!(cached.oldest(), Some(later));
    cached.confirm_config(5.into(), 12.into(), start);
    assert_eq!(cached.oldest(), Some(later), "a late confirmation does not increase the age");
}

/// If the configuration was confirmed more often than the targets were read, the history had no revision to poll
/// from, and each reading of a long listing took all its pages.
#[test]
fn targets_are_polled_if_the_configuration_was_confirmed_later() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = store.port(true);
    let (mut cached, start) = (CachedView::default(), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    let config = Some(ConfigText { revision: 50.into(), text: b"1".as_slice().into() });
    cached.apply(
        StoreView { revision: 50.into(), config_revision: 50.into(), config, ..Default::default() },
        start,
        &*port,
    );
    for (millis, revision) in [(1_400, 60), (2_800, 70), (4_200, 80)] {
        let listing = TargetListing { revision: revision.into(), ..TargetListing::default() };
        cached.apply_listing(listing, at(millis));
        cached.confirm_config(50.into(), 50.into(), at(millis + 1_300));
    }
    // The revision that was recorded at 2.8 s is only 1.4 s older than the last reading. The newest one that is old
    // enough was recorded at 1.4 s.
    assert_eq!(cached.target_poll_revision(), Some(50.into()));
}

struct PollCase {
    name: &'static str,
    /// Listings after the first reading: the milliseconds since then, and the revision.
    listings: &'static [(u64, u64)],
    /// Milliseconds since the first reading at which an own read last confirmed the configuration.
    confirmed: u64,
    /// Revision up to which a peer has confirmed the configuration after that.
    peer_through: u64,
    /// Revision from which the store is polled.
    from: u64,
}

/// The store is polled from a revision that was held some time before the configuration was last confirmed,
/// because it may omit the changes of the last second before it discards its history. The revision is never older
/// than the configuration that is held, as polling from an older one transferred the configuration two or three times.
const POLLS: &[PollCase] = &[
    PollCase { name: "without listings", listings: &[], confirmed: 0, peer_through: 0, from: 50 },
    PollCase {
        name: "confirmed after a short time",
        listings: &[(700, 60), (1400, 70)],
        confirmed: 1500,
        peer_through: 0,
        from: 50,
    },
    PollCase {
        name: "confirmed later",
        listings: &[(700, 60), (1400, 70), (2800, 80)],
        confirmed: 2900,
        peer_through: 0,
        from: 60,
    },
    PollCase {
        name: "confirmed much later",
        listings: &[(700, 60), (1400, 70)],
        confirmed: 9000,
        peer_through: 0,
        from: 60,
    },
    PollCase {
        name: "confirmed by a peer up to a later revision",
        listings: &[(700, 60), (1400, 70), (2800, 80)],
        confirmed: 2900,
        peer_through: 75,
        from: 75,
    },
    PollCase {
        name: "confirmed by a peer up to an earlier revision",
        listings: &[(700, 60), (1400, 70), (2800, 80)],
        confirmed: 2900,
        peer_through: 55,
        from: 60,
    },
    PollCase {
        name: "only targets were received",
        listings: &[(700, 60), (1400, 70), (2800, 80), (9000, 90)],
        confirmed: 0,
        peer_through: 0,
        from: 50,
    },
];

/// A box that receives a listing newer than a change of the configuration, and polls for the configuration
/// from the revision of that listing, gets no change and keeps an outdated configuration. Revisions of
/// listings must not count for the configuration: if they do, the last case above polls from 70 instead of 50.
#[test]
fn the_configuration_is_polled_from_a_safe_revision() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "s", RouteKind::Repeatable)]));
    let port = store.port(true);
    for case in POLLS {
        let (mut cached, start) = (CachedView::default(), Instant::now());
        assert_eq!(cached.config_poll_revision(), None, "{}", case.name);
        let config = Some(ConfigText { revision: 50.into(), text: b"1".as_slice().into() });
        let view = StoreView {
            revision: 50.into(),
            config_revision: 50.into(),
            config,
            targets: Vec::new(),
            ..StoreView::default()
        };
        cached.apply(view, start, &*port);
        let at = |millis| start + Duration::from_millis(millis);
        for (millis, revision) in case.listings {
            let listing = TargetListing {
                revision: (*revision).into(),
                targets: Vec::new(),
                evacuated: Vec::new(),
            };
            cached.apply_listing(listing, at(*millis));
        }
        cached.record_config_read(at(case.confirmed));
        cached.confirm_config(50.into(), case.peer_through.into(), at(9_000));
        assert_eq!(cached.config_poll_revision(), Some(case.from.into()), "{}", case.name);
    }
}
