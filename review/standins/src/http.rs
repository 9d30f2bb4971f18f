//! A small part of HTTP/1.1 over blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// The head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The connection was closed before the first byte.
    Closed,
    /// The connection was reset or closed within a message.
    Broken,
    /// The read timed out.
    TimedOut,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first.get(1)?;
        let (_, query) = target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| decode(value))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message. `bytes` keeps what was read beyond it.
pub fn read_message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<Message, ReadEnd> {
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let is_first = bytes.is_empty();
        match fill(stream, bytes) {
            Err(ReadEnd::Closed) if !is_first => return Err(ReadEnd::Broken),
            result => result?,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").split(' ').map(str::to_string).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string()));
    let mut message = Message { first, headers: headers.collect(), body: Vec::new() };
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let length = length.unwrap_or(0);
    while bytes.len() < length {
        fill(stream, bytes).map_err(|end| match end {
            ReadEnd::Closed => ReadEnd::Broken,
            other => other,
        })?;
    }
    message.body = bytes.drain(..length).collect();
    Ok(message)
}

fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<(), ReadEnd> {
    let mut chunk = [0; 8192];
    match stream.read(&mut chunk) {
        Ok(0) => Err(ReadEnd::Closed),
        Ok(count) => {
            bytes.extend_from_slice(&chunk[..count]);
            Ok(())
        }
        Err(error) => match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Err(ReadEnd::TimedOut),
            _ => Err(ReadEnd::Broken),
        },
    }
}

/// Writes a response with a length; returns whether that succeeded.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} Standin\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
