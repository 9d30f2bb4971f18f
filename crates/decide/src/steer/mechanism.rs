//! Mechanisms of the target choice that can be disabled one by one, to measure the effect of each.

use std::fmt;
use std::str::FromStr;

/// A mechanism of the target choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Weighing targets by expected cost; without it they are chosen uniformly at random.
    Steering,
    /// Use of what peers observe of targets.
    PeerSamples,
    /// Hedges: second attempts while the first one has been open for a long time.
    Hedges,
    /// Hedges that begin early enough for requests with little time remaining.
    DeadlineHedges,
    /// Use of the ages of open attempts as evidence about targets.
    OpenAges,
    /// Trials of targets that had no attempt for a while.
    Trials,
    /// Longer idle times before trials while few requests of the service fail.
    FewerTrials,
    /// The cost of sending a request to another data centre.
    CrossDataCentreCost,
    /// The expected wait at a target because of its load.
    LoadWait,
    /// Holding back requests with enough time remaining while requests queue at all targets.
    HoldBack,
    /// Sending updates for other data centres by way of two boxes of each.
    UpdateRelays,
    /// Use of a subset of the targets where a service has many more than its requests need.
    TargetSubset,
}

/// The set of mechanisms that are disabled.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MechanismSet {
    disabled: Vec<Mechanism>,
}

const NAMES: [(Mechanism, &str); 12] = [
    (Mechanism::Steering, "steering"),
    (Mechanism::PeerSamples, "peer-sightings"),
    (Mechanism::Hedges, "hedges"),
    (Mechanism::DeadlineHedges, "last-hedges"),
    (Mechanism::OpenAges, "open-ages"),
    (Mechanism::Trials, "trials"),
    (Mechanism::FewerTrials, "few-trials"),
    (Mechanism::CrossDataCentreCost, "crossing-price"),
    (Mechanism::LoadWait, "load-wait"),
    (Mechanism::HoldBack, "hold-back"),
    (Mechanism::UpdateRelays, "news-relays"),
    (Mechanism::TargetSubset, "kept-targets"),
];

impl MechanismSet {
    /// Returns whether a mechanism is enabled.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    /// Returns whether all mechanisms are enabled.
    pub fn is_complete(&self) -> bool {
        self.disabled.is_empty()
    }

    /// Returns the names of all mechanisms, separated by commas, for messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for MechanismSet {
    type Err = UnknownMechanism;

    /// Parses the names of the disabled mechanisms, separated by commas. An empty text disables none.
    ///
    /// # Errors
    /// The text contains a name that no mechanism has.
    fn from_str(text: &str) -> Result<MechanismSet, UnknownMechanism> {
        let mut disabled = Vec::new();
        for name in text.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let Some((mechanism, _)) = NAMES.iter().find(|(_, known)| *known == name) else {
                return Err(UnknownMechanism { name: name.to_string() });
            };
            disabled.push(*mechanism);
        }
        Ok(MechanismSet { disabled })
    }
}

impl fmt::Display for MechanismSet {
    /// Writes the names of the disabled mechanisms in the form that [`FromStr`] parses.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = NAMES.iter().filter(|(mechanism, _)| !self.has(*mechanism));
        let names: Vec<&str> = named.map(|(_, name)| *name).collect();
        out.write_str(&names.join(","))
    }
}

/// The error for a name that no mechanism has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMechanism {
    /// The name as it was given.
    pub name: String,
}

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "unknown mechanism '{}', expected one of: {}", self.name, MechanismSet::names())
    }
}

impl std::error::Error for UnknownMechanism {}
