//! Messages that pass through unchanged.
//!
//! A proxy has to give an answer on as the target wrote it: the status text, the
//! order and the spelling of headers, bodies without a length. `async-h1` builds
//! messages anew and holds no such detail, so the path between callers and
//! targets reads heads with `httparse` and keeps their bytes. Where a message
//! ends is decided here, in [`head`] and [`body`], and nowhere else.

pub mod body;
pub mod head;
pub mod reader;

pub use body::{BodyDecoder, BodyLength};
pub use head::{AnswerStart, HeaderField, HeaderList, RequestStart};
pub use reader::RawReader;
