//! Runs the measurement that the command line names, and prints its report as JSON or tables.

use std::path::Path;

use clap::ArgMatches;
use eyre::eyre;
use serde::Serialize;
use wingbridge_process::Outcome;
use wingbridge_process::io_pool::start_io_pool;
use wingbridge_process::metrics::start_metrics;
use wingbridge_process::settings::number;
use wingctl::output::table;

use crate::box_size::{BoxSizeRow, measure_box};
use crate::chart::draw_curve;
use crate::crashes::{CrashRow, measure_crashes};
use crate::decide::cost::{CostRow, EvidenceRow, measure_cost, measure_evidence};
use crate::decide::curve::measure_curve;
use crate::decide::report::{DecideReport, Detection, FaultRow};
use crate::decide::{DecideSetup, measure};
use crate::path::{PathRow, measure_path};
use crate::quota::measure_quota;
use crate::quota::report::QuotaRow;
use crate::settings::{resolve_decide, resolve_quota, resolve_steer};
use crate::spread::cores::measure_cores;
use crate::spread::real::measure_real;
use crate::spread::{MAX_REAL_BOXES, SpreadBench, SpreadRow};
use crate::steer::cost::{measure_picks, pick_table};
use crate::steer::measure_steer;
use crate::steer::report::SteerReport;

/// JSON form of a report that consists of rows only.
#[derive(Debug, Serialize)]
struct RowsReport<'a, T> {
    rows: &'a [T],
}

/// Runs the measurement that `matches` names.
///
/// # Errors
/// A setting is not allowed, or the measurement failed.
pub fn run(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let json = matches.get_flag("json");
    match matches.subcommand() {
        Some(("decide", matches)) => run_decide(matches, json),
        Some(("path", matches)) => {
            start_io_pool(number(matches, "io-threads", 1..=256)? as usize);
            let rows = measure_path(
                number(matches, "seconds", 1..=60)?,
                number(matches, "rate", 0..=1_000_000)?,
            )?;
            print_report(json, &RowsReport { rows: &rows }, || path_table(&rows))
        }
        Some(("box", _)) => {
            start_metrics();
            start_io_pool(1);
            let rows = measure_box()?;
            print_report(json, &RowsReport { rows: &rows }, || box_table(&rows))
        }
        Some(("spread", matches)) => {
            let rows = run_spread(matches)?;
            print_report(json, &RowsReport { rows: &rows }, || spread_table(&rows))
        }
        Some(("quota", matches)) => {
            let report = measure_quota(&resolve_quota(matches)?);
            print_report(json, &report, || quota_table(&report.rows))
        }
        Some(("crashes", matches)) => {
            let seed = number(matches, "seed", 0..=u64::from(u32::MAX))?;
            let rows = measure_crashes(seed, number(matches, "fleets", 1..=1000)?);
            print_report(json, &RowsReport { rows: &rows }, || crashes_table(&rows))
        }
        Some(("steer", matches)) if matches.get_flag("cost") => {
            let rows = measure_picks();
            print_report(json, &RowsReport { rows: &rows }, || pick_table(&rows))
        }
        Some(("steer", matches)) => {
            let baseline = matches.get_one::<String>("baseline");
            let baseline = baseline.map(|file| SteerReport::read(file)).transpose()?;
            let report = measure_steer(&resolve_steer(matches)?)?;
            let comparison = baseline.map(|baseline| report.compare(&baseline)).transpose()?;
            print_report(json, &report, || {
                let comparison = comparison.map(|text| format!("\n\n{text}")).unwrap_or_default();
                format!("{}{comparison}", report.as_text())
            })
        }
        _ => Err(eyre!("no measurement given")),
    }
}

fn run_spread(matches: &ArgMatches) -> eyre::Result<Vec<SpreadRow>> {
    let bench = SpreadBench {
        boxes: number(matches, "boxes", 1..=10_000)? as usize,
        centres: number(matches, "centres", 1..=64)? as usize,
        changes: number(matches, "changes", 1..=10_000)? as usize,
        keys: number(matches, "keys", 0..=100_000)? as usize,
        seed: number(matches, "seed", 0..=u64::from(u32::MAX))?,
    };
    if bench.boxes > MAX_REAL_BOXES || matches.get_flag("cores") {
        return Ok(measure_cores(&bench));
    }
    start_metrics();
    measure_real(&bench)
}

