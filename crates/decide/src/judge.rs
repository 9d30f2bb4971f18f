//! The sequential test that convicts targets, over the evidence of many boxes.
//!
//! For each target and data centre a cumulative sum of log-likelihood ratios is
//! kept for a few hypotheses ("a quarter of its answers are errors"). Bad
//! outcomes raise it, good ones lower it, and it never falls below zero. The rate
//! of bad outcomes that is held to be usual is what the target's siblings show in
//! the same moments, so a service that fails or slows as a whole convicts nobody.
//!
//! Bad outcomes come in bursts (a queue, a pause), so a ratio that took them for
//! independent would convict on one burst. How much they cluster is measured on the
//! siblings as well ([`crate::dispersion`]), and the ratios are divided by it.
//!
//! Bounds that the pooled evidence has:
//! - one box adds at most [`SOURCE_SHARE`] of the threshold, so a sick box convicts nobody;
//! - one window adds at most a part of it, so one short pause convicts nobody;
//! - other data centres add at most a few times what this one saw itself, so
//!   a cut between one data centre and a target costs that path and not the target.

use std::collections::HashMap;
use std::time::Duration;

use crate::dispersion::Dispersion;
use crate::evidence::{EvidenceBatch, EvidenceSource, Sample, SampleKind};
use crate::flaps::FlapCount;
use crate::messages::{Verdict, VerdictCause, VerdictKind, VerdictScope};
use crate::names::{Name, TargetKey};
use crate::setup::ServiceSetup;
use crate::sketch::{LatencyBucket, LatencySketch};
use crate::time::TimePoint;

/// How long evidence is gathered before it is weighed.
pub const JUDGE_WINDOW: Duration = Duration::from_millis(50);

/// What of the threshold one box can add in a pool of several.
const SOURCE_SHARE: f32 = 0.55;
/// What other data centres saw counts for so long; they stop asking once they eject.
const REMOTE_FRESH: Duration = Duration::from_secs(2);
/// A data centre that saw nothing of a target for so long relies on the others.
const OWN_SILENCE: Duration = Duration::from_secs(5);
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
/// Attempts that acquit a target on trial if none was bad.
const ACQUIT_CLEAN: f32 = 10.0;
/// How long the rates of siblings are remembered, for what goes on just now.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long they are remembered for what is usual.
const LONG_HALF_LIFE: Duration = Duration::from_secs(60);
/// Span over which the clustering of bad outcomes is measured.
const DISPERSION_WINDOW: Duration = Duration::from_secs(1);
/// How long latencies are remembered for what counts as slow.
const SKETCH_HALF_LIFE: Duration = Duration::from_secs(10);
/// Least latencies remembered before slowness is judged.
const SKETCH_LEAST: f32 = 30.0;
/// Weight of the usual rate where siblings have shown little.
const PRIOR_WEIGHT: f32 = 20.0;

/// An attempt is overdue at so many times the time that 99 in 100 take, by how careful
/// the operator wants the judge.
const OVERDUE_LEAST: f64 = 1.2;
const OVERDUE_MOST: f64 = 2.0;
/// A stall is a silence of so many times the time after which an attempt is overdue.
const STALL_SILENCE: f64 = 1.5;
/// The same for a target that said it had two requests waiting for each slot: it is
/// given more time, yet not for ever, since what it says may not be true.
const QUEUED_SILENCE: f64 = 4.0;
const QUEUED_LOAD: f32 = 3.0;
/// A reported load counts for so long.
const LOAD_COUNTS: Duration = Duration::from_secs(2);

const MEASURES: usize = 4;

/// What a bad outcome is, from the plain to the subtle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Measure {
    /// Failed.
    Error = 0,
    /// Open for too long.
    Overdue = 1,
    /// Slower than nine in ten of the siblings' answers.
    Slow = 2,
    /// Slower than twice that.
    VerySlow = 3,
}

impl Measure {
    fn cause(self) -> VerdictCause {
        match self {
            Measure::Error => VerdictCause::Errors,
            Measure::Overdue => VerdictCause::Stalls,
            Measure::Slow | Measure::VerySlow => VerdictCause::Slowness,
        }
    }
}

/// What a target is found to be.
#[derive(Debug, Clone, Copy)]
struct Finding {
    score: f32,
    scope: VerdictScope,
    measure: Measure,
}

