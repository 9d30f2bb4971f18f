//! Faults that should be detected, and conditions of a healthy fleet that look like faults.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// A fault of one target or of the network paths to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetFault {
    /// The target answers probes but no requests.
    Stall,
    /// Requests take longer by this factor.
    Slow(f64),
    /// This share of requests is answered with an error, in less time than a successful one.
    Errors(f64),
    /// The target stalls in the first half of each period.
    Flap(Duration),
    /// One box cannot connect to the target.
    CutFromBox(usize),
    /// No answer reaches one data centre.
    CutToCentre(usize),
}

impl TargetFault {
    /// Returns all faults whose detection is measured, with their names.
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

    /// Returns whether the fault affects requests of a box.
    pub fn affects(self, box_number: usize, centre: usize) -> bool {
        match self {
            TargetFault::CutFromBox(cut) => cut == box_number,
            TargetFault::CutToCentre(cut) => cut == centre,
            _ => true,
        }
    }
}

/// The condition of a fleet without a fault that should be detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetCondition {
    /// No disturbance.
    Calm,
    /// Processing times have a heavy tail.
    HeavyTail,
    /// One request in a hundred fails on all targets.
    Noise,
    /// All targets repeatedly take three times as long for some seconds.
    SharedSlowness,
    /// The load swings between 0.3 and 1.5 times the typical one.
    LoadSwings,
    /// The load is 1.5 times the capacity of the targets for some seconds.
    Overload,
    /// Each target regularly pauses for 200 ms.
    Pauses,
    /// Some targets always take a quarter longer than the others.
    Uneven,
    /// Targets are replaced one after the other and start cold.
    ColdStarts,
    /// Targets report random loads.
    FalseLoads,
    /// All attempts of one box fail.
    SickBox,
    /// Most requests to all targets fail for some seconds.
    AllFail,
}

impl FleetCondition {
    /// Returns all conditions with their names.
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
            ("lying-loads", FleetCondition::FalseLoads),
            ("sick-box", FleetCondition::SickBox),
            ("all-fail", FleetCondition::AllFail),
        ]
    }

    /// Returns the load at `second` as a multiple of the typical one.
    pub fn load(self, second: f64) -> f64 {
        match self {
            FleetCondition::LoadSwings => 0.9 + 0.6 * (second * std::f64::consts::TAU / 30.0).sin(),
            FleetCondition::Overload if second % 20.0 > 12.0 => 2.4,
            _ => 1.0,
        }
    }

    /// Returns the factor on the processing time of `target` at `second`.
    pub fn work_factor(self, second: f64, target: usize, random: &mut SmallRng) -> f64 {
        match self {
            FleetCondition::SharedSlowness if second % 15.0 > 11.0 => 3.0,
            FleetCondition::Uneven if target.is_multiple_of(4) => 1.25,
            FleetCondition::HeavyTail if random.random::<f64>() < 0.02 => {
                // A Pareto tail, with rare factors of up to 50.
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

    /// Returns the remaining time of a pause of `target` at `second`.
    pub fn pause(self, second: f64, target: usize) -> Duration {
        const PERIOD_S: f64 = 17.0;
        const PAUSE_S: f64 = 0.2;
        if self != FleetCondition::Pauses {
            return Duration::ZERO;
        }
        let phase = (second + target as f64 * 1.3) % PERIOD_S;
        Duration::from_secs_f64((PAUSE_S - phase).max(0.0))
    }

    /// Returns whether an attempt of a box fails at `second`.
    pub fn fails(self, second: f64, box_number: usize, random: &mut SmallRng) -> bool {
        match self {
            FleetCondition::Noise => random.random::<f64>() < 0.01,
            FleetCondition::SickBox => box_number == 0 && second > 5.0,
            FleetCondition::AllFail => second % 20.0 > 15.0 && random.random::<f64>() < 0.9,
            _ => random.random::<f64>() < 0.0005,
        }
    }

    /// Returns whether a target reports at `second` that it is cold.
    pub fn is_cold(self, second: f64, target: usize, targets: usize) -> bool {
        self == FleetCondition::ColdStarts
            && cold_target(second, targets) == target
            && second % 30.0 < 1.0
    }
}

/// Returns the target that was replaced last; another one is replaced every 30 s.
fn cold_target(second: f64, targets: usize) -> usize {
    (second / 30.0) as usize % targets
}
