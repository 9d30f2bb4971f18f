//! The pick by expected loss: what it avoids, what it tries again, what it may spend.

mod steering;

use std::time::Duration;

use proptest::prelude::*;
use steering::{
    PICKS, ROUTE, SERVICE, WINDOW, at, bad, bounds, core, good, request, settled, shares, target,
};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::ledger::{RetryBounds, RetryCounts, RetryLedger};
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::split::WeightedSplit;
use wingbridge_decide::steer::{
    LoadReport, MIN_SUSPECT_RISK, PeerSample, PickError, RetryUse, SteerCore, SteerOutcome,
    SteerRequest,
};

#[test]
fn one_failure_elsewhere_keeps_orders_away() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "near"), ("c", "near")], now);
    bad(&mut core, now, "a");
    for repeatable in [false, true] {
        let counts = shares(&mut core, now, &["a", "b", "c"], repeatable);
        assert!(counts[0] < PICKS / 30, "repeatable {repeatable}: {counts:?}");
        assert!(counts[1] > PICKS / 4 && counts[2] > PICKS / 4, "{counts:?}");
    }
}

#[test]
fn work_stays_in_the_data_centre_while_it_is_sound_and_has_room() {
    let now = at(20_000);
    let mut core = settled(&[("n", "near"), ("f", "far")], now);
    // By then it is known how much the times of the service vary.
    for _ in 0..40 {
        good(&mut core, now, "n", 3);
        good(&mut core, now, "f", 3);
    }
    let near = |core: &mut SteerCore| {
        let picks = (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target"));
        picks.filter(|pick| *pick.id == *"n").count()
    };
    assert!(near(&mut core) > PICKS * 3 / 4);
    // Eight requests on three slots are a wait that costs more than leaving.
    core.record_load(now, TargetKey::of("n"), LoadReport { held: 8, slots: 3 });
    assert!(near(&mut core) < PICKS / 4);
}

#[test]
fn an_instance_whose_address_another_has_returns_only_under_another_address() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "near")], now);
    assert!(core.record_replaced(TargetKey::of("a")));
    assert!(!core.record_replaced(TargetKey::of("a")), "it is no news");
    let picked = |core: &mut SteerCore| {
        let picks = (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target"));
        picks.filter(|pick| *pick.id == *"a").count()
    };
    assert_eq!(picked(&mut core), 0);
    core.set_targets(now, vec![target("a", "near"), target("b", "near")]);
    assert_eq!(picked(&mut core), 0, "its entry is the same");
    let moved = SteerTarget { address: "10.0.0.9:1".into(), ..target("a", "near") };
    core.set_targets(now, vec![moved, target("b", "near")]);
    assert!(picked(&mut core) > 0);
}

#[test]
fn successes_acquit() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "near")], now);
    for _ in 0..3 {
        bad(&mut core, now, "a");
    }
    assert!(core.risk(now, TargetKey::of("a")).expect("known") > 0.7);
    good(&mut core, now, "a", 9);
    let risk = core.risk(now, TargetKey::of("a")).expect("known");
    assert!(risk < MIN_SUSPECT_RISK, "{risk}");
}

#[test]
fn large_answers_stay_in_the_data_centre_unless_it_fails() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "far")], now);
    let large = SteerRequest { large: true, ..request(true, &[]) };
    for _ in 0..PICKS {
        assert_eq!(*core.pick(now, &large).expect("a target").id, *"a");
    }
    for _ in 0..3 {
        bad(&mut core, now, "a");
    }
    let away = (0..PICKS).filter(|_| *core.pick(now, &large).expect("a target").id == *"b");
    assert!(away.count() > PICKS * 9 / 10);
}

#[test]
fn what_is_known_of_an_instance_does_not_pass_to_the_next_at_its_address() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near")], now);
    bad(&mut core, now, "a");
    core.set_targets(now, vec![target("b", "near")]);
    assert_eq!(core.risk(now, TargetKey::of("a")), None);
    let risk = core.risk(now, TargetKey::of("b")).expect("known");
    assert!(risk < MIN_SUSPECT_RISK, "a new instance is no suspect: {risk}");
}

