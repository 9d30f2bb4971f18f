//! Messages between wingbridge's own processes, and how they are framed.
//!
//! `prost` encodes them by derive, so the build needs no generator; the length
//! prefix and the buffering are `tokio-util`'s, over `futures-io` by its compat
//! layer. Before the first frame both ends prove that they know the fleet key
//! (see [`handshake`]); a stranger's bytes are never parsed as messages.

pub mod convert;
pub mod error;
pub mod frame;
pub mod gossip;
pub mod handshake;
pub mod limits;
pub mod messages;

pub use error::{ErrorKind, WireError};
pub use frame::{FrameReader, FrameWriter, MAX_FRAME, receive_message, send_message, split_stream};
pub use handshake::{FleetKey, HandshakeSide};
pub use messages::*;
