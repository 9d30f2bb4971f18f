//! Frames over a connection: a length of four bytes, then one message.

use async_std::net::TcpStream;
use bytes::Bytes;
use futures::io::{ReadHalf, WriteHalf};
use futures::{AsyncReadExt, SinkExt, StreamExt};
use prost::Message;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use crate::error::{ErrorKind, WireError};
use crate::messages::Frame;

/// Longest frame: a value of the store's megabyte, several times over.
pub const MAX_FRAME: usize = 8 << 20;

/// Reads frames.
pub struct FrameReader {
    frames: FramedRead<Compat<ReadHalf<TcpStream>>, LengthDelimitedCodec>,
}

impl FrameReader {
    /// The next message, or `None` when the peer closed.
    ///
    /// # Errors
    /// The connection failed, or the frame is no message or too long.
    pub async fn next(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = self.frames.next().await else {
            return Ok(None);
        };
        let bytes = bytes?;
        let frame = Frame::decode(bytes);
        frame.map(Some).map_err(|error| WireError::new(ErrorKind::Malformed, error.to_string()))
    }
}

/// Writes frames.
pub struct FrameWriter {
    frames: FramedWrite<Compat<WriteHalf<TcpStream>>, LengthDelimitedCodec>,
}

impl FrameWriter {
    /// Writes one message and sends it off. Returns its length in bytes.
    ///
    /// # Errors
    /// The connection failed, or the message is over [`MAX_FRAME`].
    pub async fn send(&mut self, frame: &Frame) -> Result<usize, WireError> {
        let bytes = frame.encode_to_vec();
        let length = bytes.len();
        self.frames.send(Bytes::from(bytes)).await?;
        Ok(length)
    }
}

/// Splits a connection, after the handshake, into its two directions.
pub fn split_stream(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.split();
    let reader = FrameReader { frames: FramedRead::new(read.compat(), codec()) };
    let writer = FrameWriter { frames: FramedWrite::new(write.compat_write(), codec()) };
    (reader, writer)
}

/// Writes one message of any type to `stream`, framed as [`FrameWriter`] frames its own.
///
/// # Errors
/// The connection failed, or the message is over [`MAX_FRAME`].
pub async fn send_message(stream: &TcpStream, message: &impl Message) -> Result<(), WireError> {
    let mut frames = FramedWrite::new(stream.compat_write(), codec());
    frames.send(Bytes::from(message.encode_to_vec())).await?;
    Ok(())
}

/// Reads one message from `stream`, on which nothing else follows.
///
/// # Errors
/// The connection failed or closed before, or the message is malformed or too long.
pub async fn receive_message<M: Message + Default>(stream: &TcpStream) -> Result<M, WireError> {
    let mut frames = FramedRead::new(stream.compat(), codec());
    let Some(bytes) = frames.next().await else {
        return Err(WireError::new(ErrorKind::Malformed, "closed before a message"));
    };
    let message = M::decode(bytes?);
    message.map_err(|error| WireError::new(ErrorKind::Malformed, error.to_string()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}
