//! An HTTP client for the platform's and the operators' end points: one request per
//! connection, with bounded time. The path to targets has its own client, in the proxy.
//!
//! [`CallLimits`] separates an idle timeout from the total one, for responses whose length is
//! not known beforehand: aborting a transfer that makes progress would only cause all of it to
//! be sent again.

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::io::copy;
use http_types::{Method, Request, Url};

use crate::error::{ErrorKind, HttpError};
use crate::head::MessageLimits;
use crate::reader::{MessageReader, ResponseBody};

/// Maximum length of a response body. It leaves room for a value of one megabyte and the listing
/// around it.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A response: its status and its complete body.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body; empty if the response has none.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// Returns the value of the first header with `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Timeouts of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum time for the connection to come up, and between two reads of the response.
    pub idle_timeout: Duration,
    /// Maximum time for the entire call.
    pub total_timeout: Duration,
}

impl From<Duration> for CallLimits {
    fn from(timeout: Duration) -> CallLimits {
        CallLimits { idle_timeout: timeout, total_timeout: timeout }
    }
}

/// An HTTP client of one address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: String,
    limits: CallLimits,
}

impl HttpClient {
    /// Creates a client of `address` (`IP:port`) whose [`HttpClient::get`] fails after `timeout`.
    pub fn new(address: &str, timeout: Duration) -> HttpClient {
        HttpClient { address: address.to_string(), limits: timeout.into() }
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a GET request for `path`, bounded by the client's own timeout.
    pub async fn get(&self, path: &str) -> Result<HttpReply, HttpError> {
        self.call(Method::Get, path, Vec::new(), self.limits).await
    }

    /// Sends `body` to `path` with `method` and returns the response, within `limits`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limits: impl Into<CallLimits>,
    ) -> Result<HttpReply, HttpError> {
        let CallLimits { idle_timeout, total_timeout } = limits.into();
        let work = self.call_unbounded(method, path, body, idle_timeout);
        self.with_timeout(total_timeout, work).await
    }

    /// Returns the result of `work`, or an error after `time`.
    async fn with_timeout<T>(
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

    /// Performs a call without a bound on its total time.
    async fn call_unbounded(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        idle_timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let Ok(url) = Url::parse(&format!("http://{}{path}", self.address)) else {
            let reason = format!("'{}{path}' is not an address and a path", self.address);
            return Err(HttpError::new(ErrorKind::Malformed, reason));
        };
        let mut request = Request::new(method, url);
        request.insert_header("connection", "close");
        request.set_body(body);
        let connecting = async { Ok(TcpStream::connect(&self.address).await?) };
        let mut stream = self.with_timeout(idle_timeout, connecting).await?;
        stream.set_nodelay(true)?;
        copy(async_h1::client::Encoder::new(request), &mut stream).await?;
        stream.flush().await?;
        let limits = MessageLimits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            max_chunked_body_bytes: MAX_RESPONSE_BYTES,
            ..MessageLimits::default()
        };
        let mut reader = MessageReader::new(stream).with_idle_timeout(idle_timeout);
        let incoming = reader.read_response(method.as_ref(), &limits).await?;
        let status = incoming.response.status() as u16;
        let pairs = incoming.response.iter().filter_map(|(name, values)| {
            Some((name.as_str().to_ascii_lowercase(), values.get(0)?.as_str().to_string()))
        });
        let headers = pairs.collect();
        match incoming.body {
            ResponseBody::Complete(body) => Ok(HttpReply { status, headers, body }),
            ResponseBody::Absent(_) => Ok(HttpReply { status, headers, body: Vec::new() }),
            ResponseBody::Unread(length) => {
                let reason = format!(
                    "the response body of {length} bytes exceeds {MAX_RESPONSE_BYTES} bytes"
                );
                Err(HttpError::new(ErrorKind::BodyTooLarge, reason))
            }
        }
    }
}

/// Returns a reader of the bytes of `request` as `async-h1` encodes it.
pub fn encoder(request: Request) -> impl futures::io::AsyncRead + Unpin {
    async_h1::client::Encoder::new(request)
}
