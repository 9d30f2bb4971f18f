//! Responses as raw bytes: which are accepted, with which body, and which are rejected.

mod streams;

use wingbridge_http::{ErrorKind, MessageLimits, ResponseBody};

use crate::streams::read_response;

struct ResponseCase {
    name: &'static str,
    method: &'static str,
    bytes: &'static [u8],
    expected: Result<(u16, ResponseBody), ErrorKind>,
}

#[test]
fn incomplete_and_ambiguous_responses_are_rejected() {
    let complete = |bytes: &[u8]| ResponseBody::Complete(bytes.to_vec());
    let cases = [
        ResponseCase {
            name: "plain",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            expected: Ok((200, complete(b"abc"))),
        },
        ResponseCase {
            name: "truncated body",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            expected: Err(ErrorKind::Truncated),
        },
        ResponseCase {
            name: "delimited by the close of the connection",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\n\r\nabc",
            expected: Err(ErrorKind::UnknownLength),
        },
        ResponseCase {
            name: "two different lengths",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
            expected: Err(ErrorKind::Malformed),
        },
        ResponseCase {
            name: "interim responses are skipped",
            method: "GET",
            bytes: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\na",
            expected: Ok((201, complete(b"a"))),
        },
        ResponseCase {
            name: "upgrade that was not requested",
            method: "GET",
            bytes: b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
            expected: Err(ErrorKind::Malformed),
        },
        ResponseCase {
            name: "HEAD has a length and no body",
            method: "HEAD",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
            expected: Ok((200, ResponseBody::Absent(Some(99)))),
        },
        ResponseCase {
            name: "204 has no body",
            method: "GET",
            bytes: b"HTTP/1.1 204 No Content\r\n\r\n",
            expected: Ok((204, ResponseBody::Absent(None))),
        },
        ResponseCase {
            name: "304 has a length and no body",
            method: "GET",
            bytes: b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
            expected: Ok((304, ResponseBody::Absent(Some(5)))),
        },
        ResponseCase {
            name: "chunked",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            expected: Ok((200, complete(b"ab"))),
        },
        ResponseCase {
            name: "truncated chunked body",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            expected: Err(ErrorKind::Truncated),
        },
        ResponseCase {
            name: "closed before a response",
            method: "GET",
            bytes: b"",
            expected: Err(ErrorKind::Truncated),
        },
        ResponseCase {
            name: "large body stays unread, with its length",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\nabc",
            expected: Ok((200, ResponseBody::Unread(101))),
        },
    ];
    let limits = MessageLimits {
        max_body_bytes: 100,
        max_chunked_body_bytes: 100,
        ..MessageLimits::default()
    };
    for case in cases {
        let result = read_response(case.bytes, case.method, &limits);
        let result = result.map(|incoming| (incoming.response.status() as u16, incoming.body));
        assert_eq!(result.map_err(|error| error.kind()), case.expected, "case {}", case.name);
    }
}

#[test]
fn truncated_large_body_gives_an_error() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\nabc";
    let limits = MessageLimits { max_body_bytes: 100, ..MessageLimits::default() };
    let (read, error) = streams::read_unread_body(bytes, &limits);
    assert_eq!(read, b"abc");
    assert_eq!(error, Some(std::io::ErrorKind::UnexpectedEof));
}
