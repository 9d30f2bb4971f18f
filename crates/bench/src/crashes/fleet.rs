//! Simulation of one fleet under one strategy in virtual time.
//!
//! The fleet has 40 boxes in four data centres in front of 36 targets, and 100 ordinary tries per
//! second that take 0.25 s each, like today's small fleets. Boxes run the product's own
//! [`CrashLedger`]; targets, callers and datagrams are simulated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::crashes::{CrashLedger, CrashReport};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};

use crate::crashes::{CrashScenario, CrashStrategy};

const BOXES: usize = 40;
const CENTRES: usize = 4;
const TARGETS: usize = 36;
const ORDINARY_RATE_PER_S: f64 = 100.0;
const RUN_LENGTH: Duration = Duration::from_secs(40);
const POISON_FROM: Duration = Duration::from_secs(2);
/// Time after which an ended target is replaced by its next incarnation, which has another key.
const REPLACED_AFTER: Duration = Duration::from_secs(3);
/// Mean time that a target works on an ordinary request.
const MEAN_WORK: Duration = Duration::from_millis(250);
/// Time after which a target ends once it has received the poison request.
const ENDS_AFTER: Duration = Duration::from_millis(80);
/// Time after which callers of the poison request hang up, if they do.
const HANG_UP_AFTER: Duration = Duration::from_millis(30);
/// Time after which a caller repeats a failed request at a box drawn anew.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of tries of a caller.
const MAX_TRIES: u32 = 3;
/// Maximum number of sends of a box for one try.
const MAX_SENDS: u32 = 2;
const LOCAL_DELAY: Duration = Duration::from_millis(2);
const REMOTE_DELAY: Duration = Duration::from_millis(6);
const LOSS_RATE: f64 = 0.02;
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
const STORE_SYNC_PERIOD: Duration = Duration::from_millis(700);
/// Longest time until a box learns that a target has ended at which it has no caller waiting.
const MAX_LEARN_DELAY: Duration = Duration::from_secs(5);
/// Start and end of the network cut, from the start of the run.
const CUT: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));
/// Sends of the poison request more than this after the third lost target count as late.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Encoded bytes of a report without its ended targets, rounded up.
const RECORD_BYTES: usize = 14;
/// Encoded bytes of each ended target in a report, rounded up.
const END_BYTES: usize = 11;
const POISON: Fingerprint = Fingerprint(1);
const HOT: Fingerprint = Fingerprint(2);

/// Counts from the run of one fleet.
#[derive(Debug, Default)]
pub struct CrashRun {
    /// Targets that ended because of the poison request.
    pub targets_lost: u32,
    /// Sends of the poison request more than 3 s after the third lost target.
    pub late_sends: u32,
    /// Tries of ordinary requests.
    pub ordinary_tries: u32,
    /// Tries of ordinary requests that were refused.
    pub wrongly_refused: u32,
    /// Mean bytes per second of the reports sent to a box.
    pub bytes_per_box_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    OrdinaryRequest,
    PoisonRequest,
    CallerRetries {
        fingerprint: u64,
        tries: u32,
    },
    CallerHangsUp {
        attempt: u64,
    },
    AttemptEnds {
        attempt: u64,
    },
    /// A batch of reports reaches another box; `batch` is its index in [`Fleet::sent`].
    ReportArrives {
        sender: usize,
        receiver: usize,
        batch: usize,
    },
    /// A box learns that a target has ended.
    LearnsOfEnd {
        box_number: usize,
        target: u64,
    },
    UnrelatedTargetsEnd,
    Heartbeats,
    StoreSync,
    PowerCut,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fingerprint: Fingerprint,
    box_number: usize,
    target: u64,
    tries: u32,
    sends: u32,
    /// Whether the caller is still connected.
    has_caller: bool,
}

