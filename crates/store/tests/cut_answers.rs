//! Answers that end within their head or body: none counts as an empty listing, as a missing key or as a write that took
//! effect.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use async_std::task;
use wingbridge_store::{StoreClient, StoreError};

struct CallCase {
    name: &'static str,
    call: fn(&StoreClient) -> Result<(), StoreError>,
    /// Taken if it is whole, and cut at every place before its end.
    answer: &'static str,
}

const CALLS: &[CallCase] = &[
    CallCase {
        name: "keys",
        call: |client| task::block_on(client.list(0, Duration::ZERO)).map(drop),
        answer: "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"revision\":7,\"entries\":[]}",
    },
    CallCase {
        name: "boxes, chunked",
        call: |client| task::block_on(client.list_boxes(0, Duration::ZERO)).map(drop),
        answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19\r\n{\"revision\":7,\"boxes\":[]}\r\n0\r\n\r\n",
    },
    CallCase {
        name: "a missing key",
        call: |client| task::block_on(client.read_key("policy/p")).map(drop),
        answer: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    },
    CallCase {
        name: "a write",
        call: |client| task::block_on(client.write("policy/p", 0, "text")).map(drop),
        answer: "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"written\":true,\"revision\":7}",
    },
];

/// Starts a store that gives one answer and closes, or resets, the connection.
fn store(answer: &'static [u8], resets: bool) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        // A connection that is closed before everything was read is reset.
        let mut request = vec![0; if resets { 1 } else { 4096 }];
        let read = stream.read(&mut request).expect("a request");
        assert!(read > 0, "the request has a head");
        stream.write_all(answer).expect("the client reads");
    });
    StoreClient::new(&address)
}

/// Guards against a change of configuration that is taken as written, or a fleet as empty, by an answer that was cut.
#[test]
fn answers_of_the_store_that_are_cut_are_not_taken() {
    for CallCase { name, call, answer } in CALLS {
        let answer = answer.as_bytes();
        call(&store(answer, false)).unwrap_or_else(|error| panic!("{name}: {error}"));
        for resets in [false, true] {
            for cut in 0..answer.len() {
                let taken = call(&store(&answer[..cut], resets));
                let is_unknown = matches!(taken, Err(StoreError::Indeterminate(_)));
                assert!(is_unknown, "{name}, after {cut}, reset {resets}: {taken:?}");
            }
        }
    }
}
