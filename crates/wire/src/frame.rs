//! Framing of messages on a connection: a length prefix of four bytes, then one message.

use async_std::net::TcpStream;
use bytes::Bytes;
use futures::io::{ReadHalf, WriteHalf};
use futures::{AsyncReadExt, SinkExt, StreamExt};
use prost::Message;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use crate::error::{ErrorKind, WireError};
use crate::messages::Frame;

/// Maximum length of a frame in bytes, several times the size of the largest store value (1 MB).
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// The receiving direction of a connection.
pub struct FrameReader {
    frames: FramedRead<Compat<ReadHalf<TcpStream>>, LengthDelimitedCodec>,
}

impl FrameReader {
    /// Returns the next message, or `None` after the peer has closed the connection.
    ///
    /// # Errors
    /// Returns an error if the connection fails, or if the frame is too long or does not decode to a message.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = self.frames.next().await else {
            return Ok(None);
        };
        let bytes = bytes?;
        let frame = Frame::decode(bytes);
        frame.map(Some).map_err(|error| WireError::new(ErrorKind::Malformed, error.to_string()))
    }
}

/// The sending direction of a connection.
pub struct FrameWriter {
    frames: FramedWrite<Compat<WriteHalf<TcpStream>>, LengthDelimitedCodec>,
}

impl FrameWriter {
    /// Writes one message and flushes it. Returns the length of the message in bytes.
    ///
    /// # Errors
    /// Returns an error if the connection fails or the message is longer than [`MAX_FRAME_BYTES`].
    pub async fn send(&mut self, frame: &Frame) -> Result<usize, WireError> {
        let bytes = frame.encode_to_vec();
        let length = bytes.len();
        self.frames.send(Bytes::from(bytes)).await?;
        Ok(length)
    }
}

/// Splits a connection into its two directions, after the handshake.
pub fn split_stream(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.split();
    let reader = FrameReader { frames: FramedRead::new(read.compat(), codec()) };
    let writer = FrameWriter { frames: FramedWrite::new(write.compat_write(), codec()) };
    (reader, writer)
}

/// Writes one message of any type to `stream`, with the same framing as [`FrameWriter`].
///
/// # Errors
/// Returns an error if the connection fails or the message is longer than [`MAX_FRAME_BYTES`].
pub async fn send_message(stream: &TcpStream, message: &impl Message) -> Result<(), WireError> {
    let mut frames = FramedWrite::new(stream.compat_write(), codec());
    frames.send(Bytes::from(message.encode_to_vec())).await?;
    Ok(())
}

/// Reads one message from `stream`. No further message may follow, since buffered bytes are dropped.
///
/// # Errors
/// Returns an error if the connection fails or is closed before a message, or if the message is malformed
/// or too long.
pub async fn receive_message<M: Message + Default>(stream: &TcpStream) -> Result<M, WireError> {
    let mut frames = FramedRead::new(stream.compat(), codec());
    let Some(bytes) = frames.next().await else {
        return Err(WireError::new(
            ErrorKind::Malformed,
            "connection closed before a message was received",
        ));
    };
    let message = M::decode(bytes?);
    message.map_err(|error| WireError::new(ErrorKind::Malformed, error.to_string()))
}

/// Reads one message from `stream` and no byte beyond it, so that anything may follow.
///
/// # Errors
/// Returns an error if the connection fails or is closed before the end of the message, or if the message is malformed
/// or longer than `max_bytes`.
pub async fn receive_exact<M: Message + Default>(
    stream: &mut TcpStream,
    max_bytes: usize,
) -> Result<M, WireError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        return Err(WireError::new(ErrorKind::Malformed, "the message is too long"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let message = M::decode(&bytes[..]);
    message.map_err(|error| WireError::new(ErrorKind::Malformed, error.to_string()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
