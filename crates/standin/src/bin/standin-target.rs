//! The `standin-target` program: a stand-in for a target.

use std::process::ExitCode;

use wingbridge_process::exit_code;
use wingbridge_process::stop::stop_on_signals;
use wingbridge_standin::{run_target, target_command};

fn main() -> ExitCode {
    let matches = target_command().get_matches();
    let result = stop_on_signals().map_err(eyre::Report::from);
    exit_code("standin-target", result.and_then(|stop| run_target(&matches, &stop)))
}
