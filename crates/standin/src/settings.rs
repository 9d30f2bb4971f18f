//! Command lines and entry points of the stand-in programs.

use std::time::Duration;

use async_std::net::TcpListener;
use clap::{ArgMatches, Command};
use futures::future::{Either, select};
use wingbridge_process::settings::{self, setting};
use wingbridge_process::{Outcome, StopSignal};

use crate::store::serve_store;
use crate::store_state::StoreHandle;
use crate::target::{TargetHandle, TargetSettings, serve_target};

/// Returns the command line of `standin-store`.
pub fn store_command() -> Command {
    Command::new("standin-store")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-in for the platform's store and box list")
        .arg(listen_setting())
}

/// Returns the command line of `standin-target`.
pub fn target_command() -> Command {
    Command::new("standin-target")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-in for a target, with configurable faults")
        .arg(listen_setting())
        .arg(
            setting(
                "slots",
                "Number of requests processed concurrently",
                "Further requests are queued; beyond 20 per slot they are shed.",
            )
            .default_value("3"),
        )
        .arg(
            setting(
                "work-ms",
                "Median processing time, in milliseconds",
                "Processing times have a log-normal distribution.",
            )
            .default_value("10"),
        )
        .arg(
            setting(
                "download-bytes",
                "Length of the body of /download, in bytes",
                "The bytes follow a fixed pattern.",
            )
            .default_value("2000000"),
        )
}

/// Runs the store until `stop` is signalled.
///
/// # Errors
/// Returns an error if a setting is not allowed or the address can't be bound.
pub fn run_store(matches: &ArgMatches, stop: &StopSignal) -> eyre::Result<Outcome> {
    let address = settings::address(matches, "listen")?;
    async_std::task::block_on(async {
        let listener = TcpListener::bind(address).await?;
        println!("store listens on {}", listener.local_addr()?);
        until_stopped(serve_store(listener, StoreHandle::new()), stop).await;
        Ok(Outcome::Done)
    })
}

/// Runs a target until `stop` is signalled.
///
/// # Errors
/// Returns an error if a setting is not allowed or the address can't be bound.
pub fn run_target(matches: &ArgMatches, stop: &StopSignal) -> eyre::Result<Outcome> {
    let address = settings::address(matches, "listen")?;
    let slots = settings::number(matches, "slots", 1..=10_000)?;
    let work = settings::millis(matches, "work-ms", 0..=60_000)?;
    let download_bytes = settings::number(matches, "download-bytes", 1..=1 << 40)?;
    async_std::task::block_on(async {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        println!("target listens on {address}");
        let target = TargetHandle::new(TargetSettings {
            name: address.to_string(),
            slots: slots as usize,
            work: work.max(Duration::from_micros(1)),
            spread: 0.3,
            download_bytes,
            seed: 1,
        });
        until_stopped(serve_target(listener, target), stop).await;
        Ok(Outcome::Done)
    })
}

async fn until_stopped(work: impl Future<Output = ()>, stop: &StopSignal) {
    let work = std::pin::pin!(work);
    let stopped = std::pin::pin!(stop.wait());
    match select(work, stopped).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

fn listen_setting() -> clap::Arg {
    setting(
        "listen",
        "Address to listen on",
        "An IP address and a port; with port 0 the system chooses one.",
    )
    .default_value("127.0.0.1:0")
}
