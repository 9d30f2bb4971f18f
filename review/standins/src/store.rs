//! A stand-in of the platform's store: keys, listings, watches and conditional writes. It answers after 4 ms.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{read_message, respond, Message};

const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Value in base64, revision, revision of the creation.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision, key, value.
    history: Vec<(u64, String, Option<String>)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let store = Store { state, address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, base64(value.as_bytes()));
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Ok(request) = read_message(&mut stream, &mut bytes) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.state.lock().unwrap().answer(&request);
            let headers = [("Content-Type", "application/json")];
            if !respond(&mut stream, status, &headers, body.as_bytes()) {
                return;
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.2);
        self.items.insert(key.to_string(), (value.clone(), revision, created));
        self.history.push((revision, key.to_string(), Some(value)));
    }

    fn answer(&mut self, request: &Message) -> (u16, String) {
        let query = |name: &str| request.query(name).unwrap_or_default();
        let method = request.first.first().map_or("", String::as_str);
        match (method, request.path()) {
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (query("path_prefix"), query("after"));
                let listed = self.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let listed = listed.filter(|(key, _)| after.is_empty() || **key > after);
                let items: Vec<String> = listed.map(|(key, item)| item_json(key, item)).collect();
                let (items, revision) = (items.join(","), self.revision);
                let body = format!(
                    r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#
                );
                (200, body)
            }
            ("GET", "/v1/kv-key") => match self.items.get(&query("key")) {
                Some(item) => (200, item_json(&query("key"), item)),
                None => (404, format!(r#"{{"store_revision":{}}}"#, self.revision)),
            },
            ("GET", "/v1/kv-watch") => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let prefix = query("path_prefix");
                let later = self
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<String> = later
                    .map(|(revision, key, value)| match value {
                        Some(value) => item_json(key, &(value.clone(), *revision, *revision)),
                        None => format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
                    })
                    .collect();
                let (events, revision) = (events.join(","), self.revision);
                (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#))
            }
            ("POST", "/v1/kv-txn") => self.change(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_string()),
        }
    }

    /// The boxes write one key in a call, with at most one condition.
    fn change(&mut self, body: &str) -> (u16, String) {
        let (conditions, puts) = match (body.find("\"expected_rev\""), body.find("\"puts\"")) {
            (Some(conditions), Some(puts)) if conditions < puts => {
                (&body[conditions..puts], &body[puts..])
            }
            (Some(conditions), Some(puts)) => (&body[conditions..], &body[puts..conditions]),
            (None, Some(puts)) => ("", &body[puts..]),
            _ => return (400, "{}".to_string()),
        };
        if let Some(key) = text_field(conditions, "key") {
            let expected = number_field(conditions, "rev").unwrap_or(0);
            let held = self.items.get(&key).map_or(0, |item| item.1);
            if held != expected {
                return (412, r#"{"items":[]}"#.to_string());
            }
        }
        let (Some(key), Some(value)) = (text_field(puts, "key"), text_field(puts, "value")) else {
            return (400, "{}".to_string());
        };
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_string());
        }
        self.put(&key, value);
        (200, format!(r#"{{"rev":{}}}"#, self.revision))
    }
}

fn item_json(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{revision},"created_rev":{created},"lease":0}}"#
    )
}

fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = &json[json.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_string())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = &json[json.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SIGNS[(number >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