#[test]
fn load_is_shared_by_what_peers_tell() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "near")], now);
    for peer in 1..=6 {
        let open = PeerSample { open: Some(1), ..PeerSample::default() };
        core.merge_peer_sample(now, peer, TargetKey::of("a"), &open);
    }
    let counts = shares(&mut core, now, &["a", "b"], false);
    assert!(counts[0] < PICKS / 20, "six are open at a, none at b: {counts:?}");
}

#[test]
fn a_request_that_no_target_can_answer_in_time_is_refused_at_once() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near")], now);
    core.record_load(now, TargetKey::of("a"), LoadReport { held: 60, slots: 3 });
    assert_eq!(core.pick(now, &request(false, &[])), Err(PickError::Overloaded));
    let tried = [TargetKey::of("a")];
    assert_eq!(core.pick(now, &request(false, &tried)), Err(PickError::NoTarget));
}

struct CrowdCase {
    name: &'static str,
    /// Requests that the only target holds, on three slots.
    held: u32,
    /// Milliseconds that the request has left; its goal is a second.
    left: u64,
    held_back: bool,
}

const CROWDS: &[CrowdCase] = &[
    CrowdCase { name: "free", held: 2, left: 3_000, held_back: false },
    CrowdCase { name: "a short queue", held: 4, left: 3_000, held_back: false },
    CrowdCase { name: "a long queue, time to spare", held: 12, left: 3_000, held_back: true },
    CrowdCase { name: "a long queue, little time", held: 8, left: 950, held_back: false },
];

/// Under overload requests with a second to live were served 19 times in 100 and others
/// 85 times: all stood in the same long queues (Dakar scale-2, seed 340111312298).
#[test]
fn requests_with_time_to_spare_let_those_with_little_pass() {
    for case in CROWDS {
        let now = at(20_000);
        let mut core = settled(&[("a", "near")], now);
        core.record_load(now, TargetKey::of("a"), LoadReport { held: case.held, slots: 3 });
        let left = Duration::from_millis(case.left);
        let picked = core.pick(now, &SteerRequest { remaining: left, ..request(false, &[]) });
        assert_eq!(
            picked == Err(PickError::Saturated),
            case.held_back,
            "{}: {picked:?}",
            case.name
        );
        assert!(case.held_back || picked.is_ok(), "{}: {picked:?}", case.name);
    }
}

#[test]
fn a_path_that_failed_is_avoided_by_this_box_alone() {
    let now = at(20_000);
    let mut core = settled(&[("a", "near"), ("b", "near")], now);
    let mark = core.begin(now, TargetKey::of("a"), &ROUTE.into());
    core.end(now, &mark, &ROUTE.into(), SteerOutcome::ConnectFailed, 0);
    let counts = shares(&mut core, now, &["a", "b"], false);
    assert_eq!(counts[0], 0, "{counts:?}");
    let later = at(23_000);
    good(&mut core, later, "a", 3);
    good(&mut core, later, "b", 3);
    assert!(shares(&mut core, later, &["a", "b"], false)[0] > 0);
}

#[test]
fn a_box_that_has_just_started_has_no_slack() {
    // A whole fleet that restarts may have used the slack up just before.
    let mut core = core();
    core.set_boxes(40, 40);
    assert!(!core.spend_retry(at(500), SERVICE, RetryUse::Repeat));
    assert!(core.spend_retry(at(10_500), SERVICE, RetryUse::Repeat));
}

struct SplitCase {
    weights: &'static [u32],
    count: usize,
}

const SPLITS: &[SplitCase] = &[
    SplitCase { weights: &[90, 10], count: 20 },
    SplitCase { weights: &[1, 1], count: 10 },
    SplitCase { weights: &[70, 20, 10], count: 30 },
    SplitCase { weights: &[0, 5], count: 5 },
];

