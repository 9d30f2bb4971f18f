//! A client for the platform's and the operators' end points: one request a
//! connection, bounded in time. The path to targets has its own, in the proxy.
//!
//! An answer whose length nobody knows beforehand is bounded by silence: as long as bytes
//! arrive it is read on, since giving it up would only mean to send them all again.

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::io::copy;
use http_types::{Method, Request, Url};

use crate::error::{ErrorKind, HttpError};
use crate::head::MessageLimits;
use crate::reader::{AnswerBody, MessageReader};

/// Longest answer taken, in bytes: a value of a megabyte and a listing around it.
const ANSWER_LIMIT: usize = 64 << 20;

/// A status and a whole body.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How long a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Time without a byte of the answer, and for the connection.
    pub silence: Duration,
    /// Time for all of it.
    pub whole: Duration,
}

impl From<Duration> for CallLimits {
    fn from(whole: Duration) -> CallLimits {
        CallLimits { silence: whole, whole }
    }
}

/// Talks to one address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: String,
    limits: CallLimits,
}

impl HttpClient {
    /// A client of `address` (`IP:port`) that gives up after `timeout`.
    pub fn new(address: &str, timeout: Duration) -> HttpClient {
        HttpClient { address: address.to_string(), limits: timeout.into() }
    }

    /// The address it talks to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Gets `path`.
    pub async fn get(&self, path: &str) -> Result<HttpReply, HttpError> {
        self.call(Method::Get, path, Vec::new(), self.limits).await
    }

    /// Sends `body` to `path` with `method`, and waits as long as `limits` allow.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limits: impl Into<CallLimits>,
    ) -> Result<HttpReply, HttpError> {
        let CallLimits { silence, whole } = limits.into();
        let work = self.call_unbounded(method, path, body, silence);
        self.within(whole, work).await
    }

    /// The outcome of `work`, or an error after `time`.
    async fn within<T>(
        &self,
        time: Duration,
        work: impl Future<Output = Result<T, HttpError>>,
    ) -> Result<T, HttpError> {
        match async_std::future::timeout(time, work).await {
            Ok(result) => result,
            Err(_) => {
                let reason = format!("{} did not answer within {time:?}", self.address);
                Err(HttpError::new(ErrorKind::TimedOut, reason))
            }
        }
    }

    async fn call_unbounded(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        silence: Duration,
    ) -> Result<HttpReply, HttpError> {
        let Ok(url) = Url::parse(&format!("http://{}{path}", self.address)) else {
            let reason = format!("'{}{path}' is not an address and a path", self.address);
            return Err(HttpError::new(ErrorKind::Malformed, reason));
        };
        let mut request = Request::new(method, url);
        request.insert_header("connection", "close");
        request.set_body(body);
        let connecting = async { Ok(TcpStream::connect(&self.address).await?) };
        let mut stream = self.within(silence, connecting).await?;
        stream.set_nodelay(true)?;
        copy(async_h1::client::Encoder::new(request), &mut stream).await?;
        stream.flush().await?;
        let limits = MessageLimits { body: ANSWER_LIMIT, ..MessageLimits::default() };
        let mut reader = MessageReader::new(stream).with_silence(silence);
        let answer = reader.read_answer(method.as_ref(), &limits).await?;
        let status = answer.response.status() as u16;
        match answer.body {
            AnswerBody::Whole(body) => Ok(HttpReply { status, body }),
            AnswerBody::Absent(_) => Ok(HttpReply { status, body: Vec::new() }),
            AnswerBody::Waiting(length) => {
                let reason = format!("an answer of {length} bytes is over {ANSWER_LIMIT}");
                Err(HttpError::new(ErrorKind::BodyTooLarge, reason))
            }
        }
    }
}

/// The bytes of a request, as the library writes them.
pub fn encoder(request: Request) -> impl futures::io::AsyncRead + Unpin {
    async_h1::client::Encoder::new(request)
}
