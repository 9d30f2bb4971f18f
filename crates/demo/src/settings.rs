//! Command line of the demonstration, and the system that it sets up.

use std::time::Duration;

use clap::{Arg, ArgAction, Command};
use wingbridge_process::settings::setting;

use crate::system::{ServicePlan, SystemSetup};

const BROWSING: &str = include_str!("../../../examples/sedlo/browsing.rhai");
const ORDERS: &str = include_str!("../../../examples/sedlo/orders.rhai");
const DOWNLOADS: &str = include_str!("../../../examples/sedlo/downloads.rhai");

/// Returns the command line of `wingbridge-demo`.
pub fn demo_command() -> Command {
    Command::new("wingbridge-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A complete small wingbridge system on loopback: a store, two boxes and three services")
        .arg(
            setting(
                "seconds",
                "Time to run load with faults and check the invariants, in seconds",
                "0 runs without load until SIGINT. With 4 to 600 it ends by itself, with exit code 1 if an invariant did not hold.",
            )
            .default_value("0"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print one JSON object instead of a table"))
}

/// Returns the setup of the demonstration: the example site Sedlo with its policies and fewer
/// targets.
pub fn demo_setup() -> SystemSetup {
    let plan = |name, route, policy: &str, targets, work| ServicePlan {
        name,
        route,
        policy: policy.to_string(),
        targets,
        slots: 3,
        work: Duration::from_millis(work),
        bias: "careful",
        floor: 0.6,
        download_bytes: 2_000_000,
    };
    SystemSetup {
        boxes: 2,
        data_centres: 2,
        services: vec![
            plan("availability", "/availability", BROWSING, 8, 10),
            plan("orders", "/orders", ORDERS, 5, 15),
            plan("downloads", "/download", DOWNLOADS, 5, 10),
        ],
        leave_time: Duration::from_millis(300),
    }
}
