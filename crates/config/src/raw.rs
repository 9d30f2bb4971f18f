//! The configuration file as parsed, before validation.

use serde::{Deserialize, Serialize};

/// A configuration file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawFile {
    #[serde(default)]
    pub(crate) service: Vec<RawService>,
}

/// One `[[service]]` block.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawService {
    pub(crate) name: String,
    pub(crate) policy: String,
    pub(crate) routes: Vec<String>,
    pub(crate) targets: Vec<String>,
    pub(crate) slots: u32,
    #[serde(default = "default_floor")]
    pub(crate) floor: f64,
    #[serde(default = "default_bias")]
    pub(crate) bias: String,
    #[serde(default = "default_open")]
    pub(crate) open: usize,
    #[serde(default = "default_open")]
    pub(crate) queued: usize,
    #[serde(default = "default_retry_share")]
    pub(crate) retry_share: f64,
    #[serde(default = "default_backoff")]
    pub(crate) backoff_s: u64,
    #[serde(default = "default_backoff_most")]
    pub(crate) backoff_most_s: u64,
    #[serde(default = "default_warm_up")]
    pub(crate) warm_up_s: u64,
}

/// The manual overrides of one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOverrides {
    #[serde(default)]
    pub(crate) eject: Vec<String>,
    #[serde(default)]
    pub(crate) drain: Vec<String>,
}

fn default_floor() -> f64 {
    0.6
}

fn default_bias() -> String {
    "careful".into()
}

fn default_open() -> usize {
    64
}

fn default_retry_share() -> f64 {
    0.1
}

fn default_backoff() -> u64 {
    5
}

fn default_backoff_most() -> u64 {
    600
}

fn default_warm_up() -> u64 {
    10
}
