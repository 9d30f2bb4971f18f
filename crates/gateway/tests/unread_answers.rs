//! Answers that have arrived when the attempt is dropped.
//!
//! When a hedge answered, the first attempt was dropped with its refusal unread. The refusing target had asked for
//! back-off, but received 22 of the next 40 requests. This occurs when all processors are busy, as a box then often
//! reads answers late.

mod harness;

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use async_std::task;
use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::io_pool::start_io_pool;

/// Number of rounds. In each, it is random which of the two answers the box reads first; in half of them it is the one
/// that makes it drop the refusal.
const ROUNDS: usize = 6;
/// Time within which an answer reaches the box.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// Number of blocking tasks: more than the threads that run tasks, which are those of the pool and any thread that waits
/// for a task.
const BLOCKING_TASKS: usize = 64;

/// Blocks all threads that run tasks until it is thawed.
struct FrozenPool {
    latch: Arc<(Mutex<bool>, Condvar)>,
}

impl FrozenPool {
    fn freeze() -> FrozenPool {
        let latch = Arc::new((Mutex::new(false), Condvar::new()));
        for _ in 0..BLOCKING_TASKS {
            let latch = Arc::clone(&latch);
            task::spawn(async move {
                let (is_open, opened) = &*latch;
                let is_open = is_open.lock().expect("no thread panics while it holds the lock");
                drop(opened.wait_while(is_open, |is_open| !*is_open));
            });
        }
        thread::sleep(DELIVERY_TIME);
        FrozenPool { latch }
    }

    fn thaw(&self) {
        let (is_open, opened) = &*self.latch;
        *is_open.lock().expect("no thread panics while it holds the lock") = true;
        opened.notify_all();
    }
}

#[test]
fn a_refusal_that_arrives_after_another_answer_is_read() {
    start_io_pool(1);
    for round in 0..ROUNDS {
        assert_eq!(sends_after_two_answers(), 0, "round {round}");
    }
}

/// Returns the number of requests that a target receives after it has asked for back-off in the second of two answers.
fn sends_after_two_answers() -> usize {
    let refusing = TargetStandin::start("speaker", "service", Script::WaitsThenSheds);
    refusing.set_answer_headers("Retry-After: 500\r\n");
    let other = TargetStandin::start("other", "service", Script::WaitsForRelease);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store.put_targets(vec![refusing.entry.clone(), other.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("GET", "/r/x", "", "");
    eventually("both targets have received the request", || {
        refusing.requests().len() == 1 && other.requests().len() == 1
    });
    let pool = FrozenPool::freeze();
    other.release();
    thread::sleep(DELIVERY_TIME);
    refusing.release();
    thread::sleep(DELIVERY_TIME);
    pool.thaw();
    assert_eq!(caller.read().expect("an answer").status, 200);
    refusing.set_script(Script::Good);
    for _ in 0..40 {
        assert_eq!(gateway.request("GET", "/r/x").status, 200);
    }
    refusing.requests().len() - 1
}
