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
