//! Runs one seed: starts the system, injects the faults, collects the evidence and makes the
//! report.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use wingbridge_platform_standins::AnswerCheck;

use crate::callers::{CallerEnd, CallerPool, RawRequest, request_head};
use crate::checks::{ProbeRecord, SoakEvidence, check_all, is_refusal};
use crate::driver::{CurrentIncarnations, FaultDriver};
use crate::environment::{ConfigHistory, SoakEnvironment, version_path};
use crate::fleet::{BoxLocation, BoxSetup, is_ready};
use crate::handlers::read_handlers;
use crate::lock;
use crate::plan::{FaultPlan, PlanSize};
use crate::report::SoakReport;
use crate::settings::SoakSettings;
use crate::spans::SpanLog;

/// Time within which all boxes must become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which service must have recovered after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of latest requests that show whether service has recovered.
const RECOVERY_REQUESTS: usize = 20;
/// Share of these requests that must have been served for service to count as recovered.
const MIN_RECOVERED_SHARE: f64 = 0.9;
/// Pause between two checks whether a box is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two probes for the configuration that is in force at a box.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a box must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the lateness of this program's own threads is measured.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum by which time bounds are extended.
const MIN_MARGIN: Duration = Duration::from_millis(500);
/// Factor by which the longest lateness extends time bounds further.
const MARGIN_FACTOR: u32 = 4;

/// Runs the plan of `seed` and checks the promises.
///
/// # Errors
/// Returns an error if processes, relays or files can't be created, or if a box does not become
/// ready in time.
pub fn run_seed(settings: &SoakSettings, seed: u64) -> eyre::Result<SoakReport> {
    let directory = settings.directory.join(format!("seed-{seed}-{}", std::process::id()));
    fs::create_dir_all(&directory)
        .wrap_err_with(|| format!("can't create directory '{}'", directory.display()))?;
    // The seeds of one process run one after the other, so the process id separates concurrent
    // runs.
    let run = std::process::id();
    let locations: Vec<BoxLocation> = (0..settings.boxes)
        .map(|index| BoxLocation::new(run, index, settings.data_centres))
        .collect();
    let environment =
        SoakEnvironment::start(settings.targets, settings.data_centres, settings.routes)?;
    let setup = BoxSetup {
        program: settings.program.clone(),
        locations: locations.clone(),
        store: environment.store.address(),
        overload: settings.overload.clone(),
        directory: directory.clone(),
    };
    let size = PlanSize {
        time: settings.time,
        boxes: settings.boxes,
        data_centres: settings.data_centres,
        targets: settings.targets,
        faults_per_s: settings.faults_per_s,
    };
    let plan = FaultPlan::draw(seed, &size);
    let spans = SpanLog::default();
    let config_history = environment.config_history();
    let mut driver = FaultDriver::start(setup, environment, spans.clone())
        .wrap_err_with(|| format!("can't start '{}'", settings.program.display()))?;
    wait_ready(&locations)?;
    let monitors = Monitors::start(&locations, &driver.incarnations(), &config_history);
    let callers = CallerPool::start(&locations, settings.callers, seed, &plan.poison_rounds);
    driver.run_plan(&plan, settings.time)?;
    let mut recovered = wait_recovered(&mut driver, &callers)?;
    if recovered && !plan.odd_items.is_empty() {
        driver.environment().remove_odd_items();
        recovered = wait_recovered(&mut driver, &callers)?;
    }
    let records = callers.finish();
    let (probes, lateness) = monitors.finish();
    driver.finish()?;
    let evidence = SoakEvidence {
        handlers: read_handlers(&directory)?,
        records,
        arrivals: driver.environment().arrivals.all(),
        notices: driver.environment().arrivals.notices(),
        probes,
        departures: driver.environment().departures().to_vec(),
        config_history,
        spans,
        margin: MIN_MARGIN + lateness * MARGIN_FACTOR,
        process_faults: driver.process_faults.clone(),
        recovered,
    };
    let mut report = report(seed, &plan, &evidence, lateness);
    report.starved_ms = driver.longest_cpu_wait.as_millis() as u64;
    report.directory = keep_or_remove_logs(&directory, &driver, !report.violations.is_empty())?;
    Ok(report)
}

fn wait_ready(locations: &[BoxLocation]) -> eyre::Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    for location in locations {
        while !is_ready(location, PROBE_TIMEOUT) {
            ensure!(
                Instant::now() < until,
                "box {} was not ready within {START_TIMEOUT:?}",
                location.index
            );
            thread::sleep(READY_POLL_INTERVAL);
        }
    }
    Ok(())
}

