//! Messages that are forwarded unchanged.
//!
//! A proxy has to forward a response as the target wrote it: the reason phrase, the order and
//! spelling of headers, bodies without a declared length. `async-h1` rebuilds messages and
//! loses these details, so the path between callers and targets parses heads with `httparse`
//! and keeps their bytes. [`head`] and [`body`] alone determine where such a message ends.

pub mod body;
pub mod head;
pub mod reader;

pub use body::{BodyDecoder, BodyLength};
pub use head::{HeaderField, HeaderList, RawRequestHead, RawResponseHead};
pub use reader::RawReader;
