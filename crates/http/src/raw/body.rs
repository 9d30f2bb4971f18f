//! Bodies: where they end, and chunking undone.

use crate::error::{ErrorKind, HttpError};

/// Longest line that announces a chunk, and longest trailer line, in bytes. Longer
/// ones have no use and would let a sender fill memory.
const LINE_LIMIT: usize = 8 * 1024;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// It has this many bytes.
    Known(u64),
    /// It comes in chunks and ends with an empty one.
    Chunked,
    /// It ends when the sender closes the connection. Only answers can.
    UntilClose,
}

/// Finds the end of a body in bytes as they arrive.
#[derive(Debug)]
pub struct BodyDecoder {
    part: BodyPart,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPart {
    Done,
    Known(u64),
    UntilClose,
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(length: BodyLength) -> BodyDecoder {
        let part = match length {
            BodyLength::None | BodyLength::Known(0) => BodyPart::Done,
            BodyLength::Known(length) => BodyPart::Known(length),
            BodyLength::Chunked => BodyPart::ChunkLine,
            BodyLength::UntilClose => BodyPart::UntilClose,
        };
        BodyDecoder { part }
    }

    /// Whether the whole body was seen.
    pub fn is_done(&self) -> bool {
        self.part == BodyPart::Done
    }

    /// Moves the body's bytes from the front of `input` to the end of `body`. What
    /// follows the body stays in `input`.
    ///
    /// # Errors
    /// The chunking is malformed.
    pub fn feed(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !self.is_done() && !input.is_empty() {
            let before = (self.part, input.len());
            self.step(input, body)?;
            if before == (self.part, input.len()) {
                // A line that is not whole yet.
                break;
            }
        }
        Ok(())
    }

    /// The sender closed the connection in order.
    ///
    /// # Errors
    /// The body was not whole.
    pub fn end_of_input(&mut self) -> Result<(), HttpError> {
        match self.part {
            BodyPart::Done | BodyPart::UntilClose => {
                self.part = BodyPart::Done;
                Ok(())
            }
            _ => Err(HttpError::new(ErrorKind::CutShort, "closed within a body")),
        }
    }

    fn step(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), HttpError> {
        match self.part {
            BodyPart::Done => {}
            BodyPart::UntilClose => body.append(input),
            BodyPart::Known(rest) => {
                let rest = take(input, body, rest);
                self.part = if rest == 0 { BodyPart::Done } else { BodyPart::Known(rest) };
            }
            BodyPart::ChunkData(rest) => {
                let rest = take(input, body, rest);
                self.part = if rest == 0 { BodyPart::ChunkEnd } else { BodyPart::ChunkData(rest) };
            }
            BodyPart::ChunkLine => match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((line, size))) => {
                    input.drain(..line);
                    self.part =
                        if size == 0 { BodyPart::Trailers } else { BodyPart::ChunkData(size) };
                }
                Ok(httparse::Status::Partial) if input.len() < LINE_LIMIT => {}
                _ => return Err(malformed("a chunk size is malformed")),
            },
            BodyPart::ChunkEnd => {
                if input.starts_with(b"\r\n") {
                    input.drain(..2);
                    self.part = BodyPart::ChunkLine;
                } else if input.len() >= 2 || input[0] != b'\r' {
                    return Err(malformed("a chunk has no end"));
                }
            }
            BodyPart::Trailers => self.skip_trailer(input)?,
        }
        Ok(())
    }

    /// Trailers are read and dropped: they are headers of one hop as far as we use them.
    fn skip_trailer(&mut self, input: &mut Vec<u8>) -> Result<(), HttpError> {
        let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
            if input.len() >= LINE_LIMIT {
                return Err(malformed("a trailer is too long"));
            }
            return Ok(());
        };
        let last = end == 0 || (end == 1 && input[0] == b'\r');
        input.drain(..=end);
        if last {
            self.part = BodyPart::Done;
        }
        Ok(())
    }
}

/// Moves up to `rest` bytes and returns how many are still missing.
fn take(input: &mut Vec<u8>, body: &mut Vec<u8>, rest: u64) -> u64 {
    let count = input.len().min(usize::try_from(rest).unwrap_or(usize::MAX));
    body.extend(input.drain(..count));
    rest - count as u64
}

fn malformed(reason: &str) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
