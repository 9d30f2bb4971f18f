//! Answers that are there when nobody waits for them any more.
//!
//! A second attempt beside an open one answered, and the first one was dropped with its refusal unread: the target had
//! asked for rest, and got 22 of the next 40 requests. It was seen on a machine whose processors were all busy, where a
//! box is often late to look at what has come.

mod harness;

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use async_std::task;
use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::io_pool::start_io_pool;

/// The answer that the box looks at first is drawn anew in each: in half of the rounds it is the other one.
const ROUNDS: usize = 6;
/// Time in which an answer is on its way to the box.
const ON_THE_WAY: Duration = Duration::from_millis(200);

/// More than there are threads that run tasks: those of the pool, and each that waits for one.
const HELD_TASKS: usize = 64;

/// Keeps all threads that run tasks from doing anything.
struct FrozenPool {
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl FrozenPool {
    fn freeze() -> FrozenPool {
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        for _ in 0..HELD_TASKS {
            let gate = Arc::clone(&gate);
            task::spawn(async move {
                let (is_open, opened) = &*gate;
                let is_open = is_open.lock().expect("no test panics with it");
                drop(opened.wait_while(is_open, |is_open| !*is_open));
            });
        }
        thread::sleep(ON_THE_WAY);
        FrozenPool { gate }
    }

    fn thaw(&self) {
        let (is_open, opened) = &*self.gate;
        *is_open.lock().expect("no test panics with it") = true;
        opened.notify_all();
    }
}

#[test]
fn a_refusal_that_came_behind_another_answer_is_read() {
    start_io_pool(1);
    for round in 0..ROUNDS {
        assert_eq!(sends_after_two_answers(), 0, "round {round}");
    }
}

/// Requests that a target gets after it has asked for rest in the second of two answers.
fn sends_after_two_answers() -> usize {
    let speaker = TargetStandin::start("speaker", "service", Script::WaitsThenSheds);
    speaker.set_answer_headers("Retry-After: 500\r\n");
    let other = TargetStandin::start("other", "service", Script::WaitsForRelease);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store.put_targets(vec![speaker.entry.clone(), other.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("GET", "/r/x", "", "");
    eventually("both have it", || speaker.requests().len() == 1 && other.requests().len() == 1);
    let pool = FrozenPool::freeze();
    other.release();
    thread::sleep(ON_THE_WAY);
    speaker.release();
    thread::sleep(ON_THE_WAY);
    pool.thaw();
    assert_eq!(caller.read().expect("an answer").status, 200);
    speaker.set_script(Script::Good);
    for _ in 0..40 {
        assert_eq!(gateway.request("GET", "/r/x").status, 200);
    }
    speaker.requests().len() - 1
}
