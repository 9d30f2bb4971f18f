//! Dispatch of the parsed command line to the commands.

use async_std::task;
use clap::ArgMatches;
use eyre::eyre;
use wingbridge_config::{POLICY_PREFIX, SERVICE_PREFIX};
use wingbridge_decide::OverrideKind;
use wingbridge_process::{Outcome, SettingError};
use wingbridge_store::StoreClient;

use crate::boxes::{show_boxes, show_status, show_targets};
use crate::changes::ChangeClient;
use crate::commands::{
    check_config, check_policy, checked_name, delete, diff_policy, get, history, list, put_config,
    put_policy, show_reports,
};
use crate::event_trace;
use crate::explain;
use crate::fleet::FleetClient;
use crate::overrides;
use crate::settings::{CtlSettings, ctl_command, resolve};

/// Runs the command that `matches` names.
///
/// # Errors
/// Fails if a setting is invalid or the command fails. The message gives the reason and, after a change that
/// was not accepted, the value that the store has now.
pub fn run(matches: &ArgMatches) -> eyre::Result<Outcome> {
    let settings = resolve(matches)?;
    task::block_on(run_command(&settings, matches))
}

async fn run_command(settings: &CtlSettings, matches: &ArgMatches) -> eyre::Result<Outcome> {
    let fleet = FleetClient::new(settings.agents.iter().map(ToString::to_string).collect());
    let json = settings.json;
    let Some((command, matches)) = matches.subcommand() else {
        return Err(eyre!("no command was given"));
    };
    match command {
        "policy" => run_policy(settings, fleet, matches).await,
        "config" => run_config(settings, fleet, matches).await,
        "status" => show_status(&fleet, json).await,
        "targets" => show_targets(&fleet, json).await,
        "boxes" => show_boxes(&fleet, json).await,
        "eject" => change_override(settings, fleet, matches, Some(OverrideKind::Eject)).await,
        "drain" => change_override(settings, fleet, matches, Some(OverrideKind::Drain)).await,
        "restore" => change_override(settings, fleet, matches, None).await,
        "timeline" => {
            let html = matches.get_one::<String>("html").map(String::as_str);
            event_trace::show_events(&fleet, json, html).await
        }
        "explain" => explain::run_explain(matches, json),
        "completions" => print_completions(matches),
        "man" => print_manual(),
        other => Err(eyre!("unknown command {other}")),
    }
}

async fn run_policy(
    settings: &CtlSettings,
    fleet: FleetClient,
    matches: &ArgMatches,
) -> eyre::Result<Outcome> {
    match matches.subcommand() {
        Some(("check", matches)) => check_policy(matches),
        Some(("put", matches)) => {
            put_policy(&change_client(settings, fleet)?, matches, settings.json).await
        }
        Some(("diff", matches)) => diff_policy(&store_client(settings)?, matches).await,
        _ => run_key_command(settings, fleet, POLICY_PREFIX, matches).await,
    }
}

async fn run_config(
    settings: &CtlSettings,
    fleet: FleetClient,
    matches: &ArgMatches,
) -> eyre::Result<Outcome> {
    match matches.subcommand() {
        Some(("check", matches)) => check_config(matches),
        Some(("put", matches)) => {
            put_config(&change_client(settings, fleet)?, matches, settings.json).await
        }
        _ => run_key_command(settings, fleet, SERVICE_PREFIX, matches).await,
    }
}

/// Runs the subcommands that `policy` and `config` share, on the keys under `prefix`.
async fn run_key_command(
    settings: &CtlSettings,
    fleet: FleetClient,
    prefix: &str,
    matches: &ArgMatches,
) -> eyre::Result<Outcome> {
    let json = settings.json;
    match matches.subcommand() {
        Some(("get", matches)) => get(&store_client(settings)?, prefix, matches, json).await,
        Some(("delete", matches)) => {
            delete(&change_client(settings, fleet)?, prefix, matches, json).await
        }
        Some(("list", _)) => list(&store_client(settings)?, prefix, json).await,
        Some(("history", matches)) => {
            history(&store_client(settings)?, prefix, matches, json).await
        }
        _ => Err(eyre!("no command was given")),
    }
}

async fn change_override(
    settings: &CtlSettings,
    fleet: FleetClient,
    matches: &ArgMatches,
    kind: Option<OverrideKind>,
) -> eyre::Result<Outcome> {
    let service = checked_name(matches, "service")?;
    let target: String = matches.get_one::<String>("target").cloned().unwrap_or_default();
    let client = change_client(settings, fleet)?;
    let report = overrides::set_override(&client, &service, &target, kind).await?;
    Ok(show_reports(&[report], settings.json))
}

fn print_completions(matches: &ArgMatches) -> eyre::Result<Outcome> {
    if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut ctl_command(), "wingctl", &mut std::io::stdout());
    }
    Ok(Outcome::Done)
}

fn print_manual() -> eyre::Result<Outcome> {
    clap_mangen::Man::new(ctl_command()).render(&mut std::io::stdout())?;
    Ok(Outcome::Done)
}

fn store_client(settings: &CtlSettings) -> Result<StoreClient, SettingError> {
    let missing = || SettingError::new("store", "", "an IP number and a port");
    let address = settings.store.ok_or_else(missing)?;
    Ok(StoreClient::new(&address.to_string()))
}

fn change_client(settings: &CtlSettings, fleet: FleetClient) -> Result<ChangeClient, SettingError> {
    let author = settings.author.clone();
    Ok(ChangeClient { store: store_client(settings)?, fleet, author, wait: settings.wait })
}
