//! `wingbench steer`: runs the steering cores of emulated fleets in virtual time.
//!
//! The fleets are drawn at random, so that steering cannot be tuned to a particular one.

pub mod backoffs;
pub mod cost;
mod event;
pub mod fleet;
pub mod limits;
pub mod pattern;
pub mod report;
pub mod seconds;
mod targets;
mod world;

use std::str::FromStr;
use std::thread;

use wingbridge_decide::steer::mechanism::{MechanismSet, UnknownMechanism};

use crate::steer::backoffs::BackoffStrategy;
use crate::steer::fleet::FleetPlan;
use crate::steer::limits::LimitStrategy;
use crate::steer::pattern::LoadPattern;
use crate::steer::report::{FleetResult, SteerReport};
use crate::steer::world::simulate;

/// The settings of a measurement.
#[derive(Debug, Clone)]
pub struct SteerBench {
    /// Seed of the first fleet; the following fleets use the following seeds.
    pub seed: u64,
    /// Number of fleets.
    pub fleets: usize,
    /// Seconds of traffic that are measured in each fleet.
    pub seconds: u64,
    /// Number of worker threads.
    pub workers: usize,
    /// Mechanisms that are switched off in the boxes' cores.
    pub without: MechanismSet,
    /// Load pattern of each fleet.
    pub pattern: LoadPattern,
    /// What boxes do when a target asks for a back-off.
    pub backoff_strategy: BackoffStrategy,
    /// What boxes do when a target names a limit.
    pub limit_strategy: LimitStrategy,
}

/// Simulates each fleet twice: with the given settings, and with uniform random selection.
///
/// # Errors
/// Returns an error if a mechanism that uniform selection switches off no longer exists.
pub fn measure_steer(bench: &SteerBench) -> Result<SteerReport, UnknownMechanism> {
    let uniform = MechanismSet::from_str("steering,peer-sightings,hedges,trials,hold-back")?;
    let per_worker = bench.fleets.div_ceil(bench.workers.max(1)).max(1);
    let numbers: Vec<u64> = (0..bench.fleets as u64).collect();
    let rows: Vec<(FleetResult, FleetResult)> = thread::scope(|scope| {
        let parts: Vec<_> = numbers
            .chunks(per_worker)
            .map(|part| {
                let uniform = &uniform;
                scope.spawn(move || simulate_fleets(bench, uniform, part))
            })
            .collect();
        let rows = parts.into_iter().map(|part| part.join().expect("a simulation thread panicked"));
        rows.flatten().collect()
    });
    Ok(SteerReport::new(bench, &rows))
}

fn simulate_fleets(
    bench: &SteerBench,
    uniform: &MechanismSet,
    numbers: &[u64],
) -> Vec<(FleetResult, FleetResult)> {
    let simulate_fleet = |number: &u64| {
        let plan = FleetPlan::draw(bench.seed + number);
        let simulated = |without| simulate(&plan, bench, without);
        (simulated(&bench.without), simulated(uniform))
    };
    numbers.iter().map(simulate_fleet).collect()
}
