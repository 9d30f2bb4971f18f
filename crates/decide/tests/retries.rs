//! Retries under overload control: the bound over all boxes, the pace, and what retries are kept for.

mod steering;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::retries::{RetryDenial, RetryRequest};
use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{LoadReport, RetryUse, SteerCore, SteerOutcome};
use wingbridge_decide::{Name, TargetKey, TimePoint};

use steering::{
    PICKS, ROUTE, SERVICE, WINDOW, at, bounds, core, core_with_pacing, report_success, request,
    target,
};

const REFUSED: RetryRequest = RetryRequest { usage: RetryUse::Refused, loss: 1.0 };

/// Boxes of one data centre that send each other reports, which may be late, lost or repeated.
struct Fleet {
    now: u64,
    sees_all: bool,
    boxes: Vec<FleetBox>,
    incarnations: u64,
    reports: Vec<Report>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

struct FleetBox {
    core: SteerCore,
    started: u64,
    incarnation: u64,
    /// When the box sends its next report, if it has something to report.
    report_at: Option<u64>,
}

/// A report on its way.
struct Report {
    arrives: u64,
    to: usize,
    from: u64,
    counts: Vec<(Name, RetryCounts)>,
}

/// Requests at one box, each of which wants retries.
#[derive(Debug, Clone)]
struct Step {
    index: usize,
    /// Time since the step before, in milliseconds.
    pause: u64,
    requests: u32,
    retries: u32,
    /// Numbers from which the fate of the report to each box is derived.
    fates: Vec<u8>,
    restarts: bool,
}

impl Fleet {
    const BOXES: usize = 8;
    /// Time after which a box reports what it counted, in milliseconds; the batch time of the product.
    const REPORT_DELAY: u64 = 25;

