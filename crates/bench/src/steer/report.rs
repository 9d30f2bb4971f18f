//! What became of the requests of emulated fleets.

use std::time::Duration;

use serde::Serialize;
use wingctl::output::table;

use crate::steer::SteerBench;
use crate::steer::fleet::FleetPlan;

/// Sums over requests that may run again, or over those that run once.
#[derive(Debug, Clone, Copy, Default, Serialize, PartialEq)]
pub struct KindSums {
    /// Requests.
    pub requests: u64,
    /// Served ones.
    pub served: u64,
    /// Served within their goal.
    pub in_goal: u64,
    /// Attempts, and those beyond the first that drew on the budget.
    pub attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Attempts that left the data centre.
    pub crossed: u64,
    /// Trials.
    pub trials: u64,
}

/// Sums of one fleet.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FleetSums {
    /// The fleet's seed.
    pub seed: u64,
    /// Requests that may run again.
    pub repeatable: KindSums,
    /// Requests that run once.
    pub once: KindSums,
    /// Suspicions of targets that were in a spell, and of sound ones.
    pub right_suspicions: u64,
    /// Suspicions of sound targets.
    pub false_suspicions: u64,
    #[serde(skip)]
    repeatable_services: Vec<bool>,
}

/// All fleets, as set and with uniform random picks.
#[derive(Debug, Clone, Serialize)]
pub struct SteerReport {
    /// The first seed.
    pub seed: u64,
    /// Fleets.
    pub fleets: usize,
    /// What was switched off.
    pub without: String,
    /// As set.
    pub steered: FleetSums,
    /// With uniform random picks, no retries beside an open attempt, no news of peers.
    pub uniform: FleetSums,
}

impl FleetSums {
    pub(super) fn new(plan: &FleetPlan) -> FleetSums {
        let repeatable_services = plan.services.iter().map(|service| service.repeatable).collect();
        FleetSums { seed: plan.seed, repeatable_services, ..FleetSums::default() }
    }

    fn kind(&mut self, service: usize) -> &mut KindSums {
        if self.repeatable_services[service] { &mut self.repeatable } else { &mut self.once }
    }

    pub(super) fn note_attempt(&mut self, service: usize, away: bool, trial: bool) {
        let kind = self.kind(service);
        kind.attempts += 1;
        kind.crossed += u64::from(away);
        kind.trials += u64::from(trial);
    }

    pub(super) fn note_retry(&mut self, service: usize) {
        self.kind(service).retries += 1;
    }

    pub(super) fn note_request(
        &mut self,
        service: usize,
        served: Option<Duration>,
        goal: Duration,
    ) {
        let kind = self.kind(service);
        kind.requests += 1;
        kind.served += u64::from(served.is_some());
        kind.in_goal += u64::from(served.is_some_and(|time| time <= goal));
    }

    pub(super) fn note_suspicion(&mut self, right: bool) {
        if right {
            self.right_suspicions += 1;
        } else {
            self.false_suspicions += 1;
        }
    }

    fn add(&mut self, other: &FleetSums) {
        self.repeatable.add(&other.repeatable);
        self.once.add(&other.once);
        self.right_suspicions += other.right_suspicions;
        self.false_suspicions += other.false_suspicions;
    }
}

impl KindSums {
    /// The share of requests that were not served.
    pub fn lost(&self) -> f64 {
        1.0 - self.served as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, other: &KindSums) {
        self.requests += other.requests;
        self.served += other.served;
        self.in_goal += other.in_goal;
        self.attempts += other.attempts;
        self.retries += other.retries;
        self.crossed += other.crossed;
        self.trials += other.trials;
    }

    fn cells(&self) -> Vec<String> {
        let of = |part: u64, whole: u64| format!("{:.4}", part as f64 / whole.max(1) as f64);
        vec![
            self.requests.to_string(),
            format!("{:.4}", self.lost()),
            of(self.in_goal, self.requests),
            of(self.retries, self.requests),
            of(self.crossed, self.attempts),
            of(self.trials, self.attempts),
        ]
    }
}

impl SteerReport {
    pub(super) fn new(bench: &SteerBench, rows: &[(FleetSums, FleetSums)]) -> SteerReport {
        let mut report = SteerReport {
            seed: bench.seed,
            fleets: rows.len(),
            without: bench.without.to_string(),
            steered: FleetSums::default(),
            uniform: FleetSums::default(),
        };
        for (steered, uniform) in rows {
            report.steered.add(steered);
            report.uniform.add(uniform);
        }
        report
    }

    /// A table for people.
    pub fn as_text(&self) -> String {
        let row = |name: &str, kind: &KindSums| {
            let mut cells = vec![name.to_string()];
            cells.extend(kind.cells());
            cells
        };
        let rows = vec![
            row("repeatable, steered", &self.steered.repeatable),
            row("repeatable, uniform", &self.uniform.repeatable),
            row("once, steered", &self.steered.once),
            row("once, uniform", &self.uniform.once),
        ];
        let headings = ["", "requests", "lost", "in goal", "retries", "crossed", "trials"];
        format!(
            "{} fleets from seed {}, without [{}]\n{}\nsuspicions of targets in a spell {}, of sound ones {}",
            self.fleets,
            self.seed,
            self.without,
            table(&headings, &rows),
            self.steered.right_suspicions,
            self.steered.false_suspicions,
        )
    }
}
