//! The detector's state of one service: baseline rates, latency thresholds and the decision about each target.

use std::collections::HashMap;
use std::time::Duration;

use crate::detector::WindowContext;
use crate::detector::counts::{BaselineRates, median};
use crate::detector::hypotheses::{ASSUMED_DISPERSION, FAILURE_MODES, FailureMode, HYPOTHESES};
use crate::detector::target::{Finding, MonitoredTarget, SourceRef};
use crate::dispersion::Dispersion;
use crate::evidence::{Sample, SampleKind};
use crate::messages::{Verdict, VerdictKind};
use crate::names::{Name, TargetKey};
use crate::setup::ServiceSetup;
use crate::sketch::{LatencyBucket, LatencySketch};
use crate::time::TimePoint;

/// Number of independent tests of one target in a day: one in each window of 50 ms. Each is a chance of a
/// false alarm.
const TESTS_PER_DAY: f64 = 86_400.0 * 20.0;
/// Minimum rate of bad outcomes at which a sibling counts as affected too, as a share of the target's rate.
const MIN_SIMILAR_RATE: f32 = 0.3;
/// Minimum share of affected siblings at which a failure counts as shared by the service.
const MIN_SHARED_SIBLINGS: f32 = 0.34;
/// Minimum share of affected siblings for the detector within a box, which sees few outcomes of each target.
const MIN_SHARED_SIBLINGS_LOCAL: f32 = 0.2;
/// Share of the threshold at which a target on trial is convicted again.
const TRIAL_THRESHOLD: f32 = 0.4;
/// Time span over which the clustering of bad outcomes is measured.
const DISPERSION_WINDOW: Duration = Duration::from_secs(1);
/// Half-life of the recorded latencies, which determine what counts as slow.
const SKETCH_HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum number of recorded latencies before latency thresholds are derived from them.
const MIN_SKETCH_COUNT: f32 = 30.0;
/// Time after which an attempt is overdue, as a multiple of the 99th percentile of latencies.
const OVERDUE_P99_FACTOR: f64 = 1.3;
/// Minimum of the overdue threshold, as a multiple of the median latency.
const MIN_OVERDUE_MEDIANS: f64 = 3.0;
/// Maximum of the overdue threshold, as a multiple of the median latency.
const MAX_OVERDUE_MEDIANS: f64 = 8.0;
/// Minimum caution, for the operators' bias `quick`. Caution is half the decimal logarithm of the bias.
const MIN_CAUTION: f64 = 1.2;
/// Maximum caution, for the operators' bias `careful`.
const MAX_CAUTION: f64 = 2.0;
/// Minimum time without a good answer that counts as a stall, as a multiple of the overdue threshold.
/// [`STALL_FACTOR_PER_CAUTION`] is added to it for each unit of caution.
const BASE_STALL_FACTOR: f64 = 0.7;
/// Increase of the stall time for each unit of caution, as a multiple of the overdue threshold.
const STALL_FACTOR_PER_CAUTION: f64 = 0.6;
/// Stall time of a target that reports a queue, as a multiple of the overdue threshold. It is longer, but
/// bounded, since the reported load may be false.
const QUEUED_STALL_FACTOR: f64 = 4.0;
/// Reported load from which a target counts as queued: one request waits for each slot.
const MIN_QUEUED_LOAD: f32 = 2.0;
/// Maximum age of a reported load that is taken into account.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// A service and the evidence about its targets.
#[derive(Debug)]
pub(super) struct MonitoredService {
    pub(super) name: Name,
    /// Score from which a target is convicted.
    pub(super) threshold: f32,
    pub(super) targets: Vec<MonitoredTarget>,
    pub(super) index: HashMap<TargetKey, usize>,
    pub(super) sketch: LatencySketch,
    /// Bucket above which an answer counts as slow.
    pub(super) slow_limit: LatencyBucket,
    /// Bucket above which an answer counts as very slow.
    pub(super) very_slow_limit: LatencyBucket,
    pub(super) dispersion: [Dispersion; FAILURE_MODES],
    /// Start of the span in which dispersion is being measured.
    pub(super) span_started: TimePoint,
    /// Caution derived from the operators' bias, between [`MIN_CAUTION`] and [`MAX_CAUTION`].
    pub(super) caution: f64,
    pub(super) backoff: Duration,
    pub(super) backoff_max: Duration,
    /// Whether there is evidence that has not been evaluated.
    pub(super) dirty: bool,
}

