//! Helpers for tests: a small system, load on it, and waiting for events.

#![allow(dead_code, reason = "each test file uses its part of the helpers")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use http_types::Method;
use wingbridge_demo::caller::CallerRequest;
use wingbridge_demo::ledger::OrderAudit;
use wingbridge_demo::settings::demo_setup;
use wingbridge_demo::{AnswerCounts, CallerLedger, LoadCaller, SmallSystem, SystemSetup};
use wingctl::boxes::TargetView;
use wingctl::fleet::BoxReply;

pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which an awaited event counts as missing. Every event takes much less.
const EVENT_TIMEOUT: Duration = Duration::from_secs(90);
const CALLERS: usize = 12;

pub fn small_system(boxes: usize) -> SmallSystem {
    let setup = SystemSetup { boxes, leave_time: Duration::from_millis(50), ..demo_setup() };
    SmallSystem::start(setup).expect("the system starts")
}

/// Waits until `holds` returns true, and fails if that takes longer than [`EVENT_TIMEOUT`].
pub fn eventually(event: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "did not happen within {EVENT_TIMEOUT:?}: {event}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns what each box reports about its targets, which is empty for a box that does not answer.
pub fn targets_of_all(system: &SmallSystem) -> Vec<Vec<TargetView>> {
    let fleet = system.fleet();
    let boxes = task::block_on(fleet.boxes()).expect("an agent answers");
    let answers: Vec<BoxReply<Vec<TargetView>>> =
        task::block_on(fleet.query_all(&boxes, "/v1/targets"));
    answers.into_iter().map(|answer| answer.result.unwrap_or_default()).collect()
}

/// Returns whether all boxes exclude a target.
pub fn excluded_everywhere(system: &SmallSystem, target: &str) -> bool {
    let excludes =
        |views: &Vec<TargetView>| views.iter().any(|view| view.target == target && view.excluded);
    targets_of_all(system).iter().all(excludes)
}

/// Callers of all boxes. One in ten places orders; the others make repeatable requests.
pub struct Load {
    ledger: CallerLedger,
    stopped: Arc<AtomicBool>,
    boxes: Arc<Mutex<Vec<SocketAddr>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(system: &SmallSystem) -> Load {
        let mut load = Load {
            ledger: CallerLedger::default(),
            stopped: Arc::default(),
            boxes: Arc::new(Mutex::new(system.caller_addresses())),
            callers: Vec::new(),
        };
        for number in 0..CALLERS {
            let call = run_caller(
                number,
                load.ledger.clone(),
                Arc::clone(&load.stopped),
                Arc::clone(&load.boxes),
            );
            load.callers.push(task::spawn(call));
        }
        load
    }

    /// Sends callers to these boxes only from now on, as the balancer does.
    pub fn send_to(&self, boxes: &[SocketAddr]) {
        *self.boxes.lock().expect("not poisoned") = boxes.to_vec();
    }

    /// Waits until this number of further requests have ended.
    pub fn wait_for(&self, requests: u64) {
        let wanted = self.ledger.counts().requests + requests;
        eventually("requests", || self.ledger.counts().requests >= wanted);
    }

    pub fn audit(&self, system: &SmallSystem) -> OrderAudit {
        self.ledger.audit(&system.targets)
    }

    pub fn stop(self) -> AnswerCounts {
        self.stopped.store(true, Ordering::Release);
        for caller in self.callers {
            task::block_on(caller);
        }
        self.ledger.counts()
    }
}

async fn run_caller(
    number: usize,
    ledger: CallerLedger,
    stopped: Arc<AtomicBool>,
    boxes: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let pick = |count: usize| {
        let boxes = boxes.lock().expect("not poisoned");
        boxes[(number + count) % boxes.len()]
    };
    let mut caller = LoadCaller::new(pick(0));
    let mut count = 0;
    while !stopped.load(Ordering::Acquire) {
        count += 1;
        caller.set_address(pick(count));
        let name = format!("r-{number}-{count}");
        let order = number.is_multiple_of(10);
        let mut request = CallerRequest::get("/availability/x").with_header("x-token", &name);
        if order {
            request.method = Method::Post;
            request.path = "/orders".into();
            request.headers.push(("x-order", name.clone()));
        }
        match caller.call(&request, CALL_TIMEOUT).await {
            Ok(answer) if order => ledger.record_order(&name, &answer),
            Ok(answer) => ledger.record_answer(&name, &answer),
            Err(_) => ledger.record_cut(),
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}
