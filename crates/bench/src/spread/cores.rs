//! Simulates the agents' cores in virtual time.

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
use crate::spread::{LOSSES, SpreadBench, SpreadRow, value_at_quantile};

const REGIONS: usize = 5;
/// Period of a core's timer, in microseconds.
const TICK_US: u64 = 50_000;
const DIGEST_PERIOD: Duration = Duration::from_secs(1);
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(600);
/// Bytes of the length prefix and the packet headers of one message.
const MESSAGE_OVERHEAD_BYTES: usize = 4 + 66;
/// One-way delay between boxes of one data centre, in microseconds.
const SAME_CENTRE_DELAY_US: u64 = 400;
/// One-way delay between data centres of one region, in microseconds.
const SAME_REGION_DELAY_US: u64 = 1_500;
/// One-way delay between regions, in microseconds.
const CROSS_REGION_DELAY_US: u64 = 60_000;
/// Time between two changes, in microseconds.
const CHANGE_GAP_US: u64 = 2_000_000;
/// Time for the fleet to settle before the measurement, in microseconds.
const SETTLE_US: u64 = 20_000_000;
/// Time in which the idle traffic is measured, in microseconds.
const IDLE_US: u64 = 20_000_000;
/// Time that the run continues after the last change, in microseconds.
const TAIL_US: u64 = 30_000_000;
/// Bytes of a configuration value.
const VALUE_BYTES: usize = 1500;
/// Longest time until a watcher receives a change from the store, in microseconds.
const MAX_STORE_DELAY_US: u64 = 10_000;
/// Time that a watch of the store waits, in seconds.
const WATCH_SECONDS: f64 = 10.0;
/// Time between two complete reads of the store, in seconds.
const RESYNC_SECONDS: f64 = 600.0;

