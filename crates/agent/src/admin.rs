//! The agent's endpoints for operators: JSON over HTTP, read only.

use async_channel::Sender;
use async_std::net::TcpListener;
use http_types::{Response, Url};
use wingbridge_http::server::{ServerSettings, json_response, serve, text_response};
use wingbridge_process::metrics::render_metrics;

use crate::events::{AdminQuery, AgentEvent};

/// Serves operators' queries until the task is dropped.
pub(crate) async fn serve_admin(listener: TcpListener, events: Sender<AgentEvent>) {
    serve(listener, ServerSettings::default(), move |request| {
        let events = events.clone();
        async move { answer(&events, request.incoming.request.url()).await }
    })
    .await;
}

async fn answer(events: &Sender<AgentEvent>, url: &Url) -> Response {
    let query = match url.path() {
        "/metrics" => return text_response(200, &render_metrics()),
        "/v1/status" => AdminQuery::Status,
        "/v1/targets" => AdminQuery::Targets,
        "/v1/boxes" => AdminQuery::Boxes,
        "/v1/keys" => {
            let found = url.query_pairs().find(|(name, _)| name == "prefix");
            AdminQuery::Keys { prefix: found.map(|(_, value)| value.into()).unwrap_or_default() }
        }
        "/v1/timeline" => AdminQuery::EventTrace,
        _ => return text_response(404, "no such end point"),
    };
    let (reply, answered) = async_channel::bounded(1);
    if events.send(AgentEvent::AdminRequest { query, reply }).await.is_err() {
        return text_response(503, "the agent is stopping");
    }
    match answered.recv().await {
        Ok(json) => json_response(200, json),
        Err(_) => text_response(503, "the agent is stopping"),
    }
}