/// One way to be sick.
struct Hypothesis {
    measure: Measure,
    /// Rate of bad outcomes if it is so.
    rate: f32,
    /// The least factor between that rate and the usual one.
    factor: f32,
    /// What of the threshold one window can add. Queues pass, so slowness must last.
    window_share: f32,
    /// What other data centres add for each unit that this one saw itself.
    remote_factor: f32,
}

const HYPOTHESES: [Hypothesis; 6] = [
    Hypothesis {
        measure: Measure::Error,
        rate: 0.04,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    Hypothesis {
        measure: Measure::Error,
        rate: 0.25,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    Hypothesis {
        measure: Measure::Error,
        rate: 0.8,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    // A target that stalls answers nothing at all, so one answer speaks loudly against it.
    Hypothesis {
        measure: Measure::Overdue,
        rate: 0.999,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 3.0,
    },
    Hypothesis {
        measure: Measure::Slow,
        rate: 0.35,
        factor: 2.2,
        window_share: 0.05,
        remote_factor: 3.0,
    },
    Hypothesis {
        measure: Measure::VerySlow,
        rate: 0.2,
        factor: 3.0,
        window_share: 0.05,
        remote_factor: 3.0,
    },
];
/// The least usual rate of bad outcomes, for each measure.
const LEAST_RATE: [f32; MEASURES] = [0.001, 0.002, 0.1, 0.02];
/// The dispersion that is assumed at first, for each measure: errors come alone more
/// often than what queues bring about.
const ASSUMED_DISPERSION: [f32; MEASURES] = [1.0, 2.0, 2.0, 2.0];
/// The highest rate that a hypothesis can be raised to.
const MOST_RATE: f32 = 0.9995;

/// Judges targets by the evidence handed to it.
#[derive(Debug)]
pub struct JudgeCore {
    own_data_centre: Name,
    pooled: bool,
    services: HashMap<Name, JudgedService>,
    dirty: Vec<Name>,
    sources: HashMap<EvidenceSource, u32>,
    data_centres: Vec<Name>,
}

impl JudgeCore {
    /// The judge of an agent, over the evidence of many boxes.
    pub fn pooled(own_data_centre: &str) -> JudgeCore {
        JudgeCore::new(own_data_centre, true)
    }

    /// The judge within a box, over its own evidence alone.
    pub fn local(own_data_centre: &str) -> JudgeCore {
        JudgeCore::new(own_data_centre, false)
    }

    fn new(own_data_centre: &str, pooled: bool) -> JudgeCore {
        JudgeCore {
            own_data_centre: own_data_centre.into(),
            pooled,
            services: HashMap::new(),
            dirty: Vec::new(),
            sources: HashMap::new(),
            data_centres: vec![own_data_centre.into()],
        }
    }

    /// Judges `setup`'s service from now on. What is known of targets that stay is kept.
    pub fn configure(&mut self, setup: &ServiceSetup) {
        let service = self
            .services
            .entry(setup.name.clone())
            .or_insert_with(|| JudgedService::new(setup.name.clone()));
        service.configure(setup);
    }

    /// Judges `service` no more.
    pub fn remove(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Forgets what is held against a target: another one answers at its address.
    pub fn forget(&mut self, service: &str, target: TargetKey) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if let Some(&index) = service.index.get(&target) {
            service.targets[index] = JudgedTarget::new(target);
        }
    }

    /// Takes what `source` saw.
    pub fn take(&mut self, now: TimePoint, source: &EvidenceSource, batch: &EvidenceBatch) {
        let source = self.source_ref(source);
        let Some(service) = self.services.get_mut(&batch.service) else {
            return;
        };
        if !service.dirty {
            service.dirty = true;
            self.dirty.push(batch.service.clone());
        }
        for seen in &batch.targets {
            let Some(&index) = service.index.get(&seen.target) else {
                continue;
            };
            service.targets[index].note_load(now, seen.load);
            for sample in &seen.samples {
                service.add_sample(now, index, source, sample);
            }
        }
    }

    /// Weighs what came since the last window.
    pub fn tick(&mut self, now: TimePoint) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let scene = JudgeScene { now, pooled: self.pooled, sources: self.sources.len() };
        for name in std::mem::take(&mut self.dirty) {
            if let Some(service) = self.services.get_mut(&name) {
                service.dirty = false;
                service.weigh(&scene, &mut verdicts);
            }
        }
        verdicts
    }

    /// The verdicts in force, for a box that is new.
    pub fn standing(&self) -> Vec<Verdict> {
        let services = self.services.values();
        services.flat_map(JudgedService::standing).collect()
    }

    /// How long an attempt of `service` may be open before it counts as overdue.
    /// `None` while too little is known.
    pub fn overdue_after(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.overdue_after()
    }

    /// The median time of an answer of `service`. `None` while too little is known.
    pub fn usual_time(&self, service: &str) -> Option<Duration> {
        let sketch = &self.services.get(service)?.sketch;
        (sketch.total() >= SKETCH_LEAST).then(|| sketch.quantile(0.5))?.map(LatencyBucket::upper)
    }

    fn source_ref(&mut self, source: &EvidenceSource) -> SourceRef {
        let count = u32::try_from(self.sources.len()).unwrap_or(u32::MAX);
        let number = *self.sources.entry(source.clone()).or_insert(count);
        let data_centre = self.data_centres.iter().position(|dc| *dc == source.data_centre);
        let data_centre = data_centre.unwrap_or_else(|| {
            self.data_centres.push(source.data_centre.clone());
            self.data_centres.len() - 1
        });
        debug_assert_eq!(self.data_centres[0], self.own_data_centre);
        SourceRef { number, data_centre }
    }
}

/// What is the same for all services in one window.
struct JudgeScene {
    now: TimePoint,
    pooled: bool,
    sources: usize,
}

impl JudgeScene {
    /// The most that one source can add to a sum.
    fn source_cap(&self, threshold: f32) -> f32 {
        if self.pooled && self.sources > 1 { threshold * SOURCE_SHARE } else { f32::INFINITY }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SourceRef {
    number: u32,
    /// Index of the data centre; 0 is this judge's own.
    data_centre: usize,
}

#[derive(Debug)]
struct JudgedService {
    name: Name,
    threshold: f32,
    targets: Vec<JudgedTarget>,
    index: HashMap<TargetKey, usize>,
    sketch: LatencySketch,
    slow_limit: LatencyBucket,
    very_slow_limit: LatencyBucket,
    dispersion: [Dispersion; MEASURES],
    span_started: TimePoint,
    overdue_factor: f64,
    backoff: Duration,
    backoff_most: Duration,
    dirty: bool,
}

impl JudgedService {
    fn new(name: Name) -> JudgedService {
        JudgedService {
            name,
            threshold: 0.0,
            targets: Vec::new(),
            index: HashMap::new(),
            sketch: LatencySketch::new(SKETCH_HALF_LIFE),
            slow_limit: LatencyBucket(u8::MAX),
            very_slow_limit: LatencyBucket(u8::MAX),
            dispersion: ASSUMED_DISPERSION.map(Dispersion::new),
            span_started: TimePoint::default(),
            overdue_factor: OVERDUE_MOST,
            backoff: Duration::ZERO,
            backoff_most: Duration::ZERO,
            dirty: false,
        }
    }

    fn configure(&mut self, setup: &ServiceSetup) {
        let chances = setup.false_alarm_days * LOOKS_PER_DAY * HYPOTHESES.len() as f64;
        self.threshold = chances.max(std::f64::consts::E).ln() as f32;
        let careful = setup.false_alarm_days.max(1.0).log10() / 2.0;
        self.overdue_factor = careful.clamp(OVERDUE_LEAST, OVERDUE_MOST);
        self.backoff = setup.limits.backoff;
        self.backoff_most = setup.limits.backoff_most;
        let mut known: HashMap<TargetKey, JudgedTarget> =
            self.targets.drain(..).map(|target| (target.key, target)).collect();
        for setup in &setup.targets {
            let key = setup.key();
            self.targets.push(known.remove(&key).unwrap_or_else(|| JudgedTarget::new(key)));
        }
        let numbered = self.targets.iter().enumerate();
        self.index = numbered.map(|(index, target)| (target.key, index)).collect();
    }

    fn overdue_after(&self) -> Option<Duration> {
        if self.sketch.total() < SKETCH_LEAST {
            return None;
        }
        let tail = self.sketch.quantile(0.99)?.upper();
        let median = self.sketch.quantile(0.5)?.upper();
        // Beyond nearly all, yet not chasing a tail of stalls among the answers.
        Some(tail.mul_f64(1.3).min(median.mul_f64(8.0)).max(median.mul_f64(3.0)))
    }

    fn add_sample(&mut self, now: TimePoint, index: usize, source: SourceRef, sample: &Sample) {
        let target = &mut self.targets[index];
        if target.conviction.as_ref().is_some_and(|held| now < held.trial_from) {
            // Left over from before the ejection.
            return;
        }
        if target.conviction.is_none() && sample.kind == SampleKind::Good {
            self.sketch.add(sample.bucket, sample.count);
        }
        let effect = self.effect_of(sample);
        let own = source.data_centre == 0;
        if own && matches!(sample.kind, SampleKind::Good | SampleKind::Late) {
            self.targets[index].last_good = now;
        }
        self.targets[index].window_of(source).tally.note(sample.count as f32, effect);
    }

    /// Whether a sample is bad by each measure, or says nothing about it.
    fn effect_of(&self, sample: &Sample) -> [Option<bool>; MEASURES] {
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

    fn weigh(&mut self, scene: &JudgeScene, verdicts: &mut Vec<Verdict>) {
        self.sketch.decay(scene.now);
        let usual = self.usual_rates(scene.now);
        self.measure_dispersion(scene.now, &usual);
        let factors: [f32; MEASURES] = std::array::from_fn(|m| self.dispersion[m].factor());
        let threshold = self.threshold;
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            if target.windows.is_empty() {
                continue;
            }
            let rates = usual.without(target);
            target.raise_sums(scene, threshold, &rates, &factors);
            let verdict = self.conclude(scene, index, &rates);
            verdicts.extend(verdict);
        }
        self.set_limits();
    }

    /// Rates over all targets that are not on trial, now, lately and as usual.
    fn usual_rates(&mut self, now: TimePoint) -> UsualRates {
        let mut usual = UsualRates::default();
        let mut shown: [[Vec<f32>; 2]; MEASURES] = Default::default();
        for target in &mut self.targets {
            let window = target.window_total();
            target.recent.add(now, &window);
            target.long.add(now, &window);
            target.span.add(&window);
            if target.conviction.is_some() {
                continue;
            }
            usual.recent.add(&target.recent.tally);
            usual.long.add(&target.long.tally);
            usual.window.add(&window);
            for (measure, [recent, long]) in shown.iter_mut().enumerate() {
                recent.extend(target.recent.rate(measure));
                long.extend(target.long.rate(measure));
            }
        }
        for (measure, [recent, long]) in shown.iter_mut().enumerate() {
            usual.median[measure] = median(recent).max(median(long));
        }
        usual
    }

    /// Measures, once a span, how much bad outcomes cluster.
    fn measure_dispersion(&mut self, now: TimePoint, usual: &UsualRates) {
        if now.since(self.span_started) < DISPERSION_WINDOW {
            return;
        }
        self.span_started = now;
        for target in &mut self.targets {
            let span = std::mem::take(&mut target.span);
            if target.conviction.is_some() {
                continue;
            }
            for measure in 0..MEASURES {
                let rate = usual.long.rate_without(&target.long.tally, measure);
                self.dispersion[measure].note(now, span.count[measure], span.bad[measure], rate);
            }
        }
    }

    fn set_limits(&mut self) {
        if self.sketch.total() < SKETCH_LEAST {
            return;
        }
        if let Some(limit) = self.sketch.quantile(0.9) {
            self.slow_limit = limit;
            self.very_slow_limit = limit.raised(1.0);
        }
    }

    fn conclude(
        &mut self,
        scene: &JudgeScene,
        index: usize,
        rates: &[f32; MEASURES],
    ) -> Option<Verdict> {
        let target = &self.targets[index];
        let on_trial = target.conviction.is_some();
        let needed = if on_trial { self.threshold * TRIAL_THRESHOLD } else { self.threshold };
        let finding = target.score(scene.now, self.threshold);
        if finding.score >= needed
            && !self.is_shared(scene, index, finding.measure)
            && !self.still_answers(scene.now, index, finding.measure)
        {
            let target = &mut self.targets[index];
            target.convict(scene.now, finding, self.backoff, self.backoff_most);
            return Some(self.verdict(index, VerdictKind::Convicted, finding, scene.now));
        }
        if on_trial && target.trial_went_well(rates) {
            self.targets[index].conviction = None;
            return Some(self.verdict(index, VerdictKind::Acquitted, finding, scene.now));
        }
        None
    }

    /// Whether a target that is taken to stall has answered too lately for that: a pause
    /// or a queue in front of its few slots makes it silent for a while too.
    fn still_answers(&self, now: TimePoint, index: usize, measure: Measure) -> bool {
        let Some(overdue) = self.overdue_after() else { return false };
        let target = &self.targets[index];
        let queued = target.load >= QUEUED_LOAD && now.since(target.load_at) <= LOAD_COUNTS;
        let patience = if queued { QUEUED_SILENCE } else { STALL_SILENCE };
        let silence = now.since(target.last_good);
        measure == Measure::Overdue && silence < overdue.mul_f64(patience)
    }

    /// Whether many siblings show the same just now, if more weakly: then it is the
    /// service or what is behind it, and the target is only the first to be noticed.
    fn is_shared(&self, scene: &JudgeScene, index: usize, measure: Measure) -> bool {
        let measure = measure as usize;
        let Some(own) = self.targets[index].recent.rate(measure) else { return false };
        let siblings = self
            .targets
            .iter()
            .enumerate()
            .filter(|(sibling, target)| *sibling != index && target.conviction.is_none());
        let rates: Vec<f32> =
            siblings.filter_map(|(_, target)| target.recent.rate(measure)).collect();
        let shared_from = if scene.pooled { SHARED_FROM } else { SHARED_FROM_ALONE };
        let similar = rates.iter().filter(|rate| **rate >= own * SIMILAR_RATE).count();
        similar > 0 && similar as f32 >= rates.len() as f32 * shared_from
    }

    fn verdict(
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
            cause: finding.measure.cause(),
            flaps: target.flaps.count(),
            stamp: now.as_micros(),
        }
    }

    fn standing(&self) -> Vec<Verdict> {
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

/// Outcomes that say something by each measure, and the bad ones among them.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    count: [f32; MEASURES],
    bad: [f32; MEASURES],
}

impl Tally {
    fn note(&mut self, count: f32, effect: [Option<bool>; MEASURES]) {
        for (measure, bad) in effect.into_iter().enumerate() {
            let Some(bad) = bad else { continue };
            self.count[measure] += count;
            self.bad[measure] += if bad { count } else { 0.0 };
        }
    }

    fn add(&mut self, other: &Tally) {
        for measure in 0..MEASURES {
            self.count[measure] += other.count[measure];
            self.bad[measure] += other.bad[measure];
        }
    }

    fn scale(&mut self, factor: f32) {
        self.count.iter_mut().chain(&mut self.bad).for_each(|number| *number *= factor);
    }

    /// The rate of bad outcomes left when `own` is taken out, leaning on the least rate.
    fn rate_without(&self, own: &Tally, measure: usize) -> f32 {
        let count = (self.count[measure] - own.count[measure]).max(0.0);
        let bad = (self.bad[measure] - own.bad[measure]).clamp(0.0, count);
        (bad + PRIOR_WEIGHT * LEAST_RATE[measure]) / (count + PRIOR_WEIGHT)
    }
}

/// What the siblings show.
#[derive(Debug, Default)]
struct UsualRates {
    recent: Tally,
    long: Tally,
    window: Tally,
    median: [f32; MEASURES],
}

impl UsualRates {
    /// The usual rates for one target: those of its siblings, over whichever of this
    /// window, the last seconds and the last minute is worst, yet not far above what
    /// most of them show.
    fn without(&self, target: &JudgedTarget) -> [f32; MEASURES] {
        let own_window = target.window_total();
        std::array::from_fn(|measure| {
            let recent = self.recent.rate_without(&target.recent.tally, measure);
            let long = self.long.rate_without(&target.long.tally, measure);
            let window = self.window.rate_without(&own_window, measure);
            let most = 3.0 * self.median[measure] + 2.0 * LEAST_RATE[measure];
            recent.max(long).max(window).min(most).max(LEAST_RATE[measure])
        })
    }
}

/// A tally that forgets.
#[derive(Debug, Clone, Copy)]
struct RateMemory {
    tally: Tally,
    half_life: Duration,
    decayed: TimePoint,
}

impl RateMemory {
    fn new(half_life: Duration) -> RateMemory {
        RateMemory { tally: Tally::default(), half_life, decayed: TimePoint::default() }
    }

    fn add(&mut self, now: TimePoint, window: &Tally) {
        let age = now.since(self.decayed).as_secs_f64() / self.half_life.as_secs_f64();
        self.tally.scale((-age).exp2() as f32);
        self.decayed = now;
        self.tally.add(window);
    }

    /// The rate of bad outcomes, if enough is remembered to speak of one.
    fn rate(&self, measure: usize) -> Option<f32> {
        let count = self.tally.count[measure];
        (count >= 1.0).then(|| self.tally.bad[measure] / count)
    }
}

#[derive(Debug)]
struct JudgedTarget {
    key: TargetKey,
    windows: Vec<SourceWindow>,
    recent: RateMemory,
    long: RateMemory,
    span: Tally,
    pools: Vec<CentrePool>,
    /// When its last good answer to this data centre came to notice.
    last_good: TimePoint,
    load: f32,
    load_at: TimePoint,
    conviction: Option<Conviction>,
    flaps: FlapCount,
    trial: Tally,
}

#[derive(Debug)]
struct Conviction {
    since: TimePoint,
    trial_from: TimePoint,
    finding: Finding,
}

/// What one source saw in this window.
#[derive(Debug)]
struct SourceWindow {
    source: SourceRef,
    tally: Tally,
}

/// The sums over the evidence of one data centre.
#[derive(Debug)]
struct CentrePool {
    data_centre: usize,
    sums: [f32; HYPOTHESES.len()],
    /// What each source has added since the sum was last zero.
    shares: Vec<(u32, [f32; HYPOTHESES.len()])>,
    last_seen: TimePoint,
}

impl JudgedTarget {
    fn new(key: TargetKey) -> JudgedTarget {
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

    fn note_load(&mut self, now: TimePoint, load: f32) {
        if load > 0.0 {
            self.load = load;
            self.load_at = now;
        }
    }

    fn window_of(&mut self, source: SourceRef) -> &mut SourceWindow {
        let known = self.windows.iter().position(|window| window.source == source);
        let index = known.unwrap_or_else(|| {
            self.windows.push(SourceWindow { source, tally: Tally::default() });
            self.windows.len() - 1
        });
        &mut self.windows[index]
    }

    fn window_total(&self) -> Tally {
        let mut total = Tally::default();
        for window in &self.windows {
            total.add(&window.tally);
        }
        total
    }

    fn raise_sums(
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
    fn score(&self, now: TimePoint, threshold: f32) -> Finding {
        let own = self.pools.iter().find(|pool| pool.data_centre == 0);
        let silent = own.is_none_or(|pool| now.since(pool.last_seen) > OWN_SILENCE);
        let mut best = Finding { score: 0.0, scope: VerdictScope::Target, measure: Measure::Error };
        for (number, hypothesis) in HYPOTHESES.iter().enumerate() {
            let own_sum = own.map_or(0.0, |pool| pool.sums[number]);
            let others = self
                .pools
                .iter()
                .filter(|pool| pool.data_centre != 0 && now.since(pool.last_seen) <= REMOTE_FRESH);
            let remote: f32 = others.map(|pool| pool.sums[number].min(threshold)).sum();
            let most = if silent { f32::INFINITY } else { own_sum * hypothesis.remote_factor };
            let score = own_sum + remote.min(most);
            if score > best.score {
                let shared = self.pools.len() == 1 || remote >= own_sum / 4.0;
                let scope = if shared { VerdictScope::Target } else { VerdictScope::DataCentre };
                best = Finding { score, scope, measure: hypothesis.measure };
            }
        }
        best
    }

    fn convict(
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

    fn trial_went_well(&self, usual: &[f32; MEASURES]) -> bool {
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

fn pool_of(pools: &mut Vec<CentrePool>, data_centre: usize) -> &mut CentrePool {
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
    fn add(
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
    fn drop_idle_shares(&mut self) {
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

/// What one outcome adds to the sum of a hypothesis.
#[derive(Debug, Clone, Copy)]
struct LikelihoodStep {
    bad: f32,
    good: f32,
}

impl LikelihoodStep {
    /// `None` where the siblings are so bad that the hypothesis says nothing.
    fn of(
        hypothesis: &Hypothesis,
        usual: &[f32; MEASURES],
        factors: &[f32; MEASURES],
    ) -> Option<LikelihoodStep> {
        let factor = factors[hypothesis.measure as usize];
        let usual = usual[hypothesis.measure as usize];
        let rate = hypothesis.rate.max(usual * hypothesis.factor);
        if rate > MOST_RATE {
            return None;
        }
        let bad = (rate / usual).ln();
        let good = ((1.0 - rate) / (1.0 - usual)).ln();
        Some(LikelihoodStep { bad: bad / factor, good: good / factor })
    }
}

fn median(rates: &mut [f32]) -> f32 {
    if rates.is_empty() {
        return 0.0;
    }
    let middle = rates.len() / 2;
    let (_, median, _) = rates.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
