//! The health of one target as seen by one box: a state machine whose transitions are defined by a chart file.

use std::time::Duration;

use wingbridge_chart::{ChartError, StateChart};

use crate::flaps::FlapCount;
use crate::floor::EjectionRank;
use crate::messages::VerdictScope;
use crate::setup::LimitSetup;
use crate::time::TimePoint;

/// The chart file, which is compiled into the program.
const CHART: &str = include_str!("../charts/target-health.toml");

/// Share of its normal traffic that a target on trial gets.
const TRIAL_TRAFFIC_SHARE: f64 = 0.05;
/// Share of its normal traffic that a warming target gets at first.
const INITIAL_WARMING_SHARE: f64 = 0.1;
/// Number of good answers at which this box ends a trial with an acquittal.
const MIN_TRIAL_SUCCESSES: u32 = 5;
/// Number of failures at which a trial ends with another ejection.
const TRIAL_FAILURE_LIMIT: u32 = 2;
/// Time after which a trial ends with an acquittal if it has not ended before. A service with few requests may reach
/// neither of the two numbers.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(60);

/// The states of the chart, in the order of their names there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// The target gets its full share of requests.
    Healthy,
    /// The target gets no requests, as far as the capacity floor allows.
    Ejected,
    /// The target gets a small share of the repeatable requests.
    Trial,
    /// The target gets a share of requests that grows with time.
    Warming,
    /// The target finishes its open requests and gets no new ones.
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

    /// Returns the name of the state in the chart file.
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
    /// A detector, this box or an operator found the target to be failing.
    Convicted,
    /// The back-off after an ejection has ended.
    BackoffOver,
    /// The trial of the target succeeded.
    Acquitted,
    /// The warm-up has ended.
    Warm,
    /// The target started to drain.
    Drain,
    /// The target accepts requests again after draining.
    Returned,
    /// The target reported that it has just started.
    Cold,
}

impl HealthEvent {
    /// Names of the events in the chart file, in the order of the variants.
    const NAMES: [&'static str; 7] =
        ["convicted", "backoff_over", "acquitted", "warm", "leave", "returned", "cold"];
}

/// The validated chart of target health.
#[derive(Debug, Clone)]
pub struct HealthChart {
    chart: StateChart,
}

impl HealthChart {
    /// Parses the chart that is compiled into the program.
    ///
    /// # Errors
    /// Returns an error if the chart is invalid; the process must not start.
    pub fn load() -> Result<HealthChart, ChartError> {
        HealthChart::parse(CHART)
    }

    /// Parses a chart of target health.
    ///
    /// # Errors
    /// Returns an error if `text` is not a valid chart with exactly the states and events of this module.
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

/// The rank and the scope of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ejection {
    /// Rank in the order in which the floor guard grants ejections.
    pub rank: EjectionRank,
    /// Paths to the target that the ejection covers.
    pub scope: VerdictScope,
}

/// The health of one target in one box.
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
    /// Creates the health of a target of a service that is new in this box. The target gets its full share immediately.
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

    /// Creates the health of a target that is added to a running service. It starts with a warm-up, since it may be cold.
    pub fn cold(now: TimePoint) -> TargetHealth {
        TargetHealth { state: HealthState::Warming, ..TargetHealth::healthy(now) }
    }

    /// Returns the state in the chart.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns the time when the target entered its state.
    pub fn since(&self) -> TimePoint {
        self.since
    }

    /// Returns the current ejection, until the target is healthy again or drains.
    pub fn ejection(&self) -> Option<&Ejection> {
        self.ejection.as_ref()
    }

    /// Returns the number of recent ejections.
    pub fn flaps(&self) -> u32 {
        self.flaps.count()
    }

    /// Returns whether the target would be in service without its ejection, if any, and so counts as capacity for the
    /// floor.
    pub fn counts_toward_floor(&self) -> bool {
        match self.state {
            HealthState::Draining => false,
            HealthState::Warming => self.ejection.is_some(),
            HealthState::Healthy | HealthState::Ejected | HealthState::Trial => true,
        }
    }

    /// Returns the share of its normal traffic that the state of the target allows, 0 to 1.
    pub fn share(&self, now: TimePoint, limits: &LimitSetup) -> f64 {
        match self.state {
            HealthState::Healthy => 1.0,
            HealthState::Ejected | HealthState::Draining => 0.0,
            HealthState::Trial => TRIAL_TRAFFIC_SHARE,
            HealthState::Warming => {
                let progress = now.since(self.since).as_secs_f64() / limits.warm_up.as_secs_f64();
                (INITIAL_WARMING_SHARE + (1.0 - INITIAL_WARMING_SHARE) * progress).min(1.0)
            }
        }
    }

    /// Ejects the target. `flaps` is the detector's count of recent ejections, 0 without a detector. Returns false if
    /// the chart has no such transition.
    pub fn convict(
        &mut self,
        chart: &HealthChart,
        now: TimePoint,
        ejection: Ejection,
        flaps: u32,
        limits: &LimitSetup,
    ) -> bool {
        let already_ejected = self.state == HealthState::Ejected;
        if !self.apply(chart, now, HealthEvent::Convicted) {
            return false;
        }
        self.ejection = Some(match self.ejection {
            Some(earlier) if already_ejected && earlier.rank < ejection.rank => earlier,
            _ => ejection,
        });
        if already_ejected {
            // Another box or detector reported the failure that the target is already ejected for.
            self.flaps.raise(flaps);
            return true;
        }
        self.flaps.record(now, flaps);
        self.backoff_until = now + self.flaps.backoff(limits.backoff, limits.backoff_max);
        true
    }

    /// Ends an ejection or a trial after a detector's acquittal. Returns false if the chart has no such transition.
    pub fn acquit(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Acquitted)
    }

    /// Marks the target as draining and drops its ejection, because it returns as a new process. Returns false if the
    /// chart has no such transition.
    pub fn drain(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        let drained = self.apply(chart, now, HealthEvent::Drain);
        if drained {
            self.ejection = None;
        }
        drained
    }

    /// Marks a draining target as accepting requests again. Returns false if the chart has no such transition.
    pub fn restore(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Returned)
    }

    /// Starts a warm-up, because the target reported that it has just started. Returns false if the chart has no such
    /// transition.
    pub fn mark_cold(&mut self, chart: &HealthChart, now: TimePoint) -> bool {
        self.apply(chart, now, HealthEvent::Cold)
    }

    /// Resets all state, because a new instance answers at the address. The target starts with a warm-up.
    pub fn replace(&mut self, now: TimePoint) {
        *self = TargetHealth::cold(now);
    }

    /// Counts the result of an attempt if the target is on trial. Returns whether the trial has failed with this
    /// result.
    pub fn record_trial_result(&mut self, chart: &HealthChart, now: TimePoint, good: bool) -> bool {
        if self.state != HealthState::Trial {
            return false;
        }
        if !good {
            self.trial_failures += 1;
            return self.trial_failures >= TRIAL_FAILURE_LIMIT;
        }
        self.trial_successes += 1;
        if self.trial_successes >= MIN_TRIAL_SUCCESSES {
            self.apply(chart, now, HealthEvent::Acquitted);
        }
        false
    }

    /// Applies the transitions that are due at `now`. Returns whether there was one.
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
