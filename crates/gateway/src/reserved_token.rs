//! The token that a request has taken from its customer's quota.

use std::sync::Arc;

use crate::context::BoxContext;
use crate::customers::Customer;

/// The token of one request. It is refunded on drop unless a part of the request was sent to a target that may have
/// executed it.
pub(crate) struct ReservedToken {
    context: Arc<BoxContext>,
    customer: Arc<Customer>,
    is_used: bool,
}

impl ReservedToken {
    /// Creates the token of an admitted request of `customer`.
    pub(crate) fn new(context: Arc<BoxContext>, customer: Arc<Customer>) -> ReservedToken {
        ReservedToken { context, customer, is_used: false }
    }

    /// Records that the request is being sent. From now on it may be executed, even if its caller disconnects.
    pub(crate) fn record_sent(&mut self) {
        self.is_used = true;
    }

    /// Charges another token since the request is sent again. Quotas count executions, not callers' requests.
    pub(crate) fn record_resent(&self) {
        self.context.quotas.charge(&self.customer);
    }

    /// Records that no target executed the request.
    pub(crate) fn record_not_run(&mut self) {
        self.is_used = false;
    }
}

impl Drop for ReservedToken {
    fn drop(&mut self) {
        if !self.is_used {
            self.context.quotas.refund(&self.context, &self.customer);
        }
    }
}
