//! `wingbench`'s command line.

use clap::{Arg, ArgAction, ArgMatches, Command};
use wingbridge_decide::quota::QuotaLimit;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_process::SettingError;
use wingbridge_process::settings::{number, raw_list, raw_text, setting};

use crate::decide::DecideSetup;
use crate::decide::site::SiteSetup;
use crate::quota::scenario::SCENARIOS;
use crate::quota::{QuotaBench, WAYS, WindowBound};
use crate::steer::SteerBench;
use crate::steer::backoffs::BackoffStrategy;
use crate::steer::limits::LimitStrategy;
use crate::steer::pattern::LoadPattern;

/// The whole command line.
pub fn bench_command() -> Command {
    Command::new("wingbench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The measurements that wingbridge is built by")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
        .subcommand(decide_command())
        .subcommand(path_command())
        .subcommand(spread_command())
        .subcommand(steer_command())
        .subcommand(quota_command())
        .subcommand(crashes_command())
        .subcommand(
            Command::new("box")
                .about("Memory and processor time of one box at rest, by how much is configured"),
        )
}

fn crashes_command() -> Command {
    Command::new("crashes")
        .about("Requests under which targets end: ways to keep them from further targets")
        .arg(setting("seed", "The first fleet's seed", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "How many fleets", "1 to 1000.").default_value("40"))
}

fn decide_command() -> Command {
    Command::new("decide")
        .about("Detection time and false ejections of the decision core, against baselines")
        .arg(setting("site", "Whose sizes and rates", "sedlo or dakar.").default_value("sedlo"))
        .arg(
            setting("seed", "The first seed", "Trials take it and those after it.")
                .default_value("1"),
        )
        .arg(
            setting("trials", "Trials of each fault", "Each is a fleet of its own.")
                .default_value("8"),
        )
        .arg(
            setting(
                "days",
                "Target-days of healthy stretches, for each decider",
                "A target-day is some four million requests.",
            )
            .default_value("0.5"),
        )
        .arg(
            setting(
                "bias",
                "Target-days between two false ejections",
                "Without it the site's own.",
            )
            .default_value(""),
        )
        .arg(setting("workers", "Threads", "1 to 64.").default_value("8"))
        .arg(
            Arg::new("core-only")
                .long("core-only")
                .action(ArgAction::SetTrue)
                .help("Leave the baselines out"),
        )
        .arg(
            Arg::new("cost")
                .long("cost")
                .action(ArgAction::SetTrue)
                .help("Measure what decisions cost instead"),
        )
        .arg(
            Arg::new("curve")
                .long("curve")
                .value_name("FILE")
                .help("Measure over the bias instead, and draw it to FILE as SVG"),
        )
}

fn path_command() -> Command {
    Command::new("path")
        .about("What the proxy adds to a request, against straight to the target")
        .arg(
            setting("seconds", "Seconds for each number of connections", "1 to 60.")
                .default_value("8"),
        )
        .arg(
            setting(
                "io-threads",
                "Threads of the I/O pool",
                "It is shared by callers, proxy and targets here.",
            )
            .default_value("1"),
        )
        .arg(
            setting(
                "rate",
                "Requests a second over all connections",
                "0 sends as fast as answers come.",
            )
            .default_value("200"),
        )
}

fn steer_command() -> Command {
    Command::new("steer")
        .about("The choice of targets on fleets drawn at random, against uniform picks")
        .arg(setting("seed", "The first fleet's seed", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "How many fleets", "1 to 1000.").default_value("40"))
        .arg(setting("seconds", "Seconds of traffic for each", "1 to 600.").default_value("30"))
        .arg(setting("workers", "Threads", "1 to 64.").default_value("4"))
        .arg(
            Arg::new("cost")
                .long("cost")
                .action(ArgAction::SetTrue)
                .help("Time single choices among 16 to 1,500 targets instead"),
        )
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("FILE")
                .help("Compare with the report of another version, as --json printed it"),
        )
        .arg(
            setting(
                "pattern",
                "What happens to each fleet",
                "steady, first-load, burst, refusals, slow-targets, some-rest, all-rest, \
                 burst-rest, some-limits, all-limits or burst-limits.",
            )
            .default_value("steady"),
        )
        .arg(
            setting(
                "rests",
                "What boxes do when a target asks for rest",
                "own, ignored, told, spread or held.",
            )
            .default_value("own"),
        )
        .arg(
            setting(
                "limits",
                "What boxes do when a target names a limit over all boxes",
                "permits, ignored, each-alone or shares.",
            )
            .default_value("permits"),
        )
        .arg(
            setting(
                "without",
                "Parts of the choice that are switched off",
                "Names with commas between; a wrong one lists all.",
            )
            .default_value(""),
        )
}

/// Checks the settings of `steer`.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve_steer(matches: &ArgMatches) -> Result<SteerBench, SettingError> {
    let raw = raw_text(matches, "without");
    let without = raw.parse().map_err(|_| {
        SettingError::new("without", &raw, &format!("some of {}", MechanismSet::names()))
    })?;
    let pattern = raw_text(matches, "pattern");
    let pattern = pattern
        .parse()
        .map_err(|_| SettingError::new("pattern", &pattern, &LoadPattern::names()))?;
    let rests = raw_text(matches, "rests");
    let backoff_strategy =
        rests.parse().map_err(|_| SettingError::new("rests", &rests, &BackoffStrategy::names()))?;
    let limits = raw_text(matches, "limits");
    let limit_strategy = limits
        .parse()
        .map_err(|_| SettingError::new("limits", &limits, &LimitStrategy::names()))?;
    Ok(SteerBench {
        limit_strategy,
        backoff_strategy,
        pattern,
        seed: number(matches, "seed", 0..=u64::from(u32::MAX))?,
        fleets: number(matches, "fleets", 1..=1000)? as usize,
        seconds: number(matches, "seconds", 1..=600)?,
        workers: number(matches, "workers", 1..=64)? as usize,
        without,
    })
}

