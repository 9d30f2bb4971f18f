//! The detector's state of one target: sums of evidence by data centre, conviction and trial.

use std::time::Duration;

use crate::detector::WindowContext;
use crate::detector::counts::{DecayingCounts, OutcomeCounts};
use crate::detector::hypotheses::{FAILURE_MODES, FailureMode, HYPOTHESES, LogLikelihoodRatios};
use crate::flaps::FlapCount;
use crate::messages::VerdictScope;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Maximum age of evidence from other data centres. It is short because a data centre sends no more requests to a
/// target, and so no evidence, once it has ejected the target.
const MAX_REMOTE_AGE: Duration = Duration::from_secs(2);
/// Maximum age of errors observed by other data centres. It is longer than [`MAX_REMOTE_AGE`], with a lower weight
/// ([`MAX_STALE_FACTOR`]), because one data centre can find a rare fault seconds before the next, and the data
/// centres should not eject the target one after the other.
const MAX_REMOTE_ERROR_AGE: Duration = Duration::from_secs(10);
/// Maximum `remote_factor` of a hypothesis for evidence that is older than [`MAX_REMOTE_AGE`].
const MAX_STALE_FACTOR: f32 = 3.0;
/// Time without local evidence about a target after which the evidence of other data centres counts without the
/// bound by the local sum.
const MAX_LOCAL_AGE: Duration = Duration::from_secs(5);
/// Minimum number of attempts that acquit a target on trial if none was bad.
const MIN_CLEAN_ATTEMPTS: f32 = 10.0;
/// Half-life of the counts for the current rates of siblings.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the counts for the long-term rates of siblings.
const LONG_HALF_LIFE: Duration = Duration::from_secs(60);

/// A box that sends evidence, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SourceRef {
    pub(super) number: u32,
    /// Index of the data centre; 0 is the detector's own.
    pub(super) data_centre: usize,
}

/// Evidence of other data centres against a target, for one hypothesis.
struct RemoteSum {
    sum: f32,
    /// Whether all of the evidence is at most [`MAX_REMOTE_AGE`] old.
    fresh: bool,
}

/// The hypothesis with the highest score for a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Finding {
    pub(super) score: f32,
    pub(super) scope: VerdictScope,
    pub(super) mode: FailureMode,
}

/// A target and the evidence about it.
#[derive(Debug)]
pub(super) struct MonitoredTarget {
    pub(super) key: TargetKey,
    /// Outcomes of the current window, by box.
    pub(super) windows: Vec<SourceWindow>,
    pub(super) recent: DecayingCounts,
    pub(super) long: DecayingCounts,
    /// Outcomes of the span in which dispersion is being measured.
    pub(super) span: OutcomeCounts,
    pub(super) sums_by_data_centre: Vec<DataCentreSums>,
    /// Time when the last good answer to a box of this data centre was recorded.
    pub(super) last_good: TimePoint,
    pub(super) load: f32,
    pub(super) load_at: TimePoint,
    /// The conviction in force, until an acquittal.
    pub(super) conviction: Option<Conviction>,
    pub(super) flaps: FlapCount,
    /// Outcomes of the trial, which begins when the back-off ends.
    pub(super) trial: OutcomeCounts,
}

/// A conviction in force.
#[derive(Debug)]
pub(super) struct Conviction {
    pub(super) since: TimePoint,
    /// End of the back-off; earlier samples are ignored.
    pub(super) trial_from: TimePoint,
    pub(super) finding: Finding,
}

/// Outcomes that one box observed in the current window.
#[derive(Debug)]
pub(super) struct SourceWindow {
    pub(super) source: SourceRef,
    pub(super) counts: OutcomeCounts,
}

/// The cumulative sums over the evidence of one data centre, by hypothesis.
#[derive(Debug)]
pub(super) struct DataCentreSums {
    pub(super) data_centre: usize,
    pub(super) sums: [f32; HYPOTHESES.len()],
    /// Contribution of each box, by its number, since the sum was last zero.
    pub(super) shares: Vec<(u32, [f32; HYPOTHESES.len()])>,
    /// Time of the last evidence.
    pub(super) last_seen: TimePoint,
}

impl MonitoredTarget {
    pub(super) fn new(key: TargetKey) -> MonitoredTarget {
        MonitoredTarget {
            key,
            windows: Vec::new(),
            recent: DecayingCounts::new(RECENT_HALF_LIFE),
            long: DecayingCounts::new(LONG_HALF_LIFE),
            span: OutcomeCounts::default(),
            sums_by_data_centre: Vec::new(),
            last_good: TimePoint::default(),
            load: 0.0,
            load_at: TimePoint::default(),
            conviction: None,
            flaps: FlapCount::default(),
            trial: OutcomeCounts::default(),
        }
    }

