//! The whole report, from the lines of many boxes.

use std::collections::HashMap;
use std::io::BufRead;

use eyre::WrapErr;
use serde::Serialize;

use super::calibration::{Calibration, CalibrationRow};
use super::losses::{LossCount, LossRow, ServiceRow};
use super::request_line::{LogLine, decode};
use super::spells::{SpellCount, SpellReport};
use super::spread::{LeavingReport, SpreadCount, VersionRow};
use crate::output::table;

/// Rows of losses that are shown to people; JSON has all.
const LOSSES_SHOWN: usize = 20;
/// Fewer requests say little of a belief; such rows are left out for people.
const CALIBRATION_FROM: usize = 20;
/// A view that is older than this is on the way to be older than a change may take.
const OLD_VIEW_MS: u64 = 1500;

/// What the lines of requests tell together.
#[derive(Debug, Serialize)]
pub struct LogReport {
    /// Requests that went to a service.
    pub requests: usize,
    /// Lines without JSON, which were passed over.
    pub other_lines: usize,
    /// What became of them, by service.
    pub services: Vec<ServiceRow>,
    /// Those that were not served, by how they ended.
    pub losses: Vec<LossRow>,
    /// Where in spells they were lost.
    pub spells: SpellReport,
    /// Whether beliefs were right.
    pub calibration: Vec<CalibrationRow>,
    /// How long each configuration took through the boxes.
    pub versions: Vec<VersionRow>,
    /// The same for targets that left.
    pub leaving: LeavingReport,
    /// Requests that were decided by a view older than 1.5 s.
    pub old_views: usize,
}

/// Reads the lines of all `readers`, each with its name.
///
/// # Errors
/// A line has JSON that is no log line; the error names reader and line.
pub fn explain_lines(readers: Vec<(String, Box<dyn BufRead>)>) -> eyre::Result<LogReport> {
    let mut sums = ReportSums::default();
    for (name, reader) in readers {
        for (number, line) in reader.lines().enumerate() {
            let place = || format!("{name}, line {}", number + 1);
            let line = line.wrap_err_with(place)?;
            sums.take(&name, &line).wrap_err_with(place)?;
        }
    }
    Ok(sums.report())
}

#[derive(Default)]
struct ReportSums {
    requests: usize,
    other_lines: usize,
    /// The data centre of each box, by where its lines come from.
    data_centres: HashMap<String, String>,
    losses: LossCount,
    spells: SpellCount,
    calibration: Calibration,
    spread: SpreadCount,
    old_views: usize,
}

impl ReportSums {
    fn take(&mut self, name: &str, line: &str) -> eyre::Result<()> {
        let Some(start) = line.find('{') else {
            self.other_lines += 1;
            return Ok(());
        };
        // Collected logs have the box's name in front of the line's JSON.
        let box_name = line[..start].split_whitespace().last().unwrap_or(name);
        match decode(&line[start..])? {
            LogLine::Request(line) if !line.service.is_empty() => {
                let data_centre = self.data_centres.get(box_name).map(String::as_str);
                self.requests += 1;
                self.old_views += usize::from(line.view_age_ms > OLD_VIEW_MS);
                self.losses.note(&line, data_centre);
                self.spells.note(&line);
                self.calibration.note(&line);
            }
            LogLine::Started(data_centre) => {
                self.data_centres.insert(box_name.to_string(), data_centre);
            }
            LogLine::InForce(line) => self.spread.note_in_force(box_name, line),
            LogLine::Left(line) => self.spread.note_left(line),
            LogLine::Request(_) | LogLine::Other => {}
        }
        Ok(())
    }

    fn report(self) -> LogReport {
        let (services, losses) = self.losses.rows();
        LogReport {
            requests: self.requests,
            other_lines: self.other_lines,
            services,
            losses,
            spells: self.spells.report(),
            calibration: self.calibration.rows(),
            versions: self.spread.versions(),
            leaving: self.spread.leaving(),
            old_views: self.old_views,
        }
    }
}

impl LogReport {
    /// Tables for people.
    pub fn as_text(&self) -> String {
        let (spells, leaving) = (&self.spells, &self.leaving);
        [
            format!("{} requests", self.requests),
            self.service_table(),
            "not served, the most frequent first:".to_string(),
            self.loss_table(),
            format!(
                "losses in {} spells of a target: {} first, {} on their way before that was known, \
                 {} sent later, {} later as trials",
                spells.spells, spells.first, spells.on_the_way, spells.later, spells.trials
            ),
            format!("beliefs, rows of {CALIBRATION_FROM} requests or more:"),
            self.calibration_table(),
            "configurations, from the first box that had one in force:".to_string(),
            self.version_table(),
            format!(
                "{} targets left: from the first box that knew to the last {} ms at the median, \
                 {} ms for {}",
                leaving.targets, leaving.median_ms, leaving.slowest_ms, leaving.slowest
            ),
            format!("{} requests on a view older than {OLD_VIEW_MS} ms", self.old_views),
        ]
        .join("\n\n")
    }

    fn service_table(&self) -> String {
        let row = |row: &ServiceRow| {
            vec![
                row.service.clone(),
                row.requests.to_string(),
                share(row.refused, row.requests),
                share(row.failed, row.requests),
                share(row.trials, row.requests),
                share(row.failed_trials, row.failed),
                share(row.hedged, row.requests),
                share(row.hedged_served, row.hedged),
                share(row.crossed, row.requests),
            ]
        };
        let rows: Vec<Vec<String>> = self.services.iter().map(row).collect();
        let headings = [
            "service",
            "requests",
            "refused",
            "failed",
            "trials",
            "of failed",
            "second attempts",
            "then served",
            "left the data centre",
        ];
        table(&headings, &rows)
    }

    fn loss_table(&self) -> String {
        let row = |row: &LossRow| {
            vec![
                row.service.clone(),
                row.status.to_string(),
                row.attempts.to_string(),
                mark(row.trial, "trial"),
                mark(row.hedged, "second attempt"),
                row.requests.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.losses.iter().take(LOSSES_SHOWN).map(row).collect();
        table(&["service", "status", "attempts", "", "", "requests"], &rows)
    }

    fn version_table(&self) -> String {
        let row = |row: &VersionRow| {
            vec![
                row.version.to_string(),
                row.boxes.to_string(),
                row.from_store.to_string(),
                row.median_ms.to_string(),
                row.last_ms.to_string(),
                row.last_box.clone(),
                row.longest_known_ms.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.versions.iter().map(row).collect();
        let headings =
            ["version", "boxes", "by the store", "half ms", "last ms", "last box", "known of ms"];
        table(&headings, &rows)
    }

    fn calibration_table(&self) -> String {
        let row = |row: &CalibrationRow| {
            vec![
                row.service.clone(),
                mark(row.trial, "trial"),
                row.requests.to_string(),
                format!("{:.3}", row.believed),
                format!("{:.3}", row.failed),
            ]
        };
        let shown = self.calibration.iter().filter(|row| row.requests >= CALIBRATION_FROM);
        let rows: Vec<Vec<String>> = shown.map(row).collect();
        table(&["service", "", "requests", "taken to fail", "failed"], &rows)
    }
}

fn share(part: usize, whole: usize) -> String {
    if whole == 0 { "-".to_string() } else { format!("{:.3}", part as f64 / whole as f64) }
}

fn mark(holds: bool, text: &str) -> String {
    if holds { text.to_string() } else { String::new() }
}