fn quota_command() -> Command {
    Command::new("quota")
        .about("Ways to hold a quota or a target's limit over all boxes, on fleets drawn at random")
        .arg(setting("seed", "The first fleet's seed", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "How many fleets", "1 to 1000.").default_value("20"))
        .arg(setting("boxes", "Boxes of each", "2 to 2000.").default_value("113"))
        .arg(
            setting(
                "rate",
                "What the customer may ask in a second, or the target takes",
                "0.1 to 100000.",
            )
            .default_value("100"),
        )
        .arg(
            setting("burst", "What it may ask above that at once", "0 to 100000.")
                .default_value("100"),
        )
        .arg(setting("loss", "Datagrams that are lost", "0 to 0.9.").default_value("0.002"))
        .arg(
            setting("bound", "What is allowed", "That of customers or of targets.")
                .default_value("customers"),
        )
        .arg(setting("callers", "Callers at least", "0 to 100000.").default_value("0"))
        .arg(
            setting("scenarios", "What happens", "Names with commas between; empty: all.")
                .default_value(""),
        )
        .arg(
            setting("ways", "What is compared", "Names with commas between; empty: all.")
                .default_value(""),
        )
}

/// Checks the settings of `quota`.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve_quota(matches: &ArgMatches) -> Result<QuotaBench, SettingError> {
    let bound = match raw_text(matches, "bound").as_str() {
        "customers" => WindowBound::OF_CUSTOMERS,
        "targets" => WindowBound::OF_TARGETS,
        other => return Err(SettingError::new("bound", other, "customers or targets")),
    };
    Ok(QuotaBench {
        bound,
        callers: number(matches, "callers", 0..=100_000)? as usize,
        seed: number(matches, "seed", 0..=u64::from(u32::MAX))?,
        fleets: number(matches, "fleets", 1..=1000)? as usize,
        boxes: number(matches, "boxes", 2..=2000)? as usize,
        limit: QuotaLimit {
            per_second: decimal("rate", &raw_text(matches, "rate"), 0.1..=100_000.0)?,
            burst: decimal("burst", &raw_text(matches, "burst"), 0.0..=100_000.0)?,
        },
        loss: decimal("loss", &raw_text(matches, "loss"), 0.0..=0.9)?,
        scenarios: some_of(matches, "scenarios", &SCENARIOS)?,
        ways: some_of(matches, "ways", &WAYS)?,
    })
}

/// The named ones of `all`, or all of them if none is named.
fn some_of<T: Copy>(
    matches: &ArgMatches,
    name: &str,
    all: &[(T, &str)],
) -> Result<Vec<T>, SettingError> {
    let raw = raw_list(matches, name);
    if raw.is_empty() {
        return Ok(all.iter().map(|(one, _)| *one).collect());
    }
    let find = |wanted: &String| {
        let found = all.iter().find(|(_, known)| known == wanted);
        found.map(|(one, _)| *one).ok_or_else(|| {
            let names: Vec<&str> = all.iter().map(|(_, known)| *known).collect();
            SettingError::new(name, wanted, &format!("some of {}", names.join(", ")))
        })
    };
    raw.iter().map(find).collect()
}

fn spread_command() -> Command {
    Command::new("spread")
        .about("How fast a change is in force everywhere, and what the exchange costs")
        .arg(
            setting(
                "boxes",
                "How many boxes",
                "Up to 40 real agents run in this process; cores alone beyond that.",
            )
            .default_value("40"),
        )
        .arg(setting("centres", "How many data centres", "1 to 64.").default_value("3"))
        .arg(
            setting("changes", "Changes that are timed in each row", "1 to 10000.")
                .default_value("40"),
        )
        .arg(setting("keys", "Keys that are there before", "0 to 100000.").default_value("200"))
        .arg(
            setting("seed", "The first seed", "Fixes losses, delays and choices.")
                .default_value("1"),
        )
        .arg(
            Arg::new("cores")
                .long("cores")
                .action(ArgAction::SetTrue)
                .help("Use cores in virtual time whatever the number"),
        )
}

/// Checks the settings of `decide`.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve_decide(matches: &ArgMatches) -> Result<DecideSetup, SettingError> {
    let name = raw_text(matches, "site");
    let site = SiteSetup::named(&name);
    let mut site = site.ok_or_else(|| SettingError::new("site", &name, "sedlo or dakar"))?;
    let bias = raw_text(matches, "bias");
    if !bias.is_empty() {
        site.bias_days = decimal("bias", &bias, 1e-6..=1e9)?;
    }
    Ok(DecideSetup {
        site,
        seed: number(matches, "seed", 0..=u64::from(u32::MAX))?,
        trials: number(matches, "trials", 1..=100_000)?,
        days: decimal("days", &raw_text(matches, "days"), 0.001..=100_000.0)?,
        workers: number(matches, "workers", 1..=64)? as usize,
        baselines: !matches.get_flag("core-only"),
    })
}

fn decimal(
    name: &str,
    raw: &str,
    bounds: std::ops::RangeInclusive<f64>,
) -> Result<f64, SettingError> {
    let parsed = raw.parse().ok().filter(|number| bounds.contains(number));
    parsed.ok_or_else(|| {
        let allowed = format!("a number from {} to {}", bounds.start(), bounds.end());
        SettingError::new(name, raw, &allowed)
    })
}
