//! Executes a fault plan: begins and ends each fault at its time and supervises the boxes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{StoreMode, TargetMode};

use crate::environment::SoakEnvironment;
use crate::fleet::{BoxLocation, BoxProcess, BoxSetup, STOP_TIMEOUT};
use crate::plan::{CutScope, FaultPlan, PlannedFault};
use crate::relay::RelayMode;
use crate::spans::{SpanLog, SpanScope};
use crate::starvation::{STARVATION_THRESHOLD, StarvationMonitor};

/// Interval at which due steps and the processes of boxes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the time that boxes waited for a processor is measured.
const STARVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a killed or stopped process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time beyond [`STOP_TIMEOUT`] after which a process that has not ended is killed.
const KILL_GRACE: Duration = Duration::from_millis(1500);
/// Time for which a target continues to serve after it announced that it is draining. Targets must
/// do so for 2 s; this is a little longer.
const DRAINING_TIME: Duration = Duration::from_millis(3500);
/// Time after which the address of a target that has ended may be used by another one.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// Time after which the entry of a target that ended without an announcement is removed: three
/// heartbeats.
const ENTRY_LAPSE_DELAY: Duration = Duration::from_millis(4500);

/// Time within which operators and targets write again what the store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(1500);
/// Time after a return of the store at which the operators change the configuration: boxes are held to
/// their bounds again once they have been undisturbed for 3 s.
const CHANGE_AFTER_RETURN: Duration = Duration::from_millis(3200);
/// Number of configurations that are written before the store goes away, and the pause between two. A
/// copy that lacks them has revisions far below those that boxes hold.
const CHANGES_BEFORE_RETURN: u32 = 10;
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Time from the first of these changes until the store goes away, in which boxes read the last one.
const READ_TIME: Duration = Duration::from_secs(2);

/// A scheduled step. Its `Debug` form is written to the event trace.
#[derive(Debug, Clone, Copy)]
enum DriverStep {
    Begin(PlannedFault),
    StartBox(usize),
    ContinueBox(usize),
    EndStore(usize),
    /// Fault of the store, how long it lasts, and age of the copy from which the store comes back.
    LoseStore(StoreMode, Duration, Duration),
    /// Number of the span, and age of the copy.
    ReturnStore(usize, Duration),
    RewriteLost,
    EndStorePath(usize, usize),
    EndTargetPath(usize),
    EndCut(CutScope, usize),
    EndTarget(usize),
    EndRest(usize),
    EndLimit(usize),
    EndLeaving(usize, bool),
    LapseEntry(usize),
    ReplaceTarget(usize, bool),
}

/// The state of a box's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BoxState {
    Running,
    Stopping { since: Instant, span: usize },
    Down { span: usize },
}

/// The numbers of the current incarnations of all boxes; 0 while a box does not run. Clones share
/// them.
#[derive(Debug, Clone)]
pub struct CurrentIncarnations {
    incarnations: Arc<[AtomicU32]>,
}

impl CurrentIncarnations {
    /// Returns the number of the incarnation of box `index`, or `None` while it does not run.
    pub fn of(&self, index: usize) -> Option<u32> {
        Some(self.incarnations[index].load(Ordering::Acquire))
            .filter(|incarnation| *incarnation > 0)
    }
}

/// Executes a plan on the boxes and their environment.
#[derive(Debug)]
pub struct FaultDriver {
    setup: BoxSetup,
    boxes: Vec<BoxProcess>,
    states: Vec<BoxState>,
    /// Numbers of the spans of boxes that are suspended.
    pauses: Vec<Option<usize>>,
    incarnations: CurrentIncarnations,
    environment: SoakEnvironment,
    spans: SpanLog,
    schedule: BTreeMap<(Duration, u64), DriverStep>,
    step_count: u64,
    started: Instant,
    /// Executed steps and observed events, each with its time.
    pub event_trace: Vec<String>,
    /// Longest time that a thread of a box waited for a processor between two measurements.
    pub longest_cpu_wait: Duration,
    starvation: StarvationMonitor,
    last_starvation_check: Instant,
    /// Processes that ended unexpectedly or did not end in time when they were stopped.
    pub process_faults: Vec<String>,
}

