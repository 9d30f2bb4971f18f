//! Raw messages: detection of their end, and the headers and bytes that are kept.

use async_std::task;
use futures::io::Cursor;
use wingbridge_http::raw::{BodyDecoder, BodyLength, RawReader, RawRequestHead, RawResponseHead};

struct ResponseCase {
    name: &'static str,
    method: &'static str,
    bytes: &'static str,
    /// Status and body; `None` if the response is rejected.
    expected: Option<(u16, &'static str)>,
}

const RESPONSES: &[ResponseCase] = &[
    ResponseCase {
        name: "known length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        expected: Some((200, "abc")),
    },
    ResponseCase {
        name: "shorter than its length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
        expected: None,
    },
    ResponseCase {
        name: "no length, closed by the peer",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\n\r\nabc",
        expected: Some((200, "abc")),
    },
    ResponseCase {
        name: "chunks with extension and trailers",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n",
        expected: Some((200, "abc")),
    },
    ResponseCase {
        name: "chunks without the last chunk",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        expected: None,
    },
    ResponseCase {
        name: "chunk longer than its size",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        expected: None,
    },
    ResponseCase {
        name: "interim response first",
        method: "POST",
        bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n",
        expected: Some((201, "")),
    },
    ResponseCase {
        name: "HEAD has a length and no body",
        method: "HEAD",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        expected: Some((200, "")),
    },
    ResponseCase {
        name: "two different lengths",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
        expected: None,
    },
    ResponseCase {
        name: "length and chunked coding",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        expected: None,
    },
    ResponseCase {
        name: "length with a sign",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        expected: None,
    },
    ResponseCase { name: "empty input", method: "GET", bytes: "", expected: None },
    ResponseCase {
        name: "noise",
        method: "GET",
        bytes: "\u{1}\u{2}\u{3} 200\r\n\r\n",
        expected: None,
    },
    ResponseCase {
        name: "line ends without a carriage return",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
        expected: Some((200, "abc")),
    },
    ResponseCase {
        name: "protocol upgrade",
        method: "GET",
        bytes: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        expected: None,
    },
];

#[test]
fn incomplete_and_ambiguous_responses_are_rejected() {
    for case in RESPONSES {
        let read = task::block_on(read_response(case.bytes.as_bytes(), case.method));
        let expected = case.expected.map(|(status, body)| (status, body.as_bytes().to_vec()));
        assert_eq!(read, expected, "{}", case.name);
    }
}

async fn read_response(bytes: &[u8], method: &str) -> Option<(u16, Vec<u8>)> {
    let mut reader = RawReader::new(Cursor::new(bytes.to_vec()));
    let head: RawResponseHead = reader.read_response_head(method, 8192).await.ok()?;
    let mut decoder = BodyDecoder::new(head.length);
    let mut body = Vec::new();
    while !decoder.is_done() {
        reader.read_body(&mut decoder, &mut body).await.ok()?;
    }
    Some((head.status, body))
}

struct RequestCase {
    name: &'static str,
    bytes: &'static str,
    /// Path, length and whether the caller closes; `None` if the request is rejected.
    expected: Option<(&'static str, BodyLength, bool)>,
}

const REQUESTS: &[RequestCase] = &[
    RequestCase {
        name: "path without the query",
        bytes: "GET /a/b?c=/d HTTP/1.1\r\nHost: h\r\n\r\n",
        expected: Some(("/a/b", BodyLength::None, false)),
    },
    RequestCase {
        name: "HTTP/1.0 closes the connection",
        bytes: "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        expected: Some(("/", BodyLength::None, true)),
    },
    RequestCase {
        name: "chunked body",
        bytes: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\nConnection: x, Close\r\n\r\n",
        expected: Some(("/", BodyLength::Chunked, true)),
    },
    RequestCase {
        name: "unknown transfer coding",
        bytes: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        expected: None,
    },
    RequestCase {
        name: "two Host headers",
        bytes: "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        expected: None,
    },
    RequestCase {
        name: "request target with a scheme",
        bytes: "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        expected: None,
    },
];

#[test]
fn ambiguous_request_heads_are_rejected() {
    for case in REQUESTS {
        let parsed = RawRequestHead::parse(case.bytes.as_bytes()).ok().flatten();
        let read = parsed.as_ref().map(|(head, _)| (head.path(), head.length, head.closes));
        assert_eq!(read, case.expected, "{}", case.name);
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let bytes = b"GET / HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nConnection: X-Two\r\nX-Two: 2\r\n\
        TE: trailers\r\nContent-Length: 0\r\nX-Own: 3\r\nX-Bytes: \xff\r\n\r\n";
    let (head, _) = RawRequestHead::parse(bytes).expect("valid head").expect("complete head");
    let forwarded = head.headers.forwarded(&["x-own"]);
    let names: Vec<&str> = forwarded.iter().map(|field| field.name.as_str()).collect();
    assert_eq!(names, ["Host", "X-One", "X-Bytes"]);
}

#[test]
fn chunked_body_decodes_alike_for_any_read_size() {
    let message = b"3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: x\r\n\r\nNEXT";
    for size in 1..message.len() {
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        let (mut input, mut body) = (Vec::new(), Vec::new());
        for piece in message.chunks(size) {
            input.extend_from_slice(piece);
            decoder.feed(&mut input, &mut body).expect("valid chunked coding");
        }
        assert!(decoder.is_done(), "in pieces of {size} bytes");
        assert_eq!(body, b"abc0123456789abcdef", "in pieces of {size} bytes");
        assert_eq!(
            input, b"NEXT",
            "the next message stays in the input, in pieces of {size} bytes"
        );
    }
}

#[test]
fn head_over_the_limit_is_rejected() {
    let bytes = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(500));
    let mut reader = RawReader::new(Cursor::new(bytes.into_bytes()));
    let error = task::block_on(reader.read_request_head(200)).expect_err("head over the limit");
    assert_eq!(error.status(), 431);
}
