//! The demonstration's command line, and the site that it sets up.

use std::time::Duration;

use clap::{Arg, ArgAction, Command};
use wingbridge_process::settings::setting;

use crate::system::{ServicePlan, SystemSetup};

const BROWSING: &str = include_str!("../../../examples/sedlo/browsing.rhai");
const ORDERS: &str = include_str!("../../../examples/sedlo/orders.rhai");
const DOWNLOADS: &str = include_str!("../../../examples/sedlo/downloads.rhai");

/// The command line of `wingbridge-demo`.
pub fn demo_command() -> Command {
    Command::new("wingbridge-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A whole small wingbridge system on loopback: store, two boxes, three services")
        .arg(
            setting(
                "seconds",
                "Drive itself for so many seconds, with faults, and check what must hold",
                "0 waits for SIGINT instead. With 4 to 600 it ends by itself, with exit code 1 if an invariant did not hold.",
            )
            .default_value("0"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print one JSON object instead of a table"))
}

/// Sedlo in small: the example policies, fewer targets.
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
