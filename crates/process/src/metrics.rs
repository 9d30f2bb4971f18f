//! Metrics by the `metrics` crate, shown as text for scraping.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Starts the process's recorder; further calls do nothing.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).ok().map(|()| handle)
    });
}

/// All metrics of the process in the text format for scraping.
pub fn render_metrics() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
