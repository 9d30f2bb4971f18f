//! The configuration of services and targets in TOML.
//!
//! Raw values are parsed and then validated into a [`ServiceConfig`], the type that all other code
//! uses. In the store each service has its own key, with one `[[service]]` block as its value.

mod raw;
pub mod routes;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use wingbridge_decide::{LimitSetup, ManualOverride, OverrideKind, ServiceSetup, TargetSetup};

pub use routes::RouteTable;

use crate::raw::{RawFile, RawOverrides, RawService};

/// Prefix of a service's key in the store.
pub const SERVICE_PREFIX: &str = "service/";
/// Prefix of a policy's key in the store.
pub const POLICY_PREFIX: &str = "policy/";
/// Prefix of the key with a service's manual overrides in the store.
pub const OVERRIDES_PREFIX: &str = "hand/";

/// Target-days between two false ejections that `bias = "careful"` stands for.
pub const CAREFUL_TARGET_DAYS: f64 = 10_000.0;
/// Target-days between two false ejections that `bias = "quick"` stands for.
pub const QUICK_TARGET_DAYS: f64 = 100.0;

/// The validated configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    /// The parameters of the decision core.
    pub setup: ServiceSetup,
    /// Path prefixes of the requests that the service's policy plans.
    pub routes: Vec<String>,
    /// The name of the policy.
    pub policy: String,
    /// The `[[service]]` block as stored.
    pub text: String,
}

/// Parses a file with any number of `[[service]]` blocks.
///
/// # Errors
/// The first error, with the service, the setting, its value and the allowed values.
pub fn parse_services(text: &str) -> Result<Vec<ServiceConfig>, ConfigError> {
    let file: RawFile = toml::from_str(text).map_err(|error| ConfigError(error.to_string()))?;
    let mut services = Vec::new();
    for raw in file.service {
        services.push(resolve(raw)?);
    }
    check_across(&services)?;
    Ok(services)
}

/// Parses the value of a service's key in the store.
///
/// # Errors
/// The value is not exactly one valid `[[service]]` block.
pub fn parse_service(text: &str) -> Result<ServiceConfig, ConfigError> {
    let mut services = parse_services(text)?;
    match (services.pop(), services.is_empty()) {
        (Some(service), true) => Ok(service),
        _ => Err(ConfigError("exactly one [[service]] is needed".into())),
    }
}

/// Parses the manual overrides of one service.
///
/// # Errors
/// The text is not a list of overrides.
pub fn parse_overrides(text: &str) -> Result<Vec<ManualOverride>, ConfigError> {
    let raw: RawOverrides = toml::from_str(text).map_err(|error| ConfigError(error.to_string()))?;
    let with_kind =
        |kind: OverrideKind| move |target: String| ManualOverride { target: target.into(), kind };
    let ejected = raw.eject.into_iter().map(with_kind(OverrideKind::Eject));
    let drained = raw.drain.into_iter().map(with_kind(OverrideKind::Drain));
    Ok(ejected.chain(drained).collect())
}

/// Returns manual overrides as the TOML text that the store holds.
pub fn overrides_text(overrides: &[ManualOverride]) -> String {
    let targets_of = |kind: OverrideKind| {
        let selected = overrides.iter().filter(|existing| existing.kind == kind);
        selected.map(|existing| existing.target.to_string()).collect()
    };
    let raw = RawOverrides {
        eject: targets_of(OverrideKind::Eject),
        drain: targets_of(OverrideKind::Drain),
    };
    toml::to_string(&raw).expect("a list of strings can be written as TOML")
}

/// An error in a configuration, described in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.trim_end())
    }
}

impl std::error::Error for ConfigError {}