    /// Records a reported load; 0 stands for none.
    pub(super) fn record_load(&mut self, now: TimePoint, load: f32) {
        if load > 0.0 {
            self.load = load;
            self.load_at = now;
        }
    }

    /// Returns the outcomes of `source` in the current window, added if missing.
    pub(super) fn window_for(&mut self, source: SourceRef) -> &mut SourceWindow {
        let known = self.windows.iter().position(|window| window.source == source);
        let index = known.unwrap_or_else(|| {
            self.windows.push(SourceWindow { source, counts: OutcomeCounts::default() });
            self.windows.len() - 1
        });
        &mut self.windows[index]
    }

    /// Returns the outcomes of all boxes in the current window.
    pub(super) fn window_total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for window in &self.windows {
            total.add(&window.counts);
        }
        total
    }

    /// Adds the window's outcomes to the sums, within the bounds for one box and for one window, and clears the
    /// window.
    pub(super) fn update_sums(
        &mut self,
        context: &WindowContext,
        threshold: f32,
        baseline: &[f32; FAILURE_MODES],
        factors: &[f32; FAILURE_MODES],
    ) {
        let ratios: [Option<LogLikelihoodRatios>; HYPOTHESES.len()] =
            std::array::from_fn(|number| {
                LogLikelihoodRatios::of(&HYPOTHESES[number], baseline, factors)
            });
        let before: Vec<(usize, [f32; HYPOTHESES.len()])> =
            self.sums_by_data_centre.iter().map(|entry| (entry.data_centre, entry.sums)).collect();
        let max_contribution = context.max_source_contribution(threshold);
        for window in std::mem::take(&mut self.windows) {
            if self.conviction.is_some() {
                self.trial.add(&window.counts);
            }
            let entry = sums_of(&mut self.sums_by_data_centre, window.source.data_centre);
            entry.last_seen = context.now;
            entry.add(window.source.number, &window.counts, &ratios, max_contribution);
        }
        for entry in &mut self.sums_by_data_centre {
            let earlier = before.iter().find(|(centre, _)| *centre == entry.data_centre);
            let earlier = earlier.map_or([0.0; HYPOTHESES.len()], |(_, sums)| *sums);
            for (number, hypothesis) in HYPOTHESES.iter().enumerate() {
                let max_sum = earlier[number] + threshold * hypothesis.window_share;
                entry.sums[number] = entry.sums[number].min(max_sum);
            }
        }
    }

    /// Returns the hypothesis with the highest score from the detector's data centre, and the scope to which it
    /// applies.
    pub(super) fn score(&self, now: TimePoint, threshold: f32) -> Finding {
        let local = self.sums_by_data_centre.iter().find(|entry| entry.data_centre == 0);
        let no_local_evidence =
            local.is_none_or(|entry| now.since(entry.last_seen) > MAX_LOCAL_AGE);
        let mut best =
            Finding { score: 0.0, scope: VerdictScope::Target, mode: FailureMode::Error };
        for (number, hypothesis) in HYPOTHESES.iter().enumerate() {
            let local_sum = local.map_or(0.0, |entry| entry.sums[number]);
            let remote = self.remote_sum(now, number, threshold);
            let factor = match remote.fresh {
                true => hypothesis.remote_factor,
                false => hypothesis.remote_factor.min(MAX_STALE_FACTOR),
            };
            let remote = remote.sum;
            let max_remote = if no_local_evidence { f32::INFINITY } else { local_sum * factor };
            let score = local_sum + remote.min(max_remote);
            if score > best.score {
                let shared = self.sums_by_data_centre.len() == 1 || remote >= local_sum / 4.0;
                let scope = if shared { VerdictScope::Target } else { VerdictScope::DataCentre };
                best = Finding { score, scope, mode: hypothesis.mode };
            }
        }
        best
    }

    /// Returns the evidence of other data centres for the hypothesis `number`.
    fn remote_sum(&self, now: TimePoint, number: usize, threshold: f32) -> RemoteSum {
        let max_age = match HYPOTHESES[number].mode {
            FailureMode::Error => MAX_REMOTE_ERROR_AGE,
            _ => MAX_REMOTE_AGE,
        };
        let mut remote = RemoteSum { sum: 0.0, fresh: true };
        for entry in self.sums_by_data_centre.iter().filter(|entry| entry.data_centre != 0) {
            let age = now.since(entry.last_seen);
            if age <= max_age && entry.sums[number] > 0.0 {
                remote.sum += entry.sums[number].min(threshold);
                remote.fresh &= age <= MAX_REMOTE_AGE;
            }
        }
        remote
    }

    /// Records a conviction and clears the evidence that led to it.
    pub(super) fn convict(
        &mut self,
        now: TimePoint,
        finding: Finding,
        backoff: Duration,
        backoff_max: Duration,
    ) {
        self.flaps.record(now, 0);
        let wait = self.flaps.backoff(backoff, backoff_max);
        self.conviction = Some(Conviction { since: now, trial_from: now + wait, finding });
        self.sums_by_data_centre.clear();
        self.trial = OutcomeCounts::default();
        self.recent = DecayingCounts::new(RECENT_HALF_LIFE);
        self.long = DecayingCounts::new(LONG_HALF_LIFE);
    }

    /// Returns whether the outcomes of the trial suffice for an acquittal: a few attempts that are all
    /// good, or four times as many at no more than the baseline rates plus 2 percentage points.
    pub(super) fn trial_succeeded(&self, baseline: &[f32; FAILURE_MODES]) -> bool {
        const TESTED: [FailureMode; 3] =
            [FailureMode::Error, FailureMode::Overdue, FailureMode::VerySlow];
        let OutcomeCounts { count, bad } = &self.trial;
        let attempts = count[FailureMode::Error as usize].max(count[FailureMode::Overdue as usize]);
        let clean = bad[FailureMode::Error as usize] + bad[FailureMode::Overdue as usize] < 0.5
            && bad[FailureMode::VerySlow as usize] < 2.5;
        let fair = TESTED.iter().all(|mode| {
            let mode = *mode as usize;
            bad[mode] <= count[mode] * (baseline[mode] + 0.02)
        });
        (attempts >= MIN_CLEAN_ATTEMPTS && clean) || (attempts >= 4.0 * MIN_CLEAN_ATTEMPTS && fair)
    }
}

