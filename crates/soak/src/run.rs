//! One seed from start to report.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use wingbridge_platform_standins::AnswerCheck;

use crate::callers::{CallerCrowd, CallerEnd, RawRequest, request_head};
use crate::checks::{ProbeRecord, SoakEvidence, check_all, is_refusal};
use crate::driver::{FaultDriver, LifeCounts};
use crate::fleet::{BoxPlace, BoxSetup, is_ready};
use crate::lock;
use crate::plan::{FaultPlan, PlanSize};
use crate::report::SoakReport;
use crate::settings::SoakSettings;
use crate::spans::SpanLog;
use crate::world::{ConfigBoard, SoakWorld, version_path};

/// Time for all boxes to become ready at the start.
const START_TIME: Duration = Duration::from_secs(20);
/// Time in which service must return after the last fault. Source: the users' pages.
const RECOVERY: Duration = Duration::from_secs(15);
/// Requests by which the return of service is judged, and the share to be served.
const RECOVERY_REQUESTS: usize = 20;
const RECOVERY_SHARE: f64 = 0.9;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Time between two questions which configuration is in force, and for an answer.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
const PROBE_TIME: Duration = Duration::from_secs(2);
/// Period of the watch over this program's own lateness.
const PULSE: Duration = Duration::from_millis(10);
/// What bounds are stretched by at least, and by how many times the longest lateness.
const MARGIN_LEAST: Duration = Duration::from_millis(500);
const MARGIN_FACTOR: u32 = 4;

/// Runs one seed.
///
/// # Errors
/// Processes, relays or files can't be had, or the boxes never become ready.
pub fn run_seed(settings: &SoakSettings, seed: u64) -> eyre::Result<SoakReport> {
    let directory = settings.directory.join(format!("seed-{seed}-{}", std::process::id()));
    fs::create_dir_all(&directory)
        .wrap_err_with(|| format!("'{}' can't be made", directory.display()))?;
    // Seeds of one process come one after the other: its id keeps runs side by side apart.
    let run = std::process::id();
    let places: Vec<BoxPlace> =
        (0..settings.boxes).map(|index| BoxPlace::new(run, index)).collect();
    let world = SoakWorld::start(settings.targets, settings.routes)?;
    let setup = BoxSetup {
        program: settings.program.clone(),
        places: places.clone(),
        store: world.store.address(),
        directory: directory.clone(),
    };
    let size = PlanSize {
        time: settings.time,
        boxes: settings.boxes,
        targets: settings.targets,
        faults_per_s: settings.faults_per_s,
    };
    let plan = FaultPlan::draw(seed, &size);
    let spans = SpanLog::default();
    let board = world.board();
    let mut driver = FaultDriver::start(setup, world, spans.clone())
        .wrap_err_with(|| format!("'{}' can't be started", settings.program.display()))?;
    wait_ready(&places)?;
    let watch = Watchers::start(&places, &driver.lives(), &board);
    let crowd = CallerCrowd::start(&places, settings.callers, seed, &plan.deadly);
    driver.carry_out(&plan, settings.time)?;
    let recovered = wait_recovered(&mut driver, &crowd)?;
    let records = crowd.finish();
    let (probes, late) = watch.finish();
    driver.finish()?;
    let evidence = SoakEvidence {
        records,
        arrivals: driver.world().arrivals.all(),
        notices: driver.world().arrivals.notices(),
        probes,
        departures: driver.world().departures().to_vec(),
        board,
        spans,
        margin: MARGIN_LEAST + late * MARGIN_FACTOR,
        strays: driver.strays.clone(),
        recovered,
    };
    let mut report = report(seed, &plan, &evidence, late);
    report.starved_ms = driver.longest_wait.as_millis() as u64;
    report.directory = keep_or_remove(&directory, &driver, !report.violations.is_empty())?;
    Ok(report)
}

fn wait_ready(places: &[BoxPlace]) -> eyre::Result<()> {
    let until = Instant::now() + START_TIME;
    for place in places {
        while !is_ready(place, PROBE_TIME) {
            ensure!(Instant::now() < until, "box {} never became ready", place.index);
            thread::sleep(LOOK_PAUSE);
        }
    }
    Ok(())
}

