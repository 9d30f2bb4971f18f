//! Boxes are stopped as planned, one after the other with little time between, while clients keep connecting.
//!
//! The platform asks each box once a second whether it is ready. A box that misses twice gets no new connections,
//! unless fewer than half of the zone's boxes are in: then all are used.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::boxes::{is_ready, BoxProcess, Fleet};
use crate::client::{send_fresh, Attempt, AttemptEnd};
use crate::record::Record;
use crate::relayed_stop::keep_beating;
use crate::server::{CutPaths, Runs, Server};
use crate::setup::{config_json, Verdict};
use crate::store::Store;

const BOXES: usize = 12;
/// Time between the SIGTERMs of two boxes.
const GAP: Duration = Duration::from_millis(250);
const WORK_MS: u64 = 5;
/// Bookings a second, over all boxes.
const RATE: f64 = 400.0;
const ROUNDS: usize = 12;

/// What a client saw of a booking.
struct Seen {
    id: String,
    front: SocketAddr,
    sent: Instant,
    ended: Instant,
    status: u16,
    is_cut: bool,
}

pub fn run(root: &std::path::Path, logs: &std::path::Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    let (runs, cut): (Runs, CutPaths) = Default::default();
    let mut servers = Vec::new();
    for index in 1..=16 {
        let shared = (Arc::clone(&runs), Arc::clone(&cut), record.quiet());
        let server = Server::start((&format!("i-rezerv-{index}"), "rezerv"), 3, WORK_MS, shared);
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
    let balancer = Balancer::start(boxes.iter().map(|place| (place.front, place.ready)).collect());
    thread::sleep(Duration::from_secs(2));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let load = send_bookings(balancer, Arc::clone(&seen), Arc::clone(&stop));
    let mut terms: Vec<(SocketAddr, Instant, Instant)> = Vec::new();
    thread::sleep(Duration::from_secs(2));
    for round in 1..=ROUNDS {
        let started = Instant::now();
        if trouble {
            record.line(&format!("round {round}: the boxes get SIGTERM, one each {GAP:?}"));
        }
        thread::scope(|scope| {
            let fleet = &fleet;
            let stops: Vec<_> = boxes
                .iter_mut()
                .enumerate()
                .map(|(index, place)| {
                    scope.spawn(move || {
                        thread::sleep(GAP * index as u32);
                        if !trouble {
                            return None;
                        }
                        let at = Instant::now();
                        place.terminate();
                        place.wait_end(Duration::from_secs(6));
                        let ended = Instant::now();
                        thread::sleep(Duration::from_millis(200));
                        fleet.start(place);
                        Some((place.front, at, ended))
                    })
                })
                .collect();
            for stop in stops {
                terms.extend(stop.join().expect("a stop"));
            }
        });
        thread::sleep(Duration::from_millis(8000).saturating_sub(started.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = load.join();
    thread::sleep(Duration::from_secs(2));
    let seen = std::mem::take(&mut *seen.lock().unwrap());
    judge(record, &seen, &terms, &runs)
}

/// LOST around planned work: a request that was passed on to an instance, on a box that got a SIGTERM up to 1 s after
/// `grace` before, whose connection closes without an answer.
fn judge(record: &Record, seen: &[Seen], terms: &[(SocketAddr, Instant, Instant)], runs: &Runs) -> Verdict {
    let runs = runs.lock().unwrap();
    let served = seen.iter().filter(|seen| seen.status == 200).count();
    let refused = seen.iter().filter(|seen| seen.status == 503).count();
    let cut = seen.iter().filter(|seen| seen.is_cut).count();
    let early = terms.iter().filter(|(_, at, ended)| *ended - *at < Duration::from_secs(5)).count();
    record.line(&format!(
        "{} bookings: {served} answered 200, {refused} refused, {cut} cut without an answer; {} stops, {early} of them ended before 5 s",
        seen.len(), terms.len()
    ));
    let mut lost = 0;
    for booking in seen.iter().filter(|seen| seen.is_cut) {
        let Some((_, at, ended)) = terms.iter().find(|(front, at, ended)| {
            *front == booking.front && booking.sent >= *at && booking.sent <= *ended
        }) else {
            continue;
        };
        let ran = runs.get(&booking.id);
        let by = ran.and_then(|runs| runs.first()).map_or("no instance", |(server, _)| server.as_str());
        record.line(&format!(
            "{} to {}: sent {:.4} s after its SIGTERM, run by {by}, connection closed without an answer {:.4} s after the SIGTERM; the process ended at {:.4} s",
            booking.id, booking.front,
            (booking.sent - *at).as_secs_f64(), (booking.ended - *at).as_secs_f64(), (*ended - *at).as_secs_f64()
        ));
        lost += usize::from(ran.is_some());
    }
    record.line(&format!("LOST is broken by {lost} bookings"));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

/// The platform's choice of boxes for new connections.
#[derive(Clone)]
pub struct Balancer {
    nodes: Arc<Vec<Node>>,
    next: Arc<AtomicU64>,
}

struct Node {
    front: SocketAddr,
    ready: SocketAddr,
    missed: AtomicU64,
}

impl Balancer {
    pub fn start(nodes: Vec<(SocketAddr, SocketAddr)>) -> Balancer {
        let nodes = nodes.into_iter().map(|(front, ready)| Node { front, ready, missed: AtomicU64::new(0) });
        let balancer = Balancer { nodes: Arc::new(nodes.collect()), next: Arc::default() };
        for index in 0..balancer.nodes.len() {
            let asking = balancer.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(80 * index as u64));
                loop {
                    let node = &asking.nodes[index];
                    if is_ready(node.ready) {
                        node.missed.store(0, Ordering::SeqCst);
                    } else {
                        node.missed.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    pub fn choose(&self) -> SocketAddr {
        let number = self.next.fetch_add(1, Ordering::SeqCst) as usize;
        let in_use: Vec<&Node> = self.nodes.iter().filter(|node| node.missed.load(Ordering::SeqCst) < 2).collect();
        if in_use.len() * 2 < self.nodes.len() {
            return self.nodes[number % self.nodes.len()].front;
        }
        in_use[number % in_use.len()].front
    }
}

/// Sends bookings on new connections until `stop`.
fn send_bookings(balancer: Balancer, seen: Arc<Mutex<Vec<Seen>>>, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    const CLIENTS: usize = 40;
    thread::spawn(move || {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (balancer, seen, stop) = (balancer.clone(), Arc::clone(&seen), Arc::clone(&stop));
                thread::spawn(move || {
                    let pause = Duration::from_secs_f64(CLIENTS as f64 / RATE);
                    thread::sleep(pause.mul_f64(client as f64 / CLIENTS as f64));
                    let mut number = 0;
                    while !stop.load(Ordering::SeqCst) {
                        number += 1;
                        let due = Instant::now() + pause;
                        let id = format!("booking-{client}-{number}");
                        let front = balancer.choose();
                        let deadline = Duration::from_secs(6);
                        let attempt = Attempt { method: "POST", path: "/book/x", id: &id, deadline, body: b"two beds" };
                        let sent = Instant::now();
                        let end = send_fresh(front, &attempt);
                        let is_cut = matches!(end, AttemptEnd::Cut);
                        let ended = Instant::now();
                        seen.lock().unwrap().push(Seen { id, front, sent, ended, status: end.status(), is_cut });
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    })
}