#[test]
fn even_few_choices_come_close_to_the_weights() {
    for case in SPLITS {
        for start in [0.0, 0.3, 0.77] {
            let mut split = WeightedSplit::new(start);
            let mut counts = vec![0.0; case.weights.len()];
            for _ in 0..case.count {
                counts[split.next(case.weights).expect("a part")] += 1.0;
            }
            let total: u32 = case.weights.iter().sum();
            for (count, weight) in counts.iter().zip(case.weights) {
                let wanted = f64::from(*weight) / f64::from(total);
                let got = count / case.count as f64;
                assert!((got - wanted).abs() <= 0.1, "{:?} from {start}: {counts:?}", case.weights);
            }
        }
    }
    assert_eq!(WeightedSplit::new(0.5).next(&[0, 0]), None);
}

proptest! {
    /// Boxes that tell each other at once, or that hear nobody at all, together stay
    /// within the bound in every window.
    #[test]
    fn all_boxes_together_stay_within_the_retry_bound(
        steps in prop::collection::vec(fleet_step(), 1..1500),
        told in any::<bool>(),
    ) {
        let mut fleet = LedgerFleet::new(told);
        for step in steps {
            fleet.take(&step);
        }
        let window = u64::try_from(WINDOW.as_millis()).expect("short");
        let events = fleet.events;
        for (from, _) in &events {
            let within = |time: u64| time >= *from && time < from + window;
            let retries = events.iter().filter(|(time, retry)| within(*time) && *retry).count();
            // Requests of the window before count where they are more.
            let before = |time: u64| time + window >= *from && time < *from;
            let requests = events.iter().filter(|(time, retry)| within(*time) && !retry).count();
            let earlier = events.iter().filter(|(time, retry)| before(*time) && !retry).count();
            let most = 0.2 * requests.max(earlier) as f64 + 58.0;
            prop_assert!(retries as f64 <= most, "{retries} retries from {from} ms, {most} allowed");
        }
    }
}

/// A request at one of the boxes, some time after the one before.
#[derive(Debug, Clone)]
struct FleetStep {
    index: usize,
    pause: u64,
    wants_retry: bool,
    /// The peers that do not hear of it, a bit each.
    lost: u8,
    restarts: bool,
}

/// One message in four is lost; one request in sixteen finds its box restarted.
fn fleet_step() -> impl Strategy<Value = FleetStep> {
    let step = (0_usize..8, 0_u64..60, any::<bool>(), any::<u8>(), any::<u8>(), 0_u8..16);
    step.prop_map(|(index, pause, wants_retry, lost, more, restart)| FleetStep {
        index,
        pause,
        wants_retry,
        lost: lost & more,
        restarts: restart == 0,
    })
}

/// Boxes of one data centre, each with a ledger for its life.
struct LedgerFleet {
    told: bool,
    now: u64,
    lives: u64,
    boxes: Vec<LedgerBox>,
    /// Times of requests, and of retries.
    events: Vec<(u64, bool)>,
}

struct LedgerBox {
    ledger: RetryLedger,
    incarnation: u64,
    started: u64,
}

impl LedgerFleet {
    const BOXES: usize = 8;

    fn new(told: bool) -> LedgerFleet {
        let boxes = (0..Self::BOXES as u64).map(|life| LedgerBox::new(life, 0)).collect();
        LedgerFleet { told, now: 0, lives: Self::BOXES as u64, boxes, events: Vec::new() }
    }

    fn take(&mut self, step: &FleetStep) {
        self.now += step.pause;
        let now = at(self.now);
        if step.restarts {
            self.boxes[step.index] = LedgerBox::new(self.lives, self.now);
            self.lives += 1;
        }
        let own = &mut self.boxes[step.index];
        own.ledger.record_request(now);
        self.events.push((self.now, false));
        let settled = self.now - own.started >= WINDOW.as_millis() as u64 || own.started == 0;
        let slack = if settled { bounds().slack } else { 0.0 };
        let bounds = RetryBounds { slack, ..bounds() };
        let near = if self.told { Self::BOXES } else { 1 };
        if step.wants_retry && own.ledger.allows(now, &bounds, near, Self::BOXES) {
            own.ledger.record_retry(now);
            self.events.push((self.now, true));
        }
        if self.told {
            self.tell(step);
        }
    }

