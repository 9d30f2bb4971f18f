//! Connects the placement of requests between data centres to the box: the messages about the load of services, and the
//! log lines and metrics of the plans. The decisions are made in `wingbridge_decide::placement`.

pub mod budget;
pub mod messages;
pub(crate) mod reports;
