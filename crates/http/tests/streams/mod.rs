//! Helpers that send raw bytes over a loopback connection and read them as messages.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};
use wingbridge_http::{
    ErrorKind, HttpError, IncomingRequest, IncomingResponse, MessageLimits, MessageReader,
    ResponseBody,
};

/// Returns a reader of a connection whose peer writes `bytes` and closes.
async fn reader_of(bytes: &[u8]) -> MessageReader {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind loopback");
    let address = listener.local_addr().expect("local address");
    let bytes = bytes.to_vec();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        stream.write_all(&bytes).await.expect("written");
    });
    MessageReader::new(TcpStream::connect(address).await.expect("connected"))
}

pub fn read_request(
    bytes: &[u8],
    limits: &MessageLimits,
) -> Result<Option<IncomingRequest>, HttpError> {
    task::block_on(async { reader_of(bytes).await.read_request(limits, async || Ok(())).await })
}

/// Returns the bodies of all accepted requests, and the kind of the error that follows them.
pub fn read_requests(bytes: &[u8], limits: &MessageLimits) -> (Vec<Vec<u8>>, Option<ErrorKind>) {
    task::block_on(async {
        let mut reader = reader_of(bytes).await;
        let mut bodies = Vec::new();
        loop {
            match reader.read_request(limits, async || Ok(())).await {
                Ok(Some(incoming)) => bodies.push(incoming.body),
                Ok(None) => return (bodies, None),
                Err(error) => return (bodies, Some(error.kind())),
            }
        }
    })
}

/// Returns how many times `100 Continue` is requested while one request is read.
pub fn continues_sent(bytes: &[u8]) -> usize {
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    let read = async move {
        let limits = MessageLimits::default();
        let mut reader = reader_of(bytes).await;
        let read = reader.read_request(&limits, async || {
            count.fetch_add(1, Ordering::SeqCst);
            Ok(())
        });
        read.await.expect("read the request")
    };
    task::block_on(read);
    sent.load(Ordering::SeqCst)
}

pub fn read_response(
    bytes: &[u8],
    method: &str,
    limits: &MessageLimits,
) -> Result<IncomingResponse, HttpError> {
    task::block_on(async { reader_of(bytes).await.read_response(method, limits).await })
}

/// Returns the bytes that can be read of a large body, and the error that ends it.
pub fn read_unread_body(
    bytes: &[u8],
    limits: &MessageLimits,
) -> (Vec<u8>, Option<std::io::ErrorKind>) {
    task::block_on(async {
        let mut reader = reader_of(bytes).await;
        let incoming = reader.read_response("GET", limits).await.expect("read the head");
        let ResponseBody::Unread(length) = incoming.body else { panic!("the body was read") };
        let mut body = reader.into_body(length);
        let mut read = Vec::new();
        let result = body.read_to_end(&mut read).await;
        (read, result.err().map(|error| error.kind()))
    })
}
