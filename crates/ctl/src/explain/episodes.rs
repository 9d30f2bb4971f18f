//! Lost requests by their position in a failure episode of their target.

use std::collections::BTreeMap;

use serde::Serialize;

use super::log_line::{RequestEnd, RequestLine};

/// Maximum time between losses at one target that belong to the same episode, in milliseconds. It is
/// shorter than the time after which the target is tried again and fails again.
const EPISODE_GAP_MS: i64 = 4000;

/// Counts of lost requests by their position in a failure episode.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EpisodeReport {
    /// Number of episodes, of one loss or more.
    #[serde(rename = "spells")]
    pub episodes: usize,
    /// Number of first losses of an episode.
    pub first: usize,
    /// Number of requests that were sent before the first loss had ended, so the box could not
    /// take that loss into account.
    #[serde(rename = "on_the_way")]
    pub in_flight: usize,
    /// Number of requests that were sent later, by an ordinary choice.
    pub later: usize,
    /// Number of requests that were sent later, as a trial.
    pub trials: usize,
}

/// Collects the lost requests of each target.
#[derive(Debug, Default)]
pub(super) struct EpisodeLosses {
    losses: BTreeMap<String, Vec<Loss>>,
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    started_ms: i64,
    ended_ms: i64,
    trial: bool,
}

impl EpisodeLosses {
    pub(super) fn record(&mut self, line: &RequestLine) {
        if line.end != RequestEnd::Failed || line.target.is_empty() {
            return;
        }
        let RequestLine { started_ms, ended_ms, trial, .. } = *line;
        let losses = self.losses.entry(line.target.clone()).or_default();
        losses.push(Loss { started_ms, ended_ms, trial });
    }

    pub(super) fn report(self) -> EpisodeReport {
        let mut report = EpisodeReport::default();
        for mut losses in self.losses.into_values() {
            losses.sort_by_key(|loss| loss.started_ms);
            add_target(&mut report, &losses);
        }
        report
    }
}

fn add_target(report: &mut EpisodeReport, losses: &[Loss]) {
    let mut first_ended_ms = i64::MAX;
    let mut last_ms = None;
    for loss in losses {
        if last_ms.is_none_or(|last| loss.started_ms - last > EPISODE_GAP_MS) {
            report.episodes += 1;
            report.first += 1;
            first_ended_ms = loss.ended_ms;
        } else if loss.started_ms < first_ended_ms {
            report.in_flight += 1;
            first_ended_ms = first_ended_ms.min(loss.ended_ms);
        } else if loss.trial {
            report.trials += 1;
        } else {
            report.later += 1;
        }
        last_ms = Some(loss.started_ms);
    }
}
