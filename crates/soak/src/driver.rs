//! Carries out a plan: begins each fault at its time, and ends it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{StoreMode, TargetMode};

use crate::fleet::{BoxProcess, BoxSetup, STOP_TIME};
use crate::plan::{FaultPlan, PlannedFault};
use crate::relay::RelayMode;
use crate::spans::{SpanLog, SpanScope};
use crate::starvation::{STARVED_FROM, StarvationWatch};
use crate::world::SoakWorld;

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(10);
/// Time between two looks at how long boxes waited for a processor.
const STARVATION_PERIOD: Duration = Duration::from_millis(100);
/// A killed or stopped process is started again after this long.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// A process that has not ended so long after its time is killed.
const OVERTIME: Duration = Duration::from_millis(1500);
/// A target that said that it leaves serves on for this long. Source: the users' pages,
/// 2 s and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3500);
/// An address is used again after this long. Source: the users' pages.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// The entry of a target that ended without a word goes after this long: three heartbeats.
const LAPSE_AFTER: Duration = Duration::from_millis(4500);

/// What is to be done at some time.
#[derive(Debug, Clone, Copy)]
enum DriverStep {
    Begin(PlannedFault),
    StartBox(usize),
    ContinueBox(usize),
    EndStore(usize),
    EndStorePath(usize, usize),
    EndTargetPath(usize),
    EndTarget(usize),
    EndRest(usize),
    EndLimit(usize),
    EndLeaving(usize, bool),
    LapseEntry(usize),
    ReplaceTarget(usize, bool),
}

/// What a box's process is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BoxState {
    Running,
    Stopping { since: Instant, span: usize },
    Down { span: usize },
}

/// The numbers of the boxes' lives, for whoever asks them. Clones share them.
#[derive(Debug, Clone)]
pub struct LifeCounts {
    lives: Arc<[AtomicU32]>,
}

impl LifeCounts {
    /// The number of a box's life, or `None` while it does not run.
    pub fn of(&self, index: usize) -> Option<u32> {
        Some(self.lives[index].load(Ordering::Acquire)).filter(|life| *life > 0)
    }
}

/// Boxes and world under a plan.
#[derive(Debug)]
pub struct FaultDriver {
    setup: BoxSetup,
    boxes: Vec<BoxProcess>,
    states: Vec<BoxState>,
    /// Spans of boxes that stand still.
    pauses: Vec<Option<usize>>,
    lives: LifeCounts,
    world: SoakWorld,
    spans: SpanLog,
    agenda: BTreeMap<(Duration, u64), DriverStep>,
    steps: u64,
    began: Instant,
    /// What was done, each with its time.
    pub time_line: Vec<String>,
    /// The longest time that the machine kept a box from running within one look.
    pub longest_wait: Duration,
    starvation: StarvationWatch,
    looked: Instant,
    /// Processes that ended when nobody wanted them to, or did not when they should.
    pub strays: Vec<String>,
}

impl FaultDriver {
    /// Starts all boxes.
    ///
    /// # Errors
    /// A process or a relay can't be started.
    pub fn start(
        setup: BoxSetup,
        world: SoakWorld,
        spans: SpanLog,
    ) -> std::io::Result<FaultDriver> {
        let count = setup.places.len();
        let mut boxes = Vec::with_capacity(count);
        for index in 0..count {
            let mut process = BoxProcess::new(&setup, index)?;
            process.start(&setup)?;
            boxes.push(process);
        }
        let lives = LifeCounts { lives: (0..count).map(|_| AtomicU32::new(1)).collect() };
        Ok(FaultDriver {
            setup,
            boxes,
            states: vec![BoxState::Running; count],
            pauses: vec![None; count],
            lives,
            world,
            spans,
            agenda: BTreeMap::new(),
            steps: 0,
            began: Instant::now(),
            time_line: Vec::new(),
            longest_wait: Duration::ZERO,
            starvation: StarvationWatch::default(),
            looked: Instant::now(),
            strays: Vec::new(),
        })
    }

    /// The numbers of the boxes' lives.
    pub fn lives(&self) -> LifeCounts {
        self.lives.clone()
    }

    /// Store, targets and configuration.
    pub fn world(&self) -> &SoakWorld {
        &self.world
    }

