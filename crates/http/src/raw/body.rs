//! Incremental decoding of bodies: detection of their end, and removal of chunked coding.

use crate::error::{ErrorKind, HttpError};

/// Maximum length of a chunk-size line and of a trailer line. Longer lines have no use and
/// would let a sender exhaust memory.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// Maximum length of all trailers of a body. They are discarded, and could otherwise go on without end.
const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// The body has the given number of bytes.
    Known(u64),
    /// The body is chunked and ends with an empty chunk.
    Chunked,
    /// The body ends when the sender closes the connection; only responses may do so.
    UntilClose,
}

/// An incremental decoder of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Done,
    Known(u64),
    UntilClose,
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    /// Trailers, of which this number of bytes was discarded.
    Trailers(usize),
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(length: BodyLength) -> BodyDecoder {
        let state = match length {
            BodyLength::None | BodyLength::Known(0) => DecoderState::Done,
            BodyLength::Known(length) => DecoderState::Known(length),
            BodyLength::Chunked => DecoderState::ChunkLine,
            BodyLength::UntilClose => DecoderState::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Returns whether the body has been decoded to its end.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Moves bytes of the body from the front of `input` to the end of `body`, without
    /// chunked coding. Bytes that follow the body stay in `input`.
    ///
    /// # Errors
    /// The chunked coding is malformed.
    pub fn feed(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !self.is_done() && !input.is_empty() {
            let before = (self.state, input.len());
            self.step(input, body)?;
            if before == (self.state, input.len()) {
                // The current line is incomplete; more input is needed.
                break;
            }
        }
        Ok(())
    }

    /// Completes the body after the sender closed the connection.
    ///
    /// # Errors
    /// The body is truncated.
    pub fn end_of_input(&mut self) -> Result<(), HttpError> {
        match self.state {
            DecoderState::Done | DecoderState::UntilClose => {
                self.state = DecoderState::Done;
                Ok(())
            }
            _ => Err(HttpError::new(ErrorKind::Truncated, "closed within a body")),
        }
    }

    fn step(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), HttpError> {
        match self.state {
            DecoderState::Done => {}
            DecoderState::UntilClose => body.append(input),
            DecoderState::Known(remaining) => {
                let remaining = move_bytes(input, body, remaining);
                self.state = if remaining == 0 {
                    DecoderState::Done
                } else {
                    DecoderState::Known(remaining)
                };
            }
            DecoderState::ChunkData(remaining) => {
                let remaining = move_bytes(input, body, remaining);
                self.state = if remaining == 0 {
                    DecoderState::ChunkEnd
                } else {
                    DecoderState::ChunkData(remaining)
                };
            }
            DecoderState::ChunkLine => match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((line, size))) => {
                    input.drain(..line);
                    self.state = if size == 0 {
                        DecoderState::Trailers(0)
                    } else {
                        DecoderState::ChunkData(size)
                    };
                }
                Ok(httparse::Status::Partial) if input.len() < MAX_LINE_BYTES => {}
                _ => return Err(malformed("a chunk size is malformed")),
            },
            DecoderState::ChunkEnd => {
                if input.starts_with(b"\r\n") {
                    input.drain(..2);
                    self.state = DecoderState::ChunkLine;
                } else if input.len() >= 2 || input[0] != b'\r' {
                    return Err(malformed("a chunk has no end"));
                }
            }
            DecoderState::Trailers(skipped) => self.skip_trailer(skipped, input)?,
        }
        Ok(())
    }

    /// Discards one trailer line: trailers are treated as hop-by-hop and not forwarded.
    fn skip_trailer(&mut self, skipped: usize, input: &mut Vec<u8>) -> Result<(), HttpError> {
        let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
            if input.len() >= MAX_LINE_BYTES {
                return Err(malformed("a trailer is too long"));
            }
            return Ok(());
        };
        let last = end == 0 || (end == 1 && input[0] == b'\r');
        input.drain(..=end);
        let skipped = skipped + end + 1;
        if skipped > MAX_TRAILER_BYTES {
            return Err(malformed("the trailers are too long"));
        }
        self.state = if last { DecoderState::Done } else { DecoderState::Trailers(skipped) };
        Ok(())
    }
}

/// Moves up to `remaining` bytes from `input` to `body` and returns how many are still missing.
fn move_bytes(input: &mut Vec<u8>, body: &mut Vec<u8>, remaining: u64) -> u64 {
    let count = input.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
    body.extend(input.drain(..count));
    remaining - count as u64
}

fn malformed(reason: &str) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
