//! The command `wingbench`.

use std::process::ExitCode;

use wingbench::run::run;
use wingbench::settings::bench_command;
use wingbridge_process::exit_code;

fn main() -> ExitCode {
    exit_code("wingbench", run(&bench_command().get_matches()))
}
