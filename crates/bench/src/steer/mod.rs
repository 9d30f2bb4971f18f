//! `wingbench steer`: the steering cores of whole fleets in virtual time, on fleets that
//! are drawn at random, so that nothing can be fitted to one of them.

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
use crate::steer::world::play;

/// What is measured.
#[derive(Debug, Clone)]
pub struct SteerBench {
    /// The seed of the first fleet; others have those after it.
    pub seed: u64,
    /// How many fleets.
    pub fleets: usize,
    /// Seconds of traffic in each.
    pub seconds: u64,
    /// Threads.
    pub workers: usize,
    /// What is switched off in the boxes' cores.
    pub without: MechanismSet,
    /// What happens to each fleet.
    pub pattern: LoadPattern,
    /// What boxes do when a target asks for rest.
    pub backoff_strategy: BackoffStrategy,
    /// What boxes do when a target names a limit.
    pub limit_strategy: LimitStrategy,
}

/// Plays all fleets, each once as set and once with uniform random picks.
///
/// # Errors
/// The names of the mechanisms that uniform picks do without are not known any more.
pub fn measure_steer(bench: &SteerBench) -> Result<SteerReport, UnknownMechanism> {
    let uniform = MechanismSet::from_str("steering,peer-sightings,hedges,trials,hold-back")?;
    let per_worker = bench.fleets.div_ceil(bench.workers.max(1)).max(1);
    let numbers: Vec<u64> = (0..bench.fleets as u64).collect();
    let rows: Vec<(FleetResult, FleetResult)> = thread::scope(|scope| {
        let parts: Vec<_> = numbers
            .chunks(per_worker)
            .map(|part| {
                let uniform = &uniform;
                scope.spawn(move || play_fleets(bench, uniform, part))
            })
            .collect();
        let rows = parts.into_iter().map(|part| part.join().expect("no invariant is broken"));
        rows.flatten().collect()
    });
    Ok(SteerReport::new(bench, &rows))
}

fn play_fleets(
    bench: &SteerBench,
    uniform: &MechanismSet,
    numbers: &[u64],
) -> Vec<(FleetResult, FleetResult)> {
    let play_fleet = |number: &u64| {
        let plan = FleetPlan::draw(bench.seed + number);
        let played = |without| play(&plan, bench, without);
        (played(&bench.without), played(uniform))
    };
    numbers.iter().map(play_fleet).collect()
}
