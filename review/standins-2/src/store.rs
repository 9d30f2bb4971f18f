//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base64;
use crate::http::{Connection, Request};
use crate::json::Json;

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<String>)>,
}

struct Item {
    /// In base64.
    value: String,
    rev: u64,
    created: u64,
}

impl Store {
    pub fn start(host: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Store { state, address })
    }

    /// Writes a key, as the operator and the instances do.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, base64::encode(value.as_bytes()));
    }
}

impl State {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let rev = self.revision;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        self.events.push((rev, key.to_string(), Some(value.clone())));
        self.items.insert(key.to_string(), Item { value, rev, created });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_string(), None));
        }
    }

    fn answer(&mut self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                match self.items.get(key) {
                    Some(item) => (200, self.item(key, item, true)),
                    None => (404, "{}".to_string()),
                }
            }
            ("GET", "/v1/kv-range") => (200, self.range(request)),
            ("GET", "/v1/kv-watch") => (200, self.watch(request)),
            ("POST", "/v1/kv-txn") => self.change(request),
            _ => (404, "{}".to_string()),
        }
    }

    fn item(&self, key: &str, item: &Item, with_revision: bool) -> String {
        let Item { value, rev, created } = item;
        let revision = match with_revision {
            true => format!(",\"store_revision\":{}", self.revision),
            false => String::new(),
        };
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created_rev\":{created},\"lease\":0{revision}}}"
        )
    }

    fn range(&self, request: &Request) -> String {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let listed = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let listed = listed.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let items: Vec<String> = listed.map(|(key, item)| self.item(key, item, false)).collect();
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}")
    }

    fn watch(&self, request: &Request) -> String {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let later =
            self.events.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        let events: Vec<String> = later
            .map(|(rev, key, value)| match value {
                Some(value) => {
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"lease\":0}}")
                }
                None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
            })
            .collect();
        format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), self.revision)
    }

    fn change(&mut self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_string());
        };
        let rows = |name: &str| body.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        for expected in rows("expected_rev") {
            let key = expected.get("key").and_then(Json::text).unwrap_or_default();
            let rev = expected.get("rev").and_then(Json::number).unwrap_or(0.0) as u64;
            if self.items.get(key).map_or(0, |item| item.rev) != rev {
                return (412, "{\"items\":[]}".to_string());
            }
        }
        for put in rows("puts") {
            let key = put.get("key").and_then(Json::text).unwrap_or_default();
            let value = put.get("value").and_then(Json::text).unwrap_or_default();
            self.put(key, value.to_string());
        }
        for key in rows("remove") {
            self.remove(key.text().unwrap_or_default());
        }
        (200, format!("{{\"rev\":{}}}", self.revision))
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let mut connection = Connection::new(stream);
    while let Some(request) = connection.read_request() {
        let (status, body) = state.lock().unwrap().answer(&request);
        let headers = [("Content-Type", "application/json")];
        if !connection.write_answer(status, &headers, body.as_bytes()) {
            return;
        }
    }
}
