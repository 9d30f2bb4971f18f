//! The agents' cores in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_spread::core::SpreadEvent;
use wingbridge_spread::members::{BOX_PREFIX, MemberState, MemberValue};
use wingbridge_spread::{BoxIdentity, SpreadCommand, SpreadCore, SpreadSetup};
use wingbridge_wire::{Entry, Frame, FrameBody, Stamp};

use crate::memory::{processor_time, resident_bytes};
use crate::spread::{LOSSES, SpreadBench, SpreadRow, at_quantile};

const REGIONS: usize = 5;
const TICK: u64 = 50_000;
const DIGEST_PERIOD: Duration = Duration::from_secs(1);
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(600);
/// Length and packet headers of one message.
const OVERHEAD: usize = 4 + 66;
/// One way between boxes, in microseconds: in a data centre, a region, the world.
const NEAR: u64 = 400;
const REGION: u64 = 1_500;
const FAR: u64 = 60_000;
/// Between two changes.
const CHANGE_GAP: u64 = 2_000_000;
/// Time to settle first, to measure rest in, and after the last change.
const SETTLE: u64 = 20_000_000;
const REST: u64 = 20_000_000;
const TAIL: u64 = 30_000_000;
/// Bytes of a value.
const VALUE_BYTES: usize = 1500;
/// An answer of the store takes up to this.
const STORE_MICROS: u64 = 10_000;
/// Time that a watch waits, and between two whole readings.
const WATCH_SECONDS: f64 = 10.0;
const RESYNC_SECONDS: f64 = 600.0;

/// Measures all rows.
pub fn measure_cores(bench: &SpreadBench) -> Vec<SpreadRow> {
    let mut rows = Vec::new();
    for loss in LOSSES {
        for store_cut in [false, true] {
            rows.push(CoreRun::new(bench, loss, store_cut).run());
        }
    }
    rows
}

struct CoreRun<'a> {
    bench: &'a SpreadBench,
    loss: f64,
    store_cut: bool,
    cores: Vec<SpreadCore>,
    numbers: HashMap<Arc<str>, usize>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    letters: HashMap<u64, (usize, FrameBody)>,
    sequence: u64,
    now: u64,
    bytes: u64,
    messages: u64,
    changed_at: HashMap<String, u64>,
    in_force: HashMap<(usize, String), Stamp>,
    delays: Vec<f64>,
    reverts: usize,
    random: SmallRng,
}

