//! The subcommands of `policy` and `config`, which check, read and change policies and services.

use std::io::Read;

use clap::ArgMatches;
use eyre::{WrapErr, bail, eyre};
use serde::Serialize;
use similar::TextDiff;
use wingbridge_config::{POLICY_PREFIX, SERVICE_PREFIX, ServiceConfig, parse_services};
use wingbridge_policy::PolicyProgram;
use wingbridge_process::Outcome;
use wingbridge_store::{StoreClient, StoredValue};

use crate::changes::{ChangeClient, ChangeReport, read_value};
use crate::output::{print, table};

/// Runs `wingctl policy check`: compiles a policy from a file.
///
/// # Errors
/// Fails if the file can't be read or the policy does not compile.
pub fn check_policy(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    compile(&file, &text)?;
    println!("{file}: the policy is valid");
    Ok(Outcome::Done)
}

/// Runs `wingctl policy put`: writes a policy to the store and waits until it is in force.
///
/// # Errors
/// Fails if the file can't be read, the policy does not compile, or the store does not accept the change.
pub async fn put_policy(
    client: &ChangeClient,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    compile(&file, &text)?;
    let key = format!("{POLICY_PREFIX}{}", checked_name(matches, "name")?);
    let expected = matches.get_one("expect").copied();
    let report = client.change(&key, Some(text), expected).await?;
    Ok(show_reports(&[report], json))
}

/// Runs `wingctl config check`: checks the services in a file.
///
/// # Errors
/// Fails if the file can't be read or a service is invalid.
pub fn check_config(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let services = parse_service_file(&file, &text)?;
    let targets: usize = services.iter().map(|service| service.setup.targets.len()).sum();
    println!("{file}: {} valid services with {targets} targets", services.len());
    Ok(Outcome::Done)
}

/// Runs `wingctl config put`: writes each service of a file as a separate change.
///
/// # Errors
/// Fails if the file can't be read, a service is invalid, or the store does not accept a change. The
/// remaining services are not written then; the error says how many were accepted before.
pub async fn put_config(
    client: &ChangeClient,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let mut reports = Vec::new();
    for service in parse_service_file(&file, &text)? {
        let key = format!("{SERVICE_PREFIX}{}", service.setup.name);
        let report = client.change(&key, Some(service.text), None).await;
        reports.push(report.wrap_err_with(|| accepted_so_far(&reports))?);
    }
    Ok(show_reports(&reports, json))
}

/// Runs `get`: prints the current value of the named key under `prefix`.
///
/// # Errors
/// Fails if there is no such key, it was deleted, or the store does not answer.
pub async fn get(
    store: &StoreClient,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches, "name")?);
    let (revision, value) = read_value(store, &key).await?;
    if value.current.deleted {
        bail!("{key} was deleted by {}", value.current.author);
    }
    let versioned = serde_json::json!({ "revision": revision, "value": value.current });
    print(json, &versioned, || value.current.text.clone());
    Ok(Outcome::Done)
}

/// Runs `delete`: deletes the named key under `prefix` and waits until this is in force.
///
/// # Errors
/// Fails if there is no such key or the store does not accept the change.
pub async fn delete(
    client: &ChangeClient,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches, "name")?);
    read_value(&client.store, &key).await?;
    let report = client.change(&key, None, matches.get_one("expect").copied()).await?;
    Ok(show_reports(&[report], json))
}

/// Runs `list`: prints the names under `prefix` that are not deleted.
///
/// # Errors
/// Fails if the store does not answer, or has a value that can't be decoded.
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

