//! Outlier detection: a sequential test that convicts failing targets by the evidence of many boxes.
//!
//! For each target and data centre, the detector keeps a cumulative sum (CUSUM) of log-likelihood ratios for
//! each of a few hypotheses, such as "a quarter of its answers are errors". Bad outcomes raise the sum, good
//! ones lower it, and it never falls below zero. The baseline rate of bad outcomes is the rate of the target's
//! siblings over the same period, so no target is convicted when a service fails or slows as a whole.
//!
//! Bad outcomes come in bursts (a queue, a pause), so ratios that treat them as independent would convict a
//! target on a single burst. The degree of clustering is measured on the siblings as well
//! ([`crate::dispersion`]), and the ratios are divided by it.
//!
//! Pooled evidence is bounded:
//! - one box adds at most [`MAX_SOURCE_SHARE`] of the threshold, so a failing box alone convicts no target;
//! - one window adds at most a part of the threshold, so a single short pause convicts no target;
//! - other data centres add at most a few times what the local one observed, so a partition between one data
//!   centre and a target affects that path only and not the target as a whole.

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

/// Time for which evidence is collected before it is evaluated.
pub const DETECTION_WINDOW: Duration = Duration::from_millis(50);
/// Maximum share of the threshold that one box can add to a sum if several boxes contribute.
const MAX_SOURCE_SHARE: f32 = 0.55;

/// Finds failing targets from the evidence of one or more boxes.
#[derive(Debug)]
pub struct OutlierDetector {
    own_data_centre: Name,
    pooled: bool,
    services: HashMap<Name, MonitoredService>,
    /// Services with evidence that has not been evaluated.
    dirty: Vec<Name>,
    /// Numbers of the boxes that have sent evidence.
    sources: HashMap<EvidenceSource, u32>,
    /// All data centres that have sent evidence; the local one comes first.
    data_centres: Vec<Name>,
}

impl OutlierDetector {
    /// Creates the detector of an agent, which evaluates the evidence of many boxes.
    pub fn pooled(own_data_centre: &str) -> OutlierDetector {
        OutlierDetector::new(own_data_centre, true)
    }

    /// Creates the detector within a box, which evaluates the evidence of this box only.
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

    /// Adds the service of `setup`, or changes it. Targets that remain keep their state.
    pub fn configure(&mut self, setup: &ServiceSetup) {
        let service = self
            .services
            .entry(setup.name.clone())
            .or_insert_with(|| MonitoredService::new(setup.name.clone()));
        service.configure(setup);
    }

    /// Removes `service` and the state of its targets.
    pub fn remove(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Discards the state of `target`, because a new instance answers at its address.
    pub fn reset_target(&mut self, service: &str, target: TargetKey) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if let Some(&index) = service.index.get(&target) {
            service.targets[index] = MonitoredTarget::new(target);
        }
    }

    /// Adds a batch of evidence from the box `source`. Unknown services and targets are ignored.
    pub fn add_batch(&mut self, now: TimePoint, source: &EvidenceSource, batch: &EvidenceBatch) {
        let source = self.source_ref(source);
        let Some(service) = self.services.get_mut(&batch.service) else {
            return;
        };
        if !service.dirty {
            service.dirty = true;
            self.dirty.push(batch.service.clone());
        }
        for samples in &batch.targets {
            let Some(&index) = service.index.get(&samples.target) else {
                continue;
            };
            service.targets[index].record_load(now, samples.load);
            for sample in &samples.samples {
                service.add_sample(now, index, source, sample);
            }
        }
    }

    /// Evaluates the evidence added since the last call and returns the new verdicts.
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

    /// Returns the convictions in force, for a box that has just connected.
    pub fn verdicts_in_force(&self) -> Vec<Verdict> {
        let services = self.services.values();
        services.flat_map(MonitoredService::verdicts_in_force).collect()
    }

    /// Returns the time after which an open attempt of `service` counts as overdue. `None` until enough
    /// latencies are recorded.
    pub fn overdue_after(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.overdue_after()
    }

    /// Returns the median latency of `service`. `None` until enough latencies are recorded.
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

/// Inputs of an evaluation that are the same for all services.
struct WindowContext {
    now: TimePoint,
    pooled: bool,
    /// Number of boxes that have sent evidence.
    sources: usize,
}

impl WindowContext {
    /// Returns the maximum that one box can add to a sum.
    fn max_source_contribution(&self, threshold: f32) -> f32 {
        if self.pooled && self.sources > 1 { threshold * MAX_SOURCE_SHARE } else { f32::INFINITY }
    }
}
