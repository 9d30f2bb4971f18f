//! The store stand-in behaves as `docs/STORE.md` describes, and its faults have the documented
//! effect.

use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use wingbridge_standin::{StoreFaults, StoreHandle, serve_store};
use wingbridge_store::{StoreClient, StoreError};

const NO_WAIT: Duration = Duration::ZERO;
/// Maximum time of a watch. A change ends the watch earlier, so no test waits this long.
const LONG_WAIT: Duration = Duration::from_secs(50);

async fn start() -> (StoreHandle, StoreClient) {
    let handle = StoreHandle::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(serve_store(listener, handle.clone()));
    (handle, StoreClient::new(&address.to_string()))
}

#[test]
fn a_write_requires_the_current_revision() {
    task::block_on(async {
        let (_, client) = start().await;
        assert!(client.write("policy/a", 0, "one").await.expect("answered").written);
        let refused = client.write("policy/a", 0, "two").await.expect("answered");
        assert_eq!((refused.written, refused.revision), (false, 1));
        assert!(client.write("policy/a", 1, "two").await.expect("answered").written);
        let record = client.read_key("policy/a").await.expect("answered").expect("there");
        assert_eq!((record.revision, record.value.as_str()), (2, "two"));
        assert_eq!(client.read_key("policy/b").await, Ok(None));
    });
}

/// Keys that mean something else in the path of a call than as a text.
const ODD_KEYS: &[&str] = &[
    "policy/a#b",
    "policy/a?b",
    "policy/a?expect=0&b",
    "policy/a%",
    "policy/a%2Fb",
    "policy/a%23",
    "policy/%2e%2E/a",
    "policy/a b",
    "policy/a+b",
    "policy/zlín",
    "policy/zl%C3%ADn",
    "policy/a\\b",
    "policy/a\tb",
    "policy/a\r\nX-Evil: 1",
    "policy/a\u{0}",
    "policy/a\u{7f}",
    "policy//a",
    "policy/a/",
    "policy/a\"<>`{}|^",
];

/// Text after a `#` or `?` was cut off and line ends were dropped, so that a call read or wrote another key.
#[test]
fn calls_reach_the_key_whatever_it_contains() {
    task::block_on(async {
        for key in ODD_KEYS {
            let (handle, client) = start().await;
            let reply = client.write(key, 0, "one").await.expect("answered");
            assert!(reply.written, "{key:?}");
            let listed = handle.snapshot();
            assert_eq!(listed.iter().map(|record| &*record.key).collect::<Vec<_>>(), [*key]);
            let record = client.read_key(key).await.expect("answered").expect("there");
            assert_eq!((&*record.key, &*record.value), (*key, "one"));
            let again = client.write(key, 1, "two").await.expect("answered");
            assert!(again.written, "{key:?}: the revision that is expected arrives");
        }
    });
}

/// The parser of URLs resolves such segments, encoded or not: a call read or wrote another key, or another end point.
#[test]
fn a_key_that_no_path_can_carry_is_refused() {
    task::block_on(async {
        let (handle, client) = start().await;
        for key in ["", ".", "..", "policy/../a", "policy/./a", "../keys", "policy/.."] {
            let written = client.write(key, 0, "one").await;
            assert!(matches!(written, Err(StoreError::Refused(_))), "{key:?}: {written:?}");
            let read = client.read_key(key).await;
            assert!(matches!(read, Err(StoreError::Refused(_))), "{key:?}: {read:?}");
        }
        assert!(handle.snapshot().is_empty(), "nothing is written");
    });
}

#[test]
fn a_change_ends_a_waiting_watch() {
    task::block_on(async {
        let (handle, client) = start().await;
        handle.write("policy/a", 0, "one");
        let watch = task::spawn({
            let client = client.clone();
            async move { client.list(1, LONG_WAIT).await }
        });
        handle.write("policy/b", 0, "two");
        let listing = watch.await.expect("answered");
        assert_eq!(listing.entries.len(), 1);
        assert_eq!(listing.entries[0].key, "policy/b");
    });
}

#[test]
fn each_fault_has_its_documented_effect() {
    task::block_on(async {
        let (handle, client) = start().await;
        handle.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        assert!(matches!(client.list(0, NO_WAIT).await, Err(StoreError::Indeterminate(_))));
        handle.set_faults(StoreFaults { lose_write_answers: 1, ..StoreFaults::default() });
        assert!(matches!(client.write("k/a", 0, "v").await, Err(StoreError::Indeterminate(_))));
        assert_eq!(handle.read("k/a").map(|record| record.value), Some("v".to_string()));
        handle.set_faults(StoreFaults { calls_per_second: 1, ..StoreFaults::default() });
        let mut limited = false;
        for _ in 0..5 {
            limited |= client.list(0, NO_WAIT).await == Err(StoreError::RateLimited);
        }
        assert!(limited, "five calls at once exceed a rate of one per second");
    });
}
