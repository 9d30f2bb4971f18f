//! One target before its judge: sums for each data centre, trial and conviction.

use std::time::Duration;

use crate::flaps::FlapCount;
use crate::judge::JudgeScene;
use crate::judge::hypotheses::{HYPOTHESES, LikelihoodStep, MEASURES, Measure};
use crate::judge::tally::{RateMemory, Tally};
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
/// How long they are remembered for what is usual.
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
    pub(super) measure: Measure,
}

#[derive(Debug)]
pub(super) struct JudgedTarget {
    pub(super) key: TargetKey,
    pub(super) windows: Vec<SourceWindow>,
    pub(super) recent: RateMemory,
    pub(super) long: RateMemory,
    pub(super) span: Tally,
    pub(super) pools: Vec<CentrePool>,
    /// When its last good answer to this data centre came to notice.
    pub(super) last_good: TimePoint,
    pub(super) load: f32,
    pub(super) load_at: TimePoint,
    pub(super) conviction: Option<Conviction>,
    pub(super) flaps: FlapCount,
    pub(super) trial: Tally,
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
    pub(super) tally: Tally,
}

/// The sums over the evidence of one data centre.
#[derive(Debug)]
pub(super) struct CentrePool {
    pub(super) data_centre: usize,
    pub(super) sums: [f32; HYPOTHESES.len()],
    /// What each source has added since the sum was last zero.
    pub(super) shares: Vec<(u32, [f32; HYPOTHESES.len()])>,
    pub(super) last_seen: TimePoint,
}

impl JudgedTarget {
    pub(super) fn new(key: TargetKey) -> JudgedTarget {
        JudgedTarget {
            key,
            windows: Vec::new(),
            recent: RateMemory::new(RECENT_HALF_LIFE),
            long: RateMemory::new(LONG_HALF_LIFE),
            span: Tally::default(),
            pools: Vec::new(),
            last_good: TimePoint::default(),
            load: 0.0,
            load_at: TimePoint::default(),
            conviction: None,
            flaps: FlapCount::default(),
            trial: Tally::default(),
        }
    }

    pub(super) fn note_load(&mut self, now: TimePoint, load: f32) {
        if load > 0.0 {
            self.load = load;
            self.load_at = now;
        }
    }

    pub(super) fn window_of(&mut self, source: SourceRef) -> &mut SourceWindow {
        let known = self.windows.iter().position(|window| window.source == source);
        let index = known.unwrap_or_else(|| {
            self.windows.push(SourceWindow { source, tally: Tally::default() });
            self.windows.len() - 1
        });
        &mut self.windows[index]
    }

    pub(super) fn window_total(&self) -> Tally {
        let mut total = Tally::default();
        for window in &self.windows {
            total.add(&window.tally);
        }
        total
    }

    pub(super) fn raise_sums(
        &mut self,
        scene: &JudgeScene,
        threshold: f32,
        usual: &[f32; MEASURES],
        factors: &[f32; MEASURES],
    ) {
        let steps: [Option<LikelihoodStep>; HYPOTHESES.len()] =
            std::array::from_fn(|number| LikelihoodStep::of(&HYPOTHESES[number], usual, factors));
        let before: Vec<(usize, [f32; HYPOTHESES.len()])> =
            self.pools.iter().map(|pool| (pool.data_centre, pool.sums)).collect();
        let cap = scene.source_cap(threshold);
        for window in std::mem::take(&mut self.windows) {
            if self.conviction.is_some() {
                self.trial.add(&window.tally);
            }
            let pool = pool_of(&mut self.pools, window.source.data_centre);
            pool.last_seen = scene.now;
            pool.add(window.source.number, &window.tally, &steps, cap);
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
        let mut best = Finding { score: 0.0, scope: VerdictScope::Target, measure: Measure::Error };
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
                best = Finding { score, scope, measure: hypothesis.measure };
            }
        }
        best
    }

    /// What other data centres hold against the target by one hypothesis.
    fn remote_sum(&self, now: TimePoint, number: usize, threshold: f32) -> RemoteSum {
        let counts = match HYPOTHESES[number].measure {
            Measure::Error => ERRORS_COUNT,
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
        backoff_most: Duration,
    ) {
        self.flaps.note(now, 0);
        let wait = self.flaps.backoff(backoff, backoff_most);
        self.conviction = Some(Conviction { since: now, trial_from: now + wait, finding });
        self.pools.clear();
        self.trial = Tally::default();
        self.recent = RateMemory::new(RECENT_HALF_LIFE);
        self.long = RateMemory::new(LONG_HALF_LIFE);
    }

    pub(super) fn trial_went_well(&self, usual: &[f32; MEASURES]) -> bool {
        const JUDGED: [Measure; 3] = [Measure::Error, Measure::Overdue, Measure::VerySlow];
        let Tally { count, bad } = &self.trial;
        let seen = count[Measure::Error as usize].max(count[Measure::Overdue as usize]);
        let clean = bad[Measure::Error as usize] + bad[Measure::Overdue as usize] < 0.5
            && bad[Measure::VerySlow as usize] < 2.5;
        let fair = JUDGED.iter().all(|measure| {
            let measure = *measure as usize;
            bad[measure] <= count[measure] * (usual[measure] + 0.02)
        });
        (seen >= ACQUIT_CLEAN && clean) || (seen >= 4.0 * ACQUIT_CLEAN && fair)
    }
}

pub(super) fn pool_of(pools: &mut Vec<CentrePool>, data_centre: usize) -> &mut CentrePool {
    let known = pools.iter().position(|pool| pool.data_centre == data_centre);
    let index = known.unwrap_or_else(|| {
        pools.push(CentrePool {
            data_centre,
            sums: [0.0; HYPOTHESES.len()],
            shares: Vec::new(),
            last_seen: TimePoint::default(),
        });
        pools.len() - 1
    });
    &mut pools[index]
}

impl CentrePool {
    pub(super) fn add(
        &mut self,
        source: u32,
        tally: &Tally,
        steps: &[Option<LikelihoodStep>; HYPOTHESES.len()],
        cap: f32,
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
            let measure = HYPOTHESES[number].measure as usize;
            let bad = tally.bad[measure];
            let change = bad * step.bad + (tally.count[measure] - bad) * step.good;
            let share = &mut self.shares[index].1[number];
            let allowed = change.min(cap - *share);
            *share = (*share + allowed).max(0.0);
            self.sums[number] = (self.sums[number] + allowed).max(0.0);
        }
        self.drop_idle_shares();
    }

    /// Once a sum is back at zero, what was added to it no longer counts against a cap.
    pub(super) fn drop_idle_shares(&mut self) {
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
