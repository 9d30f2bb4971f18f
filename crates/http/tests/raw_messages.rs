//! Raw messages: where they end, and what is kept of them.

use async_std::task;
use futures::io::Cursor;
use wingbridge_http::raw::{BodyDecoder, BodyLength, RawReader, RawRequestHead, RawResponseHead};

struct AnswerCase {
    name: &'static str,
    method: &'static str,
    bytes: &'static str,
    /// Status and body, or nothing if the answer can't be taken for whole.
    wanted: Option<(u16, &'static str)>,
}

const ANSWERS: &[AnswerCase] = &[
    AnswerCase {
        name: "known length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        wanted: Some((200, "abc")),
    },
    AnswerCase {
        name: "cut short of its length",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
        wanted: None,
    },
    AnswerCase {
        name: "no length, closed in order",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\n\r\nabc",
        wanted: Some((200, "abc")),
    },
    AnswerCase {
        name: "chunks with extension and trailers",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n",
        wanted: Some((200, "abc")),
    },
    AnswerCase {
        name: "chunks without their end",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        wanted: None,
    },
    AnswerCase {
        name: "a chunk longer than it says",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        wanted: None,
    },
    AnswerCase {
        name: "interim answer first",
        method: "POST",
        bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n",
        wanted: Some((201, "")),
    },
    AnswerCase {
        name: "HEAD announces a length that does not follow",
        method: "HEAD",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        wanted: Some((200, "")),
    },
    AnswerCase {
        name: "two lengths",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
        wanted: None,
    },
    AnswerCase {
        name: "length and chunks",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        wanted: None,
    },
    AnswerCase {
        name: "a length that is no number",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        wanted: None,
    },
    AnswerCase { name: "no answer at all", method: "GET", bytes: "", wanted: None },
    AnswerCase { name: "noise", method: "GET", bytes: "\u{1}\u{2}\u{3} 200\r\n\r\n", wanted: None },
    AnswerCase {
        name: "lines that end without a carriage return",
        method: "GET",
        bytes: "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
        wanted: Some((200, "abc")),
    },
    AnswerCase {
        name: "another protocol",
        method: "GET",
        bytes: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        wanted: None,
    },
];

#[test]
fn answers_end_where_they_say_or_are_not_whole() {
    for case in ANSWERS {
        let read = task::block_on(read_response(case.bytes.as_bytes(), case.method));
        let wanted = case.wanted.map(|(status, body)| (status, body.as_bytes().to_vec()));
        assert_eq!(read, wanted, "{}", case.name);
    }
}

async fn read_response(bytes: &[u8], method: &str) -> Option<(u16, Vec<u8>)> {
    let mut reader = RawReader::new(Cursor::new(bytes.to_vec()));
    let start: RawResponseHead = reader.read_response_head(method, 8192).await.ok()?;
    let mut decoder = BodyDecoder::new(start.length);
    let mut body = Vec::new();
    while !decoder.is_done() {
        reader.read_body(&mut decoder, &mut body).await.ok()?;
    }
    Some((start.status, body))
}

struct RequestCase {
    name: &'static str,
    bytes: &'static str,
    /// Path, length and whether the caller closes; or nothing if it is refused.
    wanted: Option<(&'static str, BodyLength, bool)>,
}

const REQUESTS: &[RequestCase] = &[
    RequestCase {
        name: "query stays out of the path",
        bytes: "GET /a/b?c=/d HTTP/1.1\r\nHost: h\r\n\r\n",
        wanted: Some(("/a/b", BodyLength::None, false)),
    },
    RequestCase {
        name: "HTTP/1.0 closes",
        bytes: "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        wanted: Some(("/", BodyLength::None, true)),
    },
    RequestCase {
        name: "chunked body",
        bytes: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\nConnection: x, Close\r\n\r\n",
        wanted: Some(("/", BodyLength::Chunked, true)),
    },
    RequestCase {
        name: "unknown coding",
        bytes: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        wanted: None,
    },
    RequestCase {
        name: "two hosts",
        bytes: "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        wanted: None,
    },
    RequestCase {
        name: "no path",
        bytes: "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        wanted: None,
    },
];

#[test]
fn requests_say_one_thing_or_are_refused() {
    for case in REQUESTS {
        let parsed = RawRequestHead::parse(case.bytes.as_bytes()).ok().flatten();
        let read = parsed.as_ref().map(|(start, _)| (start.path(), start.length, start.closes));
        assert_eq!(read, case.wanted, "{}", case.name);
    }
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let bytes = b"GET / HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nConnection: X-Two\r\nX-Two: 2\r\n\
        TE: trailers\r\nContent-Length: 0\r\nX-Own: 3\r\nX-Bytes: \xff\r\n\r\n";
    let (start, _) = RawRequestHead::parse(bytes).expect("a request").expect("a whole one");
    let passed = start.headers.forwarded(&["x-own"]);
    let names: Vec<&str> = passed.iter().map(|field| field.name.as_str()).collect();
    assert_eq!(names, ["Host", "X-One", "X-Bytes"]);
}

#[test]
fn a_body_is_the_same_however_it_arrives() {
    let message = b"3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: x\r\n\r\nNEXT";
    for step in 1..message.len() {
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        let (mut input, mut body) = (Vec::new(), Vec::new());
        for piece in message.chunks(step) {
            input.extend_from_slice(piece);
            decoder.feed(&mut input, &mut body).expect("well formed");
        }
        assert!(decoder.is_done(), "in steps of {step}");
        assert_eq!(body, b"abc0123456789abcdef", "in steps of {step}");
        assert_eq!(input, b"NEXT", "what follows stays, in steps of {step}");
    }
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let bytes = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(500));
    let mut reader = RawReader::new(Cursor::new(bytes.into_bytes()));
    let error = task::block_on(reader.read_request_head(200)).expect_err("it is too long");
    assert_eq!(error.status(), 431);
}
