//! State charts that are read from files, validated at start-up and interpreted.
//!
//! A chart file describes a life cycle in one place that operators can read without the code.
//! It is the only definition of the transitions: the code looks them up with
//! [`StateChart::next`]. Errors in the file are detected when the process starts, not when an
//! event occurs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;

/// A validated chart: the next state for each pair of state and event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChart {
    start: usize,
    next: Vec<Vec<Option<usize>>>,
}

impl StateChart {
    /// Parses a chart in TOML. `states` and `events` are the names of the states and events of
    /// the code, in the order of their indices; the chart must define all of the states and may
    /// use no other names.
    ///
    /// # Errors
    /// The text is not a chart, uses an unknown state or event, lacks one of the states, or has
    /// a state that can't be reached or can't be left.
    pub fn parse(text: &str, states: &[&str], events: &[&str]) -> Result<StateChart, ChartError> {
        let raw: RawChart =
            toml::from_str(text).map_err(|error| ChartError::Invalid(error.to_string()))?;
        let start = index_of(states, &raw.start).ok_or(ChartError::UnknownState(raw.start))?;
        let mut next = vec![vec![None; events.len()]; states.len()];
        for (name, transitions) in raw.states {
            let Some(state) = index_of(states, &name) else {
                return Err(ChartError::UnknownState(name));
            };
            for (event, next_state) in transitions {
                let Some(event) = index_of(events, &event) else {
                    return Err(ChartError::UnknownEvent { state: name, event });
                };
                let target =
                    index_of(states, &next_state).ok_or(ChartError::UnknownState(next_state))?;
                next[state][event] = Some(target);
            }
        }
        let chart = StateChart { start, next };
        chart.check_exits(states)?;
        chart.check_reachability(states)?;
        Ok(chart)
    }

    /// Returns the index of the initial state.
    pub fn start(&self) -> usize {
        self.start
    }

    /// Returns the state that follows `state` on `event`; `None` if the event has no transition there.
    ///
    /// # Panics
    /// `state` or `event` is out of range.
    pub fn next(&self, state: usize, event: usize) -> Option<usize> {
        self.next[state][event]
    }

    fn check_exits(&self, states: &[&str]) -> Result<(), ChartError> {
        for (state, transitions) in self.next.iter().enumerate() {
            let has_exit = transitions.iter().flatten().any(|&next| next != state);
            if !has_exit {
                return Err(ChartError::DeadEnd(states[state].to_string()));
            }
        }
        Ok(())
    }

    fn check_reachability(&self, states: &[&str]) -> Result<(), ChartError> {
        let mut reached = BTreeSet::from([self.start]);
        let mut pending = vec![self.start];
        while let Some(state) = pending.pop() {
            for &next in self.next[state].iter().flatten() {
                if reached.insert(next) {
                    pending.push(next);
                }
            }
        }
        match (0..states.len()).find(|state| !reached.contains(state)) {
            Some(state) => Err(ChartError::Unreachable(states[state].to_string())),
            None => Ok(()),
        }
    }
}

/// An error in a chart file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a chart in TOML; with the parser's message.
    Invalid(String),
    /// The chart uses a state that the code does not define.
    UnknownState(String),
    /// The chart uses an event that the code does not define.
    UnknownEvent {
        /// The state that lists the event.
        state: String,
        /// The name of the event.
        event: String,
    },
    /// The state has no transition to another state.
    DeadEnd(String),
    /// The state can't be reached from the initial state.
    Unreachable(String),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChartError::Invalid(reason) => write!(f, "invalid state chart: {reason}"),
            ChartError::UnknownState(state) => write!(f, "unknown state '{state}'"),
            ChartError::UnknownEvent { state, event } => {
                write!(f, "unknown event '{event}' in state '{state}'")
            }
            ChartError::DeadEnd(state) => {
                write!(f, "state '{state}' has no transition to another state")
            }
            ChartError::Unreachable(state) => {
                write!(f, "state '{state}' can't be reached from the initial state")
            }
        }
    }
}

impl std::error::Error for ChartError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChart {
    start: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

fn index_of(names: &[&str], name: &str) -> Option<usize> {
    names.iter().position(|known| *known == name)
}
