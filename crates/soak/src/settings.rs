//! The command line flags of the soak and their validation.

use std::path::PathBuf;
use std::time::Duration;

use clap::{ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, raw_text, setting};

/// Validated settings.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Path of the box's program.
    pub program: PathBuf,
    /// First seed.
    pub first_seed: u64,
    /// Number of consecutive seeds, which run one after the other.
    pub seeds: u64,
    /// Time for which faults are injected.
    pub time: Duration,
    /// Number of boxes, spread over the data centres.
    pub boxes: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of targets, spread over three services.
    pub targets: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of routes in each configuration that callers do not use.
    pub routes: usize,
    /// Average number of faults per second. Faults overlap.
    pub faults_per_s: f64,
    /// Value of the boxes' setting of overload control.
    pub overload: String,
    /// Directory for logs and event traces.
    pub directory: PathBuf,
}

/// Returns the command line of `wingbridge-soak`.
pub fn soak_command() -> Command {
    Command::new("wingbridge-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs real boxes under faults drawn from a seed, and checks what callers and targets observed")
        .arg(
            setting("program", "Path of the box's program", "The path of a built wingbridge-box.")
                .default_value("target/release/wingbridge-box"),
        )
        .arg(setting("seed", "First seed", "0 or more; the same seed plans the same faults.").default_value("1"))
        .arg(setting("seeds", "Number of seeds, run one after the other", "1 to 10000.").default_value("1"))
        .arg(setting("seconds", "Time for which faults are injected, in seconds", "1 to 3600.").default_value("20"))
        .arg(setting("boxes", "Boxes", "2 to 250.").default_value("5"))
        .arg(setting("data-centres", "Data centres, over which boxes and targets are spread", "1 to 5.").default_value("2"))
        .arg(setting("targets", "Targets", "3 to 800, in three services; above 400, boxes poll the store for changes.").default_value("9"))
        .arg(setting("callers", "Number of concurrent callers", "1 to 200.").default_value("12"))
        .arg(
            setting(
                "routes",
                "Number of additional routes in each configuration that callers do not use",
                "0 to 5000; with 4000 a configuration has 0.7 MB, and boxes transfer deltas of it.",
            )
            .default_value("0"),
        )
        .arg(setting("faults", "Average number of faults in ten seconds", "1 to 100.").default_value("8"))
        .arg(
            setting("overload", "Overload control of the boxes", "off, auto or on.")
                .default_value("off"),
        )
        .arg(
            setting("directory", "Directory for logs and event traces", "A path; created if missing.")
                .default_value("target/soak"),
        )
}

/// Validates the command line.
///
/// # Errors
/// Returns an error for the first setting whose value is not allowed.
pub fn resolve(matches: &ArgMatches) -> Result<SoakSettings, SettingError> {
    let program = PathBuf::from(raw_text(matches, "program"));
    if !program.is_file() {
        let text = program.display().to_string();
        return Err(SettingError::new("program", &text, "the path of a built wingbridge-box"));
    }
    Ok(SoakSettings {
        program,
        first_seed: settings::number(matches, "seed", 0..=u64::MAX / 2)?,
        seeds: settings::number(matches, "seeds", 1..=10_000)?,
        time: Duration::from_secs(settings::number(matches, "seconds", 1..=3600)?),
        boxes: settings::number(matches, "boxes", 2..=250)? as usize,
        data_centres: settings::number(matches, "data-centres", 1..=5)? as usize,
        targets: settings::number(matches, "targets", 3..=800)? as usize,
        callers: settings::number(matches, "callers", 1..=200)? as usize,
        routes: settings::number(matches, "routes", 0..=5000)? as usize,
        faults_per_s: settings::number(matches, "faults", 1..=100)? as f64 / 10.0,
        overload: overload(matches)?,
        directory: PathBuf::from(raw_text(matches, "directory")),
    })
}

fn overload(matches: &ArgMatches) -> Result<String, SettingError> {
    let raw = raw_text(matches, "overload");
    if ["off", "auto", "on"].contains(&raw.as_str()) {
        return Ok(raw);
    }
    Err(SettingError::new("overload", &raw, "off, auto or on"))
}
