//! Records the time spans in which boxes or the store were disturbed, which the checks excuse.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::lock;

/// The part of the system that is disturbed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpanScope {
    /// The box with this index, by something other than a planned stop.
    Box(usize),
    /// The box with this index, by a planned stop.
    PlannedStop(usize),
    /// The paths from the box with this index to all targets.
    Paths(usize),
    /// The store, which affects all boxes.
    Store,
}

/// A time span in which a part of the system was disturbed.
#[derive(Debug, Clone)]
pub struct FaultSpan {
    /// The disturbed part.
    pub scope: SpanScope,
    /// Start of the disturbance.
    pub from: Instant,
    /// End of the disturbance; `None` while it lasts.
    pub until: Option<Instant>,
}

/// All recorded spans. Clones share the same record.
#[derive(Debug, Clone, Default)]
pub struct SpanLog {
    spans: Arc<Mutex<Vec<FaultSpan>>>,
}

impl SpanLog {
    /// Begins a span and returns its number, which [`SpanLog::end`] needs.
    pub fn begin(&self, scope: SpanScope) -> usize {
        let mut spans = lock(&self.spans);
        spans.push(FaultSpan { scope, from: Instant::now(), until: None });
        spans.len() - 1
    }

    /// Records a span that ends now and began `length` ago.
    pub fn record_past(&self, scope: SpanScope, length: Duration) {
        let now = Instant::now();
        let from = now.checked_sub(length).unwrap_or(now);
        lock(&self.spans).push(FaultSpan { scope, from, until: Some(now) });
    }

    /// Ends the span with this number.
    pub fn end(&self, number: usize) {
        lock(&self.spans)[number].until = Some(Instant::now());
    }

    /// Returns whether `scope` was disturbed at any time between `from` and `until`.
    pub fn overlaps(&self, scope: &SpanScope, from: Instant, until: Instant) -> bool {
        let spans = lock(&self.spans);
        let mut of_scope = spans.iter().filter(|span| span.scope == *scope);
        of_scope.any(|span| span.from <= until && span.until.is_none_or(|end| end >= from))
    }

    /// Returns whether `scope` was disturbed all the time between `from` and `until`.
    pub fn covers(&self, scope: &SpanScope, from: Instant, until: Instant) -> bool {
        let spans = lock(&self.spans);
        let mut of_scope = spans.iter().filter(|span| span.scope == *scope);
        of_scope.any(|span| span.from <= from && span.until.is_none_or(|end| end >= until))
    }

    /// Returns whether box `index` was connected: neither the box nor the store was disturbed
    /// between `from` and `until`, nor during `lead_time` before `from`.
    pub fn was_connected(
        &self,
        index: usize,
        from: Instant,
        until: Instant,
        lead_time: Duration,
    ) -> bool {
        let from = from.checked_sub(lead_time).unwrap_or(from);
        let scopes = [SpanScope::Box(index), SpanScope::PlannedStop(index), SpanScope::Store];
        !scopes.iter().any(|scope| self.overlaps(scope, from, until))
    }
}
