//! `wingctl`'s command line.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, setting};

/// Checked settings that all commands share.
#[derive(Debug, Clone)]
pub struct CtlSettings {
    /// The store.
    pub store: Option<SocketAddr>,
    /// Agents to ask; one that answers is enough.
    pub agents: Vec<SocketAddr>,
    /// Who makes changes.
    pub author: String,
    /// How long to wait until a change is in force everywhere.
    pub wait: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Checks the raw settings.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve(matches: &ArgMatches) -> Result<CtlSettings, SettingError> {
    let store = match settings::raw_text(matches, "store").as_str() {
        "" => None,
        _ => Some(settings::address(matches, "store")?),
    };
    Ok(CtlSettings {
        store,
        agents: settings::addresses(matches, "agents")?,
        author: settings::name(matches, "author")?,
        wait: Duration::from_secs(settings::number(matches, "wait-s", 0..=3600)?),
        json: matches.get_flag("json"),
    })
}

/// The whole command line.
pub fn ctl_command() -> Command {
    Command::new("wingctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a wingbridge fleet")
        .long_about(
            "Operates a wingbridge fleet.\n\n\
             Exit codes: 0 done; 1 failed, or a check did not hold; 2 used wrongly; \
             3 done in part: accepted and not yet in force everywhere, or some boxes did not answer.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(setting("store", "Address of the platform's store", "An IP number and a port; needed to read and change configuration.").global(true).default_value(""))
        .arg(setting("agents", "Admin addresses of some agents", "With commas between them. One that answers tells of all the others.").global(true).default_value(""))
        .arg(setting("author", "Who makes the change", "1 to 63 letters, digits, '-', '_' and '.'; it stands in the history.").global(true).default_value("operator"))
        .arg(setting("wait-s", "Seconds to wait until a change is in force everywhere", "0 does not wait.").global(true).default_value("20"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).global(true).help("Print JSON, for programs"))
        .subcommand(policy_command())
        .subcommand(config_command())
        .subcommand(Command::new("status").about("How each box is"))
        .subcommand(Command::new("targets").about("Targets that are not simply healthy: state, why, since when, for whom, floor"))
        .subcommand(Command::new("boxes").about("The boxes that are known"))
        .subcommand(override_command("eject", "Keep a target out by hand, as far as the floor allows"))
        .subcommand(override_command("drain", "Send a target no new work, whatever the floor"))
        .subcommand(override_command("restore", "Take back what was ordered by hand about a target"))
        .subcommand(timeline_command())
        .subcommand(explain_command())
        .subcommand(
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(Arg::new("shell").required(true).value_parser(clap::value_parser!(clap_complete::Shell)).help("The shell")),
        )
        .subcommand(Command::new("man").about("Print the manual page"))
}

fn policy_command() -> Command {
    Command::new("policy")
        .about("Policies: programs that say how requests are handled")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Compile and try a policy").arg(file()))
        .subcommand(
            Command::new("put")
                .about("Check a policy and put it in force")
                .arg(name())
                .arg(file())
                .arg(expected()),
        )
        .subcommand(Command::new("get").about("Print a policy").arg(name()))
        .subcommand(Command::new("delete").about("Delete a policy").arg(name()).arg(expected()))
        .subcommand(Command::new("list").about("List policies"))
        .subcommand(
            Command::new("diff")
                .about("Compare a file with the policy in the store")
                .arg(name())
                .arg(file()),
        )
        .subcommand(
            Command::new("history")
                .about("Earlier versions, who changed them and when")
                .arg(name()),
        )
}

fn config_command() -> Command {
    Command::new("config")
        .about("Services, targets, floors and limits")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Check a file of services").arg(file()))
        .subcommand(
            Command::new("put").about("Check a file of services and put each in force").arg(file()),
        )
        .subcommand(Command::new("get").about("Print a service").arg(name()))
        .subcommand(Command::new("delete").about("Delete a service").arg(name()).arg(expected()))
        .subcommand(Command::new("list").about("List services"))
        .subcommand(
            Command::new("history")
                .about("Earlier versions, who changed them and when")
                .arg(name()),
        )
}

fn override_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("service").required(true).help("The service"))
        .arg(Arg::new("target").required(true).help("The target's address"))
}

fn timeline_command() -> Command {
    Command::new("timeline").about("What happened, in all processes, causes before effects").arg(
        Arg::new("html")
            .long("html")
            .value_name("FILE")
            .help("Write a page with a picture to FILE"),
    )
}

fn explain_command() -> Command {
    Command::new("explain").about("Where requests were lost, by the logs of boxes").arg(
        Arg::new("files")
            .value_name("FILE")
            .num_args(1..)
            .default_value("-")
            .help("Logs of boxes, one line of JSON for each event; - for standard input"),
    )
}

fn file() -> Arg {
    Arg::new("file").required(true).value_name("FILE").help("The file; - for standard input")
}

fn name() -> Arg {
    Arg::new("name").required(true).value_name("NAME").help("The name")
}

fn expected() -> Arg {
    Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("Refuse unless the store's revision is still this one, as 'get --json' shows it")
}
