//! One fleet under one way, in virtual time.
//!
//! 40 boxes of four data centres before 36 targets, 100 sound tries a second of 0.25 s, as a small fleet of today
//! has them. The ledgers are the product's own; targets, callers and datagrams are drawn.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::crashes::{CrashLedger, CrashReport};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};

use crate::crashes::{CrashScenario, CrashWay};

const BOXES: usize = 40;
const CENTRES: usize = 4;
const TARGETS: usize = 36;
const SOUND_RATE: f64 = 100.0;
const PLAYED: Duration = Duration::from_secs(40);
const DEADLY_FROM: Duration = Duration::from_secs(2);
/// A target is back, as another one, after this long.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Mean work of a sound request, and how soon a target ends under the deadly one.
const WORK: Duration = Duration::from_millis(250);
const ENDS_AFTER: Duration = Duration::from_millis(80);
/// Callers of the deadly request that hang up do so after this long.
const LEAVES_AFTER: Duration = Duration::from_millis(30);
/// After how long a failed caller asks again, at another box; two times at most.
const ASKS_AGAIN: Duration = Duration::from_millis(300);
const TRIES: u32 = 3;
/// Sends of one try.
const SENDS: u32 = 2;
const NEAR_DELAY: Duration = Duration::from_millis(2);
const FAR_DELAY: Duration = Duration::from_millis(6);
const LOST: f64 = 0.02;
const BEACONS: Duration = Duration::from_secs(1);
const READINGS: Duration = Duration::from_millis(700);
/// Until when a box learns of an ended target that it has nothing open at, at most.
const LEARNS_WITHIN: Duration = Duration::from_secs(5);
const CUT: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));
/// Sends later than this after the third target are late.
const LATE: Duration = Duration::from_secs(3);
/// Bytes of a record besides its targets, and of each of these (encoded and rounded up).
const RECORD_BYTES: usize = 14;
const END_BYTES: usize = 11;
const DEADLY: Fingerprint = Fingerprint(1);
const HOT: Fingerprint = Fingerprint(2);

/// What came of one fleet.
#[derive(Debug, Default)]
pub struct CrashRun {
    /// Targets that ended under the deadly request.
    pub lost: u32,
    /// Sends of it that reached a target late.
    pub late: u32,
    /// Sound tries, and those of them that were refused by mistake.
    pub sound: u32,
    /// Sound tries that were refused by mistake.
    pub mistaken: u32,
    /// Bytes a second that a box was told.
    pub bytes: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sound,
    Deadly,
    Asks { fingerprint: u64, tries: u32 },
    Leaves { attempt: u64 },
    Ends { attempt: u64 },
    Told { by: usize, at: usize, number: usize },
    Learns { at: usize, target: u64 },
    OthersEnd,
    Beacons,
    Readings,
    PowerCut,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fingerprint: Fingerprint,
    at: usize,
    target: u64,
    tries: u32,
    sends: u32,
    /// Whether its caller still waits.
    waits: bool,
}

struct Fleet<'a> {
    scenario: &'a CrashScenario,
    way: &'a CrashWay,
    random: SmallRng,
    now: TimePoint,
    start: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    numbers: u64,
    ledgers: Vec<CrashLedger>,
    /// Targets that run, by name: a place's next life has another one.
    targets: Vec<u64>,
    /// When each of them is there.
    up_from: HashMap<u64, TimePoint>,
    open: BTreeMap<u64, Attempt>,
    told: Vec<Vec<CrashReport>>,
    stored: Vec<CrashReport>,
    third: Option<TimePoint>,
    bytes: usize,
    run: CrashRun,
}

/// Plays a fleet.
pub(super) fn play(scenario: &CrashScenario, way: &CrashWay, seed: u64) -> CrashRun {
    let start = TimePoint::default() + Duration::from_secs(100_000);
    let targets: Vec<u64> = (0..TARGETS as u64).collect();
    let mut fleet = Fleet {
        scenario,
        way,
        random: SmallRng::seed_from_u64(seed),
        now: start,
        start,
        events: BinaryHeap::new(),
        numbers: 1_000,
        ledgers: (0..BOXES).map(|_| CrashLedger::default()).collect(),
        up_from: targets.iter().map(|target| (*target, start)).collect(),
        targets,
        open: BTreeMap::new(),
        told: Vec::new(),
        stored: Vec::new(),
        third: None,
        bytes: 0,
        run: CrashRun::default(),
    };
    fleet.begin();
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        if at.since(start) >= PLAYED {
            break;
        }
        fleet.now = at;
        fleet.take(event);
    }
    fleet.run.bytes = fleet.bytes as f64 / BOXES as f64 / PLAYED.as_secs_f64();
    fleet.run
}

