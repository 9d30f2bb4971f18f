//! The states of paths, with transitions that a chart file defines.

use std::sync::OnceLock;

use wingbridge_chart::{ChartError, StateChart};

/// The chart file, which is compiled into the program.
const CHART: &str = include_str!("../../charts/paths.toml");

/// The state of the paths to the targets of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PathState {
    /// Attempts come to contacts.
    #[default]
    Reaching,
    /// The last attempts came to no contact.
    Failing,
    /// The last attempts came to no contact, while peers have contacts with the same targets.
    Lost,
}

/// The events of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathEvent {
    /// Several attempts in a row came to no contact.
    Failed,
    /// A target answered.
    Contact,
    /// The last failure was long ago.
    Outdated,
    /// Peers have contacts, and so many failures in a row are no chance.
    PeersReach,
    /// No peer with contacts has been heard of for a while.
    PeersSilent,
}

impl PathState {
    const ALL: [PathState; 3] = [PathState::Reaching, PathState::Failing, PathState::Lost];
    const NAMES: [&'static str; 3] = ["reaching", "failing", "lost"];

    /// Returns the name of the state, for a log.
    pub fn as_str(self) -> &'static str {
        PathState::NAMES[self as usize]
    }

    /// Returns the state that follows on `event`, or this one if the chart has no such transition.
    pub(crate) fn next(self, event: PathEvent) -> PathState {
        let next = chart().next(self as usize, event as usize);
        next.map_or(self, |index| PathState::ALL[index])
    }
}

impl PathEvent {
    const NAMES: [&'static str; 5] =
        ["failed", "contact", "outdated", "peers-reach", "peers-silent"];
}

/// Returns an error if the chart that is compiled into the program is invalid.
///
/// # Errors
/// The chart lacks a state or uses an unknown state or event.
pub fn check_chart() -> Result<(), ChartError> {
    parse_chart().map(drop)
}

fn parse_chart() -> Result<StateChart, ChartError> {
    StateChart::parse(CHART, &PathState::NAMES, &PathEvent::NAMES)
}

fn chart() -> &'static StateChart {
    static PARSED: OnceLock<StateChart> = OnceLock::new();
    PARSED.get_or_init(|| parse_chart().expect("the chart is compiled in and checked by a test"))
}
