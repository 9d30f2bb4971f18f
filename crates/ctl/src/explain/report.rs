//! The report, built from the log lines of many boxes.

use std::collections::HashMap;
use std::io::BufRead;

use eyre::WrapErr;
use serde::Serialize;

use super::calibration::{Calibration, CalibrationRow};
use super::episodes::{EpisodeLosses, EpisodeReport};
use super::excluded_targets::{ExcludedRow, ExclusionCause, ExclusionCounts, ExclusionLine};
use super::limited_targets::{LimitCounts, LimitedRow};
use super::log_line::{BoxLine, LogEvent, decode};
use super::log_objects::{LogObject, log_objects};
use super::losses::{LossCounts, LossRow, ServiceRow};
use super::lost_paths::{LostPathsCounts, LostPathsRow, PathEvent};
use super::poison_requests::{PoisonCounts, PoisonRow};
use super::propagation::{PropagationTimes, UnlistedReport, VersionRow};
use super::retry_windows::{RetryWindowRow, RetryWindows};
use super::seconds::{SecondCounts, SecondRow};

/// Maximum number of unreadable lines that the report lists. All of them are counted.
const MAX_UNREAD_LINES: usize = 8;
/// Age of a view above which its requests are counted as decided on an old view. Views that grow much older
/// exceed the time within which a change has to reach all boxes.
pub(super) const OLD_VIEW_MS: u64 = 1500;

/// The report on the log lines of all boxes.
#[derive(Debug, Serialize)]
pub struct LogReport {
    /// Number of requests for a service.
    pub requests: usize,
    /// Number of lines without JSON, which were skipped.
    pub other_lines: usize,
    /// Number of JSON objects that can't be decoded and were skipped. Most of them are truncated.
    pub unread: usize,
    /// The first objects that can't be decoded.
    pub unread_lines: Vec<UnreadLine>,
    /// Outcomes of the requests, by service.
    pub services: Vec<ServiceRow>,
    /// Requests that were not served, by outcome.
    pub losses: Vec<LossRow>,
    /// Lost requests by their position in a failure episode.
    #[serde(rename = "spells")]
    pub episodes: EpisodeReport,
    /// Predicted failure probabilities, compared with the shares of requests that failed.
    pub calibration: Vec<CalibrationRow>,
    /// Requests of each service in each second.
    #[serde(rename = "moments")]
    pub seconds: Vec<SecondRow>,
    /// Propagation of each version of the configuration through the boxes.
    pub versions: Vec<VersionRow>,
    /// Propagation of the removals of targets through the boxes.
    #[serde(rename = "leaving")]
    pub unlisted: UnlistedReport,
    /// Number of requests that were decided on a view older than 1.5 s.
    pub old_views: usize,
    /// Requests under which targets ended.
    #[serde(rename = "deadly")]
    pub poison_requests: Vec<PoisonRow>,
    /// Targets that were excluded for some of the time, with the causes.
    #[serde(rename = "left_alone")]
    pub excluded_targets: Vec<ExcludedRow>,
    /// Targets that had a limit for some of the time, with the requests that they received.
    #[serde(rename = "limited")]
    pub limited_targets: Vec<LimitedRow>,
    /// Boxes that had lost their paths to the targets, and those that handled requests for them.
    pub lost_paths: Vec<LostPathsRow>,
    /// The window of each service in which the most requests reached a further target.
    pub retry_windows: Vec<RetryWindowRow>,
}

/// A JSON object of a log that can't be decoded.
#[derive(Debug, Clone, Serialize)]
pub struct UnreadLine {
    /// File and number of the line.
    pub place: String,
    /// Reason why the object can't be decoded.
    pub reason: String,
}

/// Builds the report from the lines of all `readers`, each of which has a name.
///
/// # Errors
/// Fails if a reader fails; the error has its name and the number of the line. A line that can't be decoded is
/// not an error: collected logs have truncated lines, and the remaining lines are still useful.
pub fn explain_lines(readers: Vec<(String, Box<dyn BufRead>)>) -> eyre::Result<LogReport> {
    let mut builder = ReportBuilder::default();
    for (name, reader) in readers {
        for (number, line) in reader.lines().enumerate() {
            let place = || format!("{name}, line {}", number + 1);
            let line = line.wrap_err_with(place)?;
            builder.add_line(&name, number + 1, &line);
        }
    }
    Ok(builder.report())
}

