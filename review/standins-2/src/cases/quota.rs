//! A tenant that sends many times its usual number of requests, through all boxes.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::boxes::Fleet;
use crate::cases::{Ending, config, connect, read_answer, route};
use crate::http::{Connection, Request};
use crate::instances::{Instance, work_for};
use crate::store::Store;

const BOXES: usize = 36;
const KEY: &str = "k7m2p9q4r8t1v5x3";
/// The tenant's limit, in requests a second; its burst is the same number, as in the users' example.
const RATE: f64 = 4.0;
/// The limit is 1.6 times what the tenant usually sends.
const USUAL_PER_S: f64 = RATE / 1.6;
/// The disruption: how many times its usual the tenant sends, and for how long.
const HOT_TIMES: f64 = 10.0;
const HOT_TIME: Duration = Duration::from_millis(6800);
const CALM_TIME: Duration = Duration::from_secs(15);
const DEADLINE: Duration = Duration::from_secs(6);
/// The rule.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

pub fn run(run: &Run) -> Result<bool, String> {
    let store = Store::start("127.0.0.1").map_err(|error| error.to_string())?;
    let routes = [route("bookings", "/bookings/", "non_idempotent", "rezerv", 3000, Some(false))];
    let tenants = format!(
        "{{\"club\":{{\"api_keys\":[\"{KEY}\"],\"priority\":0,\"rate_per_s\":{RATE},\"burst\":{RATE}}}}}"
    );
    store.put("op/config", &config(&routes, &["rezerv"], Some(&tenants)));
    let runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let zones = ["tatry-a", "tatry-b", "tatry-c"];
    for index in 0..16 {
        let runs = Arc::clone(&runs);
        let work = move |request: &Request, connection: &mut Connection, instance: &Instance| {
            if request.header("tenant") == Some("club") {
                runs.lock().unwrap().push(Instant::now());
            }
            work_for(connection, Duration::from_millis(240))
                && instance.succeed(request, connection, b"booked")
        };
        Instance::start(
            &store,
            "rezerv",
            zones[index % 3],
            &format!("i-rezerv{index}"),
            3,
            Arc::new(work),
        )
        .map_err(|error| error.to_string())?;
    }
    let contracts = "base,drain,config,cost,retry,recover,health,pool,tenants,quota,platform";
    let zones: Vec<&str> = (0..BOXES).map(|index| zones[index % 3]).collect();
    let fleet = Fleet::start(&zones, store.address, contracts, &run.logs)?;
    thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let mut number = 0;
    let mut due = 0.0;
    let (sender, ends) = std::sync::mpsc::channel();
    while started.elapsed() < CALM_TIME + HOT_TIME {
        if started.elapsed().as_secs_f64() >= due {
            let hot = run.trouble && started.elapsed() >= CALM_TIME;
            due += 1.0 / (USUAL_PER_S * if hot { HOT_TIMES } else { 1.0 });
            let front = fleet.boxes[number % BOXES].front;
            let sender = sender.clone();
            let id = format!("{number:016x}");
            thread::spawn(move || {
                let sent = started.elapsed();
                let _ = sender.send((id.clone(), front, sent, request(front, &id)));
            });
            number += 1;
        }
        thread::sleep(Duration::from_millis(2));
    }
    drop(sender);
    for (id, front, sent, ending) in ends.iter() {
        run.record.add(format!(
            "request {id} sent at {:.3} s to {front}: {ending:?}",
            sent.as_secs_f64()
        ));
    }
    let mut runs = runs.lock().unwrap().clone();
    runs.sort();
    for at in &runs {
        run.record.add(format!(
            "an instance ran one at {:.3} s",
            at.duration_since(started).as_secs_f64()
        ));
    }
    let most = runs.iter().map(|from| {
        runs.iter().filter(|at| *at >= from && at.duration_since(*from) <= WINDOW).count()
    });
    let most = most.max().unwrap_or(0);
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + EXCESS) + SLACK;
    run.record
        .add(format!("in some 5 s {most} requests of the tenant ran; {allowed:.1} are allowed"));
    Ok(most as f64 > allowed)
}

fn request(front: SocketAddr, id: &str) -> Ending {
    let Some(mut connection) = connect(front) else {
        return Ending::Cut(false);
    };
    let millis = DEADLINE.as_millis();
    let head = format!(
        "POST /bookings/{id} HTTP/1.1\r\nHost: huts.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {millis}\r\nX-Api-Key: {KEY}\r\nContent-Length: 5\r\n\r\nbed=4"
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return Ending::Cut(false);
    }
    read_answer(&mut connection, Instant::now() + DEADLINE).0
}
