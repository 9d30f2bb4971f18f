//! Settings of processes: `clap` reads raw values from flags and environment variables (a flag
//! takes precedence), and the functions here parse and validate them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches};

/// The error for a setting with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    setting: String,
    value: String,
    allowed: String,
}

impl SettingError {
    /// Creates an error for `setting`, given as `value`, with a description of the allowed values.
    pub fn new(setting: &str, value: &str, allowed: &str) -> SettingError {
        SettingError {
            setting: setting.to_string(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingError { setting, value, allowed } = self;
        write!(f, "setting --{setting} is '{value}': allowed is {allowed}")
    }
}

impl std::error::Error for SettingError {}

/// Returns a flag `--name`, which can also be set by the environment variable
/// `WINGBRIDGE_NAME`.
pub fn setting(name: &'static str, short_help: &'static str, long_help: &'static str) -> Arg {
    let variable = format!("WINGBRIDGE_{}", name.replace('-', "_").to_uppercase());
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name("VALUE")
        .help(short_help)
        .long_help(format!("{short_help}.\n\n{long_help}"))
}

/// Returns a [`setting`] whose value from the environment is not printed in the help.
pub fn secret_setting(
    name: &'static str,
    short_help: &'static str,
    long_help: &'static str,
) -> Arg {
    setting(name, short_help, long_help).hide_env_values(true)
}

/// Returns the raw value of a setting; empty if it is not set.
pub fn raw_text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns all raw values of a setting that can be repeated or separated by commas.
pub fn raw_list(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name).into_iter().flatten();
    let items = values.flat_map(|value| value.split(','));
    items.map(str::trim).filter(|item| !item.is_empty()).map(str::to_string).collect()
}

/// Parses a socket address.
///
/// # Errors
/// The value is not an IP address with a port.
pub fn address(matches: &ArgMatches, name: &str) -> Result<SocketAddr, SettingError> {
    let raw = raw_text(matches, name);
    parse_address(name, &raw)
}

/// Parses a list of socket addresses.
///
/// # Errors
/// One of the values is not an IP address with a port.
pub fn addresses(matches: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, SettingError> {
    let raw = raw_list(matches, name);
    raw.iter().map(|item| parse_address(name, item)).collect()
}

fn parse_address(name: &str, raw: &str) -> Result<SocketAddr, SettingError> {
    let allowed = "an IP number and a port, as 127.0.0.1:8080";
    raw.parse().map_err(|_| SettingError::new(name, raw, allowed))
}

/// Parses a name of 1 to 63 ASCII letters, digits, '-', '_' or '.'.
///
/// # Errors
/// The value has another length or contains other characters.
pub fn name(matches: &ArgMatches, setting: &str) -> Result<String, SettingError> {
    let raw = raw_text(matches, setting);
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=63).contains(&raw.len()) && raw.chars().all(is_allowed) {
        return Ok(raw);
    }
    Err(SettingError::new(setting, &raw, "1 to 63 letters, digits, '-', '_' and '.'"))
}

/// Parses an integer within `bounds`.
///
/// # Errors
/// The value is not an integer or is out of bounds.
pub fn number(
    matches: &ArgMatches,
    name: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> Result<u64, SettingError> {
    let raw = raw_text(matches, name);
    let parsed = raw.parse().ok().filter(|number| bounds.contains(number));
    parsed.ok_or_else(|| {
        let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        SettingError::new(name, &raw, &allowed)
    })
}

/// Parses a duration in milliseconds, within `bounds`.
///
/// # Errors
/// The value is not an integer or is out of bounds.
pub fn millis(
    matches: &ArgMatches,
    name: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> Result<Duration, SettingError> {
    number(matches, name, bounds).map(Duration::from_millis)
}

/// Returns a secret of at least 16 bytes.
///
/// # Errors
/// The value is shorter. The error does not contain the secret.
pub fn secret(matches: &ArgMatches, name: &str) -> Result<String, SettingError> {
    let raw = raw_text(matches, name);
    if raw.len() >= 16 {
        return Ok(raw);
    }
    Err(SettingError::new(name, "(hidden)", "a secret of at least 16 characters"))
}

/// Parses the setting `log-level`.
///
/// # Errors
/// The value is not a log level.
pub fn log_level(matches: &ArgMatches) -> Result<String, SettingError> {
    let raw = raw_text(matches, "log-level");
    if ["off", "error", "warn", "info", "debug", "trace"].contains(&raw.as_str()) {
        return Ok(raw);
    }
    Err(SettingError::new("log-level", &raw, "off, error, warn, info, debug or trace"))
}
