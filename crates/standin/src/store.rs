//! HTTP end points of the store stand-in. `docs/STORE.md` describes them.

use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Response};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use wingbridge_http::server::{ServerSettings, json_response, serve, text_response};
use wingbridge_http::{IncomingRequest, MessageLimits};
use wingbridge_store::BoxRecord;

use crate::store_state::{Admission, StoreFaults, StoreHandle};

/// Maximum length of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum time that a watch may wait for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Serves the store's end points until the task is dropped.
pub async fn serve_store(listener: TcpListener, handle: StoreHandle) {
    let limits = MessageLimits { max_body_bytes: MAX_VALUE_BYTES, ..MessageLimits::default() };
    let settings = ServerSettings { limits, ..ServerSettings::default() };
    serve(listener, settings, move |request| answer(handle.clone(), request.incoming)).await;
}

async fn answer(handle: StoreHandle, incoming: IncomingRequest) -> Response {
    let path = incoming.request.url().path().to_string();
    if path == "/v1/faults" {
        return change_faults(&handle, &incoming);
    }
    if path == "/v1/stats" {
        return to_json(&StoreStats { calls: handle.calls() });
    }
    let delay = match handle.admit() {
        Admission::Outage => return text_response(503, "outage"),
        Admission::Limited => return text_response(429, "over the rate"),
        Admission::Accepted { delay } => delay,
    };
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    match (incoming.request.method(), path.as_str()) {
        (Method::Get, "/v1/keys") => list_keys(&handle, &incoming).await,
        (Method::Get, "/v1/boxes") => list_boxes(&handle, &incoming).await,
        (Method::Put, "/v1/boxes") => put_box(&handle, &incoming),
        (Method::Get, _) => match key_of(&path).and_then(|key| handle.read(&key)) {
            Some(record) => to_json(&record),
            None => text_response(404, "no such key"),
        },
        (Method::Put, _) => put_key(&handle, &path, &incoming),
        _ => text_response(405, "GET and PUT are taken"),
    }
}

#[derive(Serialize)]
struct StoreStats {
    calls: u64,
}

async fn list_keys(handle: &StoreHandle, incoming: &IncomingRequest) -> Response {
    let after = query_number(incoming, "after");
    wait_for_change(handle, incoming, Some(after), None).await;
    to_json(&handle.list(after))
}

async fn list_boxes(handle: &StoreHandle, incoming: &IncomingRequest) -> Response {
    let after = query_number(incoming, "after");
    wait_for_change(handle, incoming, None, Some(after)).await;
    to_json(&handle.list_boxes(after))
}

async fn wait_for_change(
    handle: &StoreHandle,
    incoming: &IncomingRequest,
    keys: Option<u64>,
    boxes: Option<u64>,
) {
    let wait = Duration::from_millis(query_number(incoming, "wait_ms")).min(MAX_WATCH_TIME);
    let until = Instant::now() + wait;
    // Changes of keys and of boxes wake the same watchers, so the condition is checked again.
    while let Some(changed) = handle.next_change(keys, boxes) {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero()
            || async_std::future::timeout(remaining, changed.recv()).await.is_err()
        {
            return;
        }
    }
}

/// Returns the key that a path names; `None` if it is no path of a key, or not of UTF-8 when decoded.
fn key_of(path: &str) -> Option<String> {
    let encoded = path.strip_prefix("/v1/key/").filter(|key| !key.is_empty())?;
    percent_decode_str(encoded).decode_utf8().ok().map(|key| key.into_owned())
}

fn put_key(handle: &StoreHandle, path: &str, incoming: &IncomingRequest) -> Response {
    let Some(key) = key_of(path) else {
        return text_response(404, "no such end point");
    };
    let Ok(value) = std::str::from_utf8(&incoming.body) else {
        return text_response(400, "the value is not UTF-8");
    };
    let reply = handle.write(&key, query_number(incoming, "expect"), value);
    if reply.written && handle.loses_answer() {
        return text_response(504, "the answer is lost");
    }
    let status = if reply.written { 200 } else { 409 };
    json_response(status, serde_json::to_string(&reply).unwrap_or_default())
}

fn put_box(handle: &StoreHandle, incoming: &IncomingRequest) -> Response {
    match serde_json::from_slice::<BoxRecord>(&incoming.body) {
        Ok(record) => {
            handle.set_box(record);
            text_response(200, "set")
        }
        Err(error) => text_response(400, &error.to_string()),
    }
}

fn change_faults(handle: &StoreHandle, incoming: &IncomingRequest) -> Response {
    if incoming.request.method() == Method::Get {
        return to_json(&handle.faults());
    }
    match serde_json::from_slice::<StoreFaults>(&incoming.body) {
        Ok(faults) => {
            handle.set_faults(faults);
            text_response(200, "set")
        }
        Err(error) => text_response(400, &error.to_string()),
    }
}

fn to_json(value: &impl Serialize) -> Response {
    json_response(200, serde_json::to_string(value).unwrap_or_default())
}

fn query_number(incoming: &IncomingRequest, name: &str) -> u64 {
    let url = incoming.request.url();
    let found = url.query_pairs().find(|(known, _)| known == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