impl FaultDriver {
    /// Starts all boxes.
    ///
    /// # Errors
    /// Returns an error if a process or a relay can't be started.
    pub fn start(
        setup: BoxSetup,
        environment: SoakEnvironment,
        spans: SpanLog,
    ) -> std::io::Result<FaultDriver> {
        let count = setup.locations.len();
        let mut boxes = Vec::with_capacity(count);
        for index in 0..count {
            let mut process = BoxProcess::new(&setup, index)?;
            process.start(&setup)?;
            boxes.push(process);
        }
        let incarnations =
            CurrentIncarnations { incarnations: (0..count).map(|_| AtomicU32::new(1)).collect() };
        Ok(FaultDriver {
            setup,
            boxes,
            states: vec![BoxState::Running; count],
            pauses: vec![None; count],
            incarnations,
            environment,
            spans,
            schedule: BTreeMap::new(),
            step_count: 0,
            started: Instant::now(),
            event_trace: Vec::new(),
            longest_cpu_wait: Duration::ZERO,
            starvation: StarvationMonitor::default(),
            last_starvation_check: Instant::now(),
            process_faults: Vec::new(),
        })
    }

    /// Returns the numbers of the current incarnations of all boxes.
    pub fn incarnations(&self) -> CurrentIncarnations {
        self.incarnations.clone()
    }

    /// Returns the store, the targets and the configuration.
    pub fn environment(&self) -> &SoakEnvironment {
        &self.environment
    }

    /// Executes a plan. Returns once the last fault has ended, all boxes run and `time` has passed.
    ///
    /// # Errors
    /// Returns an error if a process can't be started or signalled.
    pub fn run_plan(&mut self, plan: &FaultPlan, time: Duration) -> std::io::Result<()> {
        self.started = Instant::now();
        let FaultPlan { faults, notices, limits, returns, cuts, odd_items, .. } = plan;
        for (at, fault) in [faults, notices, limits, returns, cuts, odd_items].into_iter().flatten()
        {
            self.schedule_at(*at, DriverStep::Begin(*fault));
        }
        while !self.schedule.is_empty() || !self.all_running() || self.started.elapsed() < time {
            let now = self.started.elapsed();
            while let Some(entry) = self.schedule.first_entry()
                && entry.key().0 <= now
            {
                let step = entry.remove();
                self.execute(step)?;
            }
            self.supervise_boxes()?;
        }
        Ok(())
    }

    /// Supervises the processes until `check` returns false.
    ///
    /// # Errors
    /// Returns an error if the state of a process can't be read or a process can't be killed.
    pub fn supervise_while(&mut self, mut check: impl FnMut() -> bool) -> std::io::Result<()> {
        while check() {
            self.supervise_boxes()?;
        }
        Ok(())
    }