impl Fleet<'_> {
    fn begin(&mut self) {
        self.after(Duration::ZERO, Event::Sound);
        self.after(BEACONS, Event::Beacons);
        self.after(READINGS, Event::Readings);
        if self.scenario.deadly_rate > 0.0 {
            self.after(DEADLY_FROM, Event::Deadly);
        }
        if self.scenario.others_end > 0.0 {
            self.after(BACK_AFTER, Event::OthersEnd);
        }
        if let Some(at) = self.scenario.power_cut {
            self.after(at, Event::PowerCut);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Sound => {
                let is_hot = self.random.random_bool(self.scenario.hot);
                let fingerprint = if is_hot { HOT } else { Fingerprint(self.number()) };
                self.ask(fingerprint, 1);
                let gap = self.gap(SOUND_RATE);
                self.after(gap, Event::Sound);
            }
            Event::Deadly => {
                self.ask(DEADLY, 1);
                let gap = self.gap(self.scenario.deadly_rate);
                self.after(gap, Event::Deadly);
            }
            Event::Asks { fingerprint, tries } => self.ask(Fingerprint(fingerprint), tries),
            Event::Leaves { attempt } => self.leave(attempt),
            Event::Ends { attempt } => self.end(attempt),
            Event::Told { by, at, number } => self.hear(by, at, number),
            Event::Learns { at, target } => {
                let _ = self.ledgers[at].record_target_ended(self.now, TargetKey(target));
                self.tell(at);
            }
            Event::OthersEnd => self.end_others(),
            Event::Beacons => self.beat(),
            Event::Readings => self.read(),
            Event::PowerCut => {
                self.open.clear();
                self.ledgers = (0..BOXES).map(|_| CrashLedger::default()).collect();
                self.restore();
            }
        }
    }

    /// A caller asks some box.
    fn ask(&mut self, fingerprint: Fingerprint, tries: u32) {
        let at = self.random.random_range(0..BOXES);
        let is_deadly = fingerprint == DEADLY;
        self.run.sound += u32::from(!is_deadly);
        if self.ended(at, fingerprint) >= self.way.refused_from {
            self.run.mistaken += u32::from(!is_deadly);
            return;
        }
        self.send(Attempt { fingerprint, at, target: 0, tries, sends: 1, waits: true });
    }

    fn send(&mut self, mut attempt: Attempt) {
        let up: Vec<u64> = self
            .targets
            .iter()
            .copied()
            .filter(|target| self.up_from[target] <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        attempt.target = up[self.random.random_range(0..up.len())];
        let number = self.number();
        if attempt.fingerprint == DEADLY {
            let is_late = self.third.is_some_and(|third| self.now.since(third) > LATE);
            self.run.late += u32::from(is_late);
            if self.scenario.hangs_up {
                self.after(LEAVES_AFTER, Event::Leaves { attempt: number });
            }
            self.after(ENDS_AFTER, Event::Ends { attempt: number });
        } else {
            let work = WORK.mul_f64(-self.random.random::<f64>().max(1e-9).ln());
            self.after(work, Event::Ends { attempt: number });
        }
        self.open.insert(number, attempt);
    }

    /// A caller hangs up, and its box lets the target go on.
    fn leave(&mut self, number: u64) {
        let now = self.now;
        let Some(attempt) = self.open.get_mut(&number) else {
            return;
        };
        attempt.waits = false;
        if self.way.marks {
            let target = TargetKey(attempt.target);
            self.ledgers[attempt.at].record_unknown_outcome(now, attempt.fingerprint, target);
        }
    }

    /// An attempt comes to its end: its target does as well, or it is answered.
    fn end(&mut self, number: u64) {
        let Some(attempt) = self.open.get(&number) else {
            return;
        };
        if attempt.fingerprint == DEADLY {
            let target = attempt.target;
            self.run.lost += 1;
            if self.run.lost == 3 {
                self.third = Some(self.now);
            }
            self.end_target(target);
            return;
        }
        let attempt = self.open.remove(&number).expect("it was there");
        let _ = self.ledgers[attempt.at].record_success(self.now, attempt.fingerprint);
        self.tell(attempt.at);
    }

    /// A target ends, with all that is open there.
    fn end_target(&mut self, target: u64) {
        let Some(place) = self.targets.iter().position(|known| *known == target) else {
            return;
        };
        let next = self.number();
        self.targets[place] = next;
        self.up_from.insert(next, self.now + BACK_AFTER);
        let numbers: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.target == target)
            .map(|(number, _)| *number)
            .collect();
        let broken: Vec<Attempt> =
            numbers.iter().filter_map(|number| self.open.remove(number)).collect();
        for attempt in &broken {
            if attempt.waits {
                let key = TargetKey(target);
                let _ = self.ledgers[attempt.at].record_crash(self.now, attempt.fingerprint, key);
                self.tell(attempt.at);
            } else {
                let wait = LEARNS_WITHIN.mul_f64(self.random.random());
                self.after(wait, Event::Learns { at: attempt.at, target });
            }
        }
        for attempt in broken.into_iter().filter(|attempt| attempt.waits) {
            self.repeat(attempt);
        }
    }

    /// The box sends it again, or its caller asks again.
    fn repeat(&mut self, attempt: Attempt) {
        let ended = self.ended(attempt.at, attempt.fingerprint);
        let again = attempt.sends < SENDS
            && ended < self.way.repeated_below
            && ended < self.way.refused_from;
        if again {
            self.send(Attempt { sends: attempt.sends + 1, ..attempt });
        } else if attempt.tries < TRIES {
            let Fingerprint(fingerprint) = attempt.fingerprint;
            self.after(ASKS_AGAIN, Event::Asks { fingerprint, tries: attempt.tries + 1 });
        }
    }

    fn end_others(&mut self) {
        let ending: Vec<u64> = self
            .targets
            .iter()
            .copied()
            .filter(|target| self.up_from[target] <= self.now)
            .collect();
        for target in ending {
            if self.random.random_bool(self.scenario.others_end) {
                self.end_target(target);
            }
        }
        self.after(BACK_AFTER, Event::OthersEnd);
    }

    /// A box tells all others what is new.
    fn tell(&mut self, by: usize) {
        let news = self.ledgers[by].take_unreported(self.now);
        if news.is_empty() || !self.way.told {
            return;
        }
        self.send_news(by, news, |_| true);
    }

    fn beat(&mut self) {
        self.after(BEACONS, Event::Beacons);
        if !self.way.told {
            return;
        }
        for by in 0..BOXES {
            let news = self.ledgers[by].reports_to_repeat(self.now, 12);
            if !news.is_empty() {
                let far = self.random.random_range(0..BOXES);
                self.send_news(by, news, |at| at % CENTRES == by % CENTRES || at == far);
            }
        }
    }

    fn send_news(&mut self, by: usize, news: Vec<CrashReport>, wanted: impl Fn(usize) -> bool) {
        let size: usize = news.iter().map(|news| RECORD_BYTES + END_BYTES * news.ends.len()).sum();
        let number = self.told.len();
        self.told.push(news);
        for at in (0..BOXES).filter(|at| *at != by && wanted(*at)) {
            self.bytes += size;
            if !self.random.random_bool(LOST) {
                let is_near = at % CENTRES == by % CENTRES;
                let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
                self.after(delay, Event::Told { by, at, number });
            }
        }
    }

    fn hear(&mut self, by: usize, at: usize, number: usize) {
        if self.is_cut_off(by) || self.is_cut_off(at) {
            return;
        }
        for news in &self.told[number] {
            let _ = self.ledgers[at].merge_report(self.now, news);
        }
    }

    fn is_cut_off(&self, at: usize) -> bool {
        let (from, until) = CUT;
        let since = self.now.since(self.start);
        (at as f64) < self.scenario.cut_off * BOXES as f64 && since >= from && since < until
    }

    /// The first box of each data centre writes what is refused; boxes that hear nobody read it.
    fn read(&mut self) {
        self.after(READINGS, Event::Readings);
        if !self.way.stored {
            return;
        }
        let writers = BOXES - CENTRES..BOXES;
        let refused = writers.flat_map(|at| self.ledgers[at].refused_reports(self.now, 64));
        self.stored = refused.collect();
        for at in 0..BOXES {
            if self.is_cut_off(at) {
                for news in &self.stored {
                    let _ = self.ledgers[at].merge_report(self.now, news);
                }
            }
        }
    }

    /// Boxes that start read the store.
    fn restore(&mut self) {
        if !self.way.stored {
            return;
        }
        for ledger in &mut self.ledgers {
            for news in &self.stored {
                let _ = ledger.merge_report(self.now, news);
            }
        }
    }

    fn ended(&self, at: usize, fingerprint: Fingerprint) -> usize {
        self.ledgers[at].verdict(self.now, fingerprint).ended()
    }

    fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-self.random.random::<f64>().max(1e-9).ln() / rate)
    }

    fn after(&mut self, wait: Duration, event: Event) {
        let number = self.number();
        self.events.push(Reverse((self.now + wait, number, event)));
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }
}
