//! Another writer puts an entry beside those of the instances. Then the operator changes the configuration, and an
//! instance leaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::boxes::{BoxProcess, Fleet};
use crate::client::{send_fresh, Attempt};
use crate::record::Record;
use crate::server::{CutPaths, Runs, Server};
use crate::setup::{config_json, Verdict};
use crate::store::Store;

const BOXES: usize = 4;
/// Time in which a change must be in force, by the site file: `config_apply` and `drain`.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Time for which nothing is disturbed before a rule that is bound by time applies: `contact`.
const CONTACT: Duration = Duration::from_secs(3);
/// `recovery` of the site file.
const RECOVERY: Duration = Duration::from_secs(15);
/// Number of bookings that are sent at a time.
const BOOKINGS: usize = 100;
/// An entry whose service is not named. All its fields have the form of the pages.
const ODD_ENTRY: &str = r#"{"address":"127.0.0.1:9","info":{"service":"brana","version":"v1","zone":"tatry-a","slots":3},"status":{"state":"ready","seq":1,"cold_left":"9223372036854775807s"}}"#;

pub fn run(
    root: &std::path::Path,
    logs: &std::path::Path,
    record: &Record,
    trouble: bool,
) -> Verdict {
    let store = Store::start();
    let (runs, cut): (Runs, CutPaths) = Default::default();
    let mut servers = Vec::new();
    for index in 1..=4 {
        for service in ["luzka", "rezerv"] {
            let shared = (Arc::clone(&runs), Arc::clone(&cut), record.quiet());
            let server = Server::start((&format!("i-{service}-{index}"), service), 3, 50, shared);
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
    // The last instance leaves later, so its entry is not renewed here.
    let leaving = servers.pop().expect("there are instances");
    crate::relayed_stop::keep_beating(&store, &servers);
    thread::sleep(Duration::from_secs(2));
    if trouble {
        store.put("servers/i-brana", ODD_ENTRY);
        record.line(&format!("another writer puts servers/i-brana: {ODD_ENTRY}"));
    }
    thread::sleep(CONTACT + Duration::from_secs(1));

    store.put("op/config", &config_json(2).replace("/avail/", "/beds/"));
    record.line("the store acknowledges version 2: the route avail-read has the prefix /beds/ instead of /avail/");
    store.put(&format!("servers/{}", leaving.id), &leaving.entry("tatry-a", "draining", 2));
    record.line(&format!("the store acknowledges that {} is draining", leaving.id));
    let changed_at = Instant::now();
    thread::sleep(CHANGE_TIME + Duration::from_secs(1));

    let mut stale = 0;
    for (number, place) in boxes.iter().enumerate().map(|(index, place)| (index + 1, place)) {
        for (path, expected) in [("/beds/x", 200), ("/avail/x", 404)] {
            let id = format!("lookup-{number}{}", path.replace('/', "-"));
            let attempt = Attempt {
                method: "GET",
                path,
                id: &id,
                deadline: Duration::from_secs(5),
                body: b"",
            };
            let after = changed_at.elapsed().as_secs_f64();
            let status = send_fresh(place.front, &attempt).status();
            record.line(&format!("client sends GET {path} to box {number}, {after:.2} s after version 2: {status}, and version 2 allows {expected}"));
            stale += usize::from(status != expected);
        }
    }
    let before = arrivals(&runs, &leaving.id);
    let fronts: Vec<SocketAddr> = boxes.iter().map(|place| place.front).collect();
    send_bookings(&fronts, "before");
    let late = arrivals(&runs, &leaving.id) - before;
    let after = changed_at.elapsed().as_secs_f64();
    record.line(&format!("of {BOOKINGS} bookings, sent 3 to {after:.0} s after {} said that it drains, {late} ran there", leaving.id));

    record.line("all boxes are killed, and started again");
    for place in &mut boxes {
        place.kill();
    }
    for place in &mut boxes {
        fleet.start(place);
    }
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let served = send_bookings(&fronts, "after");
    record.line(&format!(
        "{served} of {BOOKINGS} bookings that are sent more than {RECOVERY:?} later are served"
    ));
    record.line(&format!(
        "CONFIG is broken by {stale} of {} lookups, DRAIN by {late} bookings, RECOVER: {}",
        2 * BOXES,
        4 * served < BOOKINGS
    ));
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends bookings to all boxes at the same time, some after the other to each. Returns how many were served.
fn send_bookings(fronts: &[SocketAddr], phase: &str) -> usize {
    thread::scope(|scope| {
        let clients: Vec<_> = fronts
            .iter()
            .enumerate()
            .map(|(client, front)| {
                scope.spawn(move || {
                    let send_one = |number: &usize| {
                        let id = format!("{phase}-{client}-{number}");
                        let deadline = Duration::from_secs(6);
                        let attempt = Attempt {
                            method: "POST",
                            path: "/book/x",
                            id: &id,
                            deadline,
                            body: b"two beds",
                        };
                        send_fresh(*front, &attempt).status() == 200
                    };
                    (0..BOOKINGS / BOXES).filter(send_one).count()
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().expect("a client")).sum()
    })
}

fn arrivals(runs: &Runs, server: &str) -> usize {
    let runs = runs.lock().unwrap();
    runs.values().flatten().filter(|(by, _)| by == server).count()
}
