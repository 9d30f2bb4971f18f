//! The life of one target as one box holds it, by the chart in a file.

use std::time::Duration;

use wingbridge_chart::{ChartError, StateChart};

use crate::flaps::FlapCount;
use crate::floor::EjectionRank;
use crate::messages::VerdictScope;
use crate::setup::LimitSetup;
use crate::time::TimePoint;

/// The chart file, part of the program.
const CHART: &str = include_str!("../charts/target-health.toml");

/// Share of its usual requests that a target on trial gets.
const TRIAL_TRAFFIC_SHARE: f64 = 0.05;
/// Share that a warming target starts from.
const INITIAL_WARMING_SHARE: f64 = 0.1;
/// Good answers that end a trial for this box.
const MIN_TRIAL_SUCCESSES: u32 = 5;
/// Failures that end a trial the other way.
const MAX_TRIAL_FAILURES: u32 = 2;
/// A trial that brings no news for so long ends well: the service is quiet.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(60);

/// The states of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// It gets its share.
    Healthy,
    /// It is kept out, as far as the floor allows.
    Ejected,
    /// It gets a small share of requests that may be repeated.
    Trial,
    /// Its share grows.
    Warming,
    /// It gets nothing.
    Draining,
}

impl HealthState {
    const ALL: [HealthState; 5] = [
        HealthState::Healthy,
        HealthState::Ejected,
        HealthState::Trial,
        HealthState::Warming,
        HealthState::Draining,
    ];

    /// The state's name, as in the chart file.
    pub fn as_str(self) -> &'static str {
        match self {
            HealthState::Healthy => "healthy",
            HealthState::Ejected => "ejected",
            HealthState::Trial => "trial",
            HealthState::Warming => "warming",
            HealthState::Draining => "leaving",
        }
    }
}

/// The events of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// It fails, says a judge, this box or an operator.
    Convicted,
    /// The back-off after an ejection is over.
    BackoffOver,
    /// Its trial went well.
    Acquitted,
    /// Its share has grown to the whole.
    Warm,
    /// It leaves.
    Drain,
    /// It takes work again after leaving.
    Returned,
    /// It has just started.
    Cold,
}

impl HealthEvent {
    const NAMES: [&'static str; 7] =
        ["convicted", "backoff_over", "acquitted", "warm", "leave", "returned", "cold"];
}

/// The checked chart.
#[derive(Debug, Clone)]
pub struct HealthChart {
    chart: StateChart,
}

impl HealthChart {
    /// The chart that ships with the program.
    ///
    /// # Errors
    /// The file breaks a rule of charts; the process must not start.
    pub fn load() -> Result<HealthChart, ChartError> {
        HealthChart::parse(CHART)
    }

    /// Reads a chart of target health from `text`.
    ///
    /// # Errors
    /// The text breaks a rule of charts.
    pub fn parse(text: &str) -> Result<HealthChart, ChartError> {
        let states = HealthState::ALL.map(HealthState::as_str);
        let chart = StateChart::parse(text, &states, &HealthEvent::NAMES)?;
        Ok(HealthChart { chart })
    }

    fn next(&self, state: HealthState, event: HealthEvent) -> Option<HealthState> {
        let next = self.chart.next(state as usize, event as usize)?;
        Some(HealthState::ALL[next])
    }
}

/// Why and for whom a target is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ejection {
    /// Its place in the order of the floor guard.
    pub rank: EjectionRank,
    /// For whom it counts.
    pub scope: VerdictScope,
}

/// One target's state in one box.
#[derive(Debug, Clone)]
pub struct TargetHealth {
    state: HealthState,
    since: TimePoint,
    ejection: Option<Ejection>,
    flaps: FlapCount,
    backoff_until: TimePoint,
    trial_successes: u32,
    trial_failures: u32,
}

impl TargetHealth {
    /// A target that is new with the whole service: it gets its share at once.
    pub fn healthy(now: TimePoint) -> TargetHealth {
        TargetHealth {
            state: HealthState::Healthy,
            since: now,
            ejection: None,
            flaps: FlapCount::default(),
            backoff_until: TimePoint::default(),
            trial_successes: 0,
            trial_failures: 0,
        }
    }

    /// A target added to a running service: it may be cold.
    pub fn cold(now: TimePoint) -> TargetHealth {
        TargetHealth { state: HealthState::Warming, ..TargetHealth::healthy(now) }
    }

