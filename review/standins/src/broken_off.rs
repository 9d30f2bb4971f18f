//! A box is stopped as planned; lookups come late in the stop, and could be answered before their route's timeout.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::boxes::{BoxProcess, Fleet};
use crate::client::{connect, send, Attempt, AttemptEnd};
use crate::record::Record;
use crate::relayed_stop::keep_beating;
use crate::server::{CutPaths, Runs, Server};
use crate::setup::{config_json, Verdict};
use crate::store::Store;

const BOXES: usize = 3;
/// The longest work on a lookup by the site file, at a sound instance.
const WORK_MS: u64 = 2400;
/// The route's timeout and the client's deadline by the site file.
const TIMEOUT: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_secs(5);
/// Times after the SIGTERM at which lookups are sent on connections that are open already.
const SENT_AFTER_MS: [u64; 5] = [3325, 3330, 3335, 3340, 3345];
/// A request that is given up by this much before its timeout was not ended by it.
const MARGIN: Duration = Duration::from_millis(20);

pub fn run(
    root: &std::path::Path,
    logs: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> Verdict {
    let store = Store::start();
    let (runs, cut): (Runs, CutPaths) = Default::default();
    let mut servers = Vec::new();
    for index in 1..=9 {
        let shared = (Arc::clone(&runs), Arc::clone(&cut), record.clone());
        let server = Server::start((&format!("i-luzka-{index}"), "luzka"), 3, WORK_MS, shared);
        store.put(&format!("servers/{}", server.id), &server.entry("tatry-a", "ready", 1));
        servers.push(server);
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
    let connections: Vec<_> = SENT_AFTER_MS.iter().map(|_| connect(front)).collect();
    thread::sleep(Duration::from_millis(200));
    if trouble {
        boxes[0].terminate();
        record.line("box 1 gets SIGTERM");
    }
    let stopped_at = Instant::now();
    let broken = Arc::new(Mutex::new(0));
    let clients: Vec<_> = SENT_AFTER_MS
        .iter()
        .zip(connections)
        .enumerate()
        .filter_map(|(index, (after, connection))| Some((index, *after, connection?)))
        .map(|(index, after, mut connection)| {
            let (broken, record, runs) = (Arc::clone(&broken), record.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(after).saturating_sub(stopped_at.elapsed()));
                let id = format!("lookup-{}", index + 1);
                let path = format!("/avail/{id}");
                let attempt =
                    Attempt { method: "GET", path: &path, id: &id, deadline: DEADLINE, body: b"" };
                let sent = Instant::now();
                record.line(&format!(
                    "client sends GET {id} to box 1, {:.3} s after the SIGTERM",
                    (sent - stopped_at).as_secs_f64()
                ));
                let end = send(&mut connection, &attempt);
                let taken = sent.elapsed();
                let (what, is_own) = match &end {
                    AttemptEnd::Answer(answer) if answer.header("server-stamp").is_some() => {
                        (format!("{} of an instance", answer.status()), false)
                    }
                    AttemptEnd::Answer(answer) => (
                        format!("{} of the box", answer.status()),
                        !matches!(answer.status(), 408 | 421 | 429 | 503),
                    ),
                    AttemptEnd::Cut => ("no answer: the connection was closed".to_string(), true),
                    AttemptEnd::NoConnection | AttemptEnd::Deadline => {
                        ("nothing".to_string(), false)
                    }
                };
                record.line(&format!(
                    "client gets for {id} after {:.3} s: {what}",
                    taken.as_secs_f64()
                ));
                let ran = runs.lock().unwrap().get(&id).map_or(0, Vec::len);
                if is_own && ran > 0 && taken + MARGIN < TIMEOUT {
                    *broken.lock().unwrap() += 1;
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        let ended =
            boxes[0].wait_end(Duration::from_millis(6000).saturating_sub(stopped_at.elapsed()));
        record.line(&format!("box 1 has ended by itself within the grace time: {ended}"));
    }
    thread::sleep(Duration::from_millis(200));
    let broken = *broken.lock().unwrap();
    record.line(&format!("LOST is broken by {broken} lookups: broken off while their instance was at work, before their timeout"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
