//! Metrics of the `metrics` crate, rendered in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the process's metrics recorder; further calls have no effect.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).ok().map(|()| handle)
    });
}

/// Returns all metrics of the process in the Prometheus text format; empty before
/// [`start_metrics`].
pub fn render_metrics() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