/// Accumulates the log lines of all boxes.
#[derive(Default)]
struct ReportBuilder {
    requests: usize,
    other_lines: usize,
    unread: usize,
    unread_lines: Vec<UnreadLine>,
    /// Data centre of each box, by the name of the box or, if its lines don't have one, of its log.
    data_centres: HashMap<String, String>,
    losses: LossCounts,
    episodes: EpisodeLosses,
    calibration: Calibration,
    seconds: SecondCounts,
    propagation: PropagationTimes,
    old_views: usize,
    poison_requests: PoisonCounts,
    excluded_targets: ExclusionCounts,
    limited_targets: LimitCounts,
    lost_paths: LostPathsCounts,
    retry_windows: RetryWindows,
}

impl ReportBuilder {
    fn add_line(&mut self, name: &str, number: usize, line: &str) {
        let objects = log_objects(line);
        self.other_lines += usize::from(objects.is_empty());
        for object in &objects {
            let Err(error) = self.add_object(name, object) else { continue };
            self.unread += 1;
            if self.unread_lines.len() < MAX_UNREAD_LINES {
                let place = format!("{name}, line {number}");
                self.unread_lines.push(UnreadLine { place, reason: format!("{error:#}") });
            }
        }
    }

    fn add_object(&mut self, name: &str, object: &LogObject<'_>) -> eyre::Result<()> {
        let BoxLine { box_name, event } = decode(object.text)?;
        // The box name in the line takes precedence over the collector's prefix and the name of the log.
        let logged_name = Some(box_name.as_str()).filter(|box_name| !box_name.is_empty());
        let box_name = logged_name.or(object.prefix).unwrap_or(name);
        match event {
            LogEvent::Request(line) if !line.service.is_empty() => {
                let data_centre = self.data_centres.get(box_name).map(String::as_str);
                self.requests += 1;
                self.old_views += usize::from(line.view_age_ms > OLD_VIEW_MS);
                self.losses.record(&line, data_centre);
                self.episodes.record(&line);
                self.calibration.record(&line);
                self.seconds.record(&line);
                self.retry_windows.record_request(&line, data_centre);
                self.poison_requests.record_request(box_name, &line);
                self.excluded_targets.record_request(&line);
                if line.relayed {
                    self.lost_paths.record(box_name, line.ended_ms, PathEvent::RelayedTo);
                }
            }
            LogEvent::Ended(line) => self.poison_requests.record_ended(line),
            LogEvent::Started(data_centre) => {
                self.data_centres.insert(box_name.to_string(), data_centre);
            }
            LogEvent::InForce(line) => self.propagation.record_in_force(box_name, line),
            LogEvent::Unlisted(line) => {
                let (target, at_ms) = (line.target.clone(), line.at_ms);
                let exclusion = ExclusionLine { target, at_ms, cause: ExclusionCause::Unlisted };
                self.excluded_targets.record(box_name, &exclusion);
                self.propagation.record_unlisted(line);
            }
            LogEvent::Excluded(line) => self.excluded_targets.record(box_name, &line),
            LogEvent::Limit(line) => self.limited_targets.record(box_name, &line),
            LogEvent::Retries(line) => self.retry_windows.record_retries(&line),
            LogEvent::Paths { at_ms, event } => self.lost_paths.record(box_name, at_ms, event),
            LogEvent::Request(_) | LogEvent::Other => {}
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
            episodes: self.episodes.report(),
            calibration: self.calibration.rows(),
            seconds: self.seconds.rows(),
            versions: self.propagation.versions(),
            unlisted: self.propagation.unlisted(),
            old_views: self.old_views,
            poison_requests: self.poison_requests.rows(),
            excluded_targets: self.excluded_targets.rows(),
            limited_targets: self.limited_targets.rows(),
            lost_paths: self.lost_paths.rows(),
            retry_windows: self.retry_windows.rows(),
        }
    }
}
