//! One target before its judge: sums for each data centre, trial and conviction.

use std::time::Duration;

use crate::detector::WindowContext;
use crate::detector::counts::{DecayingCounts, OutcomeCounts};
use crate::detector::hypotheses::{FAILURE_MODES, FailureMode, HYPOTHESES, LogLikelihoodRatios};
use crate::flaps::FlapCount;
use crate::messages::VerdictScope;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// What other data centres saw counts for so long; they stop asking once they eject.
const REMOTE_FRESH: Duration = Duration::from_secs(2);
/// Errors that they saw count for longer, and less: a fault that shows seldom is found
/// by one centre seconds before the next, and must not be ejected in turns.
const ERRORS_COUNT: Duration = Duration::from_secs(10);
const STALE_FACTOR: f32 = 3.0;
/// A data centre that saw nothing of a target for so long relies on the others.
const OWN_SILENCE: Duration = Duration::from_secs(5);
/// Attempts that acquit a target on trial if none was bad.
const ACQUIT_CLEAN: f32 = 10.0;
/// How long the rates of siblings are remembered, for what goes on just now.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long they are remembered for what is baseline.
const LONG_HALF_LIFE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SourceRef {
    pub(super) number: u32,
    /// Index of the data centre; 0 is this judge's own.
    pub(super) data_centre: usize,
}

/// What other data centres hold against a target.
struct RemoteSum {
    sum: f32,
    /// Whether all of it was seen just now.
    fresh: bool,
}

/// What a target is found to be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Finding {
    pub(super) score: f32,
    pub(super) scope: VerdictScope,
    pub(super) mode: FailureMode,
}

#[derive(Debug)]
pub(super) struct MonitoredTarget {
    pub(super) key: TargetKey,
    pub(super) windows: Vec<SourceWindow>,
    pub(super) recent: DecayingCounts,
    pub(super) long: DecayingCounts,
    pub(super) span: OutcomeCounts,
    pub(super) pools: Vec<DataCentreSums>,
    /// When its last good answer to this data centre came to notice.
    pub(super) last_good: TimePoint,
    pub(super) load: f32,
    pub(super) load_at: TimePoint,
    pub(super) conviction: Option<Conviction>,
    pub(super) flaps: FlapCount,
    pub(super) trial: OutcomeCounts,
}

#[derive(Debug)]
pub(super) struct Conviction {
    pub(super) since: TimePoint,
    pub(super) trial_from: TimePoint,
    pub(super) finding: Finding,
}

/// What one source saw in this window.
#[derive(Debug)]
pub(super) struct SourceWindow {
    pub(super) source: SourceRef,
    pub(super) counts: OutcomeCounts,
}

