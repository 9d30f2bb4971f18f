//! Sizes and rates of the browsing services of two users.

use std::time::Duration;

use wingbridge_config::{CAREFUL_TARGET_DAYS, QUICK_TARGET_DAYS};
use wingbridge_decide::{LimitSetup, ServiceSetup, TargetSetup};

/// The sizes and rates of a site.
#[derive(Debug, Clone)]
pub struct SiteSetup {
    /// Name of the site.
    pub name: &'static str,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Mean number of requests per second and target.
    pub rate: f64,
    /// Median processing time of a request.
    pub work: Duration,
    /// Standard deviation of the logarithm of the processing time.
    pub spread: f64,
    /// One-way latency between box and target.
    pub network: Duration,
    /// Time within which a request has to be answered.
    pub deadline: Duration,
    /// Accepted number of target-days between two false ejections.
    pub bias_days: f64,
}

impl SiteSetup {
    /// Returns the site with the given name, if there is one.
    pub fn named(name: &str) -> Option<SiteSetup> {
        match name {
            "sedlo" => Some(SiteSetup {
                name: "sedlo",
                boxes: 40,
                data_centres: 3,
                targets: 15,
                slots: 3,
                rate: 60.0,
                work: Duration::from_millis(26),
                spread: 0.5,
                network: Duration::from_micros(500),
                deadline: Duration::from_secs(2),
                bias_days: CAREFUL_TARGET_DAYS,
            }),
            "dakar" => Some(SiteSetup {
                name: "dakar",
                boxes: 40,
                data_centres: 4,
                targets: 20,
                slots: 4,
                rate: 60.0,
                work: Duration::from_millis(35),
                spread: 0.5,
                network: Duration::from_micros(1500),
                deadline: Duration::from_millis(1500),
                bias_days: QUICK_TARGET_DAYS,
            }),
            _ => None,
        }
    }

    /// Returns the setup of the browsing service.
    pub fn service(&self) -> ServiceSetup {
        let target = |number: usize| TargetSetup {
            address: format!("10.0.0.{number}:80").into(),
            slots: self.slots,
        };
        ServiceSetup {
            name: "browsing".into(),
            targets: (0..self.targets).map(target).collect(),
            floor: 0.6,
            false_alarm_days: self.bias_days,
            limits: LimitSetup::default(),
        }
    }

    /// Returns the data centre of a box.
    pub fn centre_of(&self, box_number: usize) -> usize {
        box_number % self.data_centres
    }
}
