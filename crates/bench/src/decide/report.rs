//! Runs the trials of `wingbench decide` and summarizes them in a report.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::decide::baselines::BaselineKind;
use crate::decide::scenario::{FleetCondition, TargetFault};
use crate::decide::site::SiteSetup;
use crate::decide::trial::{
    DeciderKind, HealthyResult, fault_trial, faulty_target, has_collateral_ejection, healthy_trial,
};

/// Length of the longest healthy run.
const MAX_HEALTHY_RUN: Duration = Duration::from_secs(120);

/// The settings of a measurement.
#[derive(Debug, Clone)]
pub struct DecideSetup {
    /// Sizes and rates of the simulated site.
    pub site: SiteSetup,
    /// Seed of the first trial; the following trials use the following seeds.
    pub seed: u64,
    /// Number of trials of each fault.
    pub trials: u64,
    /// Target-days of healthy runs for each decider.
    pub days: f64,
    /// Number of worker threads.
    pub workers: usize,
    /// Whether the baselines are measured as well.
    pub baselines: bool,
}

/// Detection of one fault by one decider.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Detection {
    /// Median detection time in milliseconds, or `None` if the median trial missed the fault.
    pub detection_p50_ms: Option<f64>,
    /// 99th percentile of the detection time in milliseconds, or `None` if more than one trial in 100
    /// missed the fault.
    pub detection_p99_ms: Option<f64>,
    /// Trials in which the fault was not detected within 30 s.
    pub missed: u64,
    /// Trials in which a box that the fault does not affect ejected its target, or any box ejected
    /// another target.
    #[serde(rename = "spilled")]
    pub collateral: u64,
}

/// The detection of one fault by all deciders.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRow {
    /// Name of the fault.
    pub fault: String,
    /// Detection by the core.
    #[serde(flatten)]
    pub core: Detection,
    /// Detection by the baselines, by name.
    pub baselines: BTreeMap<String, Detection>,
}

/// The results of all trials.
#[derive(Debug, Clone, Serialize)]
pub struct DecideReport {
    /// Name of the site.
    pub site: String,
    /// Seed of the first trial.
    pub seed: u64,
    /// Number of trials of each fault.
    pub trials: u64,
    /// Detection of each fault.
    pub faults: Vec<FaultRow>,
    /// Target-days of healthy runs with the core.
    pub healthy_target_days: f64,
    /// False ejections by the core in the healthy runs.
    pub false_ejections: u64,
    /// The core's false ejections by condition of the fleet.
    pub false_ejections_in: BTreeMap<String, u64>,
    /// Ejections by single boxes that make up the core's false ejections, by cause.
    pub false_ejection_causes: BTreeMap<String, u64>,
    /// False ejections by each baseline in the healthy runs.
    pub baseline_false_ejections: BTreeMap<String, u64>,
    /// Ticks on which a box had fewer slots in service than the floor because of ejections.
    pub floor_breaches: u64,
    /// The core's attempts per request in the healthy runs.
    pub retry_amplification: f64,
    /// Share of requests that the core's fleet served in the healthy runs.
    pub goodput: f64,
    /// Share of requests that each baseline served in the healthy runs.
    pub baseline_goodput: BTreeMap<String, f64>,
}

/// Runs all fault trials and healthy runs.
pub fn measure(setup: &DecideSetup) -> DecideReport {
    let deciders = deciders(setup);
    let faults = TargetFault::measured();
    let mut jobs = Vec::new();
    for fault in 0..faults.len() {
        for decider in 0..deciders.len() {
            for trial in 0..setup.trials {
                jobs.push(Job::Fault { fault, decider, seed: setup.seed + trial });
            }
        }
    }
    let conditions = FleetCondition::all();
    for (run, length) in healthy_runs(setup, conditions.len()).into_iter().enumerate() {
        for decider in 0..deciders.len() {
            let seed = setup.seed + 1000 + run as u64;
            jobs.push(Job::Healthy { condition: run % conditions.len(), decider, length, seed });
        }
    }
    let results = run_jobs(setup, &jobs, &faults, &deciders);
    summarize(setup, &jobs, results, &faults, &deciders)
}

#[derive(Debug, Clone, Copy)]
enum Job {
    Fault { fault: usize, decider: usize, seed: u64 },
    Healthy { condition: usize, decider: usize, length: Duration, seed: u64 },
}

#[derive(Debug, Clone)]
enum JobResult {
    Fault { detected: Option<Duration>, breaches: u64, collateral: bool },
    Healthy(HealthyResult),
}

fn deciders(setup: &DecideSetup) -> Vec<(String, DeciderKind)> {
    let mut deciders = vec![("core".to_string(), DeciderKind::Core)];
    if setup.baselines {
        let all = BaselineKind::ALL.iter();
        deciders.extend(all.map(|(name, kind)| (name.to_string(), DeciderKind::Baseline(*kind))));
    }
    deciders
}

