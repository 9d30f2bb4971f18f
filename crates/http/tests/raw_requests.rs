//! Requests as raw bytes: which are accepted, and with which error the others are rejected.
//! Most cases are inputs that `async-h1` handles incorrectly.

mod streams;

use wingbridge_http::{ErrorKind, MessageLimits};

use crate::streams::{read_request, read_requests};

struct RequestCase {
    name: &'static str,
    bytes: &'static [u8],
    /// The bodies of the requests that are accepted, before the rejection if there is one.
    bodies: &'static [&'static [u8]],
    rejection: Option<ErrorKind>,
}

#[test]
fn incomplete_and_ambiguous_requests_are_rejected() {
    let cases = [
        RequestCase {
            name: "plain",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            bodies: &[b""],
            rejection: None,
        },
        RequestCase {
            name: "body with length",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
            bodies: &[b"abc"],
            rejection: None,
        },
        RequestCase {
            name: "truncated body: 3 of 10 bytes",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
            bodies: &[],
            rejection: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "two different lengths",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "two equal lengths",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            bodies: &[b"abc"],
            rejection: None,
        },
        RequestCase {
            name: "length with a sign",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "unknown transfer coding",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "length and chunked coding",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "chunked",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
            bodies: &[b"abcde"],
            rejection: None,
        },
        RequestCase {
            name: "truncated chunked body",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "chunk without its line end",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "pipelined behind a chunked body",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb",
            bodies: &[b"a", b"b"],
            rejection: None,
        },
        RequestCase {
            name: "pipelined, the second truncated",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b HT",
            bodies: &[b""],
            rejection: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "version HTTP/1.0",
            bytes: b"GET / HTTP/1.0\r\nHost: a\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::UnsupportedVersion),
        },
        RequestCase {
            name: "no Host header",
            bytes: b"GET / HTTP/1.1\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "two Host headers",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "request target with a scheme",
            bytes: b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "TLS handshake",
            bytes: b"\x16\x03\x01\x02\x00\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "space before the colon",
            bytes: b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
            bodies: &[],
            rejection: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "nothing",
            bytes: b"",
            bodies: &[],
            rejection: None,
        },
    ];
    for case in cases {
        let (bodies, rejection) = read_requests(case.bytes, &MessageLimits::default());
        assert_eq!(bodies, case.bodies, "case {}", case.name);
        assert_eq!(rejection, case.rejection, "case {}", case.name);
    }
}

#[test]
fn each_size_limit_has_its_status_code() {
    let limits = MessageLimits {
        max_request_line_bytes: 100,
        max_head_bytes: 1000,
        max_body_bytes: 50,
        max_chunked_body_bytes: 50,
    };
    let line = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(100));
    let head = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}\r\n\r\n", "x".repeat(1000));
    let header_lines: String = (0..101).map(|number| format!("X-{number}: y\r\n")).collect();
    let many_headers = format!("GET / HTTP/1.1\r\nHost: a\r\n{header_lines}\r\n");
    let body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 51\r\n\r\n".to_string();
    let chunked = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n{}\r\n0\r\n\r\n",
        "x".repeat(51)
    );
    let unterminated = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}", "x".repeat(5000));
    let cases = [
        (line, 414),
        (head, 431),
        (many_headers, 431),
        (body, 413),
        (chunked, 413),
        (unterminated, 431),
    ];
    for (text, status) in cases {
        let error = read_request(text.as_bytes(), &limits).expect_err("over a limit");
        assert_eq!(error.status(), status, "{error}: {text}");
    }
}

#[test]
fn expect_100_continue_is_answered_once() {
    let (head, body) = ("Content-Length: 2\r\nExpect: 100-continue\r\n", "ab");
    let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{head}\r\n{body}");
    let sent = streams::continues_sent(text.as_bytes());
    assert_eq!(sent, 1);
}
