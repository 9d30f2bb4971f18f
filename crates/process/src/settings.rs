//! Settings: read raw by `clap` from flags and environment variables (the flag
//! wins), then resolved once into checked values.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches};

/// A setting whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    setting: String,
    value: String,
    allowed: String,
}

impl SettingError {
    /// Names the setting, the value that was given and what is allowed.
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

/// A flag `--name` that the environment variable `WINGBRIDGE_NAME` sets as well.
pub fn setting(name: &'static str, short_help: &'static str, long_help: &'static str) -> Arg {
    let variable = format!("WINGBRIDGE_{}", name.replace('-', "_").to_uppercase());
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name("VALUE")
        .help(short_help)
        .long_help(format!("{short_help}.\n\n{long_help}"))
}

/// A [`setting`] whose value is not shown by the help, wherever it comes from.
pub fn secret_setting(
    name: &'static str,
    short_help: &'static str,
    long_help: &'static str,
) -> Arg {
    setting(name, short_help, long_help).hide_env_values(true)
}

/// The raw text of a setting, or an empty one.
pub fn raw_text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// All raw texts of a setting that can be repeated or listed with commas.
pub fn raw_list(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name).into_iter().flatten();
    let items = values.flat_map(|value| value.split(','));
    items.map(str::trim).filter(|item| !item.is_empty()).map(str::to_string).collect()
}

/// Resolves an address of an IP number and a port.
///
/// # Errors
/// It is something else.
pub fn address(matches: &ArgMatches, name: &str) -> Result<SocketAddr, SettingError> {
    let raw = raw_text(matches, name);
    parse_address(name, &raw)
}

/// Resolves several addresses.
///
/// # Errors
/// One of them is something else.
pub fn addresses(matches: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, SettingError> {
    let raw = raw_list(matches, name);
    raw.iter().map(|item| parse_address(name, item)).collect()
}

fn parse_address(name: &str, raw: &str) -> Result<SocketAddr, SettingError> {
    let allowed = "an IP number and a port, as 127.0.0.1:8080";
    raw.parse().map_err(|_| SettingError::new(name, raw, allowed))
}

/// Resolves a name of 1 to 63 letters, digits, '-', '_' or '.'.
///
/// # Errors
/// It is something else.
pub fn name(matches: &ArgMatches, setting: &str) -> Result<String, SettingError> {
    let raw = raw_text(matches, setting);
    let known = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=63).contains(&raw.len()) && raw.chars().all(known) {
        return Ok(raw);
    }
    Err(SettingError::new(setting, &raw, "1 to 63 letters, digits, '-', '_' and '.'"))
}

/// Resolves a whole number within bounds.
///
/// # Errors
/// It is no number or out of bounds.
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

/// Resolves a span of time given in milliseconds.
///
/// # Errors
/// It is no number or out of bounds.
pub fn millis(
    matches: &ArgMatches,
    name: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> Result<Duration, SettingError> {
    number(matches, name, bounds).map(Duration::from_millis)
}

/// Resolves a secret of at least 16 characters.
///
/// # Errors
/// It is shorter. The secret itself is not repeated.
pub fn secret(matches: &ArgMatches, name: &str) -> Result<String, SettingError> {
    let raw = raw_text(matches, name);
    if raw.len() >= 16 {
        return Ok(raw);
    }
    Err(SettingError::new(name, "(hidden)", "a secret of at least 16 characters"))
}

/// Resolves the setting `log-level`.
///
/// # Errors
/// It is no level.
pub fn log_level(matches: &ArgMatches) -> Result<String, SettingError> {
    let raw = raw_text(matches, "log-level");
    if ["off", "error", "warn", "info", "debug", "trace"].contains(&raw.as_str()) {
        return Ok(raw);
    }
    Err(SettingError::new("log-level", &raw, "off, error, warn, info, debug or trace"))
}
