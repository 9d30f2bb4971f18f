//! Exit codes: 0 for success, 1 for a failure, 2 for an invalid setting, and 3 for partial
//! success (`wingctl`).

use std::process::ExitCode;

use crate::settings::SettingError;

/// The outcome of a program that ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task was completed (exit code 0).
    Done,
    /// The task was completed in part, or a change is not in force in every box yet (exit code 3).
    Partial,
    /// The checked condition does not hold (exit code 1).
    CheckFailed,
}

/// Maps `result` to an exit code, and prints the error if it is one.
pub fn exit_code(program: &str, result: eyre::Result<Outcome>) -> ExitCode {
    match result {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::CheckFailed) => ExitCode::from(1),
        Ok(Outcome::Partial) => ExitCode::from(3),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            let is_setting_error = error.downcast_ref::<SettingError>().is_some();
            ExitCode::from(if is_setting_error { 2 } else { 1 })
        }
    }
}
