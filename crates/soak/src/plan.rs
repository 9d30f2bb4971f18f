//! The fault plan of a run, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingbridge_platform_standins::{MAX_ODD_PAGE_KEYS, POISON_PATH, StoreMode, TargetMode};

use crate::relay::RelayMode;

/// A fault or a planned operation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlannedFault {
    /// The process of one box is killed and started again.
    KillBox(usize),
    /// The processes of all boxes are killed and started again.
    KillAllBoxes,
    /// One box gets a planned stop and is started again.
    StopBox(usize),
    /// All boxes get a planned stop, one after the other with this pause between them.
    StopInTurn(Duration),
    /// The process of a box is suspended for this time.
    PauseBox(usize, Duration),
    /// A box gets the signal to reload its settings.
    ReloadBox(usize),
    /// The store has this fault for this time.
    Store(StoreMode, Duration),
    /// The relay between a box and the store has this mode for this time.
    StorePath(usize, RelayMode, Duration),
    /// The relay in front of a target has this mode for this time.
    TargetPath(usize, RelayMode, Duration),
    /// A target has this fault for this time.
    Target(usize, TargetMode, Duration),
    /// A target announces that it is draining, continues to serve for a while and ends; then
    /// another target takes over its address. The flag is set if the new target belongs to another
    /// service.
    ReplaceTarget(usize, bool),
    /// A target ends without an announcement. Its entry is removed later, and then another target
    /// takes over its address.
    CrashTarget(usize),
    /// A number of configurations are written, with a pause between them.
    ChangeConfig(u32, Duration),
    /// A target refuses this share of requests and asks in the refusals for this back-off; the last
    /// field is how long it does so.
    AskRest(usize, f64, Duration, Duration),
    /// A target announces in its answers only, not in its entry, that it is draining, and then
    /// ends.
    LeaveByAnswers(usize),
    /// Some configurations are written. Then the store has this fault for this time and comes back from a
    /// copy of this age. The operators and the targets write again what it has lost.
    ReturnFromCopy(StoreMode, Duration, Duration),
    /// The paths from these boxes to all targets have this mode for this time.
    CutBoxes(CutScope, RelayMode, Duration),
    /// A target announces this limit in its answers, in millionths of a request per second, for
    /// this time.
    NameLimit(usize, u64, Duration),
    /// Another writer writes odd keys and entries, and pages of listings have this many keys. They stay until service has
    /// returned after the last fault.
    WriteOddItems(usize),
}

/// The boxes that lose their paths to the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// One box.
    One(usize),
    /// All but one box.
    AllBut(usize),
    /// The boxes of a data centre: those whose number has this remainder when divided by the number of data centres.
    DataCentre {
        /// Remainder of the numbers of its boxes.
        remainder: usize,
        /// Number of data centres.
        data_centres: usize,
    },
}

impl CutScope {
    /// Returns whether the box with that number loses its paths.
    pub fn contains(self, index: usize) -> bool {
        match self {
            CutScope::One(one) => index == one,
            CutScope::AllBut(other) => index != other,
            CutScope::DataCentre { remainder, data_centres } => index % data_centres == remainder,
        }
    }
}

/// All faults of a run, with the times at which they begin.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Faults ordered by start time, which is relative to the start of the load.
    pub faults: Vec<(Duration, PlannedFault)>,
    /// Targets that ask for a back-off or drain with an announcement in answers only, with the
    /// times at which they begin.
    pub notices: Vec<(Duration, PlannedFault)>,
    /// Targets that announce limits, with the times at which they begin.
    pub limits: Vec<(Duration, PlannedFault)>,
    /// Returns of the store from a copy, with the times at which the changes before them begin.
    pub returns: Vec<(Duration, PlannedFault)>,
    /// Boxes that lose their paths to the targets, with the times at which that begins.
    pub cuts: Vec<(Duration, PlannedFault)>,
    /// Keys and entries of another writer, with a configuration and a kill of all boxes that follow.
    pub odd_items: Vec<(Duration, PlannedFault)>,
    /// Poison requests.
    pub poison_rounds: Vec<PoisonRound>,
}

/// A poison request, which ends each target that runs it, and its repetition by a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct PoisonRound {
    /// Time of the first request, from the start of the load.
    pub at: Duration,
    /// Time for which it is repeated.
    pub time: Duration,
    /// Pause between two requests.
    pub pause: Duration,
    /// Path of the request.
    pub path: String,
    /// Whether the caller hangs up before the target ends.
    pub hangs_up: bool,
}

