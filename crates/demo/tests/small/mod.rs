//! A small system, load on it, and waiting for what must come.

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
/// Nothing here takes this long; what does never comes.
const EVENT_TIMEOUT: Duration = Duration::from_secs(90);
const CALLERS: usize = 12;

pub fn small_system(boxes: usize) -> SmallSystem {
    let setup = SystemSetup { boxes, leave_time: Duration::from_millis(50), ..demo_setup() };
    SmallSystem::start(setup).expect("the system starts")
}

/// Waits for an event; fails only if it never comes.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "never came: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// What each box says of its targets; nothing of a box that does not answer.
pub fn targets_of_all(system: &SmallSystem) -> Vec<Vec<TargetView>> {
    let fleet = system.fleet();
    let boxes = task::block_on(fleet.boxes()).expect("an agent answers");
    let answers: Vec<BoxReply<Vec<TargetView>>> =
        task::block_on(fleet.query_all(&boxes, "/v1/targets"));
    answers.into_iter().map(|answer| answer.result.unwrap_or_default()).collect()
}

/// Whether all boxes send a target nothing.
pub fn excluded_everywhere(system: &SmallSystem, target: &str) -> bool {
    let out =
        |views: &Vec<TargetView>| views.iter().any(|view| view.target == target && view.excluded);
    targets_of_all(system).iter().all(out)
}

/// Callers of all boxes: nine browse for each that orders.
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

    /// Sends callers to these boxes from now on, as the balancer does.
    pub fn send_to(&self, boxes: &[SocketAddr]) {
        *self.boxes.lock().expect("not poisoned") = boxes.to_vec();
    }

    /// Waits until so many more requests have ended.
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
        caller.move_to(pick(count));
        let name = format!("r-{number}-{count}");
        let order = number.is_multiple_of(10);
        let mut request = CallerRequest::get("/availability/x").with("x-token", &name);
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
