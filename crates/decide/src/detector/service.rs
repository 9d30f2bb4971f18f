//! One service before its judge: what is baseline, what is slow, who is found failing.

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

/// Independent chances for a false alarm in a day of one target: one window each.
const LOOKS_PER_DAY: f64 = 86_400.0 * 20.0;
/// A sibling is taken to show the same if its rate is this part of the target's, and
/// the trouble to be shared if this share of the siblings does.
const SIMILAR_RATE: f32 = 0.3;
const SHARED_FROM: f32 = 0.34;
/// The same for a box by itself, which sees little of each.
const SHARED_FROM_ALONE: f32 = 0.2;
/// The share of the threshold that convicts a target on trial.
const TRIAL_THRESHOLD: f32 = 0.4;
/// Span over which the clustering of bad outcomes is measured.
const DISPERSION_WINDOW: Duration = Duration::from_secs(1);
/// How long latencies are remembered for what counts as slow.
const SKETCH_HALF_LIFE: Duration = Duration::from_secs(10);
/// Least latencies remembered before slowness is judged.
const SKETCH_LEAST: f32 = 30.0;
/// An attempt is overdue at so many times the time that 99 in 100 take, within bounds
/// of so many medians.
const OVERDUE_TAIL: f64 = 1.3;
const OVERDUE_MEDIANS_LEAST: f64 = 3.0;
const OVERDUE_MEDIANS_MOST: f64 = 8.0;
/// How careful the operator wants the judge, from `quick` to `careful`: half the
/// logarithm of the bias, within these bounds.
const CARE_LEAST: f64 = 1.2;
const CARE_MOST: f64 = 2.0;
/// A stall is a silence of so many times the time after which an attempt is overdue: this
/// much, and more for each unit of how careful the operator wants the judge.
const STALL_SILENCE: f64 = 0.7;
const CAREFUL_SILENCE: f64 = 0.6;
/// The same for a target that said it had one request waiting for each slot: it is
/// given more time, yet not for ever, since what it says may not be true.
const QUEUED_SILENCE: f64 = 4.0;
const QUEUED_LOAD: f32 = 2.0;
/// A reported load counts for so long.
const LOAD_COUNTS: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct MonitoredService {
    pub(super) name: Name,
    pub(super) threshold: f32,
    pub(super) targets: Vec<MonitoredTarget>,
    pub(super) index: HashMap<TargetKey, usize>,
    pub(super) sketch: LatencySketch,
    pub(super) slow_limit: LatencyBucket,
    pub(super) very_slow_limit: LatencyBucket,
    pub(super) dispersion: [Dispersion; FAILURE_MODES],
    pub(super) span_started: TimePoint,
    pub(super) care: f64,
    pub(super) backoff: Duration,
    pub(super) backoff_max: Duration,
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
            care: CARE_MOST,
            backoff: Duration::ZERO,
            backoff_max: Duration::ZERO,
            dirty: false,
        }
    }

    pub(super) fn configure(&mut self, setup: &ServiceSetup) {
        let chances = setup.false_alarm_days * LOOKS_PER_DAY * HYPOTHESES.len() as f64;
        self.threshold = chances.max(std::f64::consts::E).ln() as f32;
        let careful = setup.false_alarm_days.max(1.0).log10() / 2.0;
        self.care = careful.clamp(CARE_LEAST, CARE_MOST);
        self.backoff = setup.limits.backoff;
        self.backoff_max = setup.limits.backoff_max;
        let mut known: HashMap<TargetKey, MonitoredTarget> =
            self.targets.drain(..).map(|target| (target.key, target)).collect();
        for setup in &setup.targets {
            let key = setup.key();
            self.targets.push(known.remove(&key).unwrap_or_else(|| MonitoredTarget::new(key)));
        }
        let numbered = self.targets.iter().enumerate();
        self.index = numbered.map(|(index, target)| (target.key, index)).collect();
    }

    /// The median time of an answer. `None` while too little is known.
    pub(super) fn typical_time(&self) -> Option<Duration> {
        if self.sketch.total() < SKETCH_LEAST {
            return None;
        }
        self.sketch.quantile(0.5).map(LatencyBucket::upper)
    }

    /// How long an attempt may be open before it counts as overdue.
    pub(super) fn overdue_after(&self) -> Option<Duration> {
        if self.sketch.total() < SKETCH_LEAST {
            return None;
        }
        let tail = self.sketch.quantile(0.99)?.upper();
        let median = self.sketch.quantile(0.5)?.upper();
        // Beyond nearly all, yet not chasing a tail of stalls among the answers.
        let overdue = tail.mul_f64(OVERDUE_TAIL).min(median.mul_f64(OVERDUE_MEDIANS_MOST));
        Some(overdue.max(median.mul_f64(OVERDUE_MEDIANS_LEAST)))
    }

    pub(super) fn add_sample(
        &mut self,
        now: TimePoint,
        index: usize,
        source: SourceRef,
        sample: &Sample,
    ) {
        let target = &mut self.targets[index];
        if target.conviction.as_ref().is_some_and(|held| now < held.trial_from) {
            // Left over from before the ejection.
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
        self.targets[index].window_for(source).counts.note(sample.count as f32, effect);
    }

    /// Whether a sample is bad by each mode, or says nothing about it.
    pub(super) fn classify(&self, sample: &Sample) -> [Option<bool>; FAILURE_MODES] {
        let slow = Some(sample.bucket > self.slow_limit);
        let very_slow = Some(sample.bucket > self.very_slow_limit);
        match sample.kind {
            SampleKind::Good => [Some(false), Some(false), slow, very_slow],
            SampleKind::Error => [Some(true), None, None, None],
            SampleKind::Overdue => [None, Some(true), Some(true), Some(true)],
            // It has been counted as overdue, and so as slow; now it shows that it is no stall.
            SampleKind::Late => [Some(false), Some(false), None, None],
        }
    }

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

    /// Rates over all targets that are not on trial, now, lately and as baseline.
    pub(super) fn baseline_rates(&mut self, now: TimePoint) -> BaselineRates {
        let mut baseline = BaselineRates::default();
        let mut shown: [[Vec<f32>; 2]; FAILURE_MODES] = Default::default();
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
            for (mode, [recent, long]) in shown.iter_mut().enumerate() {
                recent.extend(target.recent.rate(mode));
                long.extend(target.long.rate(mode));
            }
        }
        for (mode, [recent, long]) in shown.iter_mut().enumerate() {
            baseline.median[mode] = median(recent).max(median(long));
        }
        baseline
    }

    /// Measures, once a span, how much bad outcomes cluster.
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

    pub(super) fn update_slow_limits(&mut self) {
        if self.sketch.total() < SKETCH_LEAST {
            return;
        }
        if let Some(limit) = self.sketch.quantile(0.9) {
            self.slow_limit = limit;
            self.very_slow_limit = limit.raised(1.0);
        }
    }

    pub(super) fn decide(
        &mut self,
        context: &WindowContext,
        index: usize,
        rates: &[f32; FAILURE_MODES],
    ) -> Option<Verdict> {
        let target = &self.targets[index];
        let on_trial = target.conviction.is_some();
        let needed = if on_trial { self.threshold * TRIAL_THRESHOLD } else { self.threshold };
        let finding = target.score(context.now, self.threshold);
        if finding.score >= needed
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

    /// Whether a target that is taken to stall has answered too lately for that: a pause
    /// or a queue in front of its few slots makes it silent for a while too.
    pub(super) fn answered_recently(
        &self,
        now: TimePoint,
        index: usize,
        mode: FailureMode,
    ) -> bool {
        let Some(overdue) = self.overdue_after() else { return false };
        let target = &self.targets[index];
        let queued = target.load >= QUEUED_LOAD && now.since(target.load_at) <= LOAD_COUNTS;
        let baseline = STALL_SILENCE + CAREFUL_SILENCE * self.care;
        let patience = if queued { QUEUED_SILENCE } else { baseline };
        let silence = now.since(target.last_good);
        mode == FailureMode::Overdue && silence < overdue.mul_f64(patience)
    }

    /// Whether many siblings show the same just now, if more weakly: then it is the
    /// service or what is behind it, and the target is only the first to be noticed.
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
        let shared_from = if context.pooled { SHARED_FROM } else { SHARED_FROM_ALONE };
        let similar = rates.iter().filter(|rate| **rate >= own * SIMILAR_RATE).count();
        similar > 0 && similar as f32 >= rates.len() as f32 * shared_from
    }

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

    pub(super) fn verdicts_in_force(&self) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if let Some(held) = &target.conviction {
                let kind = VerdictKind::Convicted;
                verdicts.push(self.verdict(index, kind, held.finding, held.since));
            }
        }
        verdicts
    }
}
