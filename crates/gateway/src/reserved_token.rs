//! The credit that a request took of its customer's quota.

use std::sync::Arc;

use crate::context::BoxContext;
use crate::customers::Customer;

/// Credit of one request. It goes back, once, unless something of the request was sent.
pub(crate) struct ReservedToken {
    context: Arc<BoxContext>,
    customer: Arc<Customer>,
    used: bool,
}

impl ReservedToken {
    /// Credit that was admitted for a request of `customer`.
    pub(crate) fn new(context: Arc<BoxContext>, customer: Arc<Customer>) -> ReservedToken {
        ReservedToken { context, customer, used: false }
    }

    /// Something is being sent: it may run, also if nobody waits for its end.
    pub(crate) fn record_sent(&mut self) {
        self.used = true;
    }

    /// It is sent once more: what runs counts, and not what was asked.
    pub(crate) fn record_resent(&self) {
        self.context.quotas.charge(&self.customer);
    }

    /// What was sent ran nowhere.
    pub(crate) fn record_not_run(&mut self) {
        self.used = false;
    }
}

impl Drop for ReservedToken {
    fn drop(&mut self) {
        if !self.used {
            self.context.quotas.refund(&self.context, &self.customer);
        }
    }
}
