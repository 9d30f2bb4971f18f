//! A whole box in one process: callers on one side, targets on the other, its peers
//! beside it, and a store above that it only reads.
//!
//! What the store and the messages of the environment look like is not known here: an
//! adapter implements [`ports::EnvironmentPort`] and hands in [`settings::GatewaySettings`].
//! Duties: connections and requests are tasks of the I/O pool; [`store_duty`] keeps the
//! view of the store fresh, alone or by peers; [`gossip`] tells peers what was seen.
//! Decisions about targets are in `wingbridge_decide::steer`.

mod answers;
mod attempt;
mod context;
mod gate;
mod gossip;
mod intake;
mod open_attempt;
mod peers;
mod policies;
pub mod ports;
mod request_log;
mod requests;
pub mod routes;
mod routing;
pub mod run;
pub mod settings;
mod sightings;
mod stopping;
mod store_duty;
pub mod view;
mod view_exchange;

pub use run::run;
pub use settings::GatewaySettings;
pub use wingbridge_decide::steer::mechanism::{Mechanism, MechanismSet};