impl<'a> CoreRun<'a> {
    fn new(bench: &'a SpreadBench, loss: f64, store_cut: bool) -> CoreRun<'a> {
        let mut run = CoreRun {
            bench,
            loss,
            store_cut,
            cores: Vec::new(),
            numbers: HashMap::new(),
            events: BinaryHeap::new(),
            letters: HashMap::new(),
            sequence: 0,
            now: 0,
            bytes: 0,
            messages: 0,
            changed_at: HashMap::new(),
            in_force: HashMap::new(),
            delays: Vec::new(),
            reverts: 0,
            random: SmallRng::seed_from_u64(bench.seed),
        };
        let mut entries = box_list(bench);
        entries.extend((0..bench.keys).map(|key| entry(&format!("service/s{key}"), 1)));
        for number in 0..bench.boxes {
            let identity = BoxIdentity { box_id: box_id(number), data_centre: run.centre(number) };
            run.numbers.insert(identity.box_id.clone(), number);
            let mut core = SpreadCore::new(SpreadSetup {
                identity,
                digest_period: DIGEST_PERIOD,
                neighbour_period: NEIGHBOUR_PERIOD,
                seed: bench.seed + number as u64,
            });
            // All of it is there from before: nobody pushes it.
            core.handle(0, SpreadEvent::StoreRead(entries.clone()), &mut Vec::new());
            run.cores.push(core);
            run.schedule(run.random_tick(number), number);
        }
        run
    }

    fn run(mut self) -> SpreadRow {
        self.run_until(SETTLE);
        let (bytes, messages) = (self.bytes, self.messages);
        self.run_until(SETTLE + REST);
        let rest_bytes = (self.bytes - bytes) as f64;
        let rest_messages = (self.messages - messages) as f64;
        let started = processor_time();
        let before = self.bytes;
        for change in 0..self.bench.changes {
            self.change(change);
            self.run_until(self.now + CHANGE_GAP);
        }
        self.run_until(self.now + TAIL);
        let spent = processor_time().saturating_sub(started);
        let virtual_seconds = (self.bench.changes as u64 * CHANGE_GAP + TAIL) as f64 / 1e6;
        let boxes = self.bench.boxes as f64;
        let rest_rate = rest_bytes / boxes / (REST as f64 / 1e6);
        let changing = (self.bytes - before) as f64 / boxes - rest_rate * virtual_seconds;
        let reached = self.delays.len();
        self.delays.sort_by(f64::total_cmp);
        SpreadRow {
            kind: "cores",
            boxes: self.bench.boxes,
            loss: self.loss,
            store_cut: self.store_cut,
            in_force_p50_ms: at_quantile(&self.delays, 0.5),
            in_force_p99_ms: at_quantile(&self.delays, 0.99),
            in_force_max_ms: self.delays.last().copied().unwrap_or(0.0),
            lacking: self.bench.boxes * self.bench.changes - reached,
            reverts: self.reverts,
            bytes_per_box_s: rest_rate,
            messages_per_box_s: rest_messages / boxes / (REST as f64 / 1e6),
            bytes_per_change: changing / self.bench.changes as f64,
            store_calls_s: self.store_calls(),
            cpu_share: spent.as_secs_f64() / virtual_seconds / boxes,
            rss_mb: resident_bytes() as f64 / 1e6,
        }
    }

    /// Keys and box list are watched side by side, and read whole now and then.
    fn store_calls(&self) -> f64 {
        let watchers = self.watchers().len() as f64;
        watchers * 2.0 * (1.0 / WATCH_SECONDS + 1.0 / RESYNC_SECONDS)
    }

    fn watchers(&self) -> Vec<usize> {
        let watches = |number: &usize| {
            let identity =
                BoxIdentity { box_id: box_id(*number), data_centre: self.centre(*number) };
            self.cores[*number].members().watches(&identity)
        };
        (0..self.bench.boxes).filter(watches).collect()
    }

    /// A change is accepted now. With the store cut off it is handed to the watchers of two
    /// data centres and to nobody else, which is what accepted means.
    fn change(&mut self, number: usize) {
        let key = format!("policy/p{number}");
        let entry = entry(&key, 1);
        self.changed_at.insert(key, self.now);
        let watchers = self.watchers();
        for watcher in watchers {
            if self.store_cut && watcher % self.bench.centres >= 2 {
                continue;
            }
            let delay = self.random.random_range(1_000..STORE_MICROS);
            let body = wingbridge_wire::Entries { entries: vec![entry.clone()], push: true };
            self.post(delay, watcher, FrameBody::Entries(body));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, sequence, number))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            match self.letters.remove(&sequence) {
                Some((from, body)) => {
                    let event = SpreadEvent::Received { from: box_id(from), body };
                    self.handle(number, event);
                }
                None => {
                    self.handle(number, SpreadEvent::TimerFired);
                    self.schedule(TICK, number);
                }
            }
        }
        self.now = end;
    }

    fn handle(&mut self, number: usize, event: SpreadEvent) {
        let mut commands = Vec::new();
        self.cores[number].handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                SpreadCommand::Apply(entry) => self.apply(number, &entry),
                SpreadCommand::Send { to, body } => self.send(number, &to, body),
            }
        }
    }

    fn apply(&mut self, number: usize, entry: &Entry) {
        let Some(changed) = self.changed_at.get(&entry.key) else { return };
        self.delays.push((self.now - changed) as f64 / 1000.0);
        let held = self.in_force.insert((number, entry.key.clone()), entry.stamp.clone());
        self.reverts += usize::from(held.is_some_and(|held| held >= entry.stamp));
    }

    fn send(&mut self, from: usize, to: &Arc<str>, body: FrameBody) {
        let Some(&to) = self.numbers.get(to) else { return };
        let frame = Frame { clock: self.now, body: Some(body) };
        self.bytes += (frame.encoded_len() + OVERHEAD) as u64;
        self.messages += 1;
        if self.random.random::<f64>() < self.loss {
            return;
        }
        let least = self.distance(from, to);
        let delay = least + self.random.random_range(0..=least / 4);
        if let Some(body) = frame.body {
            self.sequence += 1;
            self.letters.insert(self.sequence, (from, body));
            self.events.push(Reverse((self.now + delay, self.sequence, to)));
        }
    }

    fn post(&mut self, delay: u64, to: usize, body: FrameBody) {
        self.sequence += 1;
        self.letters.insert(self.sequence, (to, body));
        self.events.push(Reverse((self.now + delay, self.sequence, to)));
    }

    fn schedule(&mut self, delay: u64, number: usize) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, number)));
    }

    fn random_tick(&self, number: usize) -> u64 {
        (number as u64).wrapping_mul(7919) % TICK
    }

    fn centre(&self, number: usize) -> Arc<str> {
        Arc::from(format!("dc-{}", number % self.bench.centres))
    }

    fn distance(&self, from: usize, to: usize) -> u64 {
        let (from, to) = (from % self.bench.centres, to % self.bench.centres);
        match (from == to, from % REGIONS == to % REGIONS) {
            (true, _) => NEAR,
            (false, true) => REGION,
            (false, false) => FAR,
        }
    }
}

fn box_id(number: usize) -> Arc<str> {
    Arc::from(format!("box-{number}"))
}

fn entry(key: &str, generation: u64) -> Entry {
    Entry {
        key: key.to_string(),
        stamp: Stamp { generation, revision: generation, change: format!("change of {key}") },
        deleted: false,
        text: "x".repeat(VALUE_BYTES),
        author: "bench".into(),
        changed_at: 0,
    }
}

fn box_list(bench: &SpreadBench) -> Vec<Entry> {
    let member = |number: usize| MemberValue {
        address: format!("10.{}.{}.1:7000", number / 250, number % 250),
        admin: format!("10.{}.{}.1:7001", number / 250, number % 250),
        data_centre: format!("dc-{}", number % bench.centres),
        state: MemberState::Live,
    };
    (0..bench.boxes)
        .map(|number| Entry {
            text: serde_json::to_string(&member(number)).unwrap_or_default(),
            ..entry(&format!("{BOX_PREFIX}{}", box_id(number)), number as u64 + 1)
        })
        .collect()
}
