//! The part of HTTP/1.1 that the stand-ins need, over blocking connections.

use std::io::{self, Read, Write};
use std::net::TcpStream;

const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request as an instance or the store has received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first value of the header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        value_of(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }
}

pub fn value_of<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a message: its first line and its headers, with names in lower case.
pub type Head = (String, Vec<(String, String)>);

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = vec![0; 64 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head. Returns `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        Ok(Some((first, headers)))
    }

    /// Reads some bytes of a body, `most` at most. Returns none at the end of the connection.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(Vec::new());
        }
        let count = most.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_exactly(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut missing = count;
        while missing > 0 {
            let bytes = self.read_some(missing)?;
            if bytes.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            missing -= bytes.len();
            body.extend_from_slice(&bytes);
        }
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that the headers announce; `until_close` tells what holds if they announce none.
    pub fn read_body(
        &mut self,
        headers: &[(String, String)],
        until_close: bool,
        body: &mut Vec<u8>,
    ) -> io::Result<()> {
        if value_of(headers, "transfer-encoding").is_some_and(|coding| coding == "chunked") {
            loop {
                let line = self.read_line()?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                self.read_exactly(size, body)?;
                self.read_line()?;
            }
        }
        if let Some(length) = value_of(headers, "content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            return self.read_exactly(length, body);
        }
        if until_close {
            loop {
                let bytes = self.read_some(usize::MAX)?;
                if bytes.is_empty() {
                    break;
                }
                body.extend_from_slice(&bytes);
            }
        }
        Ok(())
    }

    /// Reads a request with its body. Returns `None` if the connection ends or fails before its end.
    pub fn read_request(&mut self) -> Option<Request> {
        let (first, headers) = self.read_head().ok()??;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let mut body = Vec::new();
        self.read_body(&headers, false, &mut body).ok()?;
        Some(Request { method, target, headers, body })
    }

    /// Writes an answer with a length.
    pub fn write_answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut bytes = format!("HTTP/1.1 {status} Standin\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}