    fn tell(&mut self, step: &FleetStep) {
        let now = at(self.now);
        let tally = self.boxes[step.index].ledger.own_counts(now, WINDOW);
        let incarnation = self.boxes[step.index].incarnation;
        for (other, peer) in self.boxes.iter_mut().enumerate() {
            if other != step.index && step.lost & (1 << other) == 0 {
                peer.ledger.record_peer(now, incarnation, tally);
            }
        }
    }
}

impl LedgerBox {
    fn new(incarnation: u64, started: u64) -> LedgerBox {
        LedgerBox { ledger: RetryLedger::default(), incarnation, started }
    }
}

/// A box that found its peers 4 s late counted their requests and none of the retries that
/// they had earned before: BUDGET broke (Dakar scale-1, seed 202).
#[test]
fn a_box_that_finds_its_peers_late_knows_what_they_have_spent() {
    let spent = RetryCounts { requests: 100, retries: 20, unresponsive_retries: 0 };
    let mut late = RetryLedger::default();
    let no_slack = RetryBounds { slack: 0.0, ..bounds() };
    late.record_peer(at(0), 1, spent);
    assert!(!late.allows(at(1), &no_slack, 2, 40), "all is spent");
    late.record_peer(at(2), 1, RetryCounts { requests: 200, ..spent });
    assert!(late.allows(at(3), &no_slack, 2, 40));
}

#[test]
fn services_that_rest_are_not_told_again() {
    let mut core = core();
    core.record_request(at(0), SERVICE);
    core.record_request(at(10), "another");
    assert_eq!(core.unreported_retry_counts(at(20)).len(), 2);
    core.record_request(at(30), SERVICE);
    let tally = RetryCounts { requests: 2, ..RetryCounts::default() };
    assert_eq!(core.unreported_retry_counts(at(40)), [(SERVICE.into(), tally)]);
    assert_eq!(core.unreported_retry_counts(at(50)), []);
}

#[test]
fn what_silent_boxes_spent_is_counted_and_earns_nothing() {
    let spent = RetryCounts { requests: 100, retries: 10, unresponsive_retries: 0 };
    let mut ledger = RetryLedger::default();
    ledger.record_peer(at(0), 1, spent);
    let seen = ledger.own_counts(at(3000), WINDOW);
    assert_eq!(seen, RetryCounts { requests: 0, retries: 0, unresponsive_retries: 10 });
    let no_slack = RetryBounds { slack: 0.0, ..bounds() };
    assert!(!ledger.allows(at(3000), &no_slack, 2, 40), "its requests may be used elsewhere");
    // Another box is told of them, also if it never heard them.
    let mut other = RetryLedger::default();
    other.record_peer(
        at(3000),
        2,
        RetryCounts { requests: 60, retries: 0, unresponsive_retries: 0 },
    );
    assert!(other.allows(at(3001), &no_slack, 3, 40));
    other.record_peer(at(3002), 3, RetryCounts { requests: 0, ..seen });
    assert!(!other.allows(at(3003), &no_slack, 3, 40));
}

#[test]
fn a_target_that_starts_again_is_an_unknown_one() {
    let mut core = core();
    let now = at(10_000);
    let first = SteerTarget { born_ms: 1, ..target("a", "near") };
    let (old, new) = (first.key(), SteerTarget { born_ms: 2, ..first.clone() }.key());
    core.set_targets(now, vec![first.clone()]);
    let unknown = core.risk(now, old).expect("listed");
    let bad = PeerSample { bad: 5, ..PeerSample::default() };
    core.merge_peer_sample(now, 9, old, &bad);
    assert!(core.risk(now, old).expect("listed") > 0.5);
    core.record_replaced(old);
    core.set_targets(now, vec![SteerTarget { born_ms: 2, ..first }]);
    assert_eq!(core.risk(now, old), None, "what is told of the life before is dropped");
    let fresh = core.risk(now, new).expect("listed");
    assert!(fresh <= unknown.max(0.1), "{fresh}");
    core.merge_peer_sample(now, 9, old, &bad);
    assert_eq!(core.risk(now, new), Some(fresh), "and says nothing of this one");
    assert!(core.pick(now, &request(false, &[])).is_ok(), "nobody has its address but itself");
}
