//! Stand-ins of the instances behind the system. They behave as the pages say of sound ones; a case adds the
//! one fault that it is about.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Request};
use crate::store::Store;

/// Time between two heartbeats in the store.
const BEAT: Duration = Duration::from_millis(1500);
/// Requests that wait for a slot at most.
const QUEUE: u32 = 12;

/// Runs a request that has a slot, and answers it. Returns whether the connection stays open.
pub type Work = dyn Fn(&Request, &mut Connection, &Instance) -> bool + Send + Sync;

pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    load: Mutex<Load>,
    freed: Condvar,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

impl Instance {
    /// Starts an instance, which keeps its entry in the store until the process ends.
    pub fn start(
        store: &Store,
        service: &str,
        zone: &str,
        id: &str,
        slots: u32,
        work: Arc<Work>,
    ) -> std::io::Result<Arc<Instance>> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let instance = Arc::new(Instance {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            address,
            slots,
            load: Mutex::default(),
            freed: Condvar::new(),
        });
        let beating = (Arc::clone(&instance), store.clone());
        instance.beat(store, 1);
        thread::spawn(move || {
            let (instance, store) = beating;
            for seq in 2.. {
                thread::sleep(BEAT);
                instance.beat(&store, seq);
            }
        });
        let accepting = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (instance, work) = (Arc::clone(&accepting), Arc::clone(&work));
                thread::spawn(move || instance.serve(stream, &*work));
            }
        });
        Ok(instance)
    }

    fn beat(&self, store: &Store, seq: u64) {
        let Instance { id, service, zone, address, slots, .. } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"cold_left\":\"0ms\"}}}}"
            ),
        );
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read_request() {
            if request.path() == "/healthz" {
                if !connection.write_answer(200, &[("Instance-Id", &self.id)], b"") {
                    return;
                }
                continue;
            }
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                if !connection.write_answer(421, &[("Instance-Id", &self.id)], b"") {
                    return;
                }
                continue;
            }
            if !self.take_slot() {
                if !connection.write_answer(503, &[("Not-Executed", "1")], b"") {
                    return;
                }
                continue;
            }
            // A request whose connection was closed while it waited is dropped.
            let keeps_open =
                !is_closed(&connection.stream) && work(&request, &mut connection, self);
            self.free_slot();
            if !keeps_open {
                return;
            }
        }
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running + load.waiting >= self.slots + QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    /// Returns the value of the header that tells the load.
    pub fn load(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{}", load.running, load.waiting, self.slots)
    }

    /// Answers a request with a success.
    pub fn succeed(&self, request: &Request, connection: &mut Connection, body: &[u8]) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let (stamp, load) = (self.stamp(body.len()), self.load());
        let headers = [("Request-Id", id), ("Server-Stamp", &*stamp), ("Server-Load", &*load)];
        connection.write_answer(200, &headers, body)
    }

    pub fn stamp(&self, length: usize) -> String {
        format!("{}.{length}", self.id)
    }
}

/// Returns whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}

/// Works for `time`. Returns false if the peer closes the connection meanwhile, by which the work ends.
pub fn work_for(connection: &Connection, time: Duration) -> bool {
    let until = std::time::Instant::now() + time;
    loop {
        if is_closed(&connection.stream) {
            return false;
        }
        let left = until.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(5)));
    }
}
