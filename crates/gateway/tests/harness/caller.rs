//! A caller that sends requests on one connection.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::header;
use super::target::read_message;

/// A caller that sends requests on one connection.
pub struct CallerStandin {
    pub(super) stream: TcpStream,
}

/// An answer as a caller received it.
#[derive(Debug, Clone)]
pub struct CallerReply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body has the length that the head announces.
    pub complete: bool,
}

impl CallerStandin {
    /// Returns the connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Sends a request with the id "id-1" and reads the answer.
    pub fn request(&mut self, method: &str, path: &str, more_headers: &str) -> CallerReply {
        self.send(method, path, more_headers, "");
        self.read().expect("an answer")
    }

    /// Sends a request with the id "id-1".
    pub fn send(&mut self, method: &str, path: &str, more_headers: &str, body: &str) {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        self.send_raw(&format!(
            "{method} {path} HTTP/1.1\r\nHost: host.example\r\nX-Id: id-1\r\n{more_headers}{length}\r\n{body}"
        ));
    }

    /// Sends bytes as they are. Errors are ignored, since a box that has already answered may have closed.
    pub fn send_raw(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    /// Reads the first `bytes` bytes of an answer.
    pub fn read_beginning(&mut self, bytes: usize) {
        let mut beginning = vec![0; bytes];
        self.stream.read_exact(&mut beginning).expect("an answer begins");
    }

    /// Reads an answer. Returns `None` if the connection closes before its head is complete.
    pub fn read(&mut self) -> Option<CallerReply> {
        let (head, mut body) = read_message(&mut self.stream, false)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize = header(&head, "content-length")?.parse().ok()?;
        while body.len() < length {
            let mut chunk = [0; 65536];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => body.push_str(&String::from_utf8_lossy(&chunk[..count])),
            }
        }
        let complete = body.len() == length;
        Some(CallerReply { status, head, body, complete })
    }
}
