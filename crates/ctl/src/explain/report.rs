//! The whole report, from the lines of many boxes.

use std::collections::HashMap;
use std::io::BufRead;

use eyre::WrapErr;
use serde::Serialize;

use super::calibration::{Calibration, CalibrationRow};
use super::deadly::{DeadlyCount, DeadlyRow};
use super::left_alone::{AloneCause, AloneCount, AloneLine, AloneRow};
use super::log_objects::{LogObject, log_objects};
use super::losses::{LossCount, LossRow, ServiceRow};
use super::moments::{MomentCount, MomentRow};
use super::request_line::{BoxLine, LogLine, decode};
use super::spells::{SpellCount, SpellReport};
use super::spread::{LeavingReport, SpreadCount, VersionRow};
use crate::output::table;

/// Rows of losses that are shown to people; JSON has all.
const LOSSES_SHOWN: usize = 20;
/// Fewer requests say little of a belief; such rows are left out for people.
const CALIBRATION_FROM: usize = 20;
/// Rows of seconds that are shown to people, those with the most losses; JSON has all.
const MOMENTS_SHOWN: usize = 12;
/// Requests under which targets ended that are shown to people; JSON has all.
const DEADLY_SHOWN: usize = 12;
/// Targets that were left alone that are shown to people; JSON has all.
const ALONE_SHOWN: usize = 20;
/// Lines that can't be read and are named; all are counted.
const UNREAD_NAMED: usize = 8;
/// A view that is older than this is on the way to be older than a change may take.
const OLD_VIEW_MS: u64 = 1500;

/// What the lines of requests tell together.
#[derive(Debug, Serialize)]
pub struct LogReport {
    /// Requests that went to a service.
    pub requests: usize,
    /// Lines without JSON, which were passed over.
    pub other_lines: usize,
    /// Objects that can't be read, cut short mostly, which were passed over.
    pub unread: usize,
    /// The first of them.
    pub unread_lines: Vec<UnreadLine>,
    /// What became of them, by service.
    pub services: Vec<ServiceRow>,
    /// Those that were not served, by how they ended.
    pub losses: Vec<LossRow>,
    /// Where in spells they were lost.
    pub spells: SpellReport,
    /// Whether beliefs were right.
    pub calibration: Vec<CalibrationRow>,
    /// What each service got in each second.
    pub moments: Vec<MomentRow>,
    /// How long each configuration took through the boxes.
    pub versions: Vec<VersionRow>,
    /// The same for targets that left.
    pub leaving: LeavingReport,
    /// Requests that were decided by a view older than 1.5 s.
    pub old_views: usize,
    /// Requests under which targets ended.
    pub deadly: Vec<DeadlyRow>,
    /// Targets that were left alone for some of the time, and why.
    pub left_alone: Vec<AloneRow>,
}

/// A line of a log that can't be read.
#[derive(Debug, Clone, Serialize)]
pub struct UnreadLine {
    /// Its file and number.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads the lines of all `readers`, each with its name.
///
/// # Errors
/// A reader fails; the error names it and the line. What is in a line is no error: a collector's
/// log has lines that are cut short, and the others still tell what happened.
pub fn explain_lines(readers: Vec<(String, Box<dyn BufRead>)>) -> eyre::Result<LogReport> {
    let mut sums = ReportSums::default();
    for (name, reader) in readers {
        for (number, line) in reader.lines().enumerate() {
            let place = || format!("{name}, line {}", number + 1);
            let line = line.wrap_err_with(place)?;
            sums.take_line(&name, number + 1, &line);
        }
    }
    Ok(sums.report())
}

#[derive(Default)]
struct ReportSums {
    requests: usize,
    other_lines: usize,
    unread: usize,
    unread_lines: Vec<UnreadLine>,
    /// The data centre of each box, by where its lines come from.
    data_centres: HashMap<String, String>,
    losses: LossCount,
    spells: SpellCount,
    calibration: Calibration,
    moments: MomentCount,
    spread: SpreadCount,
    old_views: usize,
    deadly: DeadlyCount,
    left_alone: AloneCount,
}

impl ReportSums {
    fn take_line(&mut self, name: &str, number: usize, line: &str) {
        let objects = log_objects(line);
        self.other_lines += usize::from(objects.is_empty());
        for object in &objects {
            let Err(error) = self.take(name, object) else { continue };
            self.unread += 1;
            if self.unread_lines.len() < UNREAD_NAMED {
                let place = format!("{name}, line {number}");
                self.unread_lines.push(UnreadLine { place, reason: format!("{error:#}") });
            }
        }
    }