/// The sums over the evidence of one data centre.
#[derive(Debug)]
pub(super) struct DataCentreSums {
    pub(super) data_centre: usize,
    pub(super) sums: [f32; HYPOTHESES.len()],
    /// What each source has added since the sum was last zero.
    pub(super) shares: Vec<(u32, [f32; HYPOTHESES.len()])>,
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
            pools: Vec::new(),
            last_good: TimePoint::default(),
            load: 0.0,
            load_at: TimePoint::default(),
            conviction: None,
            flaps: FlapCount::default(),
            trial: OutcomeCounts::default(),
        }
    }

    pub(super) fn record_load(&mut self, now: TimePoint, load: f32) {
        if load > 0.0 {
            self.load = load;
            self.load_at = now;
        }
    }

    pub(super) fn window_for(&mut self, source: SourceRef) -> &mut SourceWindow {
        let known = self.windows.iter().position(|window| window.source == source);
        let index = known.unwrap_or_else(|| {
            self.windows.push(SourceWindow { source, counts: OutcomeCounts::default() });
            self.windows.len() - 1
        });
        &mut self.windows[index]
    }

    pub(super) fn window_total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for window in &self.windows {
            total.add(&window.counts);
        }
        total
    }

    pub(super) fn update_sums(
        &mut self,
        context: &WindowContext,
        threshold: f32,
        baseline: &[f32; FAILURE_MODES],
        factors: &[f32; FAILURE_MODES],
    ) {
        let steps: [Option<LogLikelihoodRatios>; HYPOTHESES.len()] =
            std::array::from_fn(|number| {
                LogLikelihoodRatios::of(&HYPOTHESES[number], baseline, factors)
            });
        let before: Vec<(usize, [f32; HYPOTHESES.len()])> =
            self.pools.iter().map(|pool| (pool.data_centre, pool.sums)).collect();
        let max_contribution = context.max_source_contribution(threshold);
        for window in std::mem::take(&mut self.windows) {
            if self.conviction.is_some() {
                self.trial.add(&window.counts);
            }
            let pool = sums_of(&mut self.pools, window.source.data_centre);
            pool.last_seen = context.now;
            pool.add(window.source.number, &window.counts, &steps, max_contribution);
        }
        for pool in &mut self.pools {
            let earlier = before.iter().find(|(centre, _)| *centre == pool.data_centre);
            let earlier = earlier.map_or([0.0; HYPOTHESES.len()], |(_, sums)| *sums);
            for (number, hypothesis) in HYPOTHESES.iter().enumerate() {
                let most = earlier[number] + threshold * hypothesis.window_share;
                pool.sums[number] = pool.sums[number].min(most);
            }
        }
    }

    /// The highest sum that counts for this judge's data centre, and for whom.
    pub(super) fn score(&self, now: TimePoint, threshold: f32) -> Finding {
        let own = self.pools.iter().find(|pool| pool.data_centre == 0);
        let silent = own.is_none_or(|pool| now.since(pool.last_seen) > OWN_SILENCE);
        let mut best =
            Finding { score: 0.0, scope: VerdictScope::Target, mode: FailureMode::Error };
        for (number, hypothesis) in HYPOTHESES.iter().enumerate() {
            let own_sum = own.map_or(0.0, |pool| pool.sums[number]);
            let remote = self.remote_sum(now, number, threshold);
            let factor = match remote.fresh {
                true => hypothesis.remote_factor,
                false => hypothesis.remote_factor.min(STALE_FACTOR),
            };
            let remote = remote.sum;
            let most = if silent { f32::INFINITY } else { own_sum * factor };
            let score = own_sum + remote.min(most);
            if score > best.score {
                let shared = self.pools.len() == 1 || remote >= own_sum / 4.0;
                let scope = if shared { VerdictScope::Target } else { VerdictScope::DataCentre };
                best = Finding { score, scope, mode: hypothesis.mode };
            }
        }
        best
    }

    /// What other data centres hold against the target by one hypothesis.
    fn remote_sum(&self, now: TimePoint, number: usize, threshold: f32) -> RemoteSum {
        let counts = match HYPOTHESES[number].mode {
            FailureMode::Error => ERRORS_COUNT,
            _ => REMOTE_FRESH,
        };
        let mut remote = RemoteSum { sum: 0.0, fresh: true };
        for pool in self.pools.iter().filter(|pool| pool.data_centre != 0) {
            let age = now.since(pool.last_seen);
            if age <= counts && pool.sums[number] > 0.0 {
                remote.sum += pool.sums[number].min(threshold);
                remote.fresh &= age <= REMOTE_FRESH;
            }
        }
        remote
    }

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
        self.pools.clear();
        self.trial = OutcomeCounts::default();
        self.recent = DecayingCounts::new(RECENT_HALF_LIFE);
        self.long = DecayingCounts::new(LONG_HALF_LIFE);
    }

    pub(super) fn trial_succeeded(&self, baseline: &[f32; FAILURE_MODES]) -> bool {
        const JUDGED: [FailureMode; 3] =
            [FailureMode::Error, FailureMode::Overdue, FailureMode::VerySlow];
        let OutcomeCounts { count, bad } = &self.trial;
        let seen = count[FailureMode::Error as usize].max(count[FailureMode::Overdue as usize]);
        let clean = bad[FailureMode::Error as usize] + bad[FailureMode::Overdue as usize] < 0.5
            && bad[FailureMode::VerySlow as usize] < 2.5;
        let fair = JUDGED.iter().all(|mode| {
            let mode = *mode as usize;
            bad[mode] <= count[mode] * (baseline[mode] + 0.02)
        });
        (seen >= ACQUIT_CLEAN && clean) || (seen >= 4.0 * ACQUIT_CLEAN && fair)
    }
}

pub(super) fn sums_of(pools: &mut Vec<DataCentreSums>, data_centre: usize) -> &mut DataCentreSums {
    let known = pools.iter().position(|pool| pool.data_centre == data_centre);
    let index = known.unwrap_or_else(|| {
        pools.push(DataCentreSums {
            data_centre,
            sums: [0.0; HYPOTHESES.len()],
            shares: Vec::new(),
            last_seen: TimePoint::default(),
        });
        pools.len() - 1
    });
    &mut pools[index]
}

impl DataCentreSums {
    pub(super) fn add(
        &mut self,
        source: u32,
        counts: &OutcomeCounts,
        steps: &[Option<LogLikelihoodRatios>; HYPOTHESES.len()],
        max_contribution: f32,
    ) {
        let known = self.shares.iter().position(|(number, _)| *number == source);
        let index = known.unwrap_or_else(|| {
            self.shares.push((source, [0.0; HYPOTHESES.len()]));
            self.shares.len() - 1
        });
        for (number, step) in steps.iter().enumerate() {
            let Some(step) = step else {
                self.sums[number] = 0.0;
                continue;
            };
            let mode = HYPOTHESES[number].mode as usize;
            let bad = counts.bad[mode];
            let change = bad * step.bad + (counts.count[mode] - bad) * step.good;
            let share = &mut self.shares[index].1[number];
            let allowed = change.min(max_contribution - *share);
            *share = (*share + allowed).max(0.0);
            self.sums[number] = (self.sums[number] + allowed).max(0.0);
        }
        self.reset_spent_shares();
    }

    /// Once a sum is back at zero, what was added to it no longer counts against a max_contribution.
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
