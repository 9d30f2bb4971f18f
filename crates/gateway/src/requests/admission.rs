//! Whether a request may go on: by the configuration in force, and by the limit of the target that was
//! chosen.

use std::sync::Arc;

use wingbridge_decide::steer::SteerPick;

use super::RequestRun;
use crate::permit_manager::{NoPermit, SendPermit};
use crate::routes::AccessDecision;

/// Why a request that was let in goes no further.
#[derive(Debug, Clone, Copy)]
pub(super) enum TurnedAway {
    NoEntrance(&'static str),
    NoRoute,
}

impl RequestRun {
    /// Asks whether it may be sent to a target that has named a limit over all boxes; any other needs no
    /// permit.
    pub(super) async fn ask_permit(
        &mut self,
        pick: &SteerPick,
    ) -> Result<Option<SendPermit>, NoPermit> {
        // Each time: what one box sends by itself the others can't know in time, and boxes that kept a
        // limit each for itself sent many times it together.
        let Some(rate) = pick.limit else {
            return Ok(None);
        };
        let desk = &self.context.permits;
        desk.acquire(&self.context, pick, rate, &mut self.keeper_wait).await.map(Some)
    }

    /// Judges it by the configuration in force, if that is another one by now.
    pub(super) fn judge_again(&mut self) -> Result<(), TurnedAway> {
        let Some(config) = self.context.config() else {
            return Ok(());
        };
        if Arc::ptr_eq(&config, &self.plan.config) {
            return Ok(());
        }
        let path = self.outgoing.target.split('?').next().unwrap_or_default();
        let Some(route) = config.find(&self.plan.route.host, path) else {
            return Err(TurnedAway::NoRoute);
        };
        match config.authorize(route, self.plan.key) {
            AccessDecision::Allowed(customer) => {
                self.plan.homes = route.home_regions_for(customer.as_deref());
                self.plan.customer = customer;
            }
            AccessDecision::Denied(why) => return Err(TurnedAway::NoEntrance(why)),
        }
        self.plan.config = config;
        Ok(())
    }
}
