//! The report as tables for people.

use super::calibration::CalibrationRow;
use super::deadly::DeadlyRow;
use super::left_alone::AloneRow;
use super::limited::LimitedRow;
use super::losses::{LossRow, ServiceRow};
use super::moments::MomentRow;
use super::report::{LogReport, OLD_VIEW_MS};
use super::spread::VersionRow;
use crate::output::table;

/// Rows of losses that are shown to people; JSON has all.
const LOSSES_SHOWN: usize = 20;
/// Fewer requests say little of an estimate; such rows are left out for people.
const CALIBRATION_FROM: usize = 20;
/// Rows of seconds that are shown to people, those with the most losses; JSON has all.
const MOMENTS_SHOWN: usize = 12;
/// Requests under which targets ended that are shown to people; JSON has all.
const DEADLY_SHOWN: usize = 12;
/// Targets that were left alone that are shown to people; JSON has all.
const ALONE_SHOWN: usize = 20;
/// Targets with a limit that are shown to people; JSON has all.
const LIMITED_SHOWN: usize = 20;

impl LogReport {
    /// Tables for people.
    pub fn as_text(&self) -> String {
        let (episodes, leaving) = (&self.spells, &self.leaving);
        [
            format!("{} requests", self.requests),
            self.unread_text(),
            self.service_table(),
            "not served, the most frequent first:".to_string(),
            self.loss_table(),
            format!(
                "losses in {} spells of a target: {} first, {} on their way before that was known, \
                 {} sent later, {} later as trials",
                episodes.spells,
                episodes.first,
                episodes.on_the_way,
                episodes.later,
                episodes.trials
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
            "targets that named a limit, and what all boxes sent them in 4 s:".to_string(),
            self.limited_table(),
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

    fn limited_table(&self) -> String {
        let row = |row: &LimitedRow| {
            vec![
                row.target.clone(),
                row.per_second.to_string(),
                row.least_per_second.to_string(),
                row.boxes.to_string(),
                row.sends.to_string(),
                row.most.to_string(),
                format!("{:.1}", row.allowed),
                row.most_at_ms.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = self.limited.iter().take(LIMITED_SHOWN).map(row).collect();
        let headings = [
            "target",
            "a second",
            "least",
            "boxes that knew",
            "sends",
            "most in 4 s",
            "allowed",
            "until ms",
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