    /// Creates a fleet in which all boxes report to each other, or which is a part of a larger one.
    fn new(sees_all: bool) -> Fleet {
        // All boxes have run for a window, so that each has its share of the slack.
        let now = 20_000;
        let start = |incarnation| FleetBox::start(incarnation, 0, sees_all);
        Fleet {
            now,
            sees_all,
            boxes: (0..Self::BOXES as u64).map(start).collect(),
            incarnations: Self::BOXES as u64,
            reports: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        let until = self.now + step.pause;
        while self.now < until {
            self.now += 1;
            self.deliver();
            self.send_reports(&step.fates);
        }
        if step.restarts {
            self.boxes[step.index] = FleetBox::start(self.incarnations, self.now, self.sees_all);
            self.incarnations += 1;
        }
        let own = &mut self.boxes[step.index];
        let now = own.time(self.now);
        for _ in 0..step.requests {
            own.core.record_request(now, SERVICE);
            self.requests.push(self.now);
        }
        for _ in 0..step.retries {
            if own.core.take_retry(now, SERVICE, &REFUSED).is_ok() {
                self.retries.push(self.now);
            }
        }
        own.report_at.get_or_insert(self.now + Self::REPORT_DELAY);
    }

    fn send_reports(&mut self, fates: &[u8]) {
        for index in 0..Self::BOXES {
            let now = self.now;
            let sender = &mut self.boxes[index];
            if sender.report_at.is_none_or(|due| due > now) {
                continue;
            }
            let counts = sender.core.unreported_retry_counts(sender.time(now));
            sender.report_at = None;
            let from = sender.incarnation;
            for to in (0..Self::BOXES).filter(|to| *to != index) {
                let fate = fates[(to + index) % fates.len()];
                let report =
                    |delay| Report { arrives: now + delay, to, from, counts: counts.clone() };
                match fate % 8 {
                    0 | 1 => {}
                    2 => self.reports.push(report(300 + u64::from(fate))),
                    3 => self.reports.extend([report(1), report(150)]),
                    _ => self.reports.push(report(1 + u64::from(fate) / 8)),
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Report>, Vec<Report>) =
            std::mem::take(&mut self.reports).into_iter().partition(|report| report.arrives <= now);
        self.reports = later;
        for report in due {
            let receiver = &mut self.boxes[report.to];
            let time = receiver.time(now);
            for (service, counts) in report.counts {
                receiver.core.merge_retry_counts(time, report.from, &service, counts);
            }
        }
    }
}

/// Returns the window in which the retries are the largest part of the bound, as its beginning, its retries and their maximum.
/// Times are in milliseconds and sorted.
fn worst_window(requests: &[u64], retries: &[u64]) -> (u64, usize, f64) {
    let window = WINDOW.as_millis() as u64;
    let count = |times: &[u64], from: u64| {
        let before = |limit: u64| times.partition_point(|time| *time < limit);
        before(from + window) - before(from)
    };
    // The counts change only where an event enters or leaves one of the windows.
    let mut begins = BTreeSet::new();
    for time in requests.iter().chain(retries) {
        for begin in [*time, time - window, time + window, time - window / 2, time + window / 2] {
            begins.extend([begin, begin + 1]);
        }
    }
    let mut worst = (0, 0, bounds().slack);
    for begin in begins {
        let sends = count(retries, begin);
        let counted = [begin, begin - window, begin - window / 2].map(|from| count(requests, from));
        let most = counted.into_iter().max().unwrap_or_default();
        let max = bounds().share * most as f64 + bounds().slack;
        if sends as f64 * worst.2 > worst.1 as f64 * max {
            worst = (begin, sends, max);
        }
    }
    worst
}

impl FleetBox {
    fn start(incarnation: u64, started: u64, sees_all: bool) -> FleetBox {
        let mut core = core_with_pacing();
        // The boxes of the test have nearly all of the slack, which 40 boxes share at least.
        let boxes = if sees_all { 37 } else { 40 };
        core.set_boxes(boxes, boxes);
        FleetBox { core, started, incarnation, report_at: None }
    }

    /// Returns the time since the start of the box.
    fn time(&self, now: u64) -> TimePoint {
        at(now - self.started)
    }
}

fn step() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![20 => 0_u64..60, 2 => 200_u64..1500, 1 => 3000_u64..11_000];
    let requests = prop_oneof![10 => 1_u32..3, 1 => 20_u32..100];
    let fates = prop::collection::vec(any::<u8>(), Fleet::BOXES);
    (0..Fleet::BOXES, pause, requests, 0_u32..6, fates, 0_u8..40).prop_map(
        |(index, pause, requests, retries, fates, restart)| Step {
            index,
            pause,
            requests,
            retries,
            fates,
            restarts: restart == 0,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more retries than the bound in any window, by bursts, pauses, and reports that are late, lost
    /// or repeated: boxes took the last part of a small budget several times before they had each other's reports.
    #[test]
    fn all_boxes_together_stay_within_the_bound(
        steps in prop::collection::vec(step(), 50..800),
        sees_all in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(sees_all);
        for step in &steps {
            fleet.run(step);
        }
        let (begin, retries, max) = worst_window(&fleet.requests, &fleet.retries);
        prop_assert!(retries as f64 <= max, "{retries} retries from {begin} ms, {max} allowed");
    }
}

/// Retries that are asked for some time after a burst of requests.
struct BurstCase {
    name: &'static str,
    after_ms: u64,
    retries: std::ops::RangeInclusive<usize>,
}

/// A burst of 1,000 requests earns 170 retries.
const BURSTS: &[BurstCase] = &[
    BurstCase { name: "at once", after_ms: 300, retries: 165..=172 },
    BurstCase { name: "in the same window", after_ms: 9000, retries: 165..=172 },
    // A window that begins just before the retries counts none of the requests, as window or as the one before.
    BurstCase { name: "in the next window", after_ms: 11_000, retries: 0..=1 },
    BurstCase { name: "late in the next window", after_ms: 17_000, retries: 0..=1 },
    BurstCase { name: "later", after_ms: 25_000, retries: 0..=1 },
];

/// Guards against a budget that counts the largest of the three windows at the moment of the retry alone: it gave all
/// retries in the next window as well, where a window that begins later allows none.
#[test]
fn retries_are_within_every_window_that_contains_them() {
    for case in BURSTS {
        let mut core = core_with_pacing();
        core.set_boxes(1, 1);
        (0..1000).for_each(|_| core.record_request(at(20_000), SERVICE));
        let now = at(20_000 + case.after_ms);
        let taken =
            (0..1000).take_while(|_| core.take_retry(now, SERVICE, &REFUSED).is_ok()).count();
        assert!(case.retries.contains(&taken), "{}: {taken}", case.name);
    }
}

/// Guards against a reserve or pace in a service whose targets refuse nothing.
#[test]
fn calm_service_gives_its_budget_at_once() {
    let mut core = core_with_pacing();
    core.set_boxes(1, 1);
    (0..1000).for_each(|number| core.record_request(at(20_000 + number), SERVICE));
    let taken =
        (0..1000).take_while(|_| core.take_retry(at(21_100), SERVICE, &REFUSED).is_ok()).count();
    assert!(taken >= 165, "{taken}");
    assert_eq!(core.take_retry(at(21_100), SERVICE, &REFUSED), Err(RetryDenial::UsedUp));
}

/// A time in which targets refuse a share of all sends, at three data centres of 13 boxes.
struct EpisodeCase {
    name: &'static str,
    /// Share of sends that are refused.
    refused: f64,
    length_ms: u64,
    /// Requests a second at the beginning and at the end.
    rates: [f64; 2],
}

/// The load of a fleet whose targets refused half of their requests.
const LONG_EPISODE: EpisodeCase =
    EpisodeCase { name: "long", refused: 0.55, length_ms: 8500, rates: [550.0, 220.0] };

/// An episode whose retries take a third of the budget.
const SHORT_EPISODE: EpisodeCase =
    EpisodeCase { name: "short", refused: 0.25, length_ms: 2000, ..LONG_EPISODE };

#[derive(Debug, Default)]
struct EpisodeResult {
    arrived: usize,
    served: usize,
    retries: usize,
    /// Smallest share of requests served of those that arrived in any two seconds of the episode.
    worst_share: f64,
    /// Retries of the window that was closest to the bound, and their maximum.
    closest: (usize, f64),
}

struct CentreReport {
    arrives: u64,
    from: usize,
    counts: Vec<(Name, RetryCounts)>,
}

/// Boxes that report to each other within their data centre.
struct Centres {
    cores: Vec<SteerCore>,
    report_at: Vec<Option<u64>>,
    /// Reports on their way, each to all other boxes of the data centre.
    reports: Vec<CentreReport>,
}

impl Centres {
    const CENTRES: usize = 3;
    const BOXES: usize = 39;
    const REPORT_DELAY: u64 = 25;
    const NETWORK_DELAY: u64 = 2;

    fn new(paced: bool) -> Centres {
        let start = |_| {
            let mut core = if paced { core_with_pacing() } else { core() };
            core.set_targets(at(0), vec![target("a", "near")]);
            core.set_boxes(Self::BOXES / Self::CENTRES, Self::BOXES);
            core
        };
        Centres {
            cores: (0..Self::BOXES).map(start).collect(),
            report_at: vec![None; Self::BOXES],
            reports: Vec::new(),
        }
    }

    fn exchange(&mut self, now: u64) {
        for index in 0..Self::BOXES {
            if self.report_at[index].is_some_and(|due| due <= now) {
                let counts = self.cores[index].unreported_retry_counts(at(now));
                self.report_at[index] = None;
                let arrives = now + Self::NETWORK_DELAY;
                self.reports.push(CentreReport { arrives, from: index, counts });
            }
        }
        let due: Vec<CentreReport> =
            self.reports.extract_if(.., |report| report.arrives <= now).collect();
        for CentreReport { from, counts, .. } in due {
            for to in (0..Self::BOXES)
                .filter(|to| to % Self::CENTRES == from % Self::CENTRES && *to != from)
            {
                for (service, counts) in &counts {
                    self.cores[to].merge_retry_counts(at(now), from as u64, service, *counts);
                }
            }
        }
    }

    /// Sends a request, until it is served or gets no further retry; returns whether it was served and the number of
    /// retries.
    fn run_request(
        &mut self,
        now: u64,
        index: usize,
        mut is_refused: impl FnMut() -> bool,
    ) -> (bool, usize) {
        const MAX_SENDS: usize = 4;
        let core = &mut self.cores[index];
        core.record_request(at(now), SERVICE);
        self.report_at[index].get_or_insert(now + Self::REPORT_DELAY);
        for sends in 1..=MAX_SENDS {
            let refused = is_refused();
            let outcome =
                if refused { SteerOutcome::Shed } else { SteerOutcome::Good(Duration::ZERO) };
            let handle = core.begin(at(now), TargetKey::of("a"), &ROUTE.into());
            core.end(at(now), &handle, &ROUTE.into(), outcome, 100);
            if !refused {
                return (true, sends - 1);
            }
            if sends == MAX_SENDS || core.take_retry(at(now), SERVICE, &REFUSED).is_err() {
                return (false, sends - 1);
            }
        }
        unreachable!("the last send returns")
    }
}

fn run_episode(case: &EpisodeCase, paced: bool, seed: u64) -> EpisodeResult {
    const BEGIN: u64 = 55_000;
    const AFTER: u64 = 8_000;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Centres::new(paced);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    let mut arrivals = Vec::new();
    let end = BEGIN + case.length_ms;
    for now in 30_000..end + AFTER {
        fleet.exchange(now);
        let passed = (now.clamp(BEGIN, end) - BEGIN) as f64 / LONG_EPISODE.length_ms as f64;
        let rate = case.rates[0] + (case.rates[1] - case.rates[0]) * passed;
        // Two draws each millisecond give up to two requests.
        for _ in 0..2 {
            if !random.random_bool(rate / 2000.0) {
                continue;
            }
            let index = random.random_range(0..Centres::BOXES);
            let refused = if (BEGIN..end).contains(&now) { case.refused } else { 0.01 };
            let (served, extra) = fleet.run_request(now, index, || random.random_bool(refused));
            requests.push(now);
            retries.extend(std::iter::repeat_n(now, extra));
            if (BEGIN..end).contains(&now) {
                arrivals.push((now, served));
            }
        }
    }
    let within = |from: u64| {
        let some = arrivals.iter().filter(move |(time, _)| (from..from + 2000).contains(time));
        let all = some.clone().count();
        some.filter(|(_, served)| *served).count() as f64 / all.max(1) as f64
    };
    let worst_share = (BEGIN..=end - 2000).step_by(100).map(within).fold(1.0, f64::min);
    let (_, sends, max) = worst_window(&requests, &retries);
    EpisodeResult {
        arrived: arrivals.len(),
        served: arrivals.iter().filter(|(_, served)| *served).count(),
        retries: retries.iter().filter(|time| (BEGIN..end).contains(*time)).count(),
        worst_share,
        closest: (sends, max),
    }
}

/// Returns the sums of some runs of an episode, and the mean of their worst shares.
fn run_episodes(case: &EpisodeCase, paced: bool) -> (EpisodeResult, f64) {
    const RUNS: u64 = 6;
    let mut sum = EpisodeResult::default();
    for seed in 0..RUNS {
        let result = run_episode(case, paced, seed);
        let (retries, max) = result.closest;
        assert!(retries as f64 <= max, "{}: {retries} retries, {max} allowed", case.name);
        sum.arrived += result.arrived;
        sum.served += result.served;
        sum.retries += result.retries;
        sum.worst_share += result.worst_share;
    }
    let worst_share = sum.worst_share / RUNS as f64;
    println!("{}, paced {paced}: {sum:?}, worst share {worst_share:.3}", case.name);
    (sum, worst_share)
}

/// Guards against a budget that is gone after the first seconds of an episode, and against a pace that leaves a part
/// of it unused. One in a hundred fewer requests are served in all than without overload control: that budget counts
/// the requests of 10.5 s, while the paced one counts no request that the bound does not count.
#[test]
fn long_episode_has_retries_until_its_end() {
    let (paced, paced_worst) = run_episodes(&LONG_EPISODE, true);
    let (unpaced, unpaced_worst) = run_episodes(&LONG_EPISODE, false);
    assert!(paced_worst > unpaced_worst + 0.04, "{paced_worst} and {unpaced_worst}");
    let share = |result: &EpisodeResult| result.served as f64 / result.arrived as f64;
    assert!(share(&paced) > 0.985 * share(&unpaced), "{paced:?}, {unpaced:?}");
}

/// Guards against a pace that withholds retries from an episode that needs no more than half of the budget.
#[test]
fn short_episode_gets_as_many_retries_as_without_pacing() {
    let (paced, paced_worst) = run_episodes(&SHORT_EPISODE, true);
    let (unpaced, unpaced_worst) = run_episodes(&SHORT_EPISODE, false);
    assert_eq!((paced.served, paced.retries), (unpaced.served, unpaced.retries));
    assert!((paced_worst - unpaced_worst).abs() < 1e-9);
}

/// Demand that swings out of step between three data centres, while targets refuse nearly everything.
struct WaveCase {
    /// Largest deviation from the mean demand, as a share of it.
    swing: f64,
    period_s: f64,
}

const WAVES: &[WaveCase] = &[
    WaveCase { swing: 0.55, period_s: 13.0 },
    WaveCase { swing: 0.95, period_s: 20.0 },
    WaveCase { swing: 0.95, period_s: 40.0 },
];

/// Guards against data centres that each count their own largest window: together they made 1.26 times as many retries
/// as the bound allows.
#[test]
fn data_centres_with_demand_out_of_step_stay_within_the_bound() {
    for case in WAVES {
        let mut random = SmallRng::seed_from_u64(3);
        let mut fleet = Centres::new(true);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now in 30_000_u64..100_000 {
            fleet.exchange(now);
            for centre in 0..Centres::CENTRES {
                let phase = now as f64 / 1000.0 / case.period_s + centre as f64 / 3.0;
                let rate = 180.0 * (1.0 + case.swing * (phase * std::f64::consts::TAU).sin());
                if !random.random_bool(rate / 1000.0) {
                    continue;
                }
                let number = random.random_range(0..Centres::BOXES / Centres::CENTRES);
                let index = number * Centres::CENTRES + centre;
                let (_, extra) = fleet.run_request(now, index, || random.random_bool(0.95));
                requests.push(now);
                retries.extend(std::iter::repeat_n(now, extra));
            }
        }
        let (begin, sends, max) = worst_window(&requests, &retries);
        println!("swing {}, {} s: {sends} retries, {max:.0} allowed", case.swing, case.period_s);
        assert!(sends as f64 <= max, "{sends} retries from {begin} ms, {max} allowed");
        assert!(sends as f64 >= 0.7 * max, "the budget is used: {sends} of {max}");
    }
}

/// A retry that is asked for after others.
struct ReserveCase {
    name: &'static str,
    /// The uses that asked before, and how long ago.
    asked: &'static [(RetryUse, u64)],
    request: RetryRequest,
    /// Share of the budget that the retry may use.
    share: f64,
}

const HEDGE: RetryRequest = RetryRequest { usage: RetryUse::Hedge, loss: 0.6 };
const REPEAT: RetryRequest = RetryRequest { usage: RetryUse::Repeat, loss: 1.0 };

const RESERVES: &[ReserveCase] = &[
    ReserveCase { name: "refused", asked: &[(RetryUse::Repeat, 10)], request: REFUSED, share: 1.0 },
    ReserveCase { name: "repeat alone", asked: &[], request: REPEAT, share: 1.0 },
    ReserveCase {
        name: "repeat beside refused",
        asked: &[(RetryUse::Refused, 10)],
        request: REPEAT,
        share: 0.9,
    },
    ReserveCase {
        name: "repeat after refused",
        asked: &[(RetryUse::Refused, 1100)],
        request: REPEAT,
        share: 1.0,
    },
    ReserveCase { name: "hedge alone", asked: &[], request: HEDGE, share: 0.9 },
    ReserveCase {
        name: "hedge beside both",
        asked: &[(RetryUse::Refused, 10), (RetryUse::Repeat, 10)],
        request: HEDGE,
        share: 0.7,
    },
    ReserveCase {
        name: "hedge of an attempt that is likely answered",
        asked: &[(RetryUse::Refused, 10), (RetryUse::Repeat, 10)],
        request: RetryRequest { loss: 0.3, ..HEDGE },
        share: 0.6,
    },
];

/// Guards against hedges and repeats that take the retries of refused orders, and against a reserve that is kept
/// though nothing needs it.
#[test]
fn lower_uses_leave_a_reserve_while_higher_ones_need_it() {
    for case in RESERVES {
        let mut core = core_with_pacing();
        core.set_boxes(1, 1);
        (0..4000).for_each(|number| core.record_request(at(20_000 + number), SERVICE));
        let now = 24_100;
        let mut asked = 0;
        for (usage, ago) in case.asked {
            let request = RetryRequest { usage: *usage, loss: 1.0 };
            assert!(core.take_retry(at(now - ago), SERVICE, &request).is_ok());
            asked += 1;
        }
        let more =
            (0..4000).take_while(|_| core.take_retry(at(now), SERVICE, &case.request).is_ok());
        let taken = asked + more.count();
        // 0.85 of the budget is used.
        let whole = 0.85 * (4000.0 * bounds().share + bounds().slack / 40.0);
        let share = taken as f64 / whole;
        assert!((share - case.share).abs() < 0.02, "{}: {share}", case.name);
        let denial = core.take_retry(at(now), SERVICE, &case.request);
        let reason = if case.share < 1.0 { RetryDenial::Reserved } else { RetryDenial::UsedUp };
        assert_eq!(denial, Err(reason), "{}", case.name);
    }
}

/// Guards against a second attempt at a target that refuses, and against a refusal with free slots that counts as a
/// full queue.
#[test]
fn second_attempts_prefer_targets_that_have_not_refused() {
    let ids = ["a", "b"];
    for paced in [false, true] {
        let mut core = if paced { core_with_pacing() } else { core() };
        core.set_targets(at(0), ids.iter().map(|id| target(id, "near")).collect());
        core.set_boxes(10, 30);
        ids.iter().for_each(|id| report_success(&mut core, at(20_000), id, 6));
        let now = at(20_100);
        let handle = core.begin(now, TargetKey::of("a"), &ROUTE.into());
        core.end(now, &handle, &ROUTE.into(), SteerOutcome::Shed, 0);
        core.record_load(now, TargetKey::of("a"), LoadReport { held: 1, slots: 3 });
        let share_of_a = |core: &mut SteerCore, millis, tried: &[TargetKey]| {
            let picked = |_: &usize| {
                let pick = core.pick(at(millis), &request(false, tried));
                pick.is_ok_and(|pick| pick.key == TargetKey::of("a"))
            };
            (0..PICKS).filter(picked).count() as f64 / PICKS as f64
        };
        let other = [TargetKey::of("c")];
        let first = share_of_a(&mut core, 20_150, &[]);
        let second = share_of_a(&mut core, 20_500, &other);
        let later = share_of_a(&mut core, 21_200, &other);
        assert!(later > 0.3, "{later}");
        if paced {
            assert!(first > 0.3, "the target has free slots: {first}");
            assert!(second < 0.02, "{second}");
        } else {
            assert!(
                first < 0.02,
                "without overload control, a refusal counts as a full queue: {first}"
            );
            assert!(second > 0.3, "{second}");
        }
    }
}
