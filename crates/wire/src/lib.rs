//! Messages between wingbridge's own processes, and their framing.
//!
//! `prost` derives the encoding from the message types, so the build needs no code generator. Length
//! prefix and buffering come from `tokio-util`, over `futures-io` through its compat layer. Before the
//! first frame both ends prove that they have the fleet key (see [`handshake`]). Bytes of an
//! unauthenticated peer are never parsed as messages.

pub mod convert;
pub mod error;
pub mod frame;
pub mod gossip;
pub mod handshake;
pub mod limits;
pub mod messages;
pub mod overload;
pub mod paths;
pub mod relay;
pub mod retries;

pub use error::{ErrorKind, WireError};
pub use frame::{
    FrameReader, FrameWriter, MAX_FRAME_BYTES, receive_exact, receive_message, send_message,
    split_stream,
};
pub use handshake::{FleetKey, HandshakeSide};
pub use messages::*;
