//! Bodies of requests that are too long to hold: they go to the target as they come from the caller.
//!
//! The caller's connection is read by the task that serves it, the target's written by the attempt;
//! a ring of few pieces joins them, so that whoever of the two is slow holds up the other one and no
//! memory. What went to one target can't be sent to another.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use wingbridge_http::raw::{BodyDecoder, RawReader};
use wingbridge_http::{ErrorKind, HttpError};

/// Pieces of a body that wait for the target at most.
const WAITING_PIECES: usize = 2;
/// Longest piece, in bytes: what one read of the connection gives, with room for what was read ahead.
const PIECE_BYTES: usize = 64 * 1024;
/// Memory that a body takes while it is passed on, beside its beginning: pieces that wait, and one each
/// at either end.
pub(crate) const STREAM_BYTES: usize = (WAITING_PIECES + 2) * PIECE_BYTES;

/// A part of a body, or its end.
#[derive(Debug)]
pub(crate) enum BodyPiece {
    Bytes(Vec<u8>),
    End,
}

/// What is still to come of a body, for the attempt that sends it.
#[derive(Debug)]
pub(crate) struct BodyRest {
    pieces: Receiver<BodyPiece>,
    begun: AtomicBool,
}

/// What is still to come of a body, for the task that reads it.
#[derive(Debug)]
pub(crate) struct BodyPump {
    decoder: BodyDecoder,
    pieces: Sender<BodyPiece>,
    /// Bytes that may still come.
    left: usize,
    /// The longest time without a byte.
    idle_timeout: Duration,
}

/// What became of a body at its caller's end.
#[derive(Debug)]
pub(crate) enum PumpEnd {
    /// All of it was read.
    Whole,
    /// Nobody wants the rest of it.
    Unwanted,
}

/// Both ends of what is still to come of a body, `left` bytes at most.
pub(crate) fn body_stream(
    decoder: BodyDecoder,
    left: usize,
    idle_timeout: Duration,
) -> (BodyPump, BodyRest) {
    let (sender, receiver) = async_channel::bounded(WAITING_PIECES);
    let rest = BodyRest { pieces: receiver, begun: AtomicBool::new(false) };
    (BodyPump { decoder, pieces: sender, left, idle_timeout }, rest)
}

impl BodyRest {
    /// The next piece, once it is there; `None` if the caller left before the end, or sent something that is no
    /// body.
    pub(crate) async fn next(&self) -> Option<BodyPiece> {
        self.begun.store(true, Ordering::Release);
        self.pieces.recv().await.ok()
    }

    /// Whether an attempt has begun to take it, so that no other one can have it whole.
    pub(crate) fn is_begun(&self) -> bool {
        self.begun.load(Ordering::Acquire)
    }
}

impl BodyPump {
    /// Reads the body and hands it over, until its end or until nobody wants it.
    ///
    /// # Errors
    /// The caller broke off, stood still, or sent more than is allowed or no body.
    pub(crate) async fn run(
        &mut self,
        reader: &mut RawReader<TcpStream>,
    ) -> Result<PumpEnd, HttpError> {
        while !self.decoder.is_done() {
            let mut piece = Vec::new();
            let read = reader.read_body(&mut self.decoder, &mut piece);
            let Ok(read) = async_std::future::timeout(self.idle_timeout, read).await else {
                return Err(HttpError::new(ErrorKind::Truncated, "the body stood still"));
            };
            read?;
            let Some(left) = self.left.checked_sub(piece.len()) else {
                return Err(HttpError::new(ErrorKind::BodyTooLarge, "the body is too long"));
            };
            self.left = left;
            if !piece.is_empty() && self.pieces.send(BodyPiece::Bytes(piece)).await.is_err() {
                return Ok(PumpEnd::Unwanted);
            }
        }
        let taken = self.pieces.send(BodyPiece::End).await.is_ok();
        Ok(if taken { PumpEnd::Whole } else { PumpEnd::Unwanted })
    }

    /// Whether the body was read to its end, so that a next request may follow it.
    pub(crate) fn is_done(&self) -> bool {
        self.decoder.is_done()
    }
}
