//! The command line of `wingbench`, and the checks of its settings.

use clap::{Arg, ArgAction, ArgMatches, Command};
use wingbridge_decide::quota::QuotaLimit;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_process::SettingError;
use wingbridge_process::settings::{number, raw_list, raw_text, setting};

use crate::decide::DecideSetup;
use crate::decide::site::SiteSetup;
use crate::quota::scenario::SCENARIOS;
use crate::quota::{QuotaBench, STRATEGIES, WindowBound};
use crate::steer::SteerBench;
use crate::steer::backoffs::BackoffStrategy;
use crate::steer::limits::LimitStrategy;
use crate::steer::pattern::LoadPattern;

/// Returns the command line with all measurements as subcommands.
pub fn bench_command() -> Command {
    Command::new("wingbench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Measures wingbridge, and compares strategies on simulated fleets")
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
        .subcommand(Command::new("box").about(
            "Measures memory and processor time of an idle box for several configuration sizes",
        ))
}

fn crashes_command() -> Command {
    Command::new("crashes")
        .about("Compares strategies against a request that crashes one target after the other")
        .arg(setting("seed", "Seed of the first fleet", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "Number of fleets", "1 to 1000.").default_value("40"))
}

fn decide_command() -> Command {
    Command::new("decide")
        .about("Compares detection time and false ejections of the decision core with baselines")
        .arg(
            setting("site", "Site whose sizes and rates are used", "sedlo or dakar.")
                .default_value("sedlo"),
        )
        .arg(
            setting("seed", "Seed of the first trial", "Each further trial takes the next number.")
                .default_value("1"),
        )
        .arg(
            setting("trials", "Trials of each fault", "Each is a fleet of its own.")
                .default_value("8"),
        )
        .arg(
            setting(
                "days",
                "Target-days of healthy operation for each decider",
                "A target-day is about four million requests.",
            )
            .default_value("0.5"),
        )
        .arg(
            setting(
                "bias",
                "Target-days between two false ejections",
                "Empty: the default of the site.",
            )
            .default_value(""),
        )
        .arg(setting("workers", "Threads", "1 to 64.").default_value("8"))
        .arg(
            Arg::new("core-only")
                .long("core-only")
                .action(ArgAction::SetTrue)
                .help("Run without the baselines"),
        )
        .arg(
            Arg::new("cost")
                .long("cost")
                .action(ArgAction::SetTrue)
                .help("Measure the time and memory of decisions instead"),
        )
        .arg(
            Arg::new("curve").long("curve").value_name("FILE").help(
                "Measure for a range of bias values instead, and write the chart to FILE as SVG",
            ),
        )
}

fn path_command() -> Command {
    Command::new("path")
        .about("Measures the latency that the proxy adds to a direct request")
        .arg(
            setting("seconds", "Seconds for each number of connections", "1 to 60.")
                .default_value("8"),
        )
        .arg(
            setting(
                "io-threads",
                "Threads of the I/O pool",
                "Callers, proxy and targets share them.",
            )
            .default_value("1"),
        )
        .arg(
            setting(
                "rate",
                "Requests per second over all connections",
                "0: each connection sends the next request as soon as it has an answer.",
            )
            .default_value("200"),
        )
}

fn steer_command() -> Command {
    Command::new("steer")
        .about("Compares the choice of targets with uniform picks, on fleets drawn at random")
        .arg(setting("seed", "Seed of the first fleet", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "Number of fleets", "1 to 1000.").default_value("40"))
        .arg(
            setting("seconds", "Seconds of traffic for each fleet", "1 to 600.")
                .default_value("30"),
        )
        .arg(setting("workers", "Threads", "1 to 64.").default_value("4"))
        .arg(
            Arg::new("cost")
                .long("cost")
                .action(ArgAction::SetTrue)
                .help("Measure the time of single picks among 16 to 1,500 targets instead"),
        )
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("FILE")
                .help("Compare with the report of another version, as printed with --json"),
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
                "What boxes do when a target asks them to back off",
                "own, ignored, told, spread or held.",
            )
            .default_value("own"),
        )
        .arg(
            setting(
                "limits",
                "What boxes do when a target sets a limit for all boxes together",
                "permits, ignored, each-alone or shares.",
            )
            .default_value("permits"),
        )
        .arg(
            setting(
                "without",
                "Mechanisms of the choice that are switched off",
                "Names separated by commas; an unknown name lists them all.",
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
        .about("Compares strategies to hold a quota or a target's limit over all boxes")
        .arg(setting("seed", "Seed of the first fleet", "0 to 4294967295.").default_value("1"))
        .arg(setting("fleets", "Number of fleets", "1 to 1000.").default_value("20"))
        .arg(setting("boxes", "Boxes of each fleet", "2 to 2000.").default_value("113"))
        .arg(
            setting(
                "rate",
                "Requests per second that the customer may send or the target accepts",
                "0.1 to 100000.",
            )
            .default_value("100"),
        )
        .arg(
            setting(
                "burst",
                "Requests that are allowed at once on top of the rate",
                "0 to 100000.",
            )
            .default_value("100"),
        )
        .arg(
            setting("loss", "Share of the datagrams that are lost", "0 to 0.9.")
                .default_value("0.002"),
        )
        .arg(
            setting("bound", "Bound that windows are checked against", "customers or targets.")
                .default_value("customers"),
        )
        .arg(setting("callers", "Minimum number of callers", "0 to 100000.").default_value("0"))
        .arg(
            setting("scenarios", "Scenarios", "Names separated by commas; empty: all.")
                .default_value(""),
        )
        .arg(
            setting("ways", "Strategies", "Names separated by commas; empty: all.")
                .default_value(""),
        )
}

/// Checks the settings of `quota`.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve_quota(matches: &ArgMatches) -> Result<QuotaBench, SettingError> {
    let bound = match raw_text(matches, "bound").as_str() {
        "customers" => WindowBound::CUSTOMERS,
        "targets" => WindowBound::TARGETS,
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
        scenarios: resolve_list(matches, "scenarios", &SCENARIOS)?,
        strategies: resolve_list(matches, "ways", &STRATEGIES)?,
    })
}

/// Returns the values that the setting `name` lists, or all of `all` if it is empty.
fn resolve_list<T: Copy>(
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
        .about("Measures how fast a change takes effect in all boxes, and the cost of the exchange")
        .arg(
            setting(
                "boxes",
                "Number of boxes",
                "Up to 40 run as real agents in this process; more run as simulated cores.",
            )
            .default_value("40"),
        )
        .arg(setting("centres", "Number of data centres", "1 to 64.").default_value("3"))
        .arg(setting("changes", "Timed changes in each row", "1 to 10000.").default_value("40"))
        .arg(
            setting("keys", "Keys that exist before the first change", "0 to 100000.")
                .default_value("200"),
        )
        .arg(
            setting(
                "seed",
                "Seed of the simulation",
                "Determines losses, delays and random choices.",
            )
            .default_value("1"),
        )
        .arg(
            Arg::new("cores")
                .long("cores")
                .action(ArgAction::SetTrue)
                .help("Simulate cores in virtual time for any number of boxes"),
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
