//! Measures memory and processor time of an idle box for several sizes of its configuration.
//!
//! Agent, proxy and the stand-in store run in this process, so the figures are higher than those of
//! the two programs alone. The other boxes on the list are records only and don't run.

use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use eyre::ensure;
use serde::Serialize;
use wingbridge_demo::{SmallSystem, SystemSetup};
use wingbridge_store::value::ValueVersion;
use wingbridge_store::{BoxRecord, StoredValue};
use wingctl::fleet::{BoxReply, KeyView};

use crate::memory::{processor_time, resident_bytes};

/// Numbers of services and boxes of each row; the last is the planned size.
pub const SIZES: [(usize, usize); 4] = [(1, 10), (100, 200), (400, 800), (870, 1800)];
const TARGETS_PER_SERVICE: usize = 17;
const IDLE_TIME: Duration = Duration::from_secs(5);
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(60);
const POLICY: &str = "fn plan(request) {\n    if request.method != \"GET\" { return refuse(405, \"reading only\"); }\n    route(\"x\").deadline(2000).repeatable().attempts(3)\n}\n";

/// Results for one size.
#[derive(Debug, Clone, Serialize)]
pub struct BoxSizeRow {
    /// Number of services, each with a policy.
    pub services: usize,
    /// Number of targets of all services.
    pub targets: usize,
    /// Number of boxes on the list.
    pub boxes: usize,
    /// Resident memory of the process, in MB.
    pub rss_mb: f64,
    /// Share of a processor core that the process takes while idle.
    pub cpu_share: f64,
    /// Time from the last write until all entries are in force, in milliseconds.
    pub in_force_ms: f64,
}

/// Measures all sizes, one after the other in one system that grows.
///
/// # Errors
/// The system did not start, or a size was not in force in time.
pub fn measure_box() -> eyre::Result<Vec<BoxSizeRow>> {
    let setup =
        SystemSetup { boxes: 1, data_centres: 1, services: Vec::new(), leave_time: Duration::ZERO };
    let system = SmallSystem::start(setup)?;
    let mut rows = Vec::new();
    let mut written = (0, 0);
    for (services, boxes) in SIZES {
        for number in written.1..boxes {
            system.store.set_box(box_record(number));
        }
        for number in written.0..services {
            write(&system, &format!("policy/p{number}"), POLICY);
            write(&system, &format!("service/s{number}"), &service_text(number));
        }
        written = (services, boxes);
        rows.push(measure_row(&system, services, boxes)?);
    }
    Ok(rows)
}

fn measure_row(system: &SmallSystem, services: usize, boxes: usize) -> eyre::Result<BoxSizeRow> {
    let started = Instant::now();
    while count_in_force(system) < 2 * services {
        ensure!(
            started.elapsed() < MAX_IN_FORCE_TIME,
            "{services} services were not in force within {MAX_IN_FORCE_TIME:?}"
        );
        thread::sleep(Duration::from_millis(100));
    }
    let in_force_ms = started.elapsed().as_secs_f64() * 1e3;
    thread::sleep(IDLE_TIME);
    let before = processor_time();
    thread::sleep(IDLE_TIME);
    let spent = processor_time().saturating_sub(before);
    Ok(BoxSizeRow {
        services,
        targets: services * TARGETS_PER_SERVICE,
        boxes,
        rss_mb: resident_bytes() as f64 / 1e6,
        cpu_share: spent.as_secs_f64() / IDLE_TIME.as_secs_f64(),
        in_force_ms,
    })
}

fn count_in_force(system: &SmallSystem) -> usize {
    let fleet = system.fleet();
    let Ok(boxes) = task::block_on(fleet.boxes()) else { return 0 };
    let own: Vec<_> = boxes.into_iter().filter(|one| one.box_id == "box-1").collect();
    let answers: Vec<BoxReply<Vec<KeyView>>> = task::block_on(fleet.query_all(&own, "/v1/keys"));
    let views = answers.into_iter().filter_map(|answer| answer.result.ok()).flatten();
    views.filter(|view| view.in_force).count()
}

fn write(system: &SmallSystem, key: &str, text: &str) {
    let version = ValueVersion {
        change: format!("change of {key}"),
        generation: 1,
        deleted: false,
        author: "bench".into(),
        changed_at: 0,
        text: text.to_string(),
    };
    let reply = system.store.write(key, 0, &StoredValue::after(None, version).to_json());
    assert!(reply.written, "the key is new");
}

fn service_text(number: usize) -> String {
    let address = |target: usize| format!("\"10.{}.{}.{target}:80\"", number / 250, number % 250);
    let targets: Vec<String> = (1..=TARGETS_PER_SERVICE).map(address).collect();
    format!(
        "[[service]]\nname = \"s{number}\"\npolicy = \"p{number}\"\nslots = 3\n\
         routes = [\"/s{number}/a\", \"/s{number}/b\", \"/s{number}/c\", \"/s{number}/d\", \
         \"/s{number}/e\", \"/s{number}/f\", \"/s{number}/g\"]\ntargets = [{}]\n",
        targets.join(", ")
    )
}

fn box_record(number: usize) -> BoxRecord {
    // Addresses of a network that is reserved for documentation. Nothing is ever sent there, since
    // the boxes are in other data centres and listed as leaving.
    BoxRecord {
        box_id: format!("listed-{number}"),
        revision: 0,
        address: format!("192.0.2.1:{}", 1024 + number),
        admin: format!("192.0.2.1:{}", 1024 + number),
        data_centre: format!("dc-{}", 2 + number % 10),
        state: "leaving".into(),
    }
}
