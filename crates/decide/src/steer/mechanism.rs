//! Parts of the pick that can be switched off, one by one, to measure what each is worth.

use std::fmt;
use std::str::FromStr;

/// A part of the pick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Everything but a random choice.
    Steering,
    /// What peers saw of targets.
    PeerSamples,
    /// Second attempts beside one that is open for long.
    Hedges,
    /// Second attempts early enough for requests that have little time.
    DeadlineHedges,
    /// The ages of open attempts as evidence.
    OpenAges,
    /// Trials of targets that got nothing for a while.
    Trials,
    /// Later trials while a service fails few requests.
    FewerTrials,
    /// The price of leaving the data centre.
    CrossDataCentreCost,
    /// The wait that a target's load makes likely.
    LoadWait,
    /// Requests with time to spare held back while all targets have queues.
    HoldBack,
    /// News for other data centres handed on by two of their boxes.
    UpdateRelays,
    /// Few targets kept to where a service has many more than its requests need.
    TargetSubset,
}

/// The mechanisms that are switched off.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MechanismSet {
    off: Vec<Mechanism>,
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
    /// Whether a mechanism works.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Whether all of them work.
    pub fn is_complete(&self) -> bool {
        self.off.is_empty()
    }

    /// The names that can be switched off, for messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for MechanismSet {
    type Err = UnknownMechanism;

    /// Reads names with commas between them; an empty text switches nothing off.
    fn from_str(text: &str) -> Result<MechanismSet, UnknownMechanism> {
        let mut off = Vec::new();
        for name in text.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let Some((mechanism, _)) = NAMES.iter().find(|(_, known)| *known == name) else {
                return Err(UnknownMechanism { name: name.to_string() });
            };
            off.push(*mechanism);
        }
        Ok(MechanismSet { off })
    }
}

impl fmt::Display for MechanismSet {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = NAMES.iter().filter(|(mechanism, _)| !self.has(*mechanism));
        let names: Vec<&str> = named.map(|(_, name)| *name).collect();
        out.write_str(&names.join(","))
    }
}

/// A name that no mechanism has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "'{}' is no mechanism; allowed are {}", self.name, MechanismSet::names())
    }
}

impl std::error::Error for UnknownMechanism {}
