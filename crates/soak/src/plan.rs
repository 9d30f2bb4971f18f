//! What is done to the system, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingbridge_platform_standins::{POISON_PATH, StoreMode, TargetMode};

use crate::relay::RelayMode;

/// One fault, or one piece of planned work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlannedFault {
    /// A box's process is killed and started again.
    KillBox(usize),
    /// All boxes' processes are killed and started again.
    KillAllBoxes,
    /// A box is stopped as planned and started again.
    StopBox(usize),
    /// All boxes are stopped as planned, one after the other with this pause.
    StopInTurn(Duration),
    /// A box's process stands still for a while.
    PauseBox(usize, Duration),
    /// A box is told to read its settings anew.
    ReloadBox(usize),
    /// The store misbehaves for a while.
    Store(StoreMode, Duration),
    /// A box's path to the store is disturbed for a while.
    StorePath(usize, RelayMode, Duration),
    /// The path to a target is disturbed for a while.
    TargetPath(usize, RelayMode, Duration),
    /// A target misbehaves for a while.
    Target(usize, TargetMode, Duration),
    /// A target says that it leaves, serves on, ends, and another takes its address; of
    /// another service, if so.
    ReplaceTarget(usize, bool),
    /// A target ends without a word; its entry goes later, and another takes its address.
    CrashTarget(usize),
    /// So many configurations are written, with this pause between.
    ChangeConfig(u32, Duration),
    /// A target's refusals ask for that much rest, for a while, and it refuses that share.
    AskRest(usize, f64, Duration, Duration),
    /// A target says that it leaves in its answers alone, and ends when it has.
    LeaveByAnswers(usize),
    /// A target names that limit in its answers, in millionths of a request a second, for a while.
    NameLimit(usize, u64, Duration),
}

/// Faults with the times at which they begin.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// In the order of their times, from the start of the load.
    pub faults: Vec<(Duration, PlannedFault)>,
    /// Targets that ask for rest, or leave by their answers alone, with the times at which they begin to.
    pub notices: Vec<(Duration, PlannedFault)>,
    /// Targets that name limits, with the times at which they begin to.
    pub limits: Vec<(Duration, PlannedFault)>,
    /// Requests under which targets end.
    pub deadly: Vec<DeadlyRound>,
}

/// A request under which each target ends that runs it, asked for again and again.
#[derive(Debug, Clone, PartialEq)]
pub struct DeadlyRound {
    /// When it is first asked for, from the start of the load.
    pub at: Duration,
    /// For how long.
    pub time: Duration,
    /// The pause between two tries.
    pub pause: Duration,
    /// Its path.
    pub path: String,
    /// Whether its caller leaves before the target ends.
    pub hangs_up: bool,
}

/// Deadly requests for each second of faults.
const DEADLY_PER_S: f64 = 0.1;
/// Targets that ask for rest or leave by their answers alone, for each second of faults.
const NOTICES_PER_S: f64 = 0.2;
const NOTICE_SEED: u64 = 0x1eaf;
/// Targets that name limits, for each second of faults.
const LIMITS_PER_S: f64 = 0.2;
const LIMIT_SEED: u64 = 0x11c17;
/// They are drawn from a seed of their own, so that a seed's other faults stay as they were without them.
const DEADLY_SEED: u64 = 0xdead;

/// What a plan is drawn for.
#[derive(Debug, Clone, Copy)]
pub struct PlanSize {
    /// The time in which faults begin.
    pub time: Duration,
    /// Boxes.
    pub boxes: usize,
    /// Targets.
    pub targets: usize,
    /// Faults a second, on average.
    pub faults_per_s: f64,
}

impl FaultPlan {
    /// Draws a plan. Times are independent of each other, so that faults overlap.
    pub fn draw(seed: u64, size: &PlanSize) -> FaultPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let count = (size.time.as_secs_f64() * size.faults_per_s).ceil() as usize;
        let mut faults: Vec<(Duration, PlannedFault)> = (0..count)
            .map(|_| (size.time.mul_f64(random.random()), draw_fault(&mut random, size)))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (notices, deadly) = (draw_notices(seed, size), draw_deadly(seed, size));
        FaultPlan { faults, notices, limits: draw_limits(seed, size), deadly }
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
        let rest = Duration::from_millis(random.random_range(200..3000));
        let time = Duration::from_millis(random.random_range(1000..5000));
        let fault = match random.random_bool(0.7) {
            true => PlannedFault::AskRest(target, share, rest, time),
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
        // Long enough for a window that counts.
        let at = size.time.mul_f64(0.5 * random.random::<f64>());
        let time = Duration::from_millis(random.random_range(8_000..14_000));
        let limit = random.random_range(0..4_000_000);
        (at, PlannedFault::NameLimit(random.random_range(0..size.targets), limit, time))
    };
    (0..count).map(&mut draw).collect()
}

fn draw_deadly(seed: u64, size: &PlanSize) -> Vec<DeadlyRound> {
    let mut random = StdRng::seed_from_u64(seed ^ DEADLY_SEED);
    let count = (size.time.as_secs_f64() * DEADLY_PER_S).ceil() as usize;
    let draw = |number: usize| DeadlyRound {
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
