//! Measures real agents and proxies in this process, with a stand-in store.

use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use eyre::{bail, ensure};
use rand::SeedableRng;
use rand::rngs::StdRng;
use wingbridge_demo::{SmallSystem, SystemSetup};
use wingbridge_standin::StoreFaults;
use wingbridge_store::{ChangeOutcome, ChangeRequest, StoreClient, submit_change};
use wingbridge_trace::TraceEvent;
use wingbridge_trace::clock::wall_millis;
use wingctl::fleet::{BoxReply, KeyView};

use crate::memory::{processor_time, resident_bytes};
use crate::spread::{LOSSES, SpreadBench, SpreadRow, value_at_quantile};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const IDLE_TIME: Duration = Duration::from_secs(4);
const CHANGE_GAP: Duration = Duration::from_millis(400);
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(30);
/// Longest time until proxies have forwarded their events to the agents.
const EVENT_FORWARD_PERIOD: Duration = Duration::from_millis(1500);

/// Measures all rows, one after the other on one system.
///
/// # Errors
/// The system did not start, a change was not accepted, or it was not in force in time.
pub fn measure_real(bench: &SpreadBench) -> eyre::Result<Vec<SpreadRow>> {
    let setup = SystemSetup {
        boxes: bench.boxes,
        data_centres: bench.centres,
        services: Vec::new(),
        leave_time: Duration::ZERO,
    };
    let system = SmallSystem::start(setup)?;
    for key in 0..bench.keys {
        write(&system, &format!("policy/k{key}"))?;
    }
    let mut rows = Vec::new();
    for loss in LOSSES {
        for one in &system.boxes {
            one.cuts.set_loss(loss);
        }
        for store_cut in [false, true] {
            rows.push(measure_row(bench, &system, loss, store_cut)?);
        }
    }
    Ok(rows)
}

fn measure_row(
    bench: &SpreadBench,
    system: &SmallSystem,
    loss: f64,
    store_cut: bool,
) -> eyre::Result<SpreadRow> {
    thread::sleep(SETTLE_TIME);
    let idle_start = Counters::read(system);
    thread::sleep(IDLE_TIME);
    let idle = Counters::read(system).since(&idle_start);
    let change_start = Counters::read(system);
    let mut accepted = Vec::new();
    for change in 0..bench.changes {
        let key = format!("policy/c{}-{}-{change}", (loss * 100.0) as u32, u8::from(store_cut));
        write(system, &key)?;
        accepted.push((key.clone(), wall_millis()));
        if store_cut {
            wait_for_two_centres(system, &key)?;
            system.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        }
        wait_in_force(system, &key)?;
        system.store.set_faults(StoreFaults::default());
        thread::sleep(CHANGE_GAP);
    }
    let changing = Counters::read(system).since(&change_start);
    thread::sleep(EVENT_FORWARD_PERIOD);
    let events = task::block_on(wingctl::event_trace::collect_events(&system.fleet()))?.0;
    let mut delays = in_force_delays(&accepted, &events);
    delays.sort_by(f64::total_cmp);
    let boxes = bench.boxes as f64;
    let idle_bytes = idle.bytes / boxes / idle.seconds;
    Ok(SpreadRow {
        kind: "agents",
        boxes: bench.boxes,
        loss,
        store_cut,
        in_force_p50_ms: value_at_quantile(&delays, 0.5),
        in_force_p99_ms: value_at_quantile(&delays, 0.99),
        in_force_max_ms: delays.last().copied().unwrap_or(0.0),
        unreached: (bench.boxes * bench.changes).saturating_sub(delays.len()),
        reverts: count_reverts(&events),
        bytes_per_box_s: idle_bytes,
        messages_per_box_s: idle.messages / boxes / idle.seconds,
        bytes_per_change: (changing.bytes / boxes - idle_bytes * changing.seconds)
            / bench.changes as f64,
        store_calls_s: idle.calls / idle.seconds,
        cpu_share: idle.processor / idle.seconds / boxes,
        rss_mb: resident_bytes() as f64 / 1e6,
    })
}

/// Counters at one time, or their differences between two times.
struct Counters {
    at: Instant,
    seconds: f64,
    bytes: f64,
    messages: f64,
    calls: f64,
    processor: f64,
}

