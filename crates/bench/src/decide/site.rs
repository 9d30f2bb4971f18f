//! The two users' browsing services, as they are today.

use std::time::Duration;

use wingbridge_config::{CAREFUL_TARGET_DAYS, QUICK_TARGET_DAYS};
use wingbridge_decide::{LimitSetup, ServiceSetup, TargetSetup};

/// One site's sizes and rates.
#[derive(Debug, Clone)]
pub struct SiteSetup {
    /// Its name.
    pub name: &'static str,
    /// Boxes.
    pub boxes: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Requests a second for each target on average.
    pub rate: f64,
    /// Median time of the work.
    pub work: Duration,
    /// Sigma of the logarithm of that time.
    pub spread: f64,
    /// One way between box and target.
    pub network: Duration,
    /// Time for a request.
    pub deadline: Duration,
    /// Target-days between two false ejections.
    pub bias_days: f64,
}

impl SiteSetup {
    /// The site called `name`.
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

    /// The browsing service's setup.
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

    /// The data centre of a box, by its number.
    pub fn centre_of(&self, box_number: usize) -> usize {
        box_number % self.data_centres
    }
}