/// Runs `history`: prints the current and the earlier versions of the named key under `prefix`.
///
/// # Errors
/// Fails if there is no such key or the store does not answer.
pub async fn history(
    store: &StoreClient,
    prefix: &str,
    matches: &ArgMatches,
    json: bool,
) -> eyre::Result<Outcome> {
    let key = format!("{prefix}{}", checked_name(matches, "name")?);
    let (_, value) = read_value(store, &key).await?;
    let versions: Vec<_> = std::iter::once(&value.current).chain(&value.history).collect();
    print(json, &versions, || {
        let row = |version: &&wingbridge_store::value::ValueVersion| {
            let action = if version.deleted { "deleted" } else { "changed" };
            let lines = version.text.lines().count();
            vec![
                version.generation.to_string(),
                version.changed_at.to_string(),
                version.author.clone(),
                action.to_string(),
                lines.to_string(),
                version.change.clone(),
            ]
        };
        let headings = ["generation", "ms since 1970", "by", "what", "lines", "change"];
        table(&headings, &versions.iter().map(row).collect::<Vec<_>>())
    });
    Ok(Outcome::Done)
}

/// Runs `wingctl policy diff`: compares a file with the stored policy. The exit code is 1 if they differ.
///
/// # Errors
/// Fails if the file can't be read, there is no such policy, or the store does not answer.
pub async fn diff_policy(store: &StoreClient, matches: &ArgMatches) -> eyre::Result<Outcome> {
    let (file, text) = read_file(matches)?;
    let key = format!("{POLICY_PREFIX}{}", checked_name(matches, "name")?);
    let (_, value) = read_value(store, &key).await?;
    if value.current.text == text {
        println!("{file} and {key} are identical");
        return Ok(Outcome::Done);
    }
    let diff = TextDiff::from_lines(value.current.text.as_str(), text.as_str());
    print!("{}", diff.unified_diff().header(&key, &file));
    Ok(Outcome::CheckFailed)
}

/// Prints the reports of changes. Returns [`Outcome::Partial`] if one of them is not accepted or not in force
/// in all boxes.
pub fn show_reports(reports: &[ChangeReport], json: bool) -> Outcome {
    #[derive(Serialize)]
    struct ReportList<'a> {
        changes: &'a [ChangeReport],
    }
    print(json, &ReportList { changes: reports }, || {
        reports.iter().map(ChangeReport::as_text).collect::<Vec<_>>().join("\n")
    });
    let all_done = reports.iter().all(|report| report.outcome() == Outcome::Done);
    if all_done { Outcome::Done } else { Outcome::Partial }
}

fn accepted_so_far(reports: &[ChangeReport]) -> String {
    match reports.len() {
        0 => "nothing was changed".into(),
        count => format!("{count} services were accepted before this one"),
    }
}

fn compile(file: &str, text: &str) -> eyre::Result<PolicyProgram> {
    PolicyProgram::compile(text).map_err(|error| eyre!("{file}: {error}"))
}

fn parse_service_file(file: &str, text: &str) -> eyre::Result<Vec<ServiceConfig>> {
    let services = parse_services(text).map_err(|error| eyre!("{file}: {error}"))?;
    if services.is_empty() {
        bail!("{file}: no [[service]] section found");
    }
    Ok(services)
}

fn read_file(matches: &ArgMatches) -> eyre::Result<(String, String)> {
    let file: String = matches.get_one::<String>("file").cloned().unwrap_or_default();
    let mut text = String::new();
    if file == "-" {
        std::io::stdin().read_to_string(&mut text)?;
    } else {
        text = std::fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
    }
    Ok((file, text))
}

/// Returns the name that an argument gives, which becomes a part of a key.
///
/// # Errors
/// No policy or service can have the name.
pub(crate) fn checked_name(matches: &ArgMatches, argument: &str) -> eyre::Result<String> {
    let name: String = matches.get_one::<String>(argument).cloned().unwrap_or_default();
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if (1..=63).contains(&name.len()) && name.bytes().all(is_allowed) {
        return Ok(name);
    }
    let allowed = "1 to 63 lower-case letters, digits and '-'";
    Err(wingbridge_process::SettingError::new(&argument.to_uppercase(), &name, allowed).into())
}