impl MonitoredService {
    pub(super) fn new(name: Name) -> MonitoredService {
        MonitoredService {
            name,
            threshold: 0.0,
            targets: Vec::new(),
            index: HashMap::new(),
            sketch: LatencySketch::new(SKETCH_HALF_LIFE),
            slow_limit: LatencyBucket(u8::MAX),
            very_slow_limit: LatencyBucket(u8::MAX),
            dispersion: ASSUMED_DISPERSION.map(Dispersion::new),
            span_started: TimePoint::default(),
            caution: MAX_CAUTION,
            backoff: Duration::ZERO,
            backoff_max: Duration::ZERO,
            dirty: false,
        }
    }

    /// Applies a configuration. Targets that remain keep their state.
    pub(super) fn configure(&mut self, setup: &ServiceSetup) {
        let tests = setup.false_alarm_days * TESTS_PER_DAY * HYPOTHESES.len() as f64;
        self.threshold = tests.max(std::f64::consts::E).ln() as f32;
        let caution = setup.false_alarm_days.max(1.0).log10() / 2.0;
        self.caution = caution.clamp(MIN_CAUTION, MAX_CAUTION);
        self.backoff = setup.limits.backoff;
        self.backoff_max = setup.limits.backoff_max;
        let mut known: HashMap<TargetKey, MonitoredTarget> =
            self.targets.drain(..).map(|target| (target.key, target)).collect();
        for setup in &setup.targets {
            let key = setup.key();
            self.targets.push(known.remove(&key).unwrap_or_else(|| MonitoredTarget::new(key)));
        }
        let indexed = self.targets.iter().enumerate();
        self.index = indexed.map(|(index, target)| (target.key, index)).collect();
    }

    /// Returns the median latency. `None` until enough latencies are recorded.
    pub(super) fn typical_time(&self) -> Option<Duration> {
        if self.sketch.total() < MIN_SKETCH_COUNT {
            return None;
        }
        self.sketch.quantile(0.5).map(LatencyBucket::upper)
    }

    /// Returns the time after which an open attempt counts as overdue. `None` until enough latencies are
    /// recorded.
    pub(super) fn overdue_after(&self) -> Option<Duration> {
        if self.sketch.total() < MIN_SKETCH_COUNT {
            return None;
        }
        let tail = self.sketch.quantile(0.99)?.upper();
        let median = self.sketch.quantile(0.5)?.upper();
        // The threshold is longer than nearly all answers take. The bound by medians prevents stalled attempts
        // that were answered late from raising it.
        let overdue = tail.mul_f64(OVERDUE_P99_FACTOR).min(median.mul_f64(MAX_OVERDUE_MEDIANS));
        Some(overdue.max(median.mul_f64(MIN_OVERDUE_MEDIANS)))
    }

    /// Adds a sample from `source` to the evidence about the target at `index`.
    pub(super) fn add_sample(
        &mut self,
        now: TimePoint,
        index: usize,
        source: SourceRef,
        sample: &Sample,
    ) {
        let target = &mut self.targets[index];
        if target.conviction.as_ref().is_some_and(|conviction| now < conviction.trial_from) {
            // The sample is from attempts that were open when the target was ejected.
            return;
        }
        if target.conviction.is_none() && sample.kind == SampleKind::Good {
            self.sketch.add(sample.bucket, sample.count);
        }
        let effect = self.classify(sample);
        let own = source.data_centre == 0;
        if own && !sample.kind.is_bad() {
            self.targets[index].last_good = now;
        }
        self.targets[index].window_for(source).counts.record(sample.count as f32, effect);
    }

