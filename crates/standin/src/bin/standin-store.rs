//! The `standin-store` program: a stand-in for the platform's store.

use std::process::ExitCode;

use wingbridge_process::exit_code;
use wingbridge_process::stop::stop_on_signals;
use wingbridge_standin::{run_store, store_command};

fn main() -> ExitCode {
    let matches = store_command().get_matches();
    let result = stop_on_signals().map_err(eyre::Report::from);
    exit_code("standin-store", result.and_then(|stop| run_store(&matches, &stop)))
}
