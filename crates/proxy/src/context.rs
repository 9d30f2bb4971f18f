//! State that all requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::Sender;
use wingbridge_decide::{Name, RequestId};
use wingbridge_process::ProcessClock;
use wingbridge_trace::EventTrace;

use crate::active_config::ActiveConfig;
use crate::inputs::DecisionInput;
use crate::lifecycle::ReadyFlag;
use crate::pool::ConnectionPool;
use crate::settings::ProxySettings;

/// State that requests, probes and the link to the agent share.
pub(crate) struct ProxyContext {
    pub(crate) settings: ProxySettings,
    pub(crate) box_id: Name,
    pub(crate) clock: ProcessClock,
    pub(crate) trace: EventTrace,
    pub(crate) config: ActiveConfig,
    pub(crate) pool: ConnectionPool,
    pub(crate) decisions: Sender<DecisionInput>,
    pub(crate) ready: ReadyFlag,
    next_number: AtomicU64,
    /// Start time of the process; part of request ids, which are therefore unique across
    /// restarts.
    start_micros: u64,
}

impl ProxyContext {
    pub(crate) fn new(
        settings: ProxySettings,
        clock: ProcessClock,
        trace: EventTrace,
        decisions: Sender<DecisionInput>,
        ready: ReadyFlag,
    ) -> Arc<ProxyContext> {
        Arc::new(ProxyContext {
            box_id: settings.box_id.as_str().into(),
            settings,
            clock,
            trace,
            config: ActiveConfig::default(),
            pool: ConnectionPool::default(),
            decisions,
            ready,
            next_number: AtomicU64::new(1),
            start_micros: clock.micros(),
        })
    }

    /// Returns a new request id, unique within this process.
    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId(self.next_number.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the id of a request in logs, in headers and at targets, unique over all boxes.
    pub(crate) fn request_name(&self, request: RequestId) -> String {
        format!("{}-{:x}-{:x}", self.box_id, self.start_micros, request.0)
    }
}
