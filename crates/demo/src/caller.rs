//! A caller that keeps its connection open and reads each answer completely.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Url};
use wingbridge_http::client::encoder;
use wingbridge_http::{HttpError, MessageLimits, MessageReader, ResponseBody};

/// Maximum length of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Headers in addition to those that the HTTP library sets.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Returns a `GET` request for `path`.
    pub fn get(path: &str) -> CallerRequest {
        let path = path.to_string();
        CallerRequest { method: Method::Get, path, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header to the request.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> CallerRequest {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// Status code of the answer.
    pub status: u16,
    /// Outcome that the proxy reports in a header; empty if there is none.
    pub outcome: String,
    /// Value of the header `Retry-After` in seconds, if there is one.
    pub retry_after: Option<u64>,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// A caller with at most one connection.
#[derive(Debug)]
pub struct LoadCaller {
    address: SocketAddr,
    connection: Option<(MessageReader, TcpStream)>,
}

impl LoadCaller {
    /// Creates a caller of `address` that is not connected yet.
    pub fn new(address: SocketAddr) -> LoadCaller {
        LoadCaller { address, connection: None }
    }

    /// Sets the address of later calls. A connection to another address is closed.
    pub fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.connection = None;
        }
    }

    /// Makes a request and reads the answer to its end. After an error the connection is closed.
    ///
    /// # Errors
    /// Returns an error if no complete answer came within `timeout`.
    pub async fn call(
        &mut self,
        request: &CallerRequest,
        timeout: Duration,
    ) -> Result<CallerAnswer, HttpError> {
        let result = async_std::future::timeout(timeout, self.exchange(request)).await;
        let result = result.unwrap_or_else(|_| {
            Err(HttpError::new(wingbridge_http::ErrorKind::TimedOut, "no answer in time"))
        });
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    async fn exchange(&mut self, request: &CallerRequest) -> Result<CallerAnswer, HttpError> {
        let bytes = encode(self.address, request).await?;
        if self.connection.is_none() {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            self.connection = Some((MessageReader::new(stream.clone()), stream));
        }
        let Some((reader, writer)) = &mut self.connection else {
            return Err(HttpError::new(wingbridge_http::ErrorKind::Io, "not connected"));
        };
        writer.write_all(&bytes).await?;
        let limits = MessageLimits {
            max_body_bytes: MAX_ANSWER_BYTES,
            max_chunked_body_bytes: MAX_ANSWER_BYTES,
            ..MessageLimits::default()
        };
        let answer = reader.read_response(request.method.as_ref(), &limits).await?;
        if !answer.keep_alive {
            self.connection = None;
        }
        let text = |name: &str| {
            answer.response.header(name).map_or("", |values| values.last().as_str()).to_string()
        };
        Ok(CallerAnswer {
            status: answer.response.status() as u16,
            outcome: text("x-wingbridge-outcome"),
            retry_after: text("retry-after").parse().ok(),
            body: match answer.body {
                ResponseBody::Complete(bytes) => bytes,
                ResponseBody::Absent(_) | ResponseBody::Unread(_) => Vec::new(),
            },
        })
    }
}

async fn encode(address: SocketAddr, request: &CallerRequest) -> Result<Vec<u8>, HttpError> {
    let url = Url::parse(&format!("http://{address}{}", request.path));
    let url = url.map_err(|error| {
        HttpError::new(wingbridge_http::ErrorKind::Malformed, error.to_string())
    })?;
    let mut outgoing = Request::new(request.method, url);
    for (name, value) in &request.headers {
        outgoing.insert_header(*name, value.as_str());
    }
    outgoing.set_body(request.body.clone());
    let mut bytes = Vec::new();
    encoder(outgoing).read_to_end(&mut bytes).await?;
    Ok(bytes)
}
