//! State charts kept in files, checked at start-up and interpreted.
//!
//! A life cycle that operators ask about at night should stand in one page that
//! can be read without the code around it. The chart file is that page, and the
//! code has no second copy of it: it asks [`StateChart::next`]. What the file
//! says wrongly is found when the process starts and not when the event comes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;

/// A checked chart: which state follows which on what event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChart {
    start: usize,
    next: Vec<Vec<Option<usize>>>,
}

impl StateChart {
    /// Reads a chart in TOML. `states` and `events` are the names that the code
    /// knows, in the order of its numbers; the file must use just these.
    ///
    /// # Errors
    /// A chart that can't be read, names an unknown state or event, leaves one
    /// of the states out or unreachable, or has a state that nothing leaves.
    pub fn parse(text: &str, states: &[&str], events: &[&str]) -> Result<StateChart, ChartError> {
        let raw: RawChart =
            toml::from_str(text).map_err(|error| ChartError::Unreadable(error.to_string()))?;
        let start = index_of(states, &raw.start).ok_or(ChartError::UnknownState(raw.start))?;
        let mut next = vec![vec![None; events.len()]; states.len()];
        for (name, transitions) in raw.states {
            let Some(state) = index_of(states, &name) else {
                return Err(ChartError::UnknownState(name));
            };
            for (event, to) in transitions {
                let Some(event) = index_of(events, &event) else {
                    return Err(ChartError::UnknownEvent { state: name, event });
                };
                let target = index_of(states, &to).ok_or(ChartError::UnknownState(to))?;
                next[state][event] = Some(target);
            }
        }
        let chart = StateChart { start, next };
        chart.check_exits(states)?;
        chart.check_reach(states)?;
        Ok(chart)
    }

    /// The number of the state that everything starts in.
    pub fn start(&self) -> usize {
        self.start
    }

    /// The state after `event` in `state`, or `None` if the event changes nothing there.
    pub fn next(&self, state: usize, event: usize) -> Option<usize> {
        self.next[state][event]
    }

    fn check_exits(&self, states: &[&str]) -> Result<(), ChartError> {
        for (state, transitions) in self.next.iter().enumerate() {
            let leaves = transitions.iter().flatten().any(|&next| next != state);
            if !leaves {
                return Err(ChartError::DeadEnd(states[state].to_string()));
            }
        }
        Ok(())
    }

    fn check_reach(&self, states: &[&str]) -> Result<(), ChartError> {
        let mut reached = BTreeSet::from([self.start]);
        let mut open = vec![self.start];
        while let Some(state) = open.pop() {
            for &next in self.next[state].iter().flatten() {
                if reached.insert(next) {
                    open.push(next);
                }
            }
        }
        match (0..states.len()).find(|state| !reached.contains(state)) {
            Some(state) => Err(ChartError::Unreachable(states[state].to_string())),
            None => Ok(()),
        }
    }
}

/// What is wrong with a chart file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a chart in TOML.
    Unreadable(String),
    /// A state that the code does not know.
    UnknownState(String),
    /// An event that the code does not know.
    UnknownEvent {
        /// The state that lists it.
        state: String,
        /// Its name.
        event: String,
    },
    /// A state that no event leaves.
    DeadEnd(String),
    /// A state that no event leads to.
    Unreachable(String),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChartError::Unreadable(why) => write!(f, "the chart can't be read: {why}"),
            ChartError::UnknownState(state) => write!(f, "unknown state '{state}'"),
            ChartError::UnknownEvent { state, event } => {
                write!(f, "state '{state}' lists the unknown event '{event}'")
            }
            ChartError::DeadEnd(state) => write!(f, "no event leaves state '{state}'"),
            ChartError::Unreachable(state) => write!(f, "no event leads to state '{state}'"),
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
