//! The table of `wingbench decide`.

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

/// Longest healthy stretch that is run in one piece.
const STRETCH: Duration = Duration::from_secs(120);

/// What is measured.
#[derive(Debug, Clone)]
pub struct DecideSetup {
    /// The site.
    pub site: SiteSetup,
    /// The first seed; trials take it and those after it.
    pub seed: u64,
    /// Trials of each fault.
    pub trials: u64,
    /// Target-days of healthy stretches, for each decider.
    pub days: f64,
    /// Threads.
    pub workers: usize,
    /// Whether the baselines are run too.
    pub baselines: bool,
}

/// Detection of one fault by one decider.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Detection {
    /// Median, in milliseconds; none if it never detects.
    pub detection_p50_ms: Option<f64>,
    /// For 99 in 100; none if more than one in 100 was missed.
    pub detection_p99_ms: Option<f64>,
    /// Trials in which it was not found within 30 s.
    pub missed: u64,
    /// Trials in which a box that it does not harm ejected its target, or any box another.
    #[serde(rename = "spilled")]
    pub collateral: u64,
}

/// One fault's row.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRow {
    /// The fault.
    pub fault: String,
    /// The core's detection.
    #[serde(flatten)]
    pub core: Detection,
    /// The baselines'.
    pub baselines: BTreeMap<String, Detection>,
}

/// The whole table.
#[derive(Debug, Clone, Serialize)]
pub struct DecideReport {
    /// The site.
    pub site: String,
    /// The first seed.
    pub seed: u64,
    /// Trials of each fault.
    pub trials: u64,
    /// The rows.
    pub faults: Vec<FaultRow>,
    /// Healthy target-days that the core ran.
    pub healthy_target_days: f64,
    /// Its false ejections in them.
    pub false_ejections: u64,
    /// Its false ejections by what the fleet went through.
    pub false_ejections_in: BTreeMap<String, u64>,
    /// The boxes' ejections behind them, by cause.
    pub false_ejection_causes: BTreeMap<String, u64>,
    /// The baselines' false ejections in the same.
    pub baseline_false_ejections: BTreeMap<String, u64>,
    /// Moments in which a box had less than the floor in service by ejections.
    pub floor_breaches: u64,
    /// Attempts for each request.
    pub retry_amplification: f64,
    /// Share of requests that were answered well.
    pub goodput: f64,
    /// The baselines' goodput in the same.
    pub baseline_goodput: BTreeMap<String, f64>,
}

/// Runs all trials.
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
    for (stretch, length) in stretches(setup, conditions.len()).into_iter().enumerate() {
        for decider in 0..deciders.len() {
            let seed = setup.seed + 1000 + stretch as u64;
            jobs.push(Job::Healthy {
                condition: stretch % conditions.len(),
                decider,
                length,
                seed,
            });
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

/// Healthy stretches that make up the days, each kind of condition as often as the others.
fn stretches(setup: &DecideSetup, conditions: usize) -> Vec<Duration> {
    let seconds = setup.days * 86_400.0 / setup.site.targets as f64;
    let rounds = (seconds / STRETCH.as_secs_f64() / conditions as f64).ceil().max(1.0);
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
                    results.lock().expect("no worker panics with the lock held")[index] =
                        Some(result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no worker panics with the lock held");
    results.into_iter().map(|result| result.expect("each job was run")).collect()
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
            let record = fault_trial(&setup.site, deciders[decider].1, fault, seed);
            let target = faulty_target(&setup.site, seed);
            JobResult::Fault {
                detected: record.detected,
                breaches: record.floor_breaches,
                collateral: has_collateral_ejection(&setup.site, fault, target, &record),
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
            (Job::Healthy { condition, decider, .. }, JobResult::Healthy(record)) => {
                if *decider == 0 {
                    let name = conditions[*condition].0.to_string();
                    *by_condition.entry(name).or_default() += record.false_ejections;
                }
                healthy[*decider].add(&record);
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
    let share = |record: &HealthyResult| record.good as f64 / record.requests.max(1) as f64;
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