/// Returns the lengths of the healthy runs that add up to the configured target-days, with the same
/// number of runs for each condition.
fn healthy_runs(setup: &DecideSetup, conditions: usize) -> Vec<Duration> {
    let seconds = setup.days * 86_400.0 / setup.site.targets as f64;
    let rounds = (seconds / MAX_HEALTHY_RUN.as_secs_f64() / conditions as f64).ceil().max(1.0);
    let length = Duration::from_secs_f64(seconds / rounds / conditions as f64);
    vec![length; rounds as usize * conditions]
}

fn run_jobs(
    setup: &DecideSetup,
    jobs: &[Job],
    faults: &[(&'static str, TargetFault)],
    deciders: &[(String, DeciderKind)],
) -> Vec<JobResult> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<JobResult>>> = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..setup.workers {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    let result = run_job(setup, *job, faults, deciders);
                    results.lock().expect("a worker panicked with the lock held")[index] =
                        Some(result);
                }
            });
        }
    });
    let results = results.into_inner().expect("a worker panicked with the lock held");
    results.into_iter().map(|result| result.expect("a job has no result")).collect()
}

fn run_job(
    setup: &DecideSetup,
    job: Job,
    faults: &[(&'static str, TargetFault)],
    deciders: &[(String, DeciderKind)],
) -> JobResult {
    match job {
        Job::Fault { fault, decider, seed } => {
            let (_, fault) = faults[fault];
            let result = fault_trial(&setup.site, deciders[decider].1, fault, seed);
            let target = faulty_target(&setup.site, seed);
            JobResult::Fault {
                detected: result.detected,
                breaches: result.floor_breaches,
                collateral: has_collateral_ejection(&setup.site, fault, target, &result),
            }
        }
        Job::Healthy { condition, decider, length, seed } => {
            let (_, condition) = FleetCondition::all()[condition];
            let kind = deciders[decider].1;
            JobResult::Healthy(healthy_trial(&setup.site, kind, condition, length, seed))
        }
    }
}

fn summarize(
    setup: &DecideSetup,
    jobs: &[Job],
    results: Vec<JobResult>,
    faults: &[(&'static str, TargetFault)],
    deciders: &[(String, DeciderKind)],
) -> DecideReport {
    let conditions = FleetCondition::all();
    let mut times = vec![vec![Vec::new(); deciders.len()]; faults.len()];
    let mut healthy = vec![HealthyResult::default(); deciders.len()];
    let mut by_condition: BTreeMap<String, u64> = BTreeMap::new();
    let mut fault_breaches = 0;
    for (job, result) in jobs.iter().zip(results) {
        match (job, result) {
            (
                Job::Fault { fault, decider, .. },
                JobResult::Fault { detected, breaches, collateral },
            ) => {
                times[*fault][*decider].push((detected, collateral));
                fault_breaches += breaches;
            }
            (Job::Healthy { condition, decider, .. }, JobResult::Healthy(run_result)) => {
                if *decider == 0 {
                    let name = conditions[*condition].0.to_string();
                    *by_condition.entry(name).or_default() += run_result.false_ejections;
                }
                healthy[*decider].add(&run_result);
            }
            _ => unreachable!("a job has a result of its kind"),
        }
    }
    let named = |decider: usize| deciders[decider].0.clone();
    let rows = faults.iter().enumerate().map(|(fault, (name, _))| FaultRow {
        fault: name.to_string(),
        core: detection(&times[fault][0]),
        baselines: (1..deciders.len()).map(|d| (named(d), detection(&times[fault][d]))).collect(),
    });
    let core = &healthy[0];
    let share = |result: &HealthyResult| result.good as f64 / result.requests.max(1) as f64;
    DecideReport {
        site: setup.site.name.to_string(),
        seed: setup.seed,
        trials: setup.trials,
        faults: rows.collect(),
        healthy_target_days: core.target_days,
        false_ejections: core.false_ejections,
        false_ejections_in: by_condition,
        false_ejection_causes: core
            .causes
            .iter()
            .map(|(cause, n)| (cause.to_string(), *n))
            .collect(),
        baseline_false_ejections: (1..deciders.len())
            .map(|decider| (named(decider), healthy[decider].false_ejections))
            .collect(),
        floor_breaches: core.floor_breaches + fault_breaches,
        retry_amplification: core.attempts as f64 / core.requests.max(1) as f64,
        goodput: share(core),
        baseline_goodput: (1..deciders.len())
            .map(|decider| (named(decider), share(&healthy[decider])))
            .collect(),
    }
}

fn detection(trials: &[(Option<Duration>, bool)]) -> Detection {
    let times: Vec<Option<Duration>> = trials.iter().map(|(time, _)| *time).collect();
    let collateral = trials.iter().filter(|(_, spilled)| *spilled).count() as u64;
    let missed = times.iter().filter(|time| time.is_none()).count();
    let mut millis: Vec<f64> = times
        .iter()
        .map(|time| time.map_or(f64::INFINITY, |time| time.as_secs_f64() * 1e3))
        .collect();
    millis.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        let index = ((millis.len() as f64 * quantile).ceil() as usize).clamp(1, millis.len()) - 1;
        millis.get(index).copied().filter(|time| time.is_finite())
    };
    Detection {
        detection_p50_ms: at(0.5),
        detection_p99_ms: at(0.99),
        missed: missed as u64,
        collateral,
    }
}
