//! Checks before each attempt: access by the current configuration, and a permit if the target has announced
//! a rate limit.

use std::sync::Arc;

use wingbridge_decide::steer::SteerPick;

use super::RequestRun;
use crate::permit_manager::{NoPermit, SendPermit};
use crate::routes::{AccessDecision, common_homes};

/// Reason why a request that was allowed before is no longer allowed.
#[derive(Debug, Clone, Copy)]
pub(super) enum AccessRevoked {
    /// The request may not use its route, for this reason.
    Denied(&'static str),
    /// The route of the request was removed.
    RouteRemoved,
}

impl RequestRun {
    /// Requests a permit for an attempt at a target that has a rate limit over all boxes; attempts at other
    /// targets need none.
    pub(super) async fn request_permit(
        &mut self,
        pick: &SteerPick,
    ) -> Result<Option<SendPermit>, NoPermit> {
        // Each attempt needs a permit: a box does not learn in time how many requests the others send, and
        // boxes that each kept to the limit on their own together exceeded it many times over.
        let Some(rate) = pick.limit else {
            return Ok(None);
        };
        let permits = &self.context.permits;
        permits.acquire(&self.context, pick, rate, &mut self.coordinator_wait).await.map(Some)
    }

    /// Checks the request's access again if the configuration has changed since the last check.
    ///
    /// # Errors
    /// Returns the reason if the current configuration does not allow the request.
    pub(super) fn recheck_access(&mut self) -> Result<(), AccessRevoked> {
        let Some(config) = self.context.config() else {
            return Ok(());
        };
        if Arc::ptr_eq(&config, &self.plan.config) {
            return Ok(());
        }
        let path = self.outgoing.target.split('?').next().unwrap_or_default();
        let Some(route) = config.find(&self.plan.route.host, path) else {
            return Err(AccessRevoked::RouteRemoved);
        };
        match config.authorize(route, self.plan.key) {
            AccessDecision::Allowed(customer) => {
                let own_homes = route.home_regions_for(customer.as_deref());
                self.plan.homes =
                    common_homes(self.plan.homes_of_peer.as_ref(), own_homes.as_ref());
                self.plan.rank = route.priority_for(customer.as_deref());
                self.plan.customer = customer;
            }
            AccessDecision::Denied(reason) => return Err(AccessRevoked::Denied(reason)),
        }
        self.plan.config = config;
        Ok(())
    }
}