/// Poison requests per second of faults.
const POISON_ROUNDS_PER_S: f64 = 0.1;
/// Targets per second of faults that ask for a back-off or drain with an announcement in answers
/// only.
const NOTICES_PER_S: f64 = 0.2;
const NOTICE_SEED: u64 = 0x1eaf;
/// Targets per second of faults that announce limits.
const LIMITS_PER_S: f64 = 0.2;
const LIMIT_SEED: u64 = 0x11c17;
/// Returns of the store from a copy per second of faults.
const RETURNS_PER_S: f64 = 0.1;
const RETURN_SEED: u64 = 0xc0b1;
/// Times per second of faults at which boxes lose their paths to all targets.
const CUTS_PER_S: f64 = 0.1;
const CUT_SEED: u64 = 0x0c07;
/// Share of the seeds in which another writer has odd keys and entries.
const ODD_ITEMS_SHARE: f64 = 0.5;
/// With this number none of the seeds that the short soak keeps for older causes draws odd items: the kill of all boxes
/// would disturb boxes that its checks need undisturbed.
const ODD_ITEMS_SEED: u64 = 0xe04;
/// Time after which a configuration follows these.
const CHANGE_AFTER_ODD_ITEMS: Duration = Duration::from_millis(200);
/// Poison requests, like notices, limits, returns, cuts and odd items, are drawn from a random source of their own, so that
/// adding them left the other faults of each seed unchanged.
const POISON_SEED: u64 = 0xdead;

/// The dimensions for which a plan is drawn.
#[derive(Debug, Clone, Copy)]
pub struct PlanSize {
    /// Time span in which faults begin.
    pub time: Duration,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of targets.
    pub targets: usize,
    /// Average number of faults per second.
    pub faults_per_s: f64,
}

impl FaultPlan {
    /// Draws the plan of `seed`. Start times are independent of each other, so faults can overlap.
    pub fn draw(seed: u64, size: &PlanSize) -> FaultPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let count = (size.time.as_secs_f64() * size.faults_per_s).ceil() as usize;
        let mut faults: Vec<(Duration, PlannedFault)> = (0..count)
            .map(|_| (size.time.mul_f64(random.random()), draw_fault(&mut random, size)))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (notices, poison_rounds) = (draw_notices(seed, size), draw_poison_rounds(seed, size));
        let (limits, returns) = (draw_limits(seed, size), draw_returns(seed, size));
        let (cuts, odd_items) = (draw_cuts(seed, size), draw_odd_items(seed, size));
        FaultPlan { faults, notices, limits, returns, cuts, odd_items, poison_rounds }
    }
}

fn draw_fault(random: &mut StdRng, size: &PlanSize) -> PlannedFault {
    let index = random.random_range(0..size.boxes);
    let target = random.random_range(0..size.targets);
    let time = Duration::from_millis(random.random_range(300..5000));
    match random.random_range(0..100) {
        0..8 => PlannedFault::KillBox(index),
        8..10 => PlannedFault::KillAllBoxes,
        10..18 => PlannedFault::StopBox(index),
        18..22 => PlannedFault::StopInTurn(Duration::from_millis(random.random_range(0..1500))),
        22..30 => PlannedFault::PauseBox(index, time),
        30..34 => PlannedFault::ReloadBox(index),
        34..44 => PlannedFault::Store(draw_store_mode(random), time),
        44..54 => PlannedFault::StorePath(index, draw_relay_mode(random), time),
        54..62 => PlannedFault::TargetPath(target, draw_relay_mode(random), time),
        62..78 => PlannedFault::Target(target, draw_target_mode(random), time),
        78..86 => PlannedFault::ReplaceTarget(target, random.random()),
        86..90 => PlannedFault::CrashTarget(target),
        _ => {
            let pause = Duration::from_millis(random.random_range(80..400));
            PlannedFault::ChangeConfig(random.random_range(1..6), pause)
        }
    }
}

fn draw_notices(seed: u64, size: &PlanSize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ NOTICE_SEED);
    let count = (size.time.as_secs_f64() * NOTICES_PER_S).ceil() as usize;
    let mut draw = |_| {
        let at = size.time.mul_f64(random.random());
        let target = random.random_range(0..size.targets);
        let share = random.random_range(0.3..1.0);
        let backoff = Duration::from_millis(random.random_range(200..3000));
        let time = Duration::from_millis(random.random_range(1000..5000));
        let fault = match random.random_bool(0.7) {
            true => PlannedFault::AskRest(target, share, backoff, time),
            false => PlannedFault::LeaveByAnswers(target),
        };
        (at, fault)
    };
    (0..count).map(&mut draw).collect()
}

