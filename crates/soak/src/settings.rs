//! The soak's flags, resolved into checked settings.

use std::path::PathBuf;
use std::time::Duration;

use clap::{ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, raw_text, setting};

/// Checked settings.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// The program of a box.
    pub program: PathBuf,
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds, one after the other.
    pub seeds: u64,
    /// How long faults are injected.
    pub time: Duration,
    /// Boxes, in two data centres.
    pub boxes: usize,
    /// Targets, in three services.
    pub targets: usize,
    /// Callers at once.
    pub callers: usize,
    /// Routes in each configuration beside those that callers use.
    pub routes: usize,
    /// Faults a second, on average; they overlap.
    pub faults_per_s: f64,
    /// Where logs and time lines are kept.
    pub directory: PathBuf,
}

/// The command line of `wingbridge-soak`.
pub fn soak_command() -> Command {
    Command::new("wingbridge-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs real boxes under faults drawn from a seed, and checks what callers and targets saw")
        .arg(
            setting("program", "Program of a box", "A path to wingbridge-box.")
                .default_value("target/release/wingbridge-box"),
        )
        .arg(setting("seed", "First seed", "0 or more; the same seed plans the same faults.").default_value("1"))
        .arg(setting("seeds", "Seeds, one after the other", "1 to 10000.").default_value("1"))
        .arg(setting("seconds", "Time in which faults are injected", "1 to 3600.").default_value("20"))
        .arg(setting("boxes", "Boxes", "2 to 100, in two data centres.").default_value("5"))
        .arg(setting("targets", "Targets", "3 to 200, in three services.").default_value("9"))
        .arg(setting("callers", "Callers at once", "1 to 200.").default_value("12"))
        .arg(
            setting(
                "routes",
                "Routes in each configuration beside those that callers use",
                "0 to 5000; 4000 make 0.7 MB, which boxes hand on as what is new in it.",
            )
            .default_value("0"),
        )
        .arg(setting("faults", "Faults in ten seconds, on average", "1 to 100.").default_value("8"))
        .arg(
            setting("directory", "Where logs and time lines are kept", "A path; it is made if missing.")
                .default_value("target/soak"),
        )
}

/// Checks the raw settings.
///
/// # Errors
/// The first setting that is not allowed.
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
        boxes: settings::number(matches, "boxes", 2..=100)? as usize,
        targets: settings::number(matches, "targets", 3..=200)? as usize,
        callers: settings::number(matches, "callers", 1..=200)? as usize,
        routes: settings::number(matches, "routes", 0..=5000)? as usize,
        faults_per_s: settings::number(matches, "faults", 1..=100)? as f64 / 10.0,
        directory: PathBuf::from(raw_text(matches, "directory")),
    })
}