/// Waits until callers are served again. Returns false if that takes longer than
/// [`RECOVERY_TIMEOUT`].
fn wait_recovered(driver: &mut FaultDriver, callers: &CallerPool) -> std::io::Result<bool> {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let before = callers.ended();
    let mut recovered = false;
    driver.supervise_while(|| {
        // Only requests that ended after the faults are evidence of recovery.
        let enough = callers.ended() >= before + RECOVERY_REQUESTS * 4;
        recovered = enough && callers.served_share(RECOVERY_REQUESTS) >= MIN_RECOVERED_SHARE;
        !recovered && Instant::now() < until
    })?;
    Ok(recovered)
}

fn report(seed: u64, plan: &FaultPlan, evidence: &SoakEvidence, lateness: Duration) -> SoakReport {
    let ends = || evidence.records.iter().map(|record| record.end);
    let good = |end: &CallerEnd| *end == CallerEnd::Answered(200, AnswerCheck::Whole);
    SoakReport {
        seed,
        faults: plan.faults.len(),
        requests: evidence.records.len(),
        served: ends().filter(good).count(),
        refused: ends().filter(|end| is_refusal(*end)).count(),
        probes: evidence.probes.len(),
        configs: evidence.config_history.newest(),
        late_ms: lateness.as_millis() as u64,
        starved_ms: 0,
        violations: check_all(evidence),
        directory: None,
    }
}

/// Writes the event trace and returns the directory if `keep` is set; otherwise removes it.
fn keep_or_remove_logs(
    directory: &PathBuf,
    driver: &FaultDriver,
    keep: bool,
) -> eyre::Result<Option<String>> {
    if !keep {
        fs::remove_dir_all(directory)?;
        return Ok(None);
    }
    fs::write(directory.join("time-line.txt"), driver.event_trace.join("\n"))?;
    Ok(Some(directory.display().to_string()))
}

/// Threads that probe the boxes for the configuration in force and measure the lateness of this
/// program's own threads.
struct Monitors {
    stopped: Arc<AtomicBool>,
    lateness_micros: Arc<AtomicU64>,
    probes: Arc<Mutex<Vec<ProbeRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Monitors {
    fn start(
        locations: &[BoxLocation],
        incarnations: &CurrentIncarnations,
        config_history: &ConfigHistory,
    ) -> Monitors {
        let stopped = Arc::new(AtomicBool::new(false));
        let lateness_micros = Arc::new(AtomicU64::new(0));
        let probes = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for location in locations {
            let location = location.clone();
            let (stop_flag, records) = (Arc::clone(&stopped), Arc::clone(&probes));
            let (incarnations, config_history) = (incarnations.clone(), config_history.clone());
            threads.push(thread::spawn(move || {
                run_probes(&location, &incarnations, &config_history, &records, &stop_flag)
            }));
        }
        let (stop_flag, lateness) = (Arc::clone(&stopped), Arc::clone(&lateness_micros));
        threads.push(thread::spawn(move || monitor_lateness(&lateness, &stop_flag)));
        Monitors { stopped, lateness_micros, probes, threads }
    }

    fn finish(self) -> (Vec<ProbeRecord>, Duration) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("monitors do not panic");
        }
        let mut probes = std::mem::take(&mut *lock(&self.probes));
        probes.sort_by_key(|probe| probe.ended);
        (probes, Duration::from_micros(self.lateness_micros.load(Ordering::Acquire)))
    }
}

fn run_probes(
    location: &BoxLocation,
    incarnations: &CurrentIncarnations,
    config_history: &ConfigHistory,
    records: &Mutex<Vec<ProbeRecord>>,
    stopped: &AtomicBool,
) {
    let mut number = 0;
    while !stopped.load(Ordering::Acquire) {
        thread::sleep(PROBE_INTERVAL);
        let (Some(incarnation), version) =
            (incarnations.of(location.index), config_history.newest())
        else {
            continue;
        };
        number += 1;
        let id = format!("p{}-{number}", location.index);
        let sent = Instant::now();
        let head = request_head(&id, "GET", &version_path(version), 0);
        let request =
            RawRequest { address: location.callers(), head, deadline: sent + PROBE_TIMEOUT };
        let Some(status) = request.status() else {
            continue;
        };
        if incarnations.of(location.index) == Some(incarnation) {
            let ended = Instant::now();
            let index = location.index;
            lock(records).push(ProbeRecord {
                id,
                index,
                incarnation,
                version,
                sent,
                ended,
                status,
            });
        }
    }
}

fn monitor_lateness(lateness_micros: &AtomicU64, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        let due = Instant::now() + LATENESS_INTERVAL;
        thread::sleep(LATENESS_INTERVAL);
        let lateness = due.elapsed().as_micros() as u64;
        lateness_micros.fetch_max(lateness, Ordering::AcqRel);
    }
}