/// Waits until callers are served again; false if that takes too long.
fn wait_recovered(driver: &mut FaultDriver, crowd: &CallerCrowd) -> std::io::Result<bool> {
    let until = Instant::now() + RECOVERY;
    let before = crowd.ended();
    let mut recovered = false;
    driver.watch_while(|| {
        // Fresh requests alone tell.
        let enough = crowd.ended() >= before + RECOVERY_REQUESTS * 4;
        recovered = enough && crowd.served_share(RECOVERY_REQUESTS) >= RECOVERY_SHARE;
        !recovered && Instant::now() < until
    })?;
    Ok(recovered)
}

fn report(seed: u64, plan: &FaultPlan, evidence: &SoakEvidence, late: Duration) -> SoakReport {
    let ends = || evidence.records.iter().map(|record| record.end);
    let good = |end: &CallerEnd| *end == CallerEnd::Answered(200, AnswerCheck::Whole);
    SoakReport {
        seed,
        faults: plan.faults.len(),
        requests: evidence.records.len(),
        served: ends().filter(good).count(),
        refused: ends().filter(|end| is_refusal(*end)).count(),
        probes: evidence.probes.len(),
        configs: evidence.board.newest(),
        late_ms: late.as_millis() as u64,
        starved_ms: 0,
        violations: check_all(evidence),
        directory: None,
    }
}

/// Keeps logs and time line of a run that found something.
fn keep_or_remove(
    directory: &PathBuf,
    driver: &FaultDriver,
    keep: bool,
) -> eyre::Result<Option<String>> {
    if !keep {
        fs::remove_dir_all(directory)?;
        return Ok(None);
    }
    fs::write(directory.join("time-line.txt"), driver.time_line.join("\n"))?;
    Ok(Some(directory.display().to_string()))
}

/// Threads that ask boxes for their configuration and watch this program's own lateness.
struct Watchers {
    stopped: Arc<AtomicBool>,
    late_micros: Arc<AtomicU64>,
    probes: Arc<Mutex<Vec<ProbeRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Watchers {
    fn start(places: &[BoxPlace], lives: &LifeCounts, board: &ConfigBoard) -> Watchers {
        let stopped = Arc::new(AtomicBool::new(false));
        let late_micros = Arc::new(AtomicU64::new(0));
        let probes = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for place in places {
            let place = place.clone();
            let (ended, found) = (Arc::clone(&stopped), Arc::clone(&probes));
            let (lives, board) = (lives.clone(), board.clone());
            threads.push(thread::spawn(move || probe(&place, &lives, &board, &found, &ended)));
        }
        let (ended, late) = (Arc::clone(&stopped), Arc::clone(&late_micros));
        threads.push(thread::spawn(move || watch_lateness(&late, &ended)));
        Watchers { stopped, late_micros, probes, threads }
    }

    fn finish(self) -> (Vec<ProbeRecord>, Duration) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("watchers do not panic");
        }
        let mut probes = std::mem::take(&mut *lock(&self.probes));
        probes.sort_by_key(|probe| probe.ended);
        (probes, Duration::from_micros(self.late_micros.load(Ordering::Acquire)))
    }
}

fn probe(
    place: &BoxPlace,
    lives: &LifeCounts,
    board: &ConfigBoard,
    found: &Mutex<Vec<ProbeRecord>>,
    stopped: &AtomicBool,
) {
    let mut number = 0;
    while !stopped.load(Ordering::Acquire) {
        thread::sleep(PROBE_PERIOD);
        let (Some(life), version) = (lives.of(place.index), board.newest()) else {
            continue;
        };
        number += 1;
        let id = format!("p{}-{number}", place.index);
        let asked = Instant::now();
        let head = request_head(&id, "GET", &version_path(version), 0);
        let request = RawRequest { address: place.callers(), head, until: asked + PROBE_TIME };
        let Some(status) = request.status() else {
            continue;
        };
        if lives.of(place.index) == Some(life) {
            let ended = Instant::now();
            let index = place.index;
            lock(found).push(ProbeRecord { id, index, life, version, asked, ended, status });
        }
    }
}

fn watch_lateness(late_micros: &AtomicU64, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        let due = Instant::now() + PULSE;
        thread::sleep(PULSE);
        let late = due.elapsed().as_micros() as u64;
        late_micros.fetch_max(late, Ordering::AcqRel);
    }
}
