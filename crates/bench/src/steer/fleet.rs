//! Random fleets: boxes, services, targets and failure episodes, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The sizes and rates of an emulated fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The seed from which the fleet was drawn.
    pub seed: u64,
    /// Number of data centres.
    pub centres: usize,
    /// Boxes in each data centre.
    pub boxes: usize,
    /// One-way latency between data centres.
    pub remote_latency: Duration,
    /// Cost of a kilobyte sent to another data centre.
    pub cross_cost: f64,
    /// Services of the fleet.
    pub services: Vec<ServicePlan>,
}

/// The targets of a service and the load on them.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Number of targets, spread over the data centres.
    pub targets: usize,
    /// Requests that a target processes at once.
    pub slots: u32,
    /// Median processing time of a request.
    pub work: Duration,
    /// Standard deviation of the logarithm of the processing time.
    pub spread: f64,
    /// Requests per second, over all callers.
    pub rate: f64,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Latency goal of a request.
    pub goal: Duration,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Share of targets that are in a failure episode at any moment.
    pub episode_share: f64,
    /// Mean length of a failure episode.
    pub episode: Duration,
    /// Share of requests that fail during an episode.
    pub failing: f64,
    /// Share of the failing requests that stall; the others are answered with an error.
    pub stalling: f64,
}

impl FleetPlan {
    /// Draws a fleet. The ranges extend beyond the fleets of the three users on both sides.
    pub fn draw(seed: u64) -> FleetPlan {
        let mut random = SmallRng::seed_from_u64(seed);
        let centres = random.random_range(2..=4);
        let services = random.random_range(1..=3);
        FleetPlan {
            seed,
            centres,
            boxes: random.random_range(4..=14),
            remote_latency: Duration::from_micros(random.random_range(300..=4_000)),
            cross_cost: random.random_range(0.005..0.03),
            services: (0..services).map(|_| ServicePlan::draw(&mut random)).collect(),
        }
    }
}

impl ServicePlan {
    fn draw(random: &mut SmallRng) -> ServicePlan {
        let targets = random.random_range(5..=24);
        let slots = random.random_range(2..=4);
        let work_ms = random.random_range(80.0..420.0);
        let load = random.random_range(0.15..0.45);
        let stalling = match random.random_range(0..3) {
            0 => 0.0,
            1 => 1.0,
            _ => random.random_range(0.2..0.8),
        };
        ServicePlan {
            targets,
            slots,
            work: from_ms(work_ms),
            spread: random.random_range(0.2..0.8),
            rate: load * targets as f64 * f64::from(slots) / (work_ms / 1000.0),
            repeatable: random.random_bool(0.5),
            goal: from_ms(work_ms * random.random_range(2.8..4.5)),
            timeout: from_ms(work_ms * random.random_range(5.0..9.0)),
            episode_share: random.random_range(0.05..0.3),
            episode: from_ms(random.random_range(2_000.0..8_000.0)),
            failing: random.random_range(0.4..0.95),
            stalling,
        }
    }
}

fn from_ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}