    /// Carries out a plan, and returns once the last fault has ended and `time` is over.
    ///
    /// # Errors
    /// A process can't be started or signalled.
    pub fn carry_out(&mut self, plan: &FaultPlan, time: Duration) -> std::io::Result<()> {
        self.began = Instant::now();
        for (at, fault) in plan.faults.iter().chain(&plan.notices).chain(&plan.limits) {
            self.put(*at, DriverStep::Begin(*fault));
        }
        while !self.agenda.is_empty() || !self.all_run() || self.began.elapsed() < time {
            let now = self.began.elapsed();
            while let Some(entry) = self.agenda.first_entry()
                && entry.key().0 <= now
            {
                let step = entry.remove();
                self.take(step)?;
            }
            self.mind_boxes()?;
        }
        Ok(())
    }

    /// Goes on watching over processes, while `check` says that it must.
    ///
    /// # Errors
    /// A process can't be started again.
    pub fn watch_while(&mut self, mut check: impl FnMut() -> bool) -> std::io::Result<()> {
        while check() {
            self.mind_boxes()?;
        }
        Ok(())
    }

    /// Ends all boxes as planned and waits for them.
    ///
    /// # Errors
    /// A process can't be signalled.
    pub fn finish(&mut self) -> std::io::Result<()> {
        for process in &self.boxes {
            process.signal("TERM")?;
        }
        let until = Instant::now() + STOP_TIME + OVERTIME;
        for index in 0..self.boxes.len() {
            while self.boxes[index].is_running() {
                if self.boxes[index].take_end()?.is_none() && Instant::now() >= until {
                    self.strays.push(format!("box {index} did not end in its time"));
                    self.boxes[index].kill()?;
                }
                thread::sleep(STEP);
            }
        }
        Ok(())
    }

    fn all_run(&self) -> bool {
        self.states.iter().all(|state| *state == BoxState::Running)
    }

    fn put(&mut self, at: Duration, step: DriverStep) {
        self.steps += 1;
        self.agenda.insert((at, self.steps), step);
    }

    fn put_in(&mut self, wait: Duration, step: DriverStep) {
        self.put(self.began.elapsed() + wait, step);
    }

    fn note(&mut self, what: &str) {
        self.time_line.push(format!("{:>7} ms {what}", self.began.elapsed().as_millis()));
    }

