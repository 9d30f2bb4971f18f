//! Exit codes: 0 done, 1 failed, 2 used wrongly, and for `wingctl` 3 in part.

use std::process::ExitCode;

use crate::settings::SettingError;

/// How a program ended when nothing went wrong with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All was done.
    Done,
    /// It was done in part, or is not yet in force everywhere.
    Partial,
    /// What was checked did not hold.
    CheckFailed,
}

/// Prints what went wrong, if anything did, and maps it to an exit code.
pub fn exit_code(program: &str, result: eyre::Result<Outcome>) -> ExitCode {
    match result {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::CheckFailed) => ExitCode::from(1),
        Ok(Outcome::Partial) => ExitCode::from(3),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            let usage = error.downcast_ref::<SettingError>().is_some();
            ExitCode::from(if usage { 2 } else { 1 })
        }
    }
}
