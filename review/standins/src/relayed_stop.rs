//! A box whose paths to the instances are cut is stopped while other boxes handle its bookings.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::boxes::{BoxProcess, Fleet};
use crate::client::{connect, send, send_fresh, Attempt};
use crate::record::Record;
use crate::server::{CutPaths, Runs, Server};
use crate::setup::{config_json, Verdict};
use crate::store::Store;

const BOXES: usize = 4;
/// Deadline of a booking, as on the sheet.
const BOOKING_DEADLINE: Duration = Duration::from_secs(6);
/// Work on a booking while the instances are sound, and while they are slow: 12 times as long.
const WORK_MS: u64 = 290;
const SLOW_WORK_MS: u64 = 12 * WORK_MS;
/// Times after the SIGTERM at which bookings are sent on connections that are open already.
const SENT_AFTER_MS: [u64; 6] = [2780, 2810, 2840, 2870, 2900, 2930];

pub fn run(
    root: &std::path::Path,
    logs: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> Verdict {
    let store = Store::start();
    let (runs, cut): (Runs, CutPaths) = Default::default();
    let mut servers = Vec::new();
    for index in 1..=6 {
        for service in ["luzka", "rezerv"] {
            let shared = (Arc::clone(&runs), Arc::clone(&cut), record.clone());
            let server =
                Server::start((&format!("i-{service}-{index}"), service), 3, WORK_MS, shared);
            store.put(&format!("servers/{}", server.id), &server.entry("tatry-a", "ready", 1));
            servers.push(server);
        }
    }
    store.put("op/config", &config_json(1));
    let fleet = Fleet::new(root, logs, store.address, BOXES);
    let mut boxes: Vec<BoxProcess> = (0..BOXES).map(|index| fleet.place(index)).collect();
    for place in &mut boxes {
        fleet.start(place);
    }
    if !boxes.iter().all(|place| place.wait_ready(Duration::from_secs(20))) {
        record.line("the boxes are not ready");
        return Verdict::CouldNotRun;
    }
    keep_beating(&store, &servers);
    thread::sleep(Duration::from_secs(3));
    let front = boxes[0].front;
    let others = boxes[1..].iter().map(|place| place.front).collect();
    send_usual_requests(others);
    thread::sleep(Duration::from_secs(1));
    if trouble {
        cut.lock().unwrap().push(boxes[0].host);
        record.line("the paths from box 1 to all instances are cut");
    }
    // Lookups at box 1, by which it finds out that its paths are lost.
    let served = send_lookups(front, record);
    if !served {
        record.line("box 1 does not serve lookups through other boxes");
        return Verdict::CouldNotRun;
    }
    let attempt = Attempt {
        method: "POST",
        path: "/book/x",
        id: "booking-before",
        deadline: BOOKING_DEADLINE,
        body: b"two beds",
    };
    record.line(&format!("booking-before gets {}", send_fresh(front, &attempt).status()));
    for server in servers.iter().filter(|server| server.service == "rezerv") {
        server.work_ms.store(
            if trouble { SLOW_WORK_MS } else { WORK_MS },
            std::sync::atomic::Ordering::SeqCst,
        );
    }
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let connections: Vec<_> = SENT_AFTER_MS.iter().map(|_| connect(front)).collect();
    thread::sleep(Duration::from_millis(100));
    if trouble {
        boxes[0].terminate();
        record.line("box 1 gets SIGTERM");
    }
    let stopped_at = Instant::now();
    let clients: Vec<_> = SENT_AFTER_MS
        .iter()
        .zip(connections)
        .enumerate()
        .filter_map(|(index, (after, connection))| Some((index, *after, connection?)))
        .map(|(index, after, mut connection)| {
            let (answers, record) = (Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(after).saturating_sub(stopped_at.elapsed()));
                let id = format!("booking-{}", index + 1);
                record
                    .line(&format!("client sends POST {id} to box 1 on a connection that it kept"));
                let attempt = Attempt {
                    method: "POST",
                    path: "/book/x",
                    id: &id,
                    deadline: BOOKING_DEADLINE,
                    body: b"two beds",
                };
                let end = send(&mut connection, &attempt);
                let retry = match &end {
                    crate::client::AttemptEnd::Answer(answer) => {
                        answer.header("retry-after").map(str::to_string)
                    }
                    _ => None,
                };
                record.line(&format!(
                    "client gets for {id}: {} {:?}, Retry-After {retry:?}",
                    end.status(),
                    kind(&end)
                ));
                answers.lock().unwrap().push((id, end.status()));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        let ended =
            boxes[0].wait_end(Duration::from_millis(6000).saturating_sub(stopped_at.elapsed()));
        record.line(&format!("box 1 has ended by itself: {ended}"));
    }
    thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (id, status) in answers.lock().unwrap().iter() {
        let ran = runs.get(id).map_or(0, Vec::len);
        record.line(&format!("{id}: answered {status}, run {ran} times"));
        if matches!(status, 408 | 421 | 429 | 503) && ran > 0 {
            broken += 1;
        }
        if ran > 1 {
            broken += 1;
        }
    }
    record.line(&format!("REFUSED is broken by {broken} bookings"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends 15 lookups and 15 bookings a second to other boxes until the end of the process.
fn send_usual_requests(fronts: Vec<std::net::SocketAddr>) {
    thread::spawn(move || {
        for number in 0..120 * 30 {
            let front = fronts[number % fronts.len()];
            thread::spawn(move || {
                let id = format!("usual-{number}");
                let (method, path) =
                    if number % 2 == 0 { ("GET", "/avail/u") } else { ("POST", "/book/u") };
                let path = format!("{path}{number}");
                let deadline = Duration::from_secs(5);
                send_fresh(front, &Attempt { method, path: &path, id: &id, deadline, body: b"" });
            });
            thread::sleep(Duration::from_millis(33));
        }
    });
}

/// Sends ten lookups a second to the box at `front` until twenty in a row are served, for 15 s at most.
fn send_lookups(front: std::net::SocketAddr, record: &Record) -> bool {
    let row = Arc::new(Mutex::new(0));
    for number in 1..=150 {
        let (row, record) = (Arc::clone(&row), record.clone());
        if *row.lock().unwrap() >= 20 {
            record.line(&format!("box 1 serves lookups after {number} of them"));
            return true;
        }
        thread::spawn(move || {
            let id = format!("lookup-{number}");
            let path = format!("/avail/{id}");
            let deadline = Duration::from_secs(5);
            let attempt = Attempt { method: "GET", path: &path, id: &id, deadline, body: b"" };
            let status = send_fresh(front, &attempt).status();
            record.line(&format!("client gets for GET {id} at box 1: {status}"));
            let mut row = row.lock().unwrap();
            *row = if status == 200 { *row + 1 } else { 0 };
        });
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn kind(end: &crate::client::AttemptEnd) -> &'static str {
    match end {
        crate::client::AttemptEnd::Answer(_) => "answer",
        crate::client::AttemptEnd::NoConnection => "no connection",
        crate::client::AttemptEnd::Cut => "connection closed without an answer",
        crate::client::AttemptEnd::Deadline => "deadline",
    }
}

/// Renews the instances' entries every beat.
pub fn keep_beating(store: &Store, servers: &[Server]) {
    let (store, servers) = (store.clone(), servers.to_vec());
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(Duration::from_millis(1500));
            for server in &servers {
                store
                    .put(&format!("servers/{}", server.id), &server.entry("tatry-a", "ready", seq));
            }
        }
    });
}
