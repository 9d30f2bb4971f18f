//! Formatting of the report as text tables for operators.

use super::calibration::CalibrationRow;
use super::excluded_targets::ExcludedRow;
use super::limited_targets::LimitedRow;
use super::losses::{LossRow, ServiceRow};
use super::lost_paths::LostPathsRow;
use super::poison_requests::PoisonRow;
use super::propagation::VersionRow;
use super::report::{LogReport, OLD_VIEW_MS};
use super::retry_windows::{CentreRow, RetryWindowRow};
use super::seconds::SecondRow;
use crate::output::table;

/// Maximum number of rows in the table of boxes without paths. The JSON report has all rows.
const MAX_LOST_PATHS_ROWS: usize = 40;
/// Maximum number of rows in the table of losses. The JSON report has all rows.
const MAX_LOSS_ROWS: usize = 20;
/// Minimum number of requests of a row in the calibration table. Rows with fewer requests say little about the
/// quality of the prediction; only the JSON report has them.
const MIN_CALIBRATION_REQUESTS: usize = 20;
/// Maximum number of rows in the table of seconds, which shows those with the most losses. The JSON report has
/// all rows.
const MAX_SECOND_ROWS: usize = 12;
/// Maximum number of rows in the table of poison requests. The JSON report has all rows.
const MAX_POISON_ROWS: usize = 12;
/// Maximum number of rows in the table of excluded targets. The JSON report has all rows.
const MAX_EXCLUDED_ROWS: usize = 20;
/// Maximum number of rows in the table of targets with a limit. The JSON report has all rows.
const MAX_LIMITED_ROWS: usize = 20;

impl LogReport {
    /// Returns the report as text tables for operators.
    pub fn as_text(&self) -> String {
        let (episodes, unlisted) = (&self.episodes, &self.unlisted);
        [
            format!("{} requests", self.requests),
            self.unread_text(),
            self.service_table(),
            "requests that were not served, the most frequent first:".to_string(),
            self.loss_table(),
            format!(
                "losses in {} failure episodes of targets: {} first losses, {} sent before \
                 the first loss had ended, {} sent later, {} sent later as trials",
                episodes.episodes,
                episodes.first,
                episodes.in_flight,
                episodes.later,
                episodes.trials
            ),
            format!("failure probabilities, rows with {MIN_CALIBRATION_REQUESTS} or more requests:"),
            self.calibration_table(),
            "seconds with the most losses:".to_string(),
            self.second_table(),
            "configurations, with times after the first box that had one in force:".to_string(),
            self.version_table(),
            format!(
                "{} targets removed from the listing: from the first box to the last {} ms at the median, \
                 {} ms for {}",
                unlisted.targets, unlisted.median_ms, unlisted.slowest_ms, unlisted.slowest
            ),
            format!("{} requests decided on a view older than {OLD_VIEW_MS} ms", self.old_views),
            "requests under which targets ended repeatedly:".to_string(),
            self.poison_table(),
            "targets that were left alone, with the number of boxes by cause:".to_string(),
            self.excluded_table(),
            "targets that named a limit, with the requests of all boxes in 4 s:".to_string(),
            self.limited_table(),
            "boxes without paths to targets, and requests that others handled:".to_string(),
            self.lost_paths_table(),
            "the 10 s of each service with the most requests at a further target, by data centre:".to_string(),
            self.retry_windows_table(),
        ]
        .join("\n\n")
    }

    fn unread_text(&self) -> String {
        let listed = self.unread_lines.iter();
        let listed = listed.map(|line| format!("\n  {}: {}", line.place, line.reason));
        format!(
            "{} lines or parts of lines can't be decoded{}",
            self.unread,
            listed.collect::<String>()
        )
    }

    fn second_table(&self) -> String {
        let mut worst: Vec<&SecondRow> = self.seconds.iter().filter(|row| row.lost > 0).collect();
        worst.sort_by_key(|row| std::cmp::Reverse(row.lost));
        let row = |row: &&SecondRow| {
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
        let rows: Vec<Vec<String>> = worst.iter().take(MAX_SECOND_ROWS).map(row).collect();
        let headings =
            ["second", "service", "requests", "lost", "trials", "lost trials", "distinct targets"];
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
            "of these served",
            "to other data centres",
        ];
        table(&headings, &rows)
    }