fn draw_limits(seed: u64, size: &PlanSize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let count = (size.time.as_secs_f64() * LIMITS_PER_S).ceil() as usize;
    let mut draw = |_| {
        // The limit stands longer than the window in which the check counts arrivals.
        let at = size.time.mul_f64(0.5 * random.random::<f64>());
        let time = Duration::from_millis(random.random_range(8_000..14_000));
        let limit = random.random_range(0..4_000_000);
        (at, PlannedFault::NameLimit(random.random_range(0..size.targets), limit, time))
    };
    (0..count).map(&mut draw).collect()
}

fn draw_returns(seed: u64, size: &PlanSize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ RETURN_SEED);
    let count = (size.time.as_secs_f64() * RETURNS_PER_S).ceil() as usize;
    let mut draw = |_| {
        let at = size.time.mul_f64(random.random());
        let mode = match random.random_range(0..3) {
            0 => StoreMode::Refusing,
            1 => StoreMode::Silent,
            _ => StoreMode::Closing,
        };
        let away = Duration::from_millis(random.random_range(100..3000));
        let age = Duration::from_millis(random.random_range(0..12_000));
        (at, PlannedFault::ReturnFromCopy(mode, away, age))
    };
    (0..count).map(&mut draw).collect()
}

fn draw_cuts(seed: u64, size: &PlanSize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ CUT_SEED);
    let count = (size.time.as_secs_f64() * CUTS_PER_S).ceil() as usize;
    let mut draw = |_| {
        let at = size.time.mul_f64(random.random());
        let index = random.random_range(0..size.boxes);
        let scope = match random.random_range(0..3) {
            0 => CutScope::One(index),
            1 => CutScope::AllBut(index),
            _ => {
                let data_centres = size.data_centres;
                CutScope::DataCentre { remainder: index % data_centres, data_centres }
            }
        };
        let mode = match random.random_range(0..3) {
            0 => RelayMode::Silent,
            1 => RelayMode::OneWay,
            _ => RelayMode::Closed,
        };
        (
            at,
            PlannedFault::CutBoxes(
                scope,
                mode,
                Duration::from_millis(random.random_range(500..12_000)),
            ),
        )
    };
    (0..count).map(&mut draw).collect()
}

fn draw_odd_items(seed: u64, size: &PlanSize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ ODD_ITEMS_SEED);
    if !random.random_bool(ODD_ITEMS_SHARE) {
        return Vec::new();
    }
    let at = size.time.mul_f64(0.5 * random.random::<f64>());
    let page_keys = random.random_range(2..=MAX_ODD_PAGE_KEYS);
    // Boxes have time to serve by the configuration, or to miss it, before they are killed.
    let kill_after = Duration::from_millis(random.random_range(4000..6000));
    vec![
        (at, PlannedFault::WriteOddItems(page_keys)),
        (at + CHANGE_AFTER_ODD_ITEMS, PlannedFault::ChangeConfig(1, Duration::ZERO)),
        (at + kill_after, PlannedFault::KillAllBoxes),
    ]
}

fn draw_poison_rounds(seed: u64, size: &PlanSize) -> Vec<PoisonRound> {
    let mut random = StdRng::seed_from_u64(seed ^ POISON_SEED);
    let count = (size.time.as_secs_f64() * POISON_ROUNDS_PER_S).ceil() as usize;
    let draw = |number: usize| PoisonRound {
        at: size.time.mul_f64(0.5 * random.random::<f64>()),
        time: size.time.mul_f64(0.5),
        pause: Duration::from_millis(random.random_range(50..400)),
        path: format!(
            "/{}{POISON_PATH}{number}",
            ["read", "order", "load"][random.random_range(0..3)]
        ),
        hangs_up: random.random_bool(0.3),
    };
    (0..count).map(draw).collect()
}

fn draw_store_mode(random: &mut StdRng) -> StoreMode {
    match random.random_range(0..5) {
        0 => StoreMode::Refusing,
        1 => StoreMode::Silent,
        2 => StoreMode::Closing,
        3 => StoreMode::Slow(Duration::from_millis(random.random_range(50..900))),
        _ => StoreMode::Forgetful,
    }
}

fn draw_relay_mode(random: &mut StdRng) -> RelayMode {
    match random.random_range(0..4) {
        0 => RelayMode::Delayed(Duration::from_millis(random.random_range(5..300))),
        1 => RelayMode::Silent,
        2 => RelayMode::OneWay,
        _ => RelayMode::Closed,
    }
}

fn draw_target_mode(random: &mut StdRng) -> TargetMode {
    let share = random.random_range(0.2..1.0);
    match random.random_range(0..6) {
        0 => TargetMode::Failing(share),
        1 => TargetMode::Slow(random.random_range(2.0..10.0)),
        2 => TargetMode::Stalled,
        3 => TargetMode::LosesAnswers(share),
        4 => TargetMode::Garbles(share),
        _ => TargetMode::Refuses(share),
    }
}
