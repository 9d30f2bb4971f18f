//! When something was disturbed: what the checks excuse.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::lock;

/// What is disturbed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpanScope {
    /// The box of that index, by something that nobody planned.
    Box(usize),
    /// The box of that index, by a planned stop.
    PlannedStop(usize),
    /// The store, for all boxes.
    Store,
}

/// A time in which something was disturbed.
#[derive(Debug, Clone)]
pub struct FaultSpan {
    /// What.
    pub scope: SpanScope,
    /// From when.
    pub from: Instant,
    /// Until when; `None` while it goes on.
    pub until: Option<Instant>,
}

/// All spans. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct SpanLog {
    spans: Arc<Mutex<Vec<FaultSpan>>>,
}

impl SpanLog {
    /// Begins a span; returns its number for [`SpanLog::end`].
    pub fn begin(&self, scope: SpanScope) -> usize {
        let mut spans = lock(&self.spans);
        spans.push(FaultSpan { scope, from: Instant::now(), until: None });
        spans.len() - 1
    }

    /// Notes a span that is over, of the time just passed.
    pub fn note_past(&self, scope: SpanScope, length: Duration) {
        let now = Instant::now();
        let from = now.checked_sub(length).unwrap_or(now);
        lock(&self.spans).push(FaultSpan { scope, from, until: Some(now) });
    }

    /// Ends a span.
    pub fn end(&self, number: usize) {
        lock(&self.spans)[number].until = Some(Instant::now());
    }

    /// Whether something of `scope` was disturbed between the two moments.
    pub fn touches(&self, scope: &SpanScope, from: Instant, until: Instant) -> bool {
        let spans = lock(&self.spans);
        let mut of_scope = spans.iter().filter(|span| span.scope == *scope);
        of_scope.any(|span| span.from <= until && span.until.is_none_or(|end| end >= from))
    }

    /// Whether a box was in touch with an undisturbed store all the time between the two
    /// moments, and for `contact` before.
    pub fn in_touch(&self, index: usize, from: Instant, until: Instant, contact: Duration) -> bool {
        let from = from.checked_sub(contact).unwrap_or(from);
        let scopes = [SpanScope::Box(index), SpanScope::PlannedStop(index), SpanScope::Store];
        !scopes.iter().any(|scope| self.touches(scope, from, until))
    }
}