    /// Stops all boxes as planned and waits for their end.
    ///
    /// # Errors
    /// Returns an error if a process can't be signalled.
    pub fn finish(&mut self) -> std::io::Result<()> {
        for process in &self.boxes {
            process.signal("TERM")?;
        }
        let until = Instant::now() + STOP_TIMEOUT + KILL_GRACE;
        for index in 0..self.boxes.len() {
            while self.boxes[index].is_running() {
                if self.boxes[index].take_exit_status()?.is_none() && Instant::now() >= until {
                    self.process_faults.push(format!("box {index} did not end in its time"));
                    self.boxes[index].kill()?;
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn all_running(&self) -> bool {
        self.states.iter().all(|state| *state == BoxState::Running)
    }

    fn schedule_at(&mut self, at: Duration, step: DriverStep) {
        self.step_count += 1;
        self.schedule.insert((at, self.step_count), step);
    }

    fn schedule_in(&mut self, wait: Duration, step: DriverStep) {
        self.schedule_at(self.started.elapsed() + wait, step);
    }

    fn record_event(&mut self, event: &str) {
        self.event_trace.push(format!("{:>7} ms {event}", self.started.elapsed().as_millis()));
    }

    fn execute(&mut self, step: DriverStep) -> std::io::Result<()> {
        self.record_event(&format!("{step:?}"));
        match step {
            DriverStep::Begin(fault) => self.begin(fault)?,
            DriverStep::StartBox(index) => self.start_box(index)?,
            DriverStep::ContinueBox(index) => {
                self.boxes[index].signal("CONT")?;
                if let Some(span) = self.pauses[index].take() {
                    self.spans.end(span);
                }
            }
            DriverStep::EndStore(span) => {
                self.environment.store.set_mode(StoreMode::Serving);
                self.spans.end(span);
            }
            DriverStep::LoseStore(mode, away, age) => {
                self.environment.store.set_mode(mode);
                let span = self.spans.begin(SpanScope::Store);
                self.schedule_in(away, DriverStep::ReturnStore(span, age));
            }
            DriverStep::ReturnStore(span, age) => {
                // The first configuration and the first targets were written before the load began.
                let now = Instant::now();
                let until = now.checked_sub(age).unwrap_or(now).max(self.started);
                let lost = self.environment.store.come_back(until);
                self.record_event(&format!("{lost} keys are lost"));
                self.environment.store.set_mode(StoreMode::Serving);
                self.spans.end(span);
                for number in 1..=lost as u32 {
                    self.schedule_in(REWRITE_TIME * number / lost as u32, DriverStep::RewriteLost);
                }
                let change = PlannedFault::ChangeConfig(1, Duration::ZERO);
                self.schedule_in(CHANGE_AFTER_RETURN, DriverStep::Begin(change));
            }
            DriverStep::RewriteLost => self.environment.store.rewrite_lost(),
            DriverStep::EndStorePath(index, span) => {
                self.boxes[index].set_store_relay_mode(RelayMode::Open);
                self.spans.end(span);
            }
            DriverStep::EndTargetPath(index) => {
                self.environment.set_target_relay_mode(index, RelayMode::Open)
            }
            DriverStep::EndCut(scope, first_span) => {
                self.set_box_paths(scope, None);
                for number in 0..self.cut_boxes(scope).count() {
                    self.spans.end(first_span + number);
                }
            }
            DriverStep::EndTarget(index) => {
                self.environment.set_target_mode(index, TargetMode::Healthy)
            }
            DriverStep::EndRest(index) => {
                self.environment.set_backoff(index, None);
                self.environment.set_target_mode(index, TargetMode::Healthy);
            }
            DriverStep::EndLimit(index) => self.environment.set_limit(index, None),
            DriverStep::EndLeaving(index, other_service) => {
                self.environment.end_target(index, true);
                self.schedule_in(
                    ADDRESS_REUSE_DELAY,
                    DriverStep::ReplaceTarget(index, other_service),
                );
            }
            DriverStep::LapseEntry(index) => {
                self.environment.remove_lapsed_entry(index);
                self.schedule_in(Duration::ZERO, DriverStep::ReplaceTarget(index, false));
            }
            DriverStep::ReplaceTarget(index, other_service) => {
                self.environment.replace_target(index, other_service)?
            }
        }
        Ok(())
    }

    fn begin(&mut self, fault: PlannedFault) -> std::io::Result<()> {
        match fault {
            PlannedFault::KillBox(index) => self.kill_box(index)?,
            PlannedFault::KillAllBoxes => {
                for index in 0..self.boxes.len() {
                    self.kill_box(index)?;
                }
            }
            PlannedFault::StopBox(index) => self.stop_box(index)?,
            PlannedFault::StopInTurn(pause) => {
                for index in 0..self.boxes.len() {
                    let step = DriverStep::Begin(PlannedFault::StopBox(index));
                    self.schedule_in(pause * index as u32, step);
                }
            }
            PlannedFault::PauseBox(index, time) => self.pause_box(index, time)?,
            PlannedFault::ReloadBox(index) => self.boxes[index].signal("HUP")?,
            PlannedFault::Store(mode, time) => {
                self.environment.store.set_mode(mode);
                let span = self.spans.begin(SpanScope::Store);
                self.schedule_in(time, DriverStep::EndStore(span));
            }
            PlannedFault::ReturnFromCopy(mode, away, age) => {
                let changes = PlannedFault::ChangeConfig(CHANGES_BEFORE_RETURN, CHANGE_PAUSE);
                self.schedule_in(Duration::ZERO, DriverStep::Begin(changes));
                self.schedule_in(READ_TIME, DriverStep::LoseStore(mode, away, age));
            }
            PlannedFault::StorePath(index, mode, time) => {
                self.boxes[index].set_store_relay_mode(mode);
                let span = self.spans.begin(SpanScope::Box(index));
                self.schedule_in(time, DriverStep::EndStorePath(index, span));
            }
            PlannedFault::TargetPath(index, mode, time) => {
                self.environment.set_target_relay_mode(index, mode);
                self.schedule_in(time, DriverStep::EndTargetPath(index));
            }
            PlannedFault::CutBoxes(scope, mode, time) => {
                self.set_box_paths(scope, Some(mode));
                let spans = self.cut_boxes(scope);
                let spans =
                    spans.map(|location| self.spans.begin(SpanScope::Paths(location.index)));
                // The spans of a cut have consecutive numbers, since only this thread begins spans.
                if let Some(first_span) = spans.min() {
                    self.schedule_in(time, DriverStep::EndCut(scope, first_span));
                }
            }
            PlannedFault::Target(index, mode, time) => {
                self.environment.set_target_mode(index, mode);
                self.schedule_in(time, DriverStep::EndTarget(index));
            }
            PlannedFault::ReplaceTarget(index, other_service) => {
                self.environment.announce_draining(index);
                self.schedule_in(DRAINING_TIME, DriverStep::EndLeaving(index, other_service));
            }
            PlannedFault::CrashTarget(index) => {
                self.environment.end_target(index, false);
                self.schedule_in(ENTRY_LAPSE_DELAY, DriverStep::LapseEntry(index));
            }
            PlannedFault::AskRest(index, share, backoff, time) => {
                self.environment.set_backoff(index, Some(backoff));
                self.environment.set_target_mode(index, TargetMode::Refuses(share));
                self.schedule_in(time, DriverStep::EndRest(index));
            }
            PlannedFault::NameLimit(index, limit, time) => {
                self.environment.set_limit(index, Some(limit));
                self.schedule_in(time, DriverStep::EndLimit(index));
            }
            PlannedFault::WriteOddItems(page_keys) => {
                self.environment.write_odd_items(page_keys);
            }
            PlannedFault::LeaveByAnswers(index) => {
                self.environment.signal_draining(index);
                self.schedule_in(DRAINING_TIME, DriverStep::EndLeaving(index, false));
            }
            PlannedFault::ChangeConfig(count, pause) => {
                self.environment.change_config();
                if count > 1 {
                    let step = DriverStep::Begin(PlannedFault::ChangeConfig(count - 1, pause));
                    self.schedule_in(pause, step);
                }
            }
        }
        Ok(())
    }

    fn set_box_paths(&self, scope: CutScope, mode: Option<RelayMode>) {
        for location in self.cut_boxes(scope) {
            self.environment.set_box_path_mode(location.host, mode);
        }
    }

    fn cut_boxes(&self, scope: CutScope) -> impl Iterator<Item = &BoxLocation> {
        self.setup.locations.iter().filter(move |location| scope.contains(location.index))
    }

    fn kill_box(&mut self, index: usize) -> std::io::Result<()> {
        let state = self.states[index];
        if let BoxState::Down { .. } = state {
            return Ok(());
        }
        let span = self.spans.begin(SpanScope::Box(index));
        self.boxes[index].kill()?;
        if let BoxState::Stopping { span, .. } = state {
            self.spans.end(span);
        }
        self.set_down(index, span);
        Ok(())
    }

    fn stop_box(&mut self, index: usize) -> std::io::Result<()> {
        if self.states[index] != BoxState::Running {
            return Ok(());
        }
        let span = self.spans.begin(SpanScope::PlannedStop(index));
        self.states[index] = BoxState::Stopping { since: Instant::now(), span };
        self.boxes[index].signal("TERM")
    }

    fn pause_box(&mut self, index: usize, time: Duration) -> std::io::Result<()> {
        if self.pauses[index].is_some() || !self.boxes[index].is_running() {
            return Ok(());
        }
        self.pauses[index] = Some(self.spans.begin(SpanScope::Box(index)));
        self.boxes[index].signal("STOP")?;
        self.schedule_in(time, DriverStep::ContinueBox(index));
        Ok(())
    }

    fn start_box(&mut self, index: usize) -> std::io::Result<()> {
        let BoxState::Down { span } = self.states[index] else {
            return Ok(());
        };
        self.boxes[index].start(&self.setup)?;
        self.incarnations.incarnations[index]
            .store(self.boxes[index].incarnations(), Ordering::Release);
        self.spans.end(span);
        self.states[index] = BoxState::Running;
        Ok(())
    }

    fn set_down(&mut self, index: usize, span: usize) {
        self.incarnations.incarnations[index].store(0, Ordering::Release);
        self.states[index] = BoxState::Down { span };
        self.schedule_in(RESTART_DELAY, DriverStep::StartBox(index));
    }

    /// Checks processes, targets and starvation once, and then waits for one poll interval.
    fn supervise_boxes(&mut self) -> std::io::Result<()> {
        self.check_processes()?;
        for index in self.environment.take_crashed_targets() {
            self.record_event(&format!("target {index} ended by a request"));
            self.schedule_in(ENTRY_LAPSE_DELAY, DriverStep::LapseEntry(index));
        }
        self.check_starvation();
        thread::sleep(POLL_INTERVAL);
        Ok(())
    }

    /// Records a disturbance of each box that waited long for a processor since the last
    /// measurement.
    fn check_starvation(&mut self) {
        let since = self.last_starvation_check.elapsed();
        if since < STARVATION_INTERVAL {
            return;
        }
        self.last_starvation_check = Instant::now();
        let own_wait = self.starvation.measure(std::process::id());
        for index in 0..self.boxes.len() {
            let process = self.boxes[index].process_id();
            let waited = process.map_or(Duration::ZERO, |process| self.starvation.measure(process));
            let waited = waited.max(own_wait);
            self.longest_cpu_wait = self.longest_cpu_wait.max(waited);
            if waited >= STARVATION_THRESHOLD {
                self.record_event(&format!(
                    "box {index} waited {} ms for a processor",
                    waited.as_millis()
                ));
                self.spans.record_past(SpanScope::Box(index), since + waited);
            }
        }
    }

    /// Records processes that have ended, and kills those that did not end within their stop time.
    fn check_processes(&mut self) -> std::io::Result<()> {
        for index in 0..self.boxes.len() {
            let ended = self.boxes[index].take_exit_status()?;
            match (self.states[index], ended) {
                (BoxState::Stopping { span, .. }, Some(_)) => self.set_down(index, span),
                (BoxState::Running, Some(status)) => {
                    self.process_faults.push(format!("box {index} ended by itself: {status}"));
                    let span = self.spans.begin(SpanScope::Box(index));
                    self.set_down(index, span);
                }
                (BoxState::Stopping { since, .. }, None)
                    if since.elapsed() >= STOP_TIMEOUT + KILL_GRACE =>
                {
                    // A process that was suspended meanwhile could not have ended in time.
                    if !self.spans.overlaps(&SpanScope::Box(index), since, Instant::now()) {
                        self.process_faults.push(format!("box {index} did not end in its time"));
                    }
                    self.kill_box(index)?;
                }
                _ => {}
            }
        }
        Ok(())
    }
}