/// Measures all rows, each with a new fleet.
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
    /// Events by time and sequence number, with the box that they are for.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Messages with their sender, by the sequence number of their arrival; other events are
    /// timers.
    in_transit: HashMap<u64, (usize, FrameBody)>,
    sequence: u64,
    now: u64,
    bytes: u64,
    messages: u64,
    /// Time at which each change was accepted, by key.
    changed_at: HashMap<String, u64>,
    in_force: HashMap<(usize, String), Stamp>,
    /// Time from each change until it was in force in a box, in milliseconds.
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
            in_transit: HashMap::new(),
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
            // The core reads these entries from the store, so it does not push them to others.
            core.handle(0, SpreadEvent::StoreRead(entries.clone()), &mut Vec::new());
            run.cores.push(core);
            run.schedule(run.tick_offset(number), number);
        }
        run
    }

    fn run(mut self) -> SpreadRow {
        self.run_until(SETTLE_US);
        let (idle_start_bytes, idle_start_messages) = (self.bytes, self.messages);
        self.run_until(SETTLE_US + IDLE_US);
        let idle_bytes = (self.bytes - idle_start_bytes) as f64;
        let idle_messages = (self.messages - idle_start_messages) as f64;
        let started = processor_time();
        let change_start_bytes = self.bytes;
        for change in 0..self.bench.changes {
            self.change(change);
            self.run_until(self.now + CHANGE_GAP_US);
        }
        self.run_until(self.now + TAIL_US);
        let spent = processor_time().saturating_sub(started);
        let virtual_seconds = (self.bench.changes as u64 * CHANGE_GAP_US + TAIL_US) as f64 / 1e6;
        let boxes = self.bench.boxes as f64;
        let idle_rate = idle_bytes / boxes / (IDLE_US as f64 / 1e6);
        let changing =
            (self.bytes - change_start_bytes) as f64 / boxes - idle_rate * virtual_seconds;
        let reached = self.delays.len();
        self.delays.sort_by(f64::total_cmp);
        SpreadRow {
            kind: "cores",
            boxes: self.bench.boxes,
            loss: self.loss,
            store_cut: self.store_cut,
            in_force_p50_ms: value_at_quantile(&self.delays, 0.5),
            in_force_p99_ms: value_at_quantile(&self.delays, 0.99),
            in_force_max_ms: self.delays.last().copied().unwrap_or(0.0),
            unreached: self.bench.boxes * self.bench.changes - reached,
            reverts: self.reverts,
            bytes_per_box_s: idle_rate,
            messages_per_box_s: idle_messages / boxes / (IDLE_US as f64 / 1e6),
            bytes_per_change: changing / self.bench.changes as f64,
            store_calls_s: self.store_calls(),
            cpu_share: spent.as_secs_f64() / virtual_seconds / boxes,
            rss_mb: resident_bytes() as f64 / 1e6,
        }
    }

    /// Returns the calls to the store per second: watchers watch keys and box list separately, and
    /// read both completely every [`RESYNC_SECONDS`].
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

    /// Accepts a change now. With the store cut off, only the watchers of two data centres receive
    /// it: that is the condition under which a change counts as accepted.
    fn change(&mut self, number: usize) {
        let key = format!("policy/p{number}");
        let entry = entry(&key, 1);
        self.changed_at.insert(key, self.now);
        let watchers = self.watchers();
        for watcher in watchers {
            if self.store_cut && watcher % self.bench.centres >= 2 {
                continue;
            }
            let delay = self.random.random_range(1_000..MAX_STORE_DELAY_US);
            let body = wingbridge_wire::Entries { entries: vec![entry.clone()], push: true };
            self.deliver_after(delay, watcher, FrameBody::Entries(body));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, sequence, number))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            match self.in_transit.remove(&sequence) {
                Some((from, body)) => {
                    let event = SpreadEvent::Received { from: box_id(from), body };
                    self.handle(number, event);
                }
                None => {
                    self.handle(number, SpreadEvent::TimerFired);
                    self.schedule(TICK_US, number);
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
        let earlier = self.in_force.insert((number, entry.key.clone()), entry.stamp.clone());
        self.reverts += usize::from(earlier.is_some_and(|earlier| earlier >= entry.stamp));
    }

    fn send(&mut self, from: usize, to: &Arc<str>, body: FrameBody) {
        let Some(&to) = self.numbers.get(to) else { return };
        let frame = Frame { clock: self.now, body: Some(body) };
        self.bytes += (frame.encoded_len() + MESSAGE_OVERHEAD_BYTES) as u64;
        self.messages += 1;
        if self.random.random::<f64>() < self.loss {
            return;
        }
        let min_delay = self.min_delay(from, to);
        let delay = min_delay + self.random.random_range(0..=min_delay / 4);
        if let Some(body) = frame.body {
            self.sequence += 1;
            self.in_transit.insert(self.sequence, (from, body));
            self.events.push(Reverse((self.now + delay, self.sequence, to)));
        }
    }

    /// Delivers an answer of the store to a box, as a message from itself.
    fn deliver_after(&mut self, delay: u64, to: usize, body: FrameBody) {
        self.sequence += 1;
        self.in_transit.insert(self.sequence, (to, body));
        self.events.push(Reverse((self.now + delay, self.sequence, to)));
    }

    fn schedule(&mut self, delay: u64, number: usize) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, number)));
    }

    fn tick_offset(&self, number: usize) -> u64 {
        (number as u64).wrapping_mul(7919) % TICK_US
    }

    fn centre(&self, number: usize) -> Arc<str> {
        Arc::from(format!("dc-{}", number % self.bench.centres))
    }

    fn min_delay(&self, from: usize, to: usize) -> u64 {
        let (from, to) = (from % self.bench.centres, to % self.bench.centres);
        match (from == to, from % REGIONS == to % REGIONS) {
            (true, _) => SAME_CENTRE_DELAY_US,
            (false, true) => SAME_REGION_DELAY_US,
            (false, false) => CROSS_REGION_DELAY_US,
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