    fn loss_table(&self) -> String {
        let row = |row: &LossRow| {
            vec![
                row.service.clone(),
                row.status.to_string(),
                row.attempts.to_string(),
                text_if(row.trial, "trial"),
                text_if(row.hedged, "second attempt"),
                row.requests.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.losses.iter().take(MAX_LOSS_ROWS).map(row).collect();
        table(&["service", "status", "attempts", "", "", "requests"], &rows)
    }

    fn poison_table(&self) -> String {
        let row = |row: &PoisonRow| {
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
        let rows: Vec<Vec<String>> =
            self.poison_requests.iter().take(MAX_POISON_ROWS).map(row).collect();
        let headings =
            ["fingerprint", "path", "customer", "targets ended", "tries", "refused", "boxes"];
        table(&headings, &rows)
    }

    fn excluded_table(&self) -> String {
        let row = |row: &ExcludedRow| {
            let counts = [
                row.requests,
                row.draining_boxes,
                row.backoffs,
                row.backoff_boxes,
                row.replaced_boxes,
                row.unlisted_boxes,
                row.withheld,
            ];
            let counts = counts.iter().map(usize::to_string);
            std::iter::once(row.target.clone()).chain(counts).collect()
        };
        let rows: Vec<Vec<String>> =
            self.excluded_targets.iter().take(MAX_EXCLUDED_ROWS).map(row).collect();
        let headings = [
            "target",
            "requests",
            "draining, boxes",
            "rests",
            "by",
            "replaced, boxes",
            "unlisted, boxes",
            "withheld",
        ];
        table(&headings, &rows)
    }

    fn limited_table(&self) -> String {
        let row = |row: &LimitedRow| {
            vec![
                row.target.clone(),
                row.per_second.to_string(),
                row.min_per_second.to_string(),
                row.boxes.to_string(),
                row.sends.to_string(),
                row.max_sends.to_string(),
                format!("{:.1}", row.allowed),
                row.max_at_ms.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> =
            self.limited_targets.iter().take(MAX_LIMITED_ROWS).map(row).collect();
        let headings = [
            "target",
            "per second",
            "least",
            "boxes informed",
            "sends",
            "max in 4 s",
            "allowed",
            "window end ms",
        ];
        table(&headings, &rows)
    }

    fn lost_paths_table(&self) -> String {
        let row = |row: &LostPathsRow| {
            vec![
                row.box_name.clone(),
                row.losses.to_string(),
                row.restored.to_string(),
                row.since_ms.to_string(),
                row.relayed.to_string(),
                row.handled.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> =
            self.lost_paths.iter().take(MAX_LOST_PATHS_ROWS).map(row).collect();
        let headings = ["box", "losses", "restored", "since ms", "relayed", "handled for others"];
        table(&headings, &rows)
    }

    fn retry_windows_table(&self) -> String {
        let row = |window: &RetryWindowRow, centre: &CentreRow| {
            vec![
                window.service.clone(),
                window.since_ms.to_string(),
                centre.data_centre.clone(),
                centre.requests.to_string(),
                centre.requests_before.to_string(),
                centre.further_sends.to_string(),
                window.further_sends.to_string(),
                window.allowed.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self
            .retry_windows
            .iter()
            .flat_map(|window| window.centres.iter().map(move |centre| row(window, centre)))
            .collect();
        let headings = [
            "service",
            "since ms",
            "data centre",
            "requests",
            "in the 10 s before",
            "further sends",
            "of all",
            "retries allowed in all",
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
                row.max_pending_ms.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.versions.iter().map(row).collect();
        let headings = [
            "version",
            "boxes",
            "from store",
            "median ms",
            "last ms",
            "last box",
            "max pending ms",
        ];
        table(&headings, &rows)
    }

    fn calibration_table(&self) -> String {
        let row = |row: &CalibrationRow| {
            vec![
                row.service.clone(),
                text_if(row.trial, "trial"),
                row.requests.to_string(),
                format!("{:.3}", row.predicted),
                format!("{:.3}", row.failed),
            ]
        };
        let shown = self.calibration.iter().filter(|row| row.requests >= MIN_CALIBRATION_REQUESTS);
        let rows: Vec<Vec<String>> = shown.map(row).collect();
        table(&["service", "", "requests", "predicted to fail", "failed"], &rows)
    }
}

fn share(part: usize, total: usize) -> String {
    if total == 0 { "-".to_string() } else { format!("{:.3}", part as f64 / total as f64) }
}

fn text_if(condition: bool, text: &str) -> String {
    if condition { text.to_string() } else { String::new() }
}
