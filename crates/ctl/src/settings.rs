//! The command line of `wingctl`: commands, arguments and the settings that they share.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, setting};

/// The checked settings that all commands share.
#[derive(Debug, Clone)]
pub struct CtlSettings {
    /// Address of the platform's store, if one is set. Commands that read or change configuration need it.
    pub store: Option<SocketAddr>,
    /// Admin addresses of agents. One that answers is enough, because it lists all boxes.
    pub agents: Vec<SocketAddr>,
    /// Author that is recorded in the history of changed keys.
    pub author: String,
    /// Maximum time to wait until a change is in force in all boxes.
    pub wait: Duration,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Parses and checks the shared settings.
///
/// # Errors
/// Fails at the first setting with an invalid value.
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

/// Returns the definition of the command line, with all commands and arguments.
pub fn ctl_command() -> Command {
    Command::new("wingctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a wingbridge fleet")
        .long_about(
            "Operates a wingbridge fleet.\n\n\
             Exit codes: 0 success; 1 the command or a check failed; 2 usage error; \
             3 partial success: accepted but not yet in force in all boxes, or some boxes did not answer.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(setting("store", "Address of the platform's store", "An IP number and a port. Required to read or change configuration.").global(true).default_value(""))
        .arg(setting("agents", "Admin addresses of some agents", "Separated by commas. One agent that answers is enough, because it lists all boxes.").global(true).default_value(""))
        .arg(setting("author", "Author of the change", "1 to 63 letters, digits, '-', '_' and '.'; recorded in the history.").global(true).default_value("operator"))
        .arg(setting("wait-s", "Maximum time to wait until a change is in force in all boxes, in seconds", "With 0, the command does not wait.").global(true).default_value("20"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).global(true).help("Print JSON instead of text"))
        .subcommand(policy_command())
        .subcommand(config_command())
        .subcommand(Command::new("status").about("Show the status of each box"))
        .subcommand(Command::new("targets").about("Show targets that are not healthy: state, reason, duration, scope, floor"))
        .subcommand(Command::new("boxes").about("List the boxes of the fleet"))
        .subcommand(override_command("eject", "Eject a target manually, as far as the service's floor allows"))
        .subcommand(override_command("drain", "Send no new requests to a target, regardless of the floor"))
        .subcommand(override_command("restore", "Remove the manual override of a target"))
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
        .about("Manage policies, the programs that decide how requests are handled")
        .subcommand_required(true)
        .subcommand(
            Command::new("check").about("Compile a policy and check it").arg(file_argument()),
        )
        .subcommand(
            Command::new("put")
                .about("Check a policy and put it in force")
                .arg(name_argument())
                .arg(file_argument())
                .arg(expect_argument()),
        )
        .subcommand(Command::new("get").about("Print a policy").arg(name_argument()))
        .subcommand(
            Command::new("delete")
                .about("Delete a policy")
                .arg(name_argument())
                .arg(expect_argument()),
        )
        .subcommand(Command::new("list").about("List policies"))
        .subcommand(
            Command::new("diff")
                .about("Compare a file with the policy in the store")
                .arg(name_argument())
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("history")
                .about("Show the versions of a key, with author and time")
                .arg(name_argument()),
        )
}

fn config_command() -> Command {
    Command::new("config")
        .about("Manage services, with their targets, floors and limits")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Check a file of services").arg(file_argument()))
        .subcommand(
            Command::new("put")
                .about("Check a file of services and put each in force")
                .arg(file_argument()),
        )
        .subcommand(Command::new("get").about("Print a service").arg(name_argument()))
        .subcommand(
            Command::new("delete")
                .about("Delete a service")
                .arg(name_argument())
                .arg(expect_argument()),
        )
        .subcommand(Command::new("list").about("List services"))
        .subcommand(
            Command::new("history")
                .about("Show the versions of a key, with author and time")
                .arg(name_argument()),
        )
}

fn override_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("service").required(true).help("Name of the service"))
        .arg(Arg::new("target").required(true).help("Address of the target"))
}

fn timeline_command() -> Command {
    Command::new("timeline").about("Show the events of all processes, causes before effects").arg(
        Arg::new("html")
            .long("html")
            .value_name("FILE")
            .help("Write the events as an HTML page with a diagram to FILE"),
    )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Show where requests were lost, according to the logs of boxes")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .default_value("-")
                .help("Logs of boxes, with one line of JSON per event; - for standard input"),
        )
}

fn file_argument() -> Arg {
    Arg::new("file").required(true).value_name("FILE").help("File to read; - for standard input")
}

fn name_argument() -> Arg {
    Arg::new("name").required(true).value_name("NAME").help("Name of the policy or service")
}

fn expect_argument() -> Arg {
    Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("Make the change only if the key still has this revision, as shown by 'get --json'")
}
