//! The whole report, from the lines of many boxes.

use std::collections::HashMap;
use std::io::BufRead;

use eyre::WrapErr;
use serde::Serialize;

use super::calibration::{Calibration, CalibrationRow};
use super::deadly::{DeadlyCount, DeadlyRow};
use super::episodes::{EpisodeCount, EpisodeReport};
use super::left_alone::{AloneCause, AloneCount, AloneLine, AloneRow};
use super::limited::{LimitedCount, LimitedRow};
use super::log_objects::{LogObject, log_objects};
use super::losses::{LossCount, LossRow, ServiceRow};
use super::moments::{MomentCount, MomentRow};
use super::request_line::{BoxLine, LogLine, decode};
use super::spread::{LeavingReport, SpreadCount, VersionRow};

/// Lines that can't be read and are named; all are counted.
const UNREAD_NAMED: usize = 8;
/// A view that is older than this is on the way to be older than a change may take.
pub(super) const OLD_VIEW_MS: u64 = 1500;

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
    /// Where in failure episodes they were lost.
    pub spells: EpisodeReport,
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
    /// Targets that had a limit for some of the time, and what they got.
    pub limited: Vec<LimitedRow>,
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
    episodes: EpisodeCount,
    calibration: Calibration,
    moments: MomentCount,
    spread: SpreadCount,
    old_views: usize,
    deadly: DeadlyCount,
    left_alone: AloneCount,
    limited: LimitedCount,
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
                self.episodes.note(&line);
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
            LogLine::Limited(line) => self.limited.note(box_name, &line),
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
            spells: self.episodes.report(),
            calibration: self.calibration.rows(),
            moments: self.moments.rows(),
            versions: self.spread.versions(),
            leaving: self.spread.leaving(),
            old_views: self.old_views,
            deadly: self.deadly.rows(),
            left_alone: self.left_alone.rows(),
            limited: self.limited.rows(),
        }
    }
}
