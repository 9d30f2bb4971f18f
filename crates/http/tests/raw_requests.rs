//! Requests as raw bytes: what is taken, what is refused, and that the refusal says why.
//! Most cases are faults of the library that were measured on raw bytes.

mod streams;

use wingbridge_http::{ErrorKind, MessageLimits};

use crate::streams::{read_request, read_requests};

struct RequestCase {
    name: &'static str,
    bytes: &'static [u8],
    /// The bodies of the requests that are taken, then the refusal, if there is one.
    bodies: &'static [&'static [u8]],
    refusal: Option<ErrorKind>,
}

#[test]
fn requests_are_whole_or_refused() {
    let cases = [
        RequestCase {
            name: "plain",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            bodies: &[b""],
            refusal: None,
        },
        RequestCase {
            name: "body with length",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
            bodies: &[b"abc"],
            refusal: None,
        },
        RequestCase {
            name: "short body: 3 of 10 bytes",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
            bodies: &[],
            refusal: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "two lengths that differ",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "two lengths that agree",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            bodies: &[b"abc"],
            refusal: None,
        },
        RequestCase {
            name: "length with a sign",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "unknown transfer coding",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "length with chunked",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "chunked",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
            bodies: &[b"abcde"],
            refusal: None,
        },
        RequestCase {
            name: "chunked, cut",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "chunk without an end",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "pipelined behind a chunked body",
            bytes: b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb",
            bodies: &[b"a", b"b"],
            refusal: None,
        },
        RequestCase {
            name: "pipelined, the second cut",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b HT",
            bodies: &[b""],
            refusal: Some(ErrorKind::Truncated),
        },
        RequestCase {
            name: "old version",
            bytes: b"GET / HTTP/1.0\r\nHost: a\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::UnsupportedVersion),
        },
        RequestCase {
            name: "no host",
            bytes: b"GET / HTTP/1.1\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "two hosts",
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "target that is no path",
            bytes: b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "no request at all",
            bytes: b"\x16\x03\x01\x02\x00\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "space before the colon",
            bytes: b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
            bodies: &[],
            refusal: Some(ErrorKind::Malformed),
        },
        RequestCase {
            name: "nothing",
            bytes: b"",
            bodies: &[],
            refusal: None,
        },
    ];
    for case in cases {
        let (bodies, refusal) = read_requests(case.bytes, &MessageLimits::default());
        assert_eq!(bodies, case.bodies, "case {}", case.name);
        assert_eq!(refusal, case.refusal, "case {}", case.name);
    }
}

#[test]
fn what_is_too_large_is_refused_with_its_own_code() {
    let limits = MessageLimits {
        max_request_line_bytes: 100,
        max_head_bytes: 1000,
        max_body_bytes: 50,
        max_chunked_body_bytes: 50,
    };
    let line = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(100));
    let head = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}\r\n\r\n", "x".repeat(1000));
    let many: String = (0..101).map(|number| format!("X-{number}: y\r\n")).collect();
    let many = format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n");
    let body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 51\r\n\r\n".to_string();
    let chunked = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n{}\r\n0\r\n\r\n",
        "x".repeat(51)
    );
    let endless = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}", "x".repeat(5000));
    let cases =
        [(line, 414), (head, 431), (many, 431), (body, 413), (chunked, 413), (endless, 431)];
    for (text, status) in cases {
        let error = read_request(text.as_bytes(), &limits).expect_err("too large");
        assert_eq!(error.status(), status, "{error}: {text}");
    }
}

#[test]
fn a_caller_that_asks_is_told_to_go_on() {
    let (head, body) = ("Content-Length: 2\r\nExpect: 100-continue\r\n", "ab");
    let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{head}\r\n{body}");
    let asked = streams::continues_asked(text.as_bytes());
    assert_eq!(asked, 1);
}
