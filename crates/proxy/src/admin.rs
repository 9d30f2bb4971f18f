//! Serves readiness to the balancer, and metrics.

use std::sync::Arc;

use async_std::net::TcpListener;
use http_types::Response;
use wingbridge_http::server::{ServerSettings, serve, text_response};
use wingbridge_process::metrics::render_metrics;

use crate::context::ProxyContext;

/// Serves requests until the task is dropped.
pub(crate) async fn serve_admin(listener: TcpListener, context: Arc<ProxyContext>) {
    serve(listener, ServerSettings::default(), move |request| {
        let context = Arc::clone(&context);
        async move { answer(&context, request.incoming.request.url().path()) }
    })
    .await;
}

fn answer(context: &ProxyContext, path: &str) -> Response {
    match path {
        "/ready" if context.ready.is_ready() => text_response(200, "ready"),
        "/ready" => text_response(503, "not ready"),
        "/metrics" => text_response(200, &render_metrics()),
        _ => text_response(404, "no such end point"),
    }
}
