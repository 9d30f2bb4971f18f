//! Requests that clients send before the first one has its answer, behind a long answer that breaks off.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::boxes::Fleet;
use crate::cases::{Ending, config, connect, read_answer, route};
use crate::http::{Connection, Request};
use crate::instances::{Instance, work_for};
use crate::record::Record;
use crate::store::Store;

const PACK_BYTES: usize = 2 << 20;
const PACK_WORK: Duration = Duration::from_millis(190);
const LOOKUP_WORK: Duration = Duration::from_millis(320);
const DEADLINE: Duration = Duration::from_secs(5);
const CLIENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(400);
const RUN_TIME: Duration = Duration::from_secs(70);
/// The disruption: this many of six instances break off one in so many of their answers, in spans of this length that
/// begin so far apart.
const GARBLING_INSTANCES: usize = 2;
const GARBLED_ONE_IN: u64 = 50;
const SPANS: usize = 7;
const SPAN: Duration = Duration::from_millis(5500);
const SPAN_DISTANCE: Duration = Duration::from_millis(9500);
/// Times that the rule allows.
const MAX_TIMES: usize = 3;

type Runs = Arc<Mutex<HashMap<String, String>>>;

pub fn run(run: &Run) -> Result<bool, String> {
    let store = Store::start("127.0.0.1").map_err(|error| error.to_string())?;
    let routes = [
        route("packs", "/packs/", "download", "mapy", 3000, None),
        route("lookups", "/lookups/", "idempotent", "luzka", 2500, None),
    ];
    store.put("op/config", &config(&routes, &["mapy", "luzka"], None));
    let (runs, garbles) = (Runs::default(), Arc::new(AtomicBool::new(false)));
    let zones = ["tatry-a", "tatry-b", "tatry-c"];
    for index in 0..6 {
        let (garbles, count) = (Arc::clone(&garbles), AtomicU64::new(1));
        let work = move |request: &Request, connection: &mut Connection, instance: &Instance| {
            if !work_for(connection, PACK_WORK) {
                return false;
            }
            let breaks_off = index < GARBLING_INSTANCES
                && garbles.load(Ordering::Acquire)
                && count.fetch_add(1, Ordering::AcqRel).is_multiple_of(GARBLED_ONE_IN);
            if breaks_off {
                return break_off(request, connection, instance);
            }
            instance.succeed(request, connection, &vec![b'.'; PACK_BYTES])
        };
        Instance::start(
            &store,
            "mapy",
            zones[index % 3],
            &format!("i-mapy{index}"),
            3,
            Arc::new(work),
        )
        .map_err(|error| error.to_string())?;
    }
    for index in 0..9 {
        let runs = Arc::clone(&runs);
        let work = move |request: &Request, connection: &mut Connection, instance: &Instance| {
            let id = request.header("request-id").unwrap_or_default().to_string();
            runs.lock().unwrap().insert(id, instance.id.clone());
            work_for(connection, LOOKUP_WORK) && instance.succeed(request, connection, b"beds: 4")
        };
        Instance::start(
            &store,
            "luzka",
            zones[index % 3],
            &format!("i-luzka{index}"),
            3,
            Arc::new(work),
        )
        .map_err(|error| error.to_string())?;
    }
    let contracts = "base,drain,config,cost,retry,recover,health,pool,platform";
    let fleet = Fleet::start(&["tatry-a", "tatry-b"], store.address, contracts, &run.logs)?;
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + RUN_TIME;
    let lost: Vec<usize> = thread::scope(|scope| {
        let record = &run.record;
        scope.spawn(|| {
            for _ in 0..if run.trouble { SPANS } else { 0 } {
                garbles.store(true, Ordering::Release);
                record.add(format!(
                    "two of six instances of mapy break off one in {GARBLED_ONE_IN} answers"
                ));
                thread::sleep(SPAN);
                garbles.store(false, Ordering::Release);
                record.add("all instances answer whole".to_string());
                thread::sleep(SPAN_DISTANCE - SPAN);
            }
        });
        let handles: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (runs, front) = (Arc::clone(&runs), fleet.boxes[client % 2].front);
                scope.spawn(move || be_client(record, client, front, until, &runs))
            })
            .collect();
        handles.into_iter().map(|handle| handle.join().unwrap_or(0)).collect()
    });
    let of_box = |index: usize| lost.iter().skip(index).step_by(2).sum::<usize>();
    run.record.add(format!(
        "passed on and never answered: {} at the first box, {} at the second",
        of_box(0),
        of_box(1)
    ));
    Ok(of_box(0) > MAX_TIMES || of_box(1) > MAX_TIMES)
}

/// Sends the head of an answer and half of its body, and closes the connection.
fn break_off(request: &Request, connection: &mut Connection, instance: &Instance) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    let stamp = instance.stamp(PACK_BYTES);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nContent-Length: {PACK_BYTES}\r\n\r\n"
    );
    let _ = connection.stream.write_all(head.as_bytes());
    let _ = connection.stream.write_all(&vec![b'.'; PACK_BYTES / 2]);
    false
}

/// Sends pairs of requests on a kept connection. Returns how many second ones were passed on to an instance, which is
/// sound, and whose connection was then closed with no answer to them.
fn be_client(
    record: &Record,
    client: usize,
    front: SocketAddr,
    until: Instant,
    runs: &Runs,
) -> usize {
    let mut kept: Option<Connection> = None;
    let mut lost = 0;
    let mut number = 0;
    thread::sleep(Duration::from_millis(25 * client as u64));
    while Instant::now() < until {
        let Some(mut connection) = kept.take().or_else(|| connect(front)) else {
            record.add(format!("client {client} got no connection"));
            thread::sleep(PAUSE);
            continue;
        };
        number += 1;
        let (pack, lookup) =
            (format!("{client:04x}{number:06x}0a"), format!("{client:04x}{number:06x}0b"));
        let deadline = Instant::now() + DEADLINE;
        let millis = DEADLINE.as_millis();
        let head = |path: &str, id: &str| {
            format!(
                "GET /{path}/{id} HTTP/1.1\r\nHost: huts.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {millis}\r\n\r\n"
            )
        };
        let both = head("packs", &pack) + &head("lookups", &lookup);
        if connection.stream.write_all(both.as_bytes()).is_err() {
            continue;
        }
        let (first, _, bytes) = read_answer(&mut connection, deadline);
        let is_open = matches!(first, Ending::Whole(_));
        let second = if is_open { read_answer(&mut connection, deadline).0 } else { first.clone() };
        let ran_at = runs.lock().unwrap().get(&lookup).cloned();
        if is_open && matches!(second, Ending::Whole(_)) {
            kept = Some(connection);
            record.add(format!("client {client}: {pack} {first:?}, {lookup} {second:?}"));
        } else {
            let passed_on = ran_at.is_some() && !is_open && matches!(second, Ending::Cut(_));
            lost += usize::from(passed_on);
            record.add(format!(
                "client {client}: {pack} {first:?} after {bytes} bytes; {lookup} was sent behind it, ran at {} and {}",
                ran_at.as_deref().unwrap_or("no instance"),
                if passed_on { "its connection was closed with NO ANSWER to it" } else { "ended so as well" }
            ));
        }
        thread::sleep(PAUSE);
    }
    lost
}
