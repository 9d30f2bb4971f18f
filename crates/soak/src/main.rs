//! The `wingbridge-soak` program: runs a range of seeds and prints one report per seed.

use std::process::ExitCode;

use wingbridge_process::{Outcome, exit_code};
use wingbridge_soak::run_seed;
use wingbridge_soak::settings::{resolve, soak_command};

fn main() -> ExitCode {
    exit_code("wingbridge-soak", start())
}

fn start() -> eyre::Result<Outcome> {
    let settings = resolve(&soak_command().get_matches())?;
    let mut passed = true;
    for seed in settings.first_seed..settings.first_seed + settings.seeds {
        let report = run_seed(&settings, seed)?;
        println!("{}", serde_json::to_string(&report)?);
        passed &= report.violations.is_empty();
    }
    Ok(if passed { Outcome::Done } else { Outcome::CheckFailed })
}