    /// Its state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Since when it is in that state.
    pub fn since(&self) -> TimePoint {
        self.since
    }

    /// Its ejection, until it is wholly back.
    pub fn ejection(&self) -> Option<&Ejection> {
        self.ejection.as_ref()
    }

    /// How often it was ejected lately.
    pub fn flaps(&self) -> u32 {
        self.flaps.count()
    }

    /// Whether it would be in service if no ejection kept it out.
    pub fn counts_toward_floor(&self) -> bool {
        match self.state {
            HealthState::Draining => false,
            HealthState::Warming => self.ejection.is_some(),
            HealthState::Healthy | HealthState::Ejected | HealthState::Trial => true,
        }
    }

    /// The share of its usual requests that its state allows.
    pub fn share(&self, now: TimePoint, limits: &LimitSetup) -> f64 {
        match self.state {
            HealthState::Healthy => 1.0,
            HealthState::Ejected | HealthState::Draining => 0.0,
            HealthState::Trial => TRIAL_TRAFFIC_SHARE,
            HealthState::Warming => {
                let grown = now.since(self.since).as_secs_f64() / limits.warm_up.as_secs_f64();
                (INITIAL_WARMING_SHARE + (1.0 - INITIAL_WARMING_SHARE) * grown).min(1.0)
            }
        }
    }

    /// Ejects it; `flaps` is what the judge counted, if it was a judge.
    pub fn convict(
        &mut self,
        chart: &HealthChart,
        now: TimePoint,
        ejection: Ejection,
        flaps: u32,
        limits: &LimitSetup,
    ) -> bool {
        let again = self.state == HealthState::Ejected;
        if !self.apply(chart, now, HealthEvent::Convicted) {
            return false;
        }
        self.ejection = Some(match self.ejection {
            Some(earlier) if again && earlier.rank < ejection.rank => earlier,
            _ => ejection,
        });
        if again {
            // A second finding about the same ejection, from another box or judge.
            self.flaps.raise(flaps);
            return true;
        }
        self.flaps.record(now, flaps);
        self.backoff_until = now + self.flaps.backoff(limits.backoff, limits.backoff_max);
        true
    }

    /// Its trial went well, says a judge.
    pub fn acquit(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Acquitted)
    }

    /// It leaves. What it was ejected for is forgotten: it comes back as another one.
    pub fn drain(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        let left = self.apply(chart, now, HealthEvent::Drain);
        if left {
            self.ejection = None;
        }
        left
    }

    /// It takes work again after leaving.
    pub fn restore(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Returned)
    }

    /// It says that it has just started.
    pub fn mark_cold(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Cold)
    }

    /// Another target answers at this address: nothing is held against it.
    pub fn replace(&mut self, now: TimePoint) {
        *self = TargetHealth::cold(now);
    }

    /// Counts a trial's attempt and says whether the trial failed by it.
    pub fn record_trial_result(&mut self, chart: &HealthChart, now: TimePoint, good: bool) -> bool {
        if self.state != HealthState::Trial {
            return false;
        }
        if !good {
            self.trial_failures += 1;
            return self.trial_failures >= MAX_TRIAL_FAILURES;
        }
        self.trial_successes += 1;
        if self.trial_successes >= MIN_TRIAL_SUCCESSES {
            self.apply(chart, now, HealthEvent::Acquitted);
        }
        false
    }

    /// Moves on with time; true if the state changed.
    pub fn tick(&mut self, chart: &HealthChart, now: TimePoint, limits: &LimitSetup) -> bool {
        match self.state {
            HealthState::Ejected if now >= self.backoff_until => {
                self.apply(chart, now, HealthEvent::BackoffOver)
            }
            HealthState::Trial if now.since(self.since) >= MAX_TRIAL_DURATION => {
                self.apply(chart, now, HealthEvent::Acquitted)
            }
            HealthState::Warming if now.since(self.since) >= limits.warm_up => {
                self.ejection = None;
                self.apply(chart, now, HealthEvent::Warm)
            }
            _ => false,
        }
    }

    fn apply(&mut self, chart: &HealthChart, now: TimePoint, event: HealthEvent) -> bool {
        let Some(next) = chart.next(self.state, event) else {
            return false;
        };
        if next != self.state {
            self.state = next;
            self.since = now;
            self.trial_successes = 0;
            self.trial_failures = 0;
        }
        true
    }
}
