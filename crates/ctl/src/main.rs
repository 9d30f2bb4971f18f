//! The `wingctl` executable.

use std::process::ExitCode;

use wingbridge_process::exit_code;
use wingctl::{ctl_command, run};

fn main() -> ExitCode {
    exit_code("wingctl", run(&ctl_command().get_matches()))
}