fn crashes_table(rows: &[CrashRow]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.scenario.to_string(),
            row.strategy.to_string(),
            format!("{:.1}", row.mean_lost),
            row.max_lost.to_string(),
            row.max_late_sends.to_string(),
            format!("{:.1}", row.wrongly_refused),
            format!("{:.1}", row.bytes_per_box_s),
        ]
    });
    let headings = [
        "scenario",
        "way",
        "targets lost",
        "most",
        "most late sends",
        "refused by mistake, in 100,000",
        "B/s a box",
    ];
    table(&headings, &cells.collect::<Vec<_>>())
}

fn quota_table(rows: &[QuotaRow]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.scenario.clone(),
            row.strategy.clone(),
            row.windows.to_string(),
            format!("{:.2}", row.median),
            format!("{:.2}", row.p99),
            format!("{:.2}", row.worst),
            row.broken.to_string(),
            format!("{:.2}", row.refused),
            format!("{:.1}", row.datagrams),
            format!("{:.0}", row.bytes),
        ]
    });
    let headings = [
        "scenario",
        "way",
        "windows",
        "half of them, of the bound",
        "99 in 100",
        "worst",
        "fleets that broke it",
        "refused below the limit, in 100",
        "datagrams/s a box",
        "B/s a box",
    ];
    table(&headings, &cells.collect::<Vec<_>>())
}

fn path_table(rows: &[PathRow]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.connections.to_string(),
            format!("{:.2}", row.direct_p99_ms),
            format!("{:.2}", row.proxy_p99_ms),
            format!("{:.2}", row.added_p50_ms),
            format!("{:.2}", row.added_p99_ms),
            format!("{:.2}", row.added_p999_ms),
            format!("{:.0}", row.requests_s),
            format!("{:.0}", row.cpu_us_per_request),
            row.failed.to_string(),
        ]
    });
    let headings = [
        "connections",
        "direct p99 ms",
        "proxy p99 ms",
        "added p50",
        "added p99",
        "added p99.9",
        "requests/s",
        "cpu us/request",
        "failed",
    ];
    table(&headings, &cells.collect::<Vec<_>>())
}

fn box_table(rows: &[BoxSizeRow]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.services.to_string(),
            row.targets.to_string(),
            row.boxes.to_string(),
            format!("{:.1}", row.rss_mb),
            format!("{:.2}%", row.cpu_share * 100.0),
            format!("{:.0}", row.in_force_ms),
        ]
    });
    let headings = ["services", "targets", "boxes", "MB", "core at rest", "in force ms"];
    table(&headings, &cells.collect::<Vec<_>>())
}

fn spread_table(rows: &[SpreadRow]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.kind.to_string(),
            row.boxes.to_string(),
            format!("{:.0}%", row.loss * 100.0),
            if row.store_cut { "cut" } else { "up" }.to_string(),
            format!(
                "{:.0}/{:.0}/{:.0}",
                row.in_force_p50_ms, row.in_force_p99_ms, row.in_force_max_ms
            ),
            row.unreached.to_string(),
            row.reverts.to_string(),
            format!("{:.0}", row.bytes_per_box_s),
            format!("{:.2}", row.messages_per_box_s),
            format!("{:.0}", row.bytes_per_change),
            format!("{:.1}", row.store_calls_s),
            format!("{:.4}%", row.cpu_share * 100.0),
            format!("{:.0}", row.rss_mb),
        ]
    });
    let headings = [
        "kind",
        "boxes",
        "loss",
        "store",
        "in force p50/p99/max ms",
        "lacking",
        "reverts",
        "B/box/s rest",
        "msg/box/s",
        "B/box/change",
        "store calls/s",
        "core/box",
        "MB in all",
    ];
    table(&headings, &cells.collect::<Vec<_>>())
}