fn resolve(raw: RawService) -> Result<ServiceConfig, ConfigError> {
    let text = toml::to_string(&RawFile { service: vec![raw.clone()] })
        .map_err(|error| ConfigError(error.to_string()))?;
    let name = raw.name.clone();
    let invalid = |setting: &str, value: &dyn fmt::Display, allowed: &str| {
        ConfigError(format!("service '{name}': {setting} = {value}: allowed is {allowed}"))
    };
    if !is_name(&raw.name) {
        return Err(invalid("name", &raw.name, "lower-case letters, digits and '-', 1 to 63"));
    }
    if !is_name(&raw.policy) {
        return Err(invalid("policy", &raw.policy, "lower-case letters, digits and '-', 1 to 63"));
    }
    if raw.targets.is_empty() {
        return Err(invalid("targets", &"[]", "at least one address"));
    }
    if !(0.0..=1.0).contains(&raw.floor) {
        return Err(invalid("floor", &raw.floor, "a share from 0.0 to 1.0"));
    }
    if !(1..=10_000).contains(&raw.slots) {
        return Err(invalid("slots", &raw.slots, "1 to 10000"));
    }
    if !(0.0..=1.0).contains(&raw.retry_share) {
        return Err(invalid("retry_share", &raw.retry_share, "a share from 0.0 to 1.0"));
    }
    if !(1..=100_000).contains(&raw.open) {
        return Err(invalid("open", &raw.open, "1 to 100000"));
    }
    if raw.queued > 100_000 {
        return Err(invalid("queued", &raw.queued, "0 to 100000"));
    }
    if raw.backoff_s == 0 || raw.backoff_s > raw.backoff_most_s {
        return Err(invalid("backoff_s", &raw.backoff_s, "1 to backoff_most_s"));
    }
    if raw.warm_up_s == 0 {
        return Err(invalid("warm_up_s", &raw.warm_up_s, "1 or more"));
    }
    let Some(false_alarm_days) = bias_days(&raw.bias) else {
        return Err(invalid("bias", &raw.bias, "\"careful\", \"quick\" or target-days as \"500\""));
    };
    for route in &raw.routes {
        if !route.starts_with('/') {
            return Err(invalid("routes", route, "a path that starts with '/'"));
        }
    }
    let mut targets: Vec<TargetSetup> = Vec::new();
    for address in &raw.targets {
        if address.parse::<SocketAddr>().is_err() {
            return Err(invalid("targets", address, "an IP number and a port"));
        }
        if targets.iter().any(|existing| *existing.address == **address) {
            return Err(invalid("targets", address, "each address once"));
        }
        targets.push(TargetSetup { address: address.as_str().into(), slots: raw.slots });
    }
    let limits = LimitSetup {
        open: raw.open,
        queued: raw.queued,
        retry_share: raw.retry_share,
        backoff: Duration::from_secs(raw.backoff_s),
        backoff_max: Duration::from_secs(raw.backoff_most_s),
        warm_up: Duration::from_secs(raw.warm_up_s),
        ..LimitSetup::default()
    };
    let setup =
        ServiceSetup { name: name.into(), targets, floor: raw.floor, false_alarm_days, limits };
    Ok(ServiceConfig { setup, routes: raw.routes, policy: raw.policy, text })
}

/// Checks that no two services have the same name or route.
fn check_across(services: &[ServiceConfig]) -> Result<(), ConfigError> {
    for (index, service) in services.iter().enumerate() {
        let name = &service.setup.name;
        for earlier in &services[..index] {
            if earlier.setup.name == *name {
                return Err(ConfigError(format!("service '{name}' is defined twice")));
            }
            if let Some(route) = service.routes.iter().find(|route| earlier.routes.contains(route))
            {
                let other = &earlier.setup.name;
                return Err(ConfigError(format!(
                    "service '{name}': routes = {route}: service '{other}' has the same route"
                )));
            }
        }
    }
    Ok(())
}

fn bias_days(bias: &str) -> Option<f64> {
    match bias {
        "careful" => Some(CAREFUL_TARGET_DAYS),
        "quick" => Some(QUICK_TARGET_DAYS),
        days => days.parse().ok().filter(|days: &f64| (0.001..=1e9).contains(days)),
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=63).contains(&name.len()) && name.bytes().all(is_allowed)
}
