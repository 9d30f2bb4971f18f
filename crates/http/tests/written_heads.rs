//! Heads of raw messages as they are written: whatever the parts are, none can add a line or end the head.

use wingbridge_http::raw::HeaderList;
use wingbridge_http::raw::head::{write_field, write_request_line, write_status_line};

/// Returns all control characters of ASCII.
fn controls() -> impl Iterator<Item = char> {
    (0..0x20).chain([0x7f]).map(char::from)
}

struct PartCase {
    name: &'static str,
    /// Writes a line of which `text` is one part.
    write: fn(&mut Vec<u8>, &str) -> bool,
    /// Text that the part can't be, in addition to one with control characters.
    refused: &'static [&'static str],
    accepted: &'static [&'static str],
    accepts_tab: bool,
}

const PARTS: &[PartCase] = &[
    PartCase {
        name: "value of a header",
        write: |bytes, text| write_field(bytes, "Name", text.as_bytes()).is_ok(),
        refused: &[],
        accepted: &["", "a", "a: b, \"c\"", "zlín"],
        accepts_tab: true,
    },
    PartCase {
        name: "value in a list of headers",
        write: |bytes, text| {
            let mut headers = HeaderList::default();
            headers.push("Name", text);
            headers.write(bytes).is_ok()
        },
        refused: &[],
        accepted: &["", "a", "zlín"],
        accepts_tab: true,
    },
    PartCase {
        name: "name of a header",
        write: |bytes, text| write_field(bytes, text, b"value").is_ok(),
        refused: &["", "a b", "a:", " a", "a ", "zlín", "(a)"],
        accepted: &["a", "X-Name", "!#$%&'*+-.^_`|~"],
        accepts_tab: false,
    },
    PartCase {
        name: "method",
        write: |bytes, text| write_request_line(bytes, text, "/").is_ok(),
        refused: &["", "GET /other", "GET "],
        accepted: &["GET", "M-SEARCH"],
        accepts_tab: false,
    },
    PartCase {
        name: "target of a request",
        write: |bytes, text| write_request_line(bytes, "GET", text).is_ok(),
        refused: &["", "/ HTTP/1.1", "/a b"],
        accepted: &["/", "/a?b=%0d%0a#c", "/zlín", "*"],
        accepts_tab: false,
    },
    PartCase {
        name: "reason phrase",
        write: |bytes, text| write_status_line(bytes, 200, text).is_ok(),
        refused: &[],
        accepted: &["", "OK", "Not Found"],
        accepts_tab: true,
    },
];

/// A name with line ends added lines to the head of a request, or ended it.
#[test]
fn no_part_of_a_head_can_end_its_line() {
    for part in PARTS {
        for control in controls() {
            for text in [format!("a{control}b"), format!("{control}"), format!("a\r\n{control}")] {
                let mut bytes = Vec::new();
                let expected =
                    part.accepts_tab && !text.replace('\t', "").contains(char::is_control);
                let is_written = (part.write)(&mut bytes, &text);
                assert_eq!(is_written, expected, "{}: {text:?}", part.name);
                assert!(is_written || bytes.is_empty(), "{}: {bytes:?}", part.name);
            }
        }
        for text in part.refused {
            let mut bytes = Vec::new();
            assert!(!(part.write)(&mut bytes, text), "{}: {text:?}", part.name);
            assert!(bytes.is_empty(), "{}: {bytes:?}", part.name);
        }
        for text in part.accepted {
            let mut bytes = Vec::new();
            assert!((part.write)(&mut bytes, text), "{}: {text:?}", part.name);
            assert!(bytes.ends_with(b"\r\n"), "{}: {bytes:?}", part.name);
            assert_eq!(bytes.iter().filter(|byte| **byte == b'\n').count(), 1, "{}", part.name);
        }
    }
}