impl Counters {
    fn read(system: &SmallSystem) -> Counters {
        let text = wingbridge_process::metrics::render_metrics();
        let counter = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|rest| rest.trim().parse().ok()).unwrap_or(0.0)
        };
        let messages = counter("wingbridge_messages_sent ");
        Counters {
            at: Instant::now(),
            seconds: 0.0,
            // Each message is sent in a packet of its own: 70 bytes for its length prefix and
            // packet headers.
            bytes: counter("wingbridge_bytes_sent ") + messages * 70.0,
            messages,
            calls: system.store.calls() as f64,
            processor: processor_time().as_secs_f64(),
        }
    }

    fn since(&self, earlier: &Counters) -> Counters {
        Counters {
            at: self.at,
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            bytes: self.bytes - earlier.bytes,
            messages: self.messages - earlier.messages,
            calls: self.calls - earlier.calls,
            processor: self.processor - earlier.processor,
        }
    }
}

fn write(system: &SmallSystem, key: &str) -> eyre::Result<()> {
    let request = ChangeRequest {
        key: key.to_string(),
        text: Some("fn plan(request) { refuse(404, \"nothing here\") }".into()),
        author: "bench".into(),
        change: format!("change of {key} at {}", wall_millis()),
        changed_at: wall_millis(),
        fleet_generation: 0,
        expected: None,
        max_attempts: 5,
    };
    let store = StoreClient::new(&system.store_address.to_string());
    let mut random = StdRng::seed_from_u64(1);
    match task::block_on(submit_change(&store, &request, &mut random)) {
        ChangeOutcome::Accepted { .. } => Ok(()),
        other => bail!("{key} was not accepted: {other:?}"),
    }
}

/// Queries all boxes until `is_done` accepts their answers.
fn wait_until(
    system: &SmallSystem,
    key: &str,
    is_done: impl Fn(&[BoxReply<Vec<KeyView>>]) -> bool,
) -> eyre::Result<()> {
    let fleet = system.fleet();
    let boxes = task::block_on(fleet.boxes())?;
    let path = format!("/v1/keys?prefix={key}");
    let started = Instant::now();
    loop {
        let answers = task::block_on(fleet.query_all(&boxes, &path));
        if is_done(&answers) {
            return Ok(());
        }
        ensure!(
            started.elapsed() < MAX_IN_FORCE_TIME,
            "{key} was not in force in the required boxes within {MAX_IN_FORCE_TIME:?}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

fn wait_in_force(system: &SmallSystem, key: &str) -> eyre::Result<()> {
    wait_until(system, key, |answers| {
        answers.iter().all(|answer| {
            answer.result.as_ref().is_ok_and(|views| views.iter().any(|view| view.in_force))
        })
    })
}

fn wait_for_two_centres(system: &SmallSystem, key: &str) -> eyre::Result<()> {
    wait_until(system, key, |answers| {
        let boxes_with_key = answers
            .iter()
            .filter(|answer| answer.result.as_ref().is_ok_and(|views| !views.is_empty()));
        let centres: std::collections::BTreeSet<&str> =
            boxes_with_key.map(|answer| answer.queried.data_centre.as_str()).collect();
        centres.len() >= 2
    })
}

/// Returns the milliseconds from the acceptance of each change until it is in force, for each box.
fn in_force_delays(accepted: &[(String, u64)], events: &[TraceEvent]) -> Vec<f64> {
    let mut delays = Vec::new();
    for (key, at) in accepted {
        let in_force = events.iter().filter(|event| {
            event.kind == "config-in-force" && event.fields.get("key") == Some(key)
        });
        delays.extend(in_force.map(|event| {
            wingbridge_trace::clock::stamp_millis(event.stamp).saturating_sub(*at) as f64
        }));
    }
    delays
}

/// Counts the events in the trace in which a box replaced the version of a key by an older one.
fn count_reverts(events: &[TraceEvent]) -> usize {
    let mut generations: std::collections::HashMap<(&str, &str), u64> =
        std::collections::HashMap::new();
    let mut reverts = 0;
    for event in events.iter().filter(|event| event.kind == "config-in-force") {
        let key = event.fields.get("key").map_or("", String::as_str);
        let generation = event.fields.get("generation").and_then(|text| text.parse().ok());
        let generation: u64 = generation.unwrap_or(0);
        let earlier = generations.insert((&event.box_id, key), generation);
        reverts += usize::from(earlier.is_some_and(|earlier| earlier > generation));
    }
    reverts
}