    fn take(&mut self, step: DriverStep) -> std::io::Result<()> {
        self.note(&format!("{step:?}"));
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
                self.world.store.set_mode(StoreMode::Serving);
                self.spans.end(span);
            }
            DriverStep::EndStorePath(index, span) => {
                self.boxes[index].set_store_path(RelayMode::Open);
                self.spans.end(span);
            }
            DriverStep::EndTargetPath(index) => self.world.set_path(index, RelayMode::Open),
            DriverStep::EndTarget(index) => self.world.set_mode(index, TargetMode::Healthy),
            DriverStep::EndRest(index) => {
                self.world.set_backoff(index, None);
                self.world.set_mode(index, TargetMode::Healthy);
            }
            DriverStep::EndLimit(index) => self.world.set_limit(index, None),
            DriverStep::EndLeaving(index, other) => {
                self.world.end_target(index, true);
                self.put_in(REUSE_AFTER, DriverStep::ReplaceTarget(index, other));
            }
            DriverStep::LapseEntry(index) => {
                self.world.lapse_entry(index);
                self.put_in(Duration::ZERO, DriverStep::ReplaceTarget(index, false));
            }
            DriverStep::ReplaceTarget(index, other) => self.world.replace_target(index, other)?,
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
                    self.put_in(pause * index as u32, step);
                }
            }
            PlannedFault::PauseBox(index, time) => self.pause_box(index, time)?,
            PlannedFault::ReloadBox(index) => self.boxes[index].signal("HUP")?,
            PlannedFault::Store(mode, time) => {
                self.world.store.set_mode(mode);
                let span = self.spans.begin(SpanScope::Store);
                self.put_in(time, DriverStep::EndStore(span));
            }
            PlannedFault::StorePath(index, mode, time) => {
                self.boxes[index].set_store_path(mode);
                let span = self.spans.begin(SpanScope::Box(index));
                self.put_in(time, DriverStep::EndStorePath(index, span));
            }
            PlannedFault::TargetPath(index, mode, time) => {
                self.world.set_path(index, mode);
                self.put_in(time, DriverStep::EndTargetPath(index));
            }
            PlannedFault::Target(index, mode, time) => {
                self.world.set_mode(index, mode);
                self.put_in(time, DriverStep::EndTarget(index));
            }
            PlannedFault::ReplaceTarget(index, other) => {
                self.world.announce_leaving(index);
                self.put_in(SERVES_ON, DriverStep::EndLeaving(index, other));
            }
            PlannedFault::CrashTarget(index) => {
                self.world.end_target(index, false);
                self.put_in(LAPSE_AFTER, DriverStep::LapseEntry(index));
            }
            PlannedFault::AskRest(index, share, rest, time) => {
                self.world.set_backoff(index, Some(rest));
                self.world.set_mode(index, TargetMode::Refuses(share));
                self.put_in(time, DriverStep::EndRest(index));
            }
            PlannedFault::NameLimit(index, limit, time) => {
                self.world.set_limit(index, Some(limit));
                self.put_in(time, DriverStep::EndLimit(index));
            }
            PlannedFault::LeaveByAnswers(index) => {
                self.world.signal_draining(index);
                self.put_in(SERVES_ON, DriverStep::EndLeaving(index, false));
            }
            PlannedFault::ChangeConfig(count, pause) => {
                self.world.change_config();
                if count > 1 {
                    let step = DriverStep::Begin(PlannedFault::ChangeConfig(count - 1, pause));
                    self.put_in(pause, step);
                }
            }
        }
        Ok(())
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
        self.put_in(time, DriverStep::ContinueBox(index));
        Ok(())
    }

    fn start_box(&mut self, index: usize) -> std::io::Result<()> {
        let BoxState::Down { span } = self.states[index] else {
            return Ok(());
        };
        self.boxes[index].start(&self.setup)?;
        self.lives.lives[index].store(self.boxes[index].lives(), Ordering::Release);
        self.spans.end(span);
        self.states[index] = BoxState::Running;
        Ok(())
    }

    fn set_down(&mut self, index: usize, span: usize) {
        self.lives.lives[index].store(0, Ordering::Release);
        self.states[index] = BoxState::Down { span };
        self.put_in(RESTART_AFTER, DriverStep::StartBox(index));
    }

    /// Looks after all boxes once, and waits for the next look.
    fn mind_boxes(&mut self) -> std::io::Result<()> {
        self.mind_processes()?;
        for index in self.world.take_deaths() {
            self.note(&format!("target {index} ended by a request"));
            self.put_in(LAPSE_AFTER, DriverStep::LapseEntry(index));
        }
        self.mind_starvation();
        thread::sleep(STEP);
        Ok(())
    }

    /// Notes boxes that the machine kept from running since the last look.
    fn mind_starvation(&mut self) {
        let since = self.looked.elapsed();
        if since < STARVATION_PERIOD {
            return;
        }
        self.looked = Instant::now();
        let own = self.starvation.look(std::process::id());
        for index in 0..self.boxes.len() {
            let process = self.boxes[index].process_id();
            let waited = process.map_or(Duration::ZERO, |process| self.starvation.look(process));
            let waited = waited.max(own);
            self.longest_wait = self.longest_wait.max(waited);
            if waited >= STARVED_FROM {
                self.note(&format!("box {index} waited {} ms for a processor", waited.as_millis()));
                self.spans.note_past(SpanScope::Box(index), since + waited);
            }
        }
    }

    /// Notes processes that have ended, and ends those that are over their time.
    fn mind_processes(&mut self) -> std::io::Result<()> {
        for index in 0..self.boxes.len() {
            let ended = self.boxes[index].take_end()?;
            match (self.states[index], ended) {
                (BoxState::Stopping { span, .. }, Some(_)) => self.set_down(index, span),
                (BoxState::Running, Some(status)) => {
                    self.strays.push(format!("box {index} ended by itself: {status}"));
                    let span = self.spans.begin(SpanScope::Box(index));
                    self.set_down(index, span);
                }
                (BoxState::Stopping { since, .. }, None)
                    if since.elapsed() >= STOP_TIME + OVERTIME =>
                {
                    // One that stood still meanwhile can't have ended in time.
                    if !self.spans.touches(&SpanScope::Box(index), since, Instant::now()) {
                        self.strays.push(format!("box {index} did not end in its time"));
                    }
                    self.kill_box(index)?;
                }
                _ => {}
            }
        }
        Ok(())
    }
}
