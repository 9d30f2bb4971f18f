//! Where in a target's spell of failures requests were lost.

use std::collections::BTreeMap;

use serde::Serialize;

use super::request_line::{LineEnd, RequestLine};

/// Losses at one target that follow each other within this time belong to one spell, in
/// milliseconds. Source: shorter than the time after which a spell's target is tried again
/// and fails again.
const SPELL_GAP_MS: i64 = 4000;

/// Losses by where they fell in a spell.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SpellReport {
    /// Spells of one loss or more.
    pub spells: usize,
    /// The first loss of each.
    pub first: usize,
    /// Sent before the first had ended: nobody could know.
    pub on_the_way: usize,
    /// Sent later, by an ordinary choice.
    pub later: usize,
    /// Sent later, as a trial.
    pub trials: usize,
}

/// Losses by target.
#[derive(Debug, Default)]
pub(super) struct SpellCount {
    losses: BTreeMap<String, Vec<Loss>>,
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    started_ms: i64,
    ended_ms: i64,
    trial: bool,
}

impl SpellCount {
    pub(super) fn note(&mut self, line: &RequestLine) {
        if line.end != LineEnd::Failed || line.target.is_empty() {
            return;
        }
        let RequestLine { started_ms, ended_ms, trial, .. } = *line;
        let losses = self.losses.entry(line.target.clone()).or_default();
        losses.push(Loss { started_ms, ended_ms, trial });
    }

    pub(super) fn report(self) -> SpellReport {
        let mut report = SpellReport::default();
        for mut losses in self.losses.into_values() {
            losses.sort_by_key(|loss| loss.started_ms);
            add_target(&mut report, &losses);
        }
        report
    }
}

fn add_target(report: &mut SpellReport, losses: &[Loss]) {
    let mut known_ms = i64::MAX;
    let mut last_ms = None;
    for loss in losses {
        if last_ms.is_none_or(|last| loss.started_ms - last > SPELL_GAP_MS) {
            report.spells += 1;
            report.first += 1;
            known_ms = loss.ended_ms;
        } else if loss.started_ms < known_ms {
            report.on_the_way += 1;
            known_ms = known_ms.min(loss.ended_ms);
        } else if loss.trial {
            report.trials += 1;
        } else {
            report.later += 1;
        }
        last_ms = Some(loss.started_ms);
    }
}
