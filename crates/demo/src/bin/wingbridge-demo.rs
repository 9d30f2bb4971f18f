//! The `wingbridge-demo` program: starts a small system and either prints its events or runs the
//! experiment.

use std::process::ExitCode;
use std::time::Duration;

use wingbridge_demo::SmallSystem;
use wingbridge_demo::experiment::{ExperimentReport, run_experiment};
use wingbridge_demo::settings::{demo_command, demo_setup};
use wingbridge_process::io_pool::start_io_pool;
use wingbridge_process::metrics::start_metrics;
use wingbridge_process::settings::number;
use wingbridge_process::stop::stop_on_signals;
use wingbridge_process::{Outcome, StopSignal, exit_code};
use wingbridge_trace::page::render_text;
use wingctl::output::table;

/// Interval at which new events are printed.
const EVENTS_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    exit_code("wingbridge-demo", start())
}

fn start() -> eyre::Result<Outcome> {
    let matches = demo_command().get_matches();
    let seconds = number(&matches, "seconds", 0..=600)?;
    let json = matches.get_flag("json");
    start_metrics();
    start_io_pool(1);
    let mut system = SmallSystem::start(demo_setup())?;
    if !json {
        print_addresses(&system);
    }
    if seconds == 0 {
        let stop = stop_on_signals()?;
        async_std::task::block_on(print_events(&system, &stop));
        return Ok(Outcome::Done);
    }
    let report = run_experiment(&mut system, seconds.max(4))?;
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{}", as_table(&report));
    }
    Ok(if report.broken.is_empty() { Outcome::Done } else { Outcome::CheckFailed })
}

/// Prints new events until `stop` is signalled.
async fn print_events(system: &SmallSystem, stop: &StopSignal) {
    let fleet = system.fleet();
    let mut last = 0;
    while !stop.is_stopped() {
        // An agent that does not answer is queried again at the next interval.
        if let Ok((events, _)) = wingctl::event_trace::collect_events(&fleet).await {
            let new_events: Vec<_> =
                events.into_iter().filter(|event| event.stamp > last).collect();
            last = new_events.last().map_or(last, |event| event.stamp);
            print!("{}", render_text(&new_events));
        }
        let _ = async_std::future::timeout(EVENTS_INTERVAL, stop.wait()).await;
    }
}

fn print_addresses(system: &SmallSystem) {
    println!("store      {}", system.store_address);
    for one in &system.boxes {
        println!("{:<10} callers {}  agent {}", one.box_id, one.proxy.callers, one.agent.admin);
    }
    for target in &system.targets {
        println!("target     {}  {}", target.address, target.service);
    }
    let first = &system.boxes[0];
    println!("\ntry:  curl -i http://{}/availability/tatra", first.proxy.callers);
    let (store, agent) = (system.store_address, first.agent.admin);
    println!("      wingctl --store {store} --agents {agent} status\n");
}

fn as_table(report: &ExperimentReport) -> String {
    let row = |name: &str, value: String| vec![name.to_string(), value];
    let detection = report.detection_ms.map_or("missed".into(), |millis| format!("{millis} ms"));
    let rows = [
        row("requests", report.requests.to_string()),
        row("whole answers", report.complete.to_string()),
        row("not run", report.not_run.to_string()),
        row("unknown", report.unknown.to_string()),
        row("doubled orders", report.doubled.to_string()),
        row("requests cut", report.cut.to_string()),
        row("wrong answers", report.wrong_answer.to_string()),
        row("detection time of the stall", detection),
        row("false ejections", report.false_ejections.to_string()),
        row("added latency, median", format!("{:.2} ms", report.added_p50_ms)),
        row("added latency, 99 in 100", format!("{:.2} ms", report.added_p99_ms)),
    ];
    let mut text = table(&["what", "count"], &rows);
    for invariant in &report.broken {
        text.push_str(&format!("\nDID NOT HOLD: {invariant}"));
    }
    text
}