    /// Returns, for each failure mode, whether the sample is bad; `None` if it is not informative about the
    /// mode.
    pub(super) fn classify(&self, sample: &Sample) -> [Option<bool>; FAILURE_MODES] {
        let slow = Some(sample.bucket > self.slow_limit);
        let very_slow = Some(sample.bucket > self.very_slow_limit);
        match sample.kind {
            SampleKind::Good => [Some(false), Some(false), slow, very_slow],
            SampleKind::Error => [Some(true), None, None, None],
            SampleKind::Overdue => [None, Some(true), Some(true), Some(true)],
            // The attempt was already counted as overdue and as slow. Its answer only shows
            // that it neither failed nor stalled.
            SampleKind::Late => [Some(false), Some(false), None, None],
        }
    }

    /// Updates the sums of all targets with evidence in this window and adds the verdicts that follow.
    pub(super) fn evaluate(&mut self, context: &WindowContext, verdicts: &mut Vec<Verdict>) {
        self.sketch.decay(context.now);
        let baseline = self.baseline_rates(context.now);
        self.measure_dispersion(context.now, &baseline);
        let factors: [f32; FAILURE_MODES] = std::array::from_fn(|m| self.dispersion[m].factor());
        let threshold = self.threshold;
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            if target.windows.is_empty() {
                continue;
            }
            let rates = baseline.without(target);
            target.update_sums(context, threshold, &rates, &factors);
            let verdict = self.decide(context, index, &rates);
            verdicts.extend(verdict);
        }
        self.update_slow_limits();
    }

    /// Adds the window to the decaying counts of all targets and returns the baseline over the targets that
    /// are not ejected or on trial.
    pub(super) fn baseline_rates(&mut self, now: TimePoint) -> BaselineRates {
        let mut baseline = BaselineRates::default();
        let mut rates: [[Vec<f32>; 2]; FAILURE_MODES] = Default::default();
        for target in &mut self.targets {
            let window = target.window_total();
            target.recent.add(now, &window);
            target.long.add(now, &window);
            target.span.add(&window);
            if target.conviction.is_some() {
                continue;
            }
            baseline.recent.add(&target.recent.counts);
            baseline.long.add(&target.long.counts);
            baseline.window.add(&window);
            for (mode, [recent, long]) in rates.iter_mut().enumerate() {
                recent.extend(target.recent.rate(mode));
                long.extend(target.long.rate(mode));
            }
        }
        for (mode, [recent, long]) in rates.iter_mut().enumerate() {
            baseline.median[mode] = median(recent).max(median(long));
        }
        baseline
    }

    /// Measures the clustering of bad outcomes once in each [`DISPERSION_WINDOW`].
    pub(super) fn measure_dispersion(&mut self, now: TimePoint, baseline: &BaselineRates) {
        if now.since(self.span_started) < DISPERSION_WINDOW {
            return;
        }
        self.span_started = now;
        for target in &mut self.targets {
            let span = std::mem::take(&mut target.span);
            if target.conviction.is_some() {
                continue;
            }
            for mode in 0..FAILURE_MODES {
                let rate = baseline.long.rate_without(&target.long.counts, mode);
                self.dispersion[mode].record(now, span.count[mode], span.bad[mode], rate);
            }
        }
    }

    /// Derives the thresholds for slow answers from the 90th percentile of latencies.
    pub(super) fn update_slow_limits(&mut self) {
        if self.sketch.total() < MIN_SKETCH_COUNT {
            return;
        }
        if let Some(limit) = self.sketch.quantile(0.9) {
            self.slow_limit = limit;
            self.very_slow_limit = limit.raised(1.0);
        }
    }

    /// Convicts or acquits the target at `index` if its evidence suffices.
    pub(super) fn decide(
        &mut self,
        context: &WindowContext,
        index: usize,
        rates: &[f32; FAILURE_MODES],
    ) -> Option<Verdict> {
        let target = &self.targets[index];
        let on_trial = target.conviction.is_some();
        let threshold = if on_trial { self.threshold * TRIAL_THRESHOLD } else { self.threshold };
        let finding = target.score(context.now, self.threshold);
        if finding.score >= threshold
            && !self.is_shared_by_siblings(context, index, finding.mode)
            && !self.answered_recently(context.now, index, finding.mode)
        {
            let target = &mut self.targets[index];
            target.convict(context.now, finding, self.backoff, self.backoff_max);
            return Some(self.verdict(index, VerdictKind::Convicted, finding, context.now));
        }
        if on_trial && target.trial_succeeded(rates) {
            self.targets[index].conviction = None;
            return Some(self.verdict(index, VerdictKind::Acquitted, finding, context.now));
        }
        None
    }

    /// Returns whether the mode is [`FailureMode::Overdue`] and the last good answer of the target is too
    /// recent for a stall. A pause, or a queue in front of the few slots of a target, also interrupts its
    /// answers for a while.
    pub(super) fn answered_recently(
        &self,
        now: TimePoint,
        index: usize,
        mode: FailureMode,
    ) -> bool {
        let Some(overdue) = self.overdue_after() else { return false };
        let target = &self.targets[index];
        let queued = target.load >= MIN_QUEUED_LOAD && now.since(target.load_at) <= MAX_LOAD_AGE;
        let unqueued = BASE_STALL_FACTOR + STALL_FACTOR_PER_CAUTION * self.caution;
        let stall_factor = if queued { QUEUED_STALL_FACTOR } else { unqueued };
        let since_good = now.since(target.last_good);
        mode == FailureMode::Overdue && since_good < overdue.mul_f64(stall_factor)
    }

    /// Returns whether many siblings currently fail in the same mode, possibly at a lower rate. If so, the
    /// cause is the service as a whole or a dependency of it, and the target is only the first to cross the
    /// threshold.
    pub(super) fn is_shared_by_siblings(
        &self,
        context: &WindowContext,
        index: usize,
        mode: FailureMode,
    ) -> bool {
        let mode = mode as usize;
        let Some(own) = self.targets[index].recent.rate(mode) else { return false };
        let siblings = self
            .targets
            .iter()
            .enumerate()
            .filter(|(sibling, target)| *sibling != index && target.conviction.is_none());
        let rates: Vec<f32> = siblings.filter_map(|(_, target)| target.recent.rate(mode)).collect();
        let min_shared =
            if context.pooled { MIN_SHARED_SIBLINGS } else { MIN_SHARED_SIBLINGS_LOCAL };
        let similar = rates.iter().filter(|rate| **rate >= own * MIN_SIMILAR_RATE).count();
        similar > 0 && similar as f32 >= rates.len() as f32 * min_shared
    }

    /// Builds a verdict about the target at `index`, dated `now`.
    pub(super) fn verdict(
        &self,
        index: usize,
        kind: VerdictKind,
        finding: Finding,
        now: TimePoint,
    ) -> Verdict {
        let target = &self.targets[index];
        Verdict {
            service: self.name.clone(),
            target: target.key,
            kind,
            scope: finding.scope,
            cause: finding.mode.cause(),
            flaps: target.flaps.count(),
            stamp: now.as_micros(),
        }
    }

    /// Returns the convictions in force.
    pub(super) fn verdicts_in_force(&self) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if let Some(conviction) = &target.conviction {
                let kind = VerdictKind::Convicted;
                verdicts.push(self.verdict(index, kind, conviction.finding, conviction.since));
            }
        }
        verdicts
    }
}
