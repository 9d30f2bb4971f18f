//! The sequential test that convicts targets, over the evidence of many boxes.
//!
//! For each target and data centre a cumulative sum of log-likelihood ratios is
//! kept for a few hypotheses ("a quarter of its answers are errors"). Bad
//! outcomes raise it, good ones lower it, and it never falls below zero. The rate
//! of bad outcomes that is held to be baseline is what the target's siblings show in
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

mod counts;
mod hypotheses;
mod service;
mod target;

use std::collections::HashMap;
use std::time::Duration;

use crate::detector::service::MonitoredService;
use crate::detector::target::{MonitoredTarget, SourceRef};
use crate::evidence::{EvidenceBatch, EvidenceSource};
use crate::messages::Verdict;
use crate::names::{Name, TargetKey};
use crate::setup::ServiceSetup;
use crate::time::TimePoint;

/// How long evidence is gathered before it is weighed.
pub const DETECTION_WINDOW: Duration = Duration::from_millis(50);
/// What of the threshold one box can add in a pool of several.
const SOURCE_SHARE: f32 = 0.55;

/// Judges targets by the evidence handed to it.
#[derive(Debug)]
pub struct OutlierDetector {
    own_data_centre: Name,
    pooled: bool,
    services: HashMap<Name, MonitoredService>,
    dirty: Vec<Name>,
    sources: HashMap<EvidenceSource, u32>,
    data_centres: Vec<Name>,
}

impl OutlierDetector {
    /// The judge of an agent, over the evidence of many boxes.
    pub fn pooled(own_data_centre: &str) -> OutlierDetector {
        OutlierDetector::new(own_data_centre, true)
    }

    /// The judge within a box, over its own evidence alone.
    pub fn local(own_data_centre: &str) -> OutlierDetector {
        OutlierDetector::new(own_data_centre, false)
    }

    fn new(own_data_centre: &str, pooled: bool) -> OutlierDetector {
        OutlierDetector {
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
            .or_insert_with(|| MonitoredService::new(setup.name.clone()));
        service.configure(setup);
    }

    /// Judges `service` no more.
    pub fn remove(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Forgets what is held against a target: another one answers at its address.
    pub fn reset_target(&mut self, service: &str, target: TargetKey) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if let Some(&index) = service.index.get(&target) {
            service.targets[index] = MonitoredTarget::new(target);
        }
    }

    /// Takes what `source` saw.
    pub fn add_batch(&mut self, now: TimePoint, source: &EvidenceSource, batch: &EvidenceBatch) {
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
            service.targets[index].record_load(now, seen.load);
            for sample in &seen.samples {
                service.add_sample(now, index, source, sample);
            }
        }
    }

    /// Weighs what came since the last window.
    pub fn tick(&mut self, now: TimePoint) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let context = WindowContext { now, pooled: self.pooled, sources: self.sources.len() };
        for name in std::mem::take(&mut self.dirty) {
            if let Some(service) = self.services.get_mut(&name) {
                service.dirty = false;
                service.evaluate(&context, &mut verdicts);
            }
        }
        verdicts
    }

    /// The verdicts in force, for a box that is new.
    pub fn verdicts_in_force(&self) -> Vec<Verdict> {
        let services = self.services.values();
        services.flat_map(MonitoredService::verdicts_in_force).collect()
    }

    /// How long an attempt of `service` may be open before it counts as overdue.
    /// `None` while too little is known.
    pub fn overdue_after(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.overdue_after()
    }

    /// The median time of an answer of `service`. `None` while too little is known.
    pub fn typical_time(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.typical_time()
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
struct WindowContext {
    now: TimePoint,
    pooled: bool,
    sources: usize,
}

impl WindowContext {
    /// The most that one source can add to a sum.
    fn max_source_contribution(&self, threshold: f32) -> f32 {
        if self.pooled && self.sources > 1 { threshold * SOURCE_SHARE } else { f32::INFINITY }
    }
}
