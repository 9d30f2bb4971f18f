//! The commands on policies and services.

use std::io::Read;

use clap::ArgMatches;
use eyre::{WrapErr, bail, eyre};
use serde::Serialize;
use similar::TextDiff;
use wingbridge_config::{POLICY_PREFIX, SERVICE_PREFIX, ServiceConfig, parse_services};
use wingbridge_policy::PolicyProgram;
use wingbridge_process::Outcome;
use wingbridge_store::{StoreClient, StoredValue};

use crate::changes::{ChangeReport, Changer, read_value};
use crate::output::{print, table};

/// `wingctl policy check`.
///
/// # Errors
/// The file can't be read, or the policy is faulty.
pub fn check_policy(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    compile(&file, &text)?;
    println!("{file}: a sound policy");
    Ok(Outcome::Done)
}

/// `wingctl policy put`.
///
/// # Errors
/// The policy is faulty, or it was not accepted.
pub async fn put_policy(
    changer: &Changer,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    compile(&file, &text)?;
    let key = format!("{POLICY_PREFIX}{}", checked_name(matches)?);
    let expected = matches.get_one("expect").copied();
    let report = changer.change(&key, Some(text), expected).await?;
    Ok(show_reports(&[report], json))
}

/// `wingctl config check`.
///
/// # Errors
/// The file can't be read, or a service is faulty.
pub fn check_config(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let services = services_of(&file, &text)?;
    let targets: usize = services.iter().map(|service| service.setup.targets.len()).sum();
    println!("{file}: {} sound services with {targets} targets", services.len());
    Ok(Outcome::Done)
}

/// `wingctl config put`: each service is a change of its own.
///
/// # Errors
/// A service is faulty, or the first that was not accepted.
pub async fn put_config(
    changer: &Changer,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let mut reports = Vec::new();
    for service in services_of(&file, &text)? {
        let key = format!("{SERVICE_PREFIX}{}", service.setup.name);
        let report = changer.change(&key, Some(service.text), None).await;
        reports.push(report.wrap_err_with(|| done_before(&reports))?);
    }
    Ok(show_reports(&reports, json))
}

/// `get`.
///
/// # Errors
/// There is no such key, or the store does not answer.
pub async fn get(
    store: &StoreClient,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches)?);
    let (revision, value) = read_value(store, &key).await?;
    if value.current.deleted {
        bail!("{key} was deleted by {}", value.current.author);
    }
    let shown = serde_json::json!({ "revision": revision, "value": value.current });
    print(json, &shown, || value.current.text.clone());
    Ok(Outcome::Done)
}

/// `delete`.
///
/// # Errors
/// There is no such key, or the change was not accepted.
pub async fn delete(
    changer: &Changer,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches)?);
    read_value(&changer.store, &key).await?;
    let report = changer.change(&key, None, matches.get_one("expect").copied()).await?;
    Ok(show_reports(&[report], json))
}

/// `list`.
///
/// # Errors
/// The store does not answer.
pub async fn list(store: &StoreClient, prefix: &str, json: bool) -> eyre::Result<Outcome> {
    let listing = store.list(0, std::time::Duration::ZERO).await?;
    let mut rows = Vec::new();
    for record in listing.entries {
        let Some(name) = record.key.strip_prefix(prefix) else {
            continue;
        };
        let current = StoredValue::from_json(&record.value)?.current;
        if !current.deleted {
            let generation = current.generation.to_string();
            rows.push(vec![name.to_string(), generation, current.author]);
        }
    }
    print(json, &rows, || table(&["name", "generation", "last changed by"], &rows));
    Ok(Outcome::Done)
}

/// `history`.
///
/// # Errors
/// There is no such key, or the store does not answer.
pub async fn history(
    store: &StoreClient,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches)?);
    let (_, value) = read_value(store, &key).await?;
    let versions: Vec<_> = std::iter::once(&value.current).chain(&value.history).collect();
    print(json, &versions, || {
        let row = |version: &&wingbridge_store::value::ValueVersion| {
            let what = if version.deleted { "deleted" } else { "changed" };
            let lines = version.text.lines().count();
            vec![
                version.generation.to_string(),
                version.changed_at.to_string(),
                version.author.clone(),
                what.to_string(),
                lines.to_string(),
                version.change.clone(),
            ]
        };
        let headings = ["generation", "ms since 1970", "by", "what", "lines", "change"];
        table(&headings, &versions.iter().map(row).collect::<Vec<_>>())
    });
    Ok(Outcome::Done)
}

/// `wingctl policy diff`: exit code 1 if they differ.
///
/// # Errors
/// The file can't be read, there is no such policy, or the store does not answer.
pub async fn diff_policy(store: &StoreClient, matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let key = format!("{POLICY_PREFIX}{}", checked_name(matches)?);
    let (_, value) = read_value(store, &key).await?;
    if value.current.text == text {
        println!("{file} and {key} are the same");
        return Ok(Outcome::Done);
    }
    let diff = TextDiff::from_lines(value.current.text.as_str(), text.as_str());
    print!("{}", diff.unified_diff().header(&key, &file));
    Ok(Outcome::CheckFailed)
}

/// Prints how changes went, and says how the command ends.
pub fn show_reports(reports: &[ChangeReport], json: bool) -> Outcome {
    #[derive(Serialize)]
    struct Shown<'a> {
        changes: &'a [ChangeReport],
    }
    print(json, &Shown { changes: reports }, || {
        reports.iter().map(ChangeReport::as_text).collect::<Vec<_>>().join("\n")
    });
    let whole = reports.iter().all(|report| report.outcome() == Outcome::Done);
    if whole { Outcome::Done } else { Outcome::Partial }
}

fn done_before(reports: &[ChangeReport]) -> String {
    match reports.len() {
        0 => "nothing was changed".into(),
        count => format!("{count} services before it were accepted"),
    }
}

fn compile(file: &str, text: &str) -> eyre::Result<PolicyProgram> {
    PolicyProgram::compile(text).map_err(|fault| eyre!("{file}: {fault}"))
}

fn services_of(file: &str, text: &str) -> eyre::Result<Vec<ServiceConfig>> {
    let services = parse_services(text).map_err(|error| eyre!("{file}: {error}"))?;
    if services.is_empty() {
        bail!("{file}: it has no [[service]]");
    }
    Ok(services)
}

fn read_file(matches: &ArgMatches) -> eyre::Result<(String, String)> {
    let file: String = matches.get_one::<String>("file").cloned().unwrap_or_default();
    let mut text = String::new();
    if file == "-" {
        std::io::stdin().read_to_string(&mut text)?;
    } else {
        text = std::fs::read_to_string(&file).wrap_err_with(|| format!("reading {file}"))?;
    }
    Ok((file, text))
}

fn checked_name(matches: &ArgMatches) -> eyre::Result<String> {
    let name: String = matches.get_one::<String>("name").cloned().unwrap_or_default();
    let known = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if (1..=63).contains(&name.len()) && name.bytes().all(known) {
        return Ok(name);
    }
    let allowed = "1 to 63 lower-case letters, digits and '-'";
    Err(wingbridge_process::SettingError::new("NAME", &name, allowed).into())
}