    fn take(&mut self, name: &str, object: &LogObject<'_>) -> eyre::Result<()> {
        let BoxLine { box_name, line } = decode(object.text)?;
        // A line that names its box is that box's, wherever a collector has put it.
        let told = Some(box_name.as_str()).filter(|told| !told.is_empty());
        let box_name = told.or(object.named).unwrap_or(name);
        match line {
            LogLine::Request(line) if !line.service.is_empty() => {
                let data_centre = self.data_centres.get(box_name).map(String::as_str);
                self.requests += 1;
                self.old_views += usize::from(line.view_age_ms > OLD_VIEW_MS);
                self.losses.note(&line, data_centre);
                self.spells.note(&line);
                self.calibration.note(&line);
                self.moments.note(&line);
                self.deadly.note_request(box_name, &line);
                self.left_alone.note_request(&line);
            }
            LogLine::Ended(line) => self.deadly.note_ended(line),
            LogLine::Started(data_centre) => {
                self.data_centres.insert(box_name.to_string(), data_centre);
            }
            LogLine::InForce(line) => self.spread.note_in_force(box_name, line),
            LogLine::Left(line) => {
                let (target, at_ms) = (line.target.clone(), line.at_ms);
                let alone = AloneLine { target, at_ms, cause: AloneCause::Left };
                self.left_alone.note(box_name, &alone);
                self.spread.note_left(line);
            }
            LogLine::Alone(line) => self.left_alone.note(box_name, &line),
            LogLine::Request(_) | LogLine::Other => {}
        }
        Ok(())
    }

    fn report(self) -> LogReport {
        let (services, losses) = self.losses.rows();
        LogReport {
            requests: self.requests,
            other_lines: self.other_lines,
            unread: self.unread,
            unread_lines: self.unread_lines,
            services,
            losses,
            spells: self.spells.report(),
            calibration: self.calibration.rows(),
            moments: self.moments.rows(),
            versions: self.spread.versions(),
            leaving: self.spread.leaving(),
            old_views: self.old_views,
            deadly: self.deadly.rows(),
            left_alone: self.left_alone.rows(),
        }
    }
}

impl LogReport {
    /// Tables for people.
    pub fn as_text(&self) -> String {
        let (spells, leaving) = (&self.spells, &self.leaving);
        [
            format!("{} requests", self.requests),
            self.unread_text(),
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
            "seconds with the most losses:".to_string(),
            self.moment_table(),
            "configurations, from the first box that had one in force:".to_string(),
            self.version_table(),
            format!(
                "{} targets left: from the first box that knew to the last {} ms at the median, \
                 {} ms for {}",
                leaving.targets, leaving.median_ms, leaving.slowest_ms, leaving.slowest
            ),
            format!("{} requests on a view older than {OLD_VIEW_MS} ms", self.old_views),
            "requests under which targets ended, again and again:".to_string(),
            self.deadly_table(),
            "targets that were left alone, and the boxes that knew why:".to_string(),
            self.alone_table(),
        ]
        .join("\n\n")
    }

    fn unread_text(&self) -> String {
        let named = self.unread_lines.iter();
        let named = named.map(|line| format!("\n  {}: {}", line.place, line.reason));
        format!(
            "{} lines or parts of lines can't be read{}",
            self.unread,
            named.collect::<String>()
        )
    }

    fn moment_table(&self) -> String {
        let mut worst: Vec<&MomentRow> = self.moments.iter().filter(|row| row.lost > 0).collect();
        worst.sort_by_key(|row| std::cmp::Reverse(row.lost));
        let row = |row: &&MomentRow| {
            vec![
                row.second.to_string(),
                row.service.clone(),
                row.requests.to_string(),
                row.lost.to_string(),
                row.trials.to_string(),
                row.lost_trials.to_string(),
                row.targets.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = worst.iter().take(MOMENTS_SHOWN).map(row).collect();
        let headings =
            ["second", "service", "requests", "lost", "trials", "lost trials", "targets asked"];
        table(&headings, &rows)
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

    fn deadly_table(&self) -> String {
        let row = |row: &DeadlyRow| {
            vec![
                row.fingerprint.clone(),
                row.path.clone(),
                row.customer.clone(),
                row.targets.to_string(),
                row.tries.to_string(),
                row.refused.to_string(),
                row.boxes.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.deadly.iter().take(DEADLY_SHOWN).map(row).collect();
        let headings =
            ["fingerprint", "path", "customer", "targets ended", "tries", "refused", "boxes"];
        table(&headings, &rows)
    }

    fn alone_table(&self) -> String {
        let row = |row: &AloneRow| {
            let counts = [
                row.requests,
                row.leaves_at,
                row.rests,
                row.rests_at,
                row.replaced_at,
                row.left_at,
                row.withheld,
            ];
            let counts = counts.iter().map(usize::to_string);
            std::iter::once(row.target.clone()).chain(counts).collect()
        };
        let rows: Vec<Vec<String>> = self.left_alone.iter().take(ALONE_SHOWN).map(row).collect();
        let headings = [
            "target",
            "requests",
            "leaves, by",
            "rests",
            "by",
            "replaced, by",
            "left the list, by",
            "withheld",
        ];
        table(&headings, &rows)
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
