//! Raw bytes through a connection on loopback.

#![allow(dead_code, reason = "each test file uses its part")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};
use wingbridge_http::{
    ErrorKind, HttpError, IncomingRequest, IncomingResponse, MessageLimits, MessageReader,
    ResponseBody,
};

/// A reader at the other end of which `bytes` are written and the connection is closed.
async fn reader_of(bytes: &[u8]) -> MessageReader {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let bytes = bytes.to_vec();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
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

/// The bodies of all requests that are taken, and the kind of the refusal that ends them.
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

pub fn continues_asked(bytes: &[u8]) -> usize {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let read = async move {
        let limits = MessageLimits::default();
        let mut reader = reader_of(bytes).await;
        let read = reader.read_request(&limits, async || {
            count.fetch_add(1, Ordering::SeqCst);
            Ok(())
        });
        read.await.expect("a request")
    };
    task::block_on(read);
    asked.load(Ordering::SeqCst)
}

pub fn read_response(
    bytes: &[u8],
    method: &str,
    limits: &MessageLimits,
) -> Result<IncomingResponse, HttpError> {
    task::block_on(async { reader_of(bytes).await.read_response(method, limits).await })
}

/// What can be read of a body that waits, and the error that ends it.
pub fn read_waiting(bytes: &[u8], limits: &MessageLimits) -> (Vec<u8>, Option<std::io::ErrorKind>) {
    task::block_on(async {
        let mut reader = reader_of(bytes).await;
        let answer = reader.read_response("GET", limits).await.expect("a head");
        let ResponseBody::Unread(length) = answer.body else { panic!("it waits") };
        let mut body = reader.into_body(length);
        let mut read = Vec::new();
        let result = body.read_to_end(&mut read).await;
        (read, result.err().map(|error| error.kind()))
    })
}
