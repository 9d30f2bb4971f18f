//! The `wingbridge-proxy` program.

use std::process::ExitCode;

use wingbridge_process::io_pool::start_io_pool;
use wingbridge_process::logs::start_logs;
use wingbridge_process::metrics::start_metrics;
use wingbridge_process::stop::stop_on_signals;
use wingbridge_process::{Outcome, exit_code};
use wingbridge_proxy::{proxy_command, resolve, run};

fn main() -> ExitCode {
    exit_code("wingbridge-proxy", start())
}

fn start() -> eyre::Result<Outcome> {
    let settings = resolve(&proxy_command().get_matches())?;
    let _logs = start_logs(&settings.log_level)?;
    start_metrics();
    start_io_pool(settings.io_threads);
    let stop = stop_on_signals()?;
    run(&settings, &stop, |addresses| {
        println!("proxy callers={} admin={}", addresses.callers, addresses.admin);
    })
}
