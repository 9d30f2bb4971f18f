//! Answers as raw bytes: whole, passed on with their length known, or refused.

mod streams;

use wingbridge_http::{ErrorKind, MessageLimits, ResponseBody};

use crate::streams::read_response;

struct AnswerCase {
    name: &'static str,
    method: &'static str,
    bytes: &'static [u8],
    expected: Result<(u16, ResponseBody), ErrorKind>,
}

#[test]
fn answers_are_whole_or_refused() {
    let whole = |bytes: &[u8]| ResponseBody::Complete(bytes.to_vec());
    let cases = [
        AnswerCase {
            name: "plain",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
            expected: Ok((200, whole(b"abc"))),
        },
        AnswerCase {
            name: "short body",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            expected: Err(ErrorKind::Truncated),
        },
        AnswerCase {
            name: "ends by closing",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\n\r\nabc",
            expected: Err(ErrorKind::UnknownLength),
        },
        AnswerCase {
            name: "two lengths",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
            expected: Err(ErrorKind::Malformed),
        },
        AnswerCase {
            name: "interim answers are passed over",
            method: "GET",
            bytes: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\na",
            expected: Ok((201, whole(b"a"))),
        },
        AnswerCase {
            name: "upgrade that nobody asked for",
            method: "GET",
            bytes: b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
            expected: Err(ErrorKind::Malformed),
        },
        AnswerCase {
            name: "HEAD has a length and no body",
            method: "HEAD",
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
            expected: Ok((200, ResponseBody::Absent(Some(99)))),
        },
        AnswerCase {
            name: "204 has no body",
            method: "GET",
            bytes: b"HTTP/1.1 204 No Content\r\n\r\n",
            expected: Ok((204, ResponseBody::Absent(None))),
        },
        AnswerCase {
            name: "304 speaks of another body's length",
            method: "GET",
            bytes: b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
            expected: Ok((304, ResponseBody::Absent(Some(5)))),
        },
        AnswerCase {
            name: "chunked",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            expected: Ok((200, whole(b"ab"))),
        },
        AnswerCase {
            name: "chunked, cut",
            method: "GET",
            bytes: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            expected: Err(ErrorKind::Truncated),
        },
        AnswerCase {
            name: "closed before an answer",
            method: "GET",
            bytes: b"",
            expected: Err(ErrorKind::Truncated),
        },
        AnswerCase {
            name: "large: it waits, and its length is known",
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
        let answer = read_response(case.bytes, case.method, &limits);
        let answer = answer.map(|answer| (answer.response.status() as u16, answer.body));
        assert_eq!(answer.map_err(|error| error.kind()), case.expected, "case {}", case.name);
    }
}

#[test]
fn a_large_body_that_ends_early_is_an_error_and_not_an_end() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\nabc";
    let limits = MessageLimits { max_body_bytes: 100, ..MessageLimits::default() };
    let (read, error) = streams::read_waiting(bytes, &limits);
    assert_eq!(read, b"abc");
    assert_eq!(error, Some(std::io::ErrorKind::UnexpectedEof));
}