struct Fleet<'a> {
    scenario: &'a CrashScenario,
    strategy: &'a CrashStrategy,
    random: SmallRng,
    now: TimePoint,
    start: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    /// Last number given to an event, an attempt, a target or a fingerprint.
    last_number: u64,
    ledgers: Vec<CrashLedger>,
    /// Keys of the targets; the next incarnation of an ended target has a new key at the same
    /// index.
    targets: Vec<u64>,
    /// Time from which each target accepts requests, by key.
    available_from: HashMap<u64, TimePoint>,
    /// Open attempts by their number.
    open: BTreeMap<u64, Attempt>,
    /// Batches of reports that boxes have sent.
    sent: Vec<Vec<CrashReport>>,
    /// Reports in the store.
    stored: Vec<CrashReport>,
    /// Time at which the third target was lost to the poison request.
    third_lost_at: Option<TimePoint>,
    /// Bytes of all reports sent.
    bytes: usize,
    run: CrashRun,
}

/// Runs a fleet of `scenario` under `strategy`.
pub(super) fn run_fleet(scenario: &CrashScenario, strategy: &CrashStrategy, seed: u64) -> CrashRun {
    let start = TimePoint::default() + Duration::from_secs(100_000);
    let targets: Vec<u64> = (0..TARGETS as u64).collect();
    let mut fleet = Fleet {
        scenario,
        strategy,
        random: SmallRng::seed_from_u64(seed),
        now: start,
        start,
        events: BinaryHeap::new(),
        last_number: 1_000,
        ledgers: (0..BOXES).map(|_| CrashLedger::default()).collect(),
        available_from: targets.iter().map(|target| (*target, start)).collect(),
        targets,
        open: BTreeMap::new(),
        sent: Vec::new(),
        stored: Vec::new(),
        third_lost_at: None,
        bytes: 0,
        run: CrashRun::default(),
    };
    fleet.schedule_initial();
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        if at.since(start) >= RUN_LENGTH {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.run.bytes_per_box_s = fleet.bytes as f64 / BOXES as f64 / RUN_LENGTH.as_secs_f64();
    fleet.run
}

impl Fleet<'_> {
    fn schedule_initial(&mut self) {
        self.schedule_after(Duration::ZERO, Event::OrdinaryRequest);
        self.schedule_after(HEARTBEAT_PERIOD, Event::Heartbeats);
        self.schedule_after(STORE_SYNC_PERIOD, Event::StoreSync);
        if self.scenario.poison_rate > 0.0 {
            self.schedule_after(POISON_FROM, Event::PoisonRequest);
        }
        if self.scenario.unrelated_end_probability > 0.0 {
            self.schedule_after(REPLACED_AFTER, Event::UnrelatedTargetsEnd);
        }
        if let Some(at) = self.scenario.power_cut_at {
            self.schedule_after(at, Event::PowerCut);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OrdinaryRequest => {
                let is_hot = self.random.random_bool(self.scenario.hot_share);
                let fingerprint = if is_hot { HOT } else { Fingerprint(self.next_number()) };
                self.receive_try(fingerprint, 1);
                let gap = self.exponential_gap(ORDINARY_RATE_PER_S);
                self.schedule_after(gap, Event::OrdinaryRequest);
            }
            Event::PoisonRequest => {
                self.receive_try(POISON, 1);
                let gap = self.exponential_gap(self.scenario.poison_rate);
                self.schedule_after(gap, Event::PoisonRequest);
            }
            Event::CallerRetries { fingerprint, tries } => {
                self.receive_try(Fingerprint(fingerprint), tries)
            }
            Event::CallerHangsUp { attempt } => self.hang_up(attempt),
            Event::AttemptEnds { attempt } => self.finish_attempt(attempt),
            Event::ReportArrives { sender, receiver, batch } => {
                self.receive_report(sender, receiver, batch)
            }
            Event::LearnsOfEnd { box_number, target } => {
                let _ = self.ledgers[box_number].record_target_ended(self.now, TargetKey(target));
                self.report(box_number);
            }
            Event::UnrelatedTargetsEnd => self.end_unrelated_targets(),
            Event::Heartbeats => self.send_heartbeats(),
            Event::StoreSync => self.sync_store(),
            Event::PowerCut => {
                self.open.clear();
                self.ledgers = (0..BOXES).map(|_| CrashLedger::default()).collect();
                self.load_store();
            }
        }
    }

    /// Handles the try of a caller at a box drawn at random.
    fn receive_try(&mut self, fingerprint: Fingerprint, tries: u32) {
        let box_number = self.random.random_range(0..BOXES);
        let is_poison = fingerprint == POISON;
        self.run.ordinary_tries += u32::from(!is_poison);
        if self.ended_targets(box_number, fingerprint) >= self.strategy.refusal_threshold {
            self.run.wrongly_refused += u32::from(!is_poison);
            return;
        }
        self.send(Attempt {
            fingerprint,
            box_number,
            target: 0,
            tries,
            sends: 1,
            has_caller: true,
        });
    }

    fn send(&mut self, mut attempt: Attempt) {
        let available: Vec<u64> = self
            .targets
            .iter()
            .copied()
            .filter(|target| self.available_from[target] <= self.now)
            .collect();
        if available.is_empty() {
            return;
        }
        attempt.target = available[self.random.random_range(0..available.len())];
        let number = self.next_number();
        if attempt.fingerprint == POISON {
            let is_late = self.third_lost_at.is_some_and(|at| self.now.since(at) > LATE_AFTER);
            self.run.late_sends += u32::from(is_late);
            if self.scenario.callers_hang_up {
                self.schedule_after(HANG_UP_AFTER, Event::CallerHangsUp { attempt: number });
            }
            self.schedule_after(ENDS_AFTER, Event::AttemptEnds { attempt: number });
        } else {
            let work = MEAN_WORK.mul_f64(-self.random.random::<f64>().max(1e-9).ln());
            self.schedule_after(work, Event::AttemptEnds { attempt: number });
        }
        self.open.insert(number, attempt);
    }

    /// Handles a caller that hangs up while the target continues to work on its request.
    fn hang_up(&mut self, number: u64) {
        let now = self.now;
        let Some(attempt) = self.open.get_mut(&number) else {
            return;
        };
        attempt.has_caller = false;
        if self.strategy.counts_unknown_outcomes {
            let target = TargetKey(attempt.target);
            self.ledgers[attempt.box_number].record_unknown_outcome(
                now,
                attempt.fingerprint,
                target,
            );
        }
    }

    /// Ends an attempt: the poison request ends its target, another request is answered.
    fn finish_attempt(&mut self, number: u64) {
        let Some(attempt) = self.open.get(&number) else {
            return;
        };
        if attempt.fingerprint == POISON {
            let target = attempt.target;
            self.run.targets_lost += 1;
            if self.run.targets_lost == 3 {
                self.third_lost_at = Some(self.now);
            }
            self.end_target(target);
            return;
        }
        let attempt = self.open.remove(&number).expect("the attempt was found above");
        let _ = self.ledgers[attempt.box_number].record_success(self.now, attempt.fingerprint);
        self.report(attempt.box_number);
    }

    /// Ends a target and all attempts that are open at it.
    fn end_target(&mut self, target: u64) {
        let Some(index) = self.targets.iter().position(|known| *known == target) else {
            return;
        };
        let next = self.next_number();
        self.targets[index] = next;
        self.available_from.insert(next, self.now + REPLACED_AFTER);
        let numbers: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.target == target)
            .map(|(number, _)| *number)
            .collect();
        let broken: Vec<Attempt> =
            numbers.iter().filter_map(|number| self.open.remove(number)).collect();
        for attempt in &broken {
            if attempt.has_caller {
                let key = TargetKey(target);
                let _ = self.ledgers[attempt.box_number].record_crash(
                    self.now,
                    attempt.fingerprint,
                    key,
                );
                self.report(attempt.box_number);
            } else {
                let wait = MAX_LEARN_DELAY.mul_f64(self.random.random());
                self.schedule_after(
                    wait,
                    Event::LearnsOfEnd { box_number: attempt.box_number, target },
                );
            }
        }
        for attempt in broken.into_iter().filter(|attempt| attempt.has_caller) {
            self.retry(attempt);
        }
    }

    /// Retries a failed attempt at the box, or schedules the next try of its caller.
    fn retry(&mut self, attempt: Attempt) {
        let ended = self.ended_targets(attempt.box_number, attempt.fingerprint);
        let is_retried = attempt.sends < MAX_SENDS
            && ended < self.strategy.no_retry_threshold
            && ended < self.strategy.refusal_threshold;
        if is_retried {
            self.send(Attempt { sends: attempt.sends + 1, ..attempt });
        } else if attempt.tries < MAX_TRIES {
            let Fingerprint(fingerprint) = attempt.fingerprint;
            self.schedule_after(
                CALLER_RETRY_DELAY,
                Event::CallerRetries { fingerprint, tries: attempt.tries + 1 },
            );
        }
    }

    fn end_unrelated_targets(&mut self) {
        let ending: Vec<u64> = self
            .targets
            .iter()
            .copied()
            .filter(|target| self.available_from[target] <= self.now)
            .collect();
        for target in ending {
            if self.random.random_bool(self.scenario.unrelated_end_probability) {
                self.end_target(target);
            }
        }
        self.schedule_after(REPLACED_AFTER, Event::UnrelatedTargetsEnd);
    }

    /// Sends the unreported entries of a box's ledger to all other boxes.
    fn report(&mut self, sender: usize) {
        let reports = self.ledgers[sender].take_unreported(self.now);
        if reports.is_empty() || !self.strategy.reports {
            return;
        }
        self.send_reports(sender, reports, |_| true);
    }

    fn send_heartbeats(&mut self) {
        self.schedule_after(HEARTBEAT_PERIOD, Event::Heartbeats);
        if !self.strategy.reports {
            return;
        }
        for sender in 0..BOXES {
            let reports = self.ledgers[sender].reports_to_repeat(self.now, 12);
            if !reports.is_empty() {
                let remote = self.random.random_range(0..BOXES);
                self.send_reports(sender, reports, |other| {
                    other % CENTRES == sender % CENTRES || other == remote
                });
            }
        }
    }

    fn send_reports(
        &mut self,
        sender: usize,
        reports: Vec<CrashReport>,
        is_receiver: impl Fn(usize) -> bool,
    ) {
        let size: usize =
            reports.iter().map(|report| RECORD_BYTES + END_BYTES * report.ends.len()).sum();
        let batch = self.sent.len();
        self.sent.push(reports);
        for receiver in (0..BOXES).filter(|other| *other != sender && is_receiver(*other)) {
            self.bytes += size;
            if !self.random.random_bool(LOSS_RATE) {
                let is_local = receiver % CENTRES == sender % CENTRES;
                let delay = if is_local { LOCAL_DELAY } else { REMOTE_DELAY };
                self.schedule_after(delay, Event::ReportArrives { sender, receiver, batch });
            }
        }
    }

    fn receive_report(&mut self, sender: usize, receiver: usize, batch: usize) {
        if self.is_cut_off(sender) || self.is_cut_off(receiver) {
            return;
        }
        for report in &self.sent[batch] {
            let _ = self.ledgers[receiver].merge_report(self.now, report);
        }
    }

    fn is_cut_off(&self, box_number: usize) -> bool {
        let (from, until) = CUT;
        let since = self.now.since(self.start);
        (box_number as f64) < self.scenario.cut_off_share * BOXES as f64
            && since >= from
            && since < until
    }

    /// Writes the refused requests of one box per data centre to the store; boxes that are cut off
    /// read them.
    fn sync_store(&mut self) {
        self.schedule_after(STORE_SYNC_PERIOD, Event::StoreSync);
        if !self.strategy.uses_store {
            return;
        }
        let writers = BOXES - CENTRES..BOXES;
        let refused = writers.flat_map(|writer| self.ledgers[writer].refused_reports(self.now, 64));
        self.stored = refused.collect();
        for reader in 0..BOXES {
            if self.is_cut_off(reader) {
                for report in &self.stored {
                    let _ = self.ledgers[reader].merge_report(self.now, report);
                }
            }
        }
    }

    /// Loads the stored reports into the ledgers of boxes that have just started.
    fn load_store(&mut self) {
        if !self.strategy.uses_store {
            return;
        }
        for ledger in &mut self.ledgers {
            for report in &self.stored {
                let _ = ledger.merge_report(self.now, report);
            }
        }
    }

    fn ended_targets(&self, box_number: usize, fingerprint: Fingerprint) -> usize {
        self.ledgers[box_number].verdict(self.now, fingerprint).ended()
    }

    fn exponential_gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-self.random.random::<f64>().max(1e-9).ln() / rate)
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        let number = self.next_number();
        self.events.push(Reverse((self.now + wait, number, event)));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
