//! What goes wrong, and what only looks like it.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// A fault of one target, or of the paths to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetFault {
    /// It never answers; probes are answered well.
    Stall,
    /// Its work takes so many times as long.
    Slow(f64),
    /// It answers this share with errors, faster than it works.
    Errors(f64),
    /// It stalls in the first half of each period.
    Flap(Duration),
    /// Connections from one box are not made.
    CutFromBox(usize),
    /// Answers to one data centre do not arrive.
    CutToCentre(usize),
}

impl TargetFault {
    /// All faults whose detection is measured, with their names.
    pub fn measured() -> Vec<(&'static str, TargetFault)> {
        vec![
            ("stall", TargetFault::Stall),
            ("slow-2x", TargetFault::Slow(2.0)),
            ("slow-5x", TargetFault::Slow(5.0)),
            ("slow-20x", TargetFault::Slow(20.0)),
            ("errors-5", TargetFault::Errors(0.05)),
            ("errors-20", TargetFault::Errors(0.2)),
            ("errors-100", TargetFault::Errors(1.0)),
            ("flap-1s", TargetFault::Flap(Duration::from_secs(1))),
            ("flap-10s", TargetFault::Flap(Duration::from_secs(10))),
            ("flap-60s", TargetFault::Flap(Duration::from_secs(60))),
            ("flap-10min", TargetFault::Flap(Duration::from_secs(600))),
            ("cut-from-one-box", TargetFault::CutFromBox(0)),
            ("cut-to-one-centre", TargetFault::CutToCentre(0)),
        ]
    }

    /// Whether a box is harmed by it.
    pub fn affects(self, box_number: usize, centre: usize) -> bool {
        match self {
            TargetFault::CutFromBox(cut) => cut == box_number,
            TargetFault::CutToCentre(cut) => cut == centre,
            _ => true,
        }
    }
}

/// What a healthy fleet goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetCondition {
    /// Nothing special.
    Calm,
    /// Answers have a heavy tail.
    HeavyTail,
    /// One request in a hundred fails, anywhere.
    Noise,
    /// All targets are three times as slow for some seconds, again and again.
    SharedSlowness,
    /// The load swings between a third and one and a half of the usual.
    LoadSwings,
    /// The load is one and a half of what the targets can do, for some seconds.
    Overload,
    /// Each target stands still for a fifth of a second now and then.
    Pauses,
    /// Some targets are a quarter slower than others, always.
    Uneven,
    /// Targets are replaced, one after the other, and start cold.
    ColdStarts,
    /// Targets report loads that are not true.
    LyingLoads,
    /// One box fails with whatever it tries.
    SickBox,
    /// All targets fail at once for some seconds.
    AllFail,
}

impl FleetCondition {
    /// All kinds, with their names.
    pub fn all() -> Vec<(&'static str, FleetCondition)> {
        vec![
            ("calm", FleetCondition::Calm),
            ("heavy-tail", FleetCondition::HeavyTail),
            ("noise", FleetCondition::Noise),
            ("shared-slowness", FleetCondition::SharedSlowness),
            ("load-swings", FleetCondition::LoadSwings),
            ("overload", FleetCondition::Overload),
            ("pauses", FleetCondition::Pauses),
            ("uneven", FleetCondition::Uneven),
            ("cold-starts", FleetCondition::ColdStarts),
            ("lying-loads", FleetCondition::LyingLoads),
            ("sick-box", FleetCondition::SickBox),
            ("all-fail", FleetCondition::AllFail),
        ]
    }

    /// The load at `second`, as a multiple of the usual.
    pub fn load(self, second: f64) -> f64 {
        match self {
            FleetCondition::LoadSwings => 0.9 + 0.6 * (second * std::f64::consts::TAU / 30.0).sin(),
            FleetCondition::Overload if second % 20.0 > 12.0 => 2.4,
            _ => 1.0,
        }
    }

    /// How many times as long the work of `target` takes at `second`.
    pub fn slowness(self, second: f64, target: usize, random: &mut SmallRng) -> f64 {
        match self {
            FleetCondition::SharedSlowness if second % 15.0 > 11.0 => 3.0,
            FleetCondition::Uneven if target.is_multiple_of(4) => 1.25,
            FleetCondition::HeavyTail if random.random::<f64>() < 0.02 => {
                // A Pareto tail: now and then tens of times the usual.
                (1.0 - random.random::<f64>()).powf(-0.9).min(50.0)
            }
            FleetCondition::ColdStarts
                if cold_target(second, 16) == target && second % 30.0 < 5.0 =>
            {
                2.0
            }
            _ => 1.0,
        }
    }

    /// How long `target` still stands still at `second`.
    pub fn pause(self, second: f64, target: usize) -> Duration {
        const PERIOD: f64 = 17.0;
        const LENGTH: f64 = 0.2;
        if self != FleetCondition::Pauses {
            return Duration::ZERO;
        }
        let phase = (second + target as f64 * 1.3) % PERIOD;
        Duration::from_secs_f64((LENGTH - phase).max(0.0))
    }

    /// Whether an attempt fails at `second`.
    pub fn fails(self, second: f64, box_number: usize, random: &mut SmallRng) -> bool {
        match self {
            FleetCondition::Noise => random.random::<f64>() < 0.01,
            FleetCondition::SickBox => box_number == 0 && second > 5.0,
            FleetCondition::AllFail => second % 20.0 > 15.0 && random.random::<f64>() < 0.9,
            _ => random.random::<f64>() < 0.0005,
        }
    }

    /// Whether the target says at `second` that it has just started.
    pub fn is_cold(self, second: f64, target: usize, targets: usize) -> bool {
        self == FleetCondition::ColdStarts
            && cold_target(second, targets) == target
            && second % 30.0 < 1.0
    }
}

/// Every half minute another target is replaced.
fn cold_target(second: f64, targets: usize) -> usize {
    (second / 30.0) as usize % targets
}
