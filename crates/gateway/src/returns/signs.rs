//! What the attempts of a request show about the reason for its refusal.

use wingbridge_decide::returns::RefusalKind;
use wingbridge_decide::steer::LoadReport;

/// Collects the signs by which the kind of a request's refusal is determined.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalSigns {
    kind: Option<RefusalKind>,
}

impl RefusalSigns {
    /// Records that a target refused the request, with its load report. Returns whether the report shows free slots.
    /// Without a report, the target is taken for full.
    pub fn record_refused(&mut self, load: Option<LoadReport>) -> bool {
        let has_free_slots = load.is_some_and(|load| load.held < load.slots);
        if has_free_slots {
            self.kind = Some(RefusalKind::Declined);
        } else if self.kind.is_none() {
            self.kind = Some(RefusalKind::NoRoom);
        }
        has_free_slots
    }

    /// Records that the retry budget was used up.
    pub fn record_no_retry(&mut self) {
        self.kind = Some(RefusalKind::Declined);
    }

    /// Records that the waiting queue refused the request.
    pub fn record_queue_refusal(&mut self) {
        self.kind = Some(RefusalKind::NoRoom);
    }

    /// Returns the kind of the refusal, or `None` if no target has refused the request.
    pub fn kind(self) -> Option<RefusalKind> {
        self.kind
    }
}