fn run_decide(matches: &ArgMatches, json: bool) -> eyre::Result<Outcome> {
    let setup = resolve_decide(matches)?;
    if matches.get_flag("cost") {
        let report = CostReport { rows: measure_cost(), evidence: measure_evidence() };
        return print_report(json, &report, || cost_table(&report));
    }
    if let Some(file) = matches.get_one::<String>("curve") {
        let points = measure_curve(&setup);
        draw_curve(Path::new(file), setup.site.name, &points)?;
        return print_report(json, &RowsReport { rows: &points }, || format!("drawn to {file}"));
    }
    let report = measure(&setup);
    print_report(json, &report, || decide_table(&setup, &report))
}

fn print_report(
    json: bool,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> eyre::Result<Outcome> {
    let output = if json { serde_json::to_string(value)? } else { text() };
    println!("{output}");
    Ok(Outcome::Done)
}

/// Time and memory that decisions take.
#[derive(Debug, Serialize)]
struct CostReport {
    rows: Vec<CostRow>,
    evidence: Vec<EvidenceRow>,
}

fn cost_table(report: &CostReport) -> String {
    let cells = report.rows.iter().map(|row| {
        vec![
            row.targets.to_string(),
            row.services.to_string(),
            format!("{:.0}", row.ns_per_pick),
            format!("{:.0}", row.ns_per_event),
            format!("{:.0}", row.ns_per_idle_tick),
            format!("{:.0}", row.box_bytes_per_target),
            format!("{:.0}", row.detector_ns_per_sample),
            format!("{:.0}", row.detector_bytes_per_target),
        ]
    });
    let headings = [
        "targets",
        "services",
        "ns/pick",
        "ns/event",
        "ns/idle tick",
        "box B/target",
        "judge ns/sample",
        "judge B/target",
    ];
    let sizes = report
        .evidence
        .iter()
        .map(|row| vec![row.samples.to_string(), format!("{:.0}", row.bytes_per_sample)]);
    format!(
        "{}\n\n{}",
        table(&headings, &cells.collect::<Vec<_>>()),
        table(&["samples in a message", "bytes for each"], &sizes.collect::<Vec<_>>())
    )
}

fn decide_table(setup: &DecideSetup, report: &DecideReport) -> String {
    let names: Vec<&String> = report.baseline_false_ejections.keys().collect();
    let mut headings = vec!["fault", "core p50/p99, missed, spilled"];
    headings.extend(names.iter().map(|name| name.as_str()));
    let row = |row: &FaultRow| {
        let mut cells = vec![row.fault.clone(), detection_cell(&row.core)];
        cells.extend(names.iter().map(|name| detection_cell(&row.baselines[*name])));
        cells
    };
    let rows: Vec<Vec<String>> = report.faults.iter().map(row).collect();
    let mut text = format!(
        "site {}, seed {}, {} trials of each fault; detection in ms: p50/p99, missed within 30 s, spilled to healthy paths or targets\n\n{}\n\n",
        report.site,
        report.seed,
        setup.trials,
        table(&headings, &rows)
    );
    let mut summary = vec![vec![
        "core".to_string(),
        report.false_ejections.to_string(),
        format!("{:.4}", report.goodput),
    ]];
    for name in names {
        let goodput = format!("{:.4}", report.baseline_goodput[name]);
        summary.push(vec![
            name.clone(),
            report.baseline_false_ejections[name].to_string(),
            goodput,
        ]);
    }
    text.push_str(&format!(
        "{:.2} healthy target-days for each decider\n{}\n\ncore: false ejections in {:?}\n\
         by cause and box {:?}\n\
         floor breaches {}, attempts for each request {:.4}",
        report.healthy_target_days,
        table(&["decider", "false ejections", "goodput"], &summary),
        report.false_ejections_in,
        report.false_ejection_causes,
        report.floor_breaches,
        report.retry_amplification
    ));
    text
}

fn detection_cell(detection: &Detection) -> String {
    let millis = |time: Option<f64>| time.map_or("-".into(), |time| format!("{time:.0}"));
    let (p50, p99) = (millis(detection.detection_p50_ms), millis(detection.detection_p99_ms));
    format!("{p50}/{p99}, {}, {}", detection.missed, detection.collateral)
}
