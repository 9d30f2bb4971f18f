//! Long answers of which an instance sends a part and then nothing.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::boxes::Fleet;
use crate::cases::{Ending, config, connect, read_answer, route};
use crate::http::{Connection, Request};
use crate::instances::{Instance, is_closed, work_for};
use crate::store::Store;

/// Length of an answer in bytes.
const ANSWER_BYTES: usize = 2 << 20;
/// Part of it that a failing instance sends.
const SENT_BYTES: usize = 300 << 10;
const WORK: Duration = Duration::from_millis(190);
const ROUTE_TIMEOUT_MS: u64 = 3000;
/// Time that a client waits.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time past its route's timeout by which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
const INSTANCES: usize = 8;
const REQUESTS_PER_S: u64 = 16;
const RUN_TIME: Duration = Duration::from_secs(66);
/// The disruption: the spans in seconds in which one instance of eight fails a part of its requests.
const SPANS: [(f64, f64); 4] = [(5.0, 11.5), (20.0, 26.5), (35.0, 41.5), (50.0, 56.5)];
/// Part of the failing instance's requests that fail, in hundredths.
const FAILING_PERCENT: u64 = 45;
/// Number of requests without a final answer that the rule allows, and their share.
const MAX_LACKING: usize = 7;
const MAX_SHARE: f64 = 0.25;

pub fn run(run: &Run) -> Result<bool, String> {
    let store = Store::start("127.0.0.1").map_err(|error| error.to_string())?;
    let routes = [route("packs", "/packs/", "download", "mapy", ROUTE_TIMEOUT_MS, None)];
    store.put("op/config", &config(&routes, &["mapy"], None));
    let is_failing = Arc::new(AtomicBool::new(false));
    for index in 0..INSTANCES {
        let zone = ["tatry-a", "tatry-b", "tatry-c"][index % 3];
        let (is_failing, count) = (Arc::clone(&is_failing), AtomicU64::new(0));
        let work = move |request: &Request, connection: &mut Connection, instance: &Instance| {
            if !work_for(connection, WORK) {
                return false;
            }
            let fails = index == 0 && is_failing.load(Ordering::Acquire) && {
                let number = count.fetch_add(1, Ordering::AcqRel);
                (number + 1) * FAILING_PERCENT / 100 > number * FAILING_PERCENT / 100
            };
            if fails {
                return hang(request, connection, instance);
            }
            instance.succeed(request, connection, &vec![b'.'; ANSWER_BYTES])
        };
        Instance::start(&store, "mapy", zone, &format!("i-mapy{index}"), 3, Arc::new(work))
            .map_err(|error| error.to_string())?;
    }
    let contracts = "base,drain,config,cost,retry,recover,health,platform";
    let fleet =
        Fleet::start(&["tatry-a", "tatry-b", "tatry-c"], store.address, contracts, &run.logs)?;
    let fronts: Vec<_> = fleet.boxes.iter().map(|one| one.front).collect();
    // The boxes have been undisturbed for longer than `contact` by then.
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let (sender, ends) = std::sync::mpsc::channel();
    let mut number = 0;
    while started.elapsed() < RUN_TIME {
        let at = started.elapsed().as_secs_f64();
        let fails = run.trouble && SPANS.iter().any(|(from, to)| (*from..*to).contains(&at));
        if is_failing.swap(fails, Ordering::AcqRel) != fails {
            run.record.add(format!(
                "instance i-mapy0 {} its requests",
                if fails { "fails 45 in 100 of" } else { "serves all" }
            ));
        }
        if at >= number as f64 / REQUESTS_PER_S as f64 {
            let (sender, front, id) =
                (sender.clone(), fronts[number as usize % fronts.len()], number);
            thread::spawn(move || {
                let sent = Instant::now();
                let id = format!("{id:016x}");
                let ending = request(front, &id);
                let _ = sender.send((id, front, sent, ending, sent.elapsed()));
            });
            number += 1;
        }
        thread::sleep(Duration::from_millis(5));
    }
    drop(sender);
    let ends: Vec<_> = ends.iter().collect();
    let timeout = Duration::from_millis(ROUTE_TIMEOUT_MS);
    let mut outlasting = 0;
    let mut lacking = 0;
    for (id, front, sent, ending, time) in &ends {
        let at = sent.duration_since(started).as_secs_f64();
        let is_lacking = *time > timeout + SLACK;
        outlasting += usize::from(*time > timeout);
        lacking += usize::from(is_lacking);
        let mark = if is_lacking { "  NO FINAL ANSWER IN TIME" } else { "" };
        run.record.add(format!(
            "request {id} sent at {at:.3} s to {front}: {ending:?} after {:.3} s{mark}",
            time.as_secs_f64()
        ));
    }
    let served = ends.iter().filter(|end| end.3 == Ending::Whole(200)).count();
    run.record.add(format!("requests {}, served {served}, unanswered at the route's timeout {outlasting}, and of these still so 0.5 s later {lacking}", ends.len()));
    if served * 2 < ends.len() {
        return Err("less than half of the requests were served".into());
    }
    Ok(lacking > MAX_LACKING && lacking as f64 > MAX_SHARE * outlasting as f64)
}

/// Sends the beginning of an answer, and then nothing, until the connection is closed.
fn hang(request: &Request, connection: &mut Connection, instance: &Instance) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    let stamp = instance.stamp(ANSWER_BYTES);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
    );
    let _ = connection.stream.write_all(head.as_bytes());
    let _ = connection.stream.write_all(&vec![b'.'; SENT_BYTES]);
    while !is_closed(&connection.stream) {
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn request(front: std::net::SocketAddr, id: &str) -> Ending {
    let deadline = Instant::now() + DEADLINE;
    let Some(mut connection) = connect(front) else {
        return Ending::Cut(false);
    };
    let millis = DEADLINE.as_millis();
    let head = format!(
        "GET /packs/{id} HTTP/1.1\r\nHost: huts.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {millis}\r\n\r\n"
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return Ending::Cut(false);
    }
    read_answer(&mut connection, deadline).0
}