/// Returns the sums of `data_centre`, added if missing.
pub(super) fn sums_of(
    sums_by_data_centre: &mut Vec<DataCentreSums>,
    data_centre: usize,
) -> &mut DataCentreSums {
    let known = sums_by_data_centre.iter().position(|entry| entry.data_centre == data_centre);
    let index = known.unwrap_or_else(|| {
        sums_by_data_centre.push(DataCentreSums {
            data_centre,
            sums: [0.0; HYPOTHESES.len()],
            shares: Vec::new(),
            last_seen: TimePoint::default(),
        });
        sums_by_data_centre.len() - 1
    });
    &mut sums_by_data_centre[index]
}

impl DataCentreSums {
    /// Adds the outcomes of the box `source`, whose contribution to each sum is bounded by `max_contribution`.
    pub(super) fn add(
        &mut self,
        source: u32,
        counts: &OutcomeCounts,
        ratios: &[Option<LogLikelihoodRatios>; HYPOTHESES.len()],
        max_contribution: f32,
    ) {
        let known = self.shares.iter().position(|(number, _)| *number == source);
        let index = known.unwrap_or_else(|| {
            self.shares.push((source, [0.0; HYPOTHESES.len()]));
            self.shares.len() - 1
        });
        for (number, ratio) in ratios.iter().enumerate() {
            let Some(ratio) = ratio else {
                self.sums[number] = 0.0;
                continue;
            };
            let mode = HYPOTHESES[number].mode as usize;
            let bad = counts.bad[mode];
            let change = bad * ratio.bad + (counts.count[mode] - bad) * ratio.good;
            let share = &mut self.shares[index].1[number];
            let allowed = change.min(max_contribution - *share);
            *share = (*share + allowed).max(0.0);
            self.sums[number] = (self.sums[number] + allowed).max(0.0);
        }
        self.reset_spent_shares();
    }

    /// Resets the boxes' contributions to the sums that are back at zero, so that they no longer count towards the
    /// maximum.
    pub(super) fn reset_spent_shares(&mut self) {
        for number in 0..HYPOTHESES.len() {
            if self.sums[number] == 0.0 {
                self.shares.iter_mut().for_each(|(_, shares)| shares[number] = 0.0);
            }
        }
        if self.sums.iter().all(|sum| *sum == 0.0) {
            self.shares.clear();
        }
    }
}
