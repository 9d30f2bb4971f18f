//! Exchange of the load of services with other boxes, for placement between data centres.
//!
//! A box sends its own rows with its heartbeats to the peers of its subset. Two boxes of each data centre send its sums
//! to a random box of each other data centre, which passes them on to all boxes of its own. A box hears the sums of a
//! data centre from two senders, so that a lost datagram or a box that has just ended delays none by a second.

use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use wingbridge_decide::{Name, TimePoint};
use wingbridge_wire::gossip::{DatagramBody, Heartbeat};
use wingbridge_wire::overload::ServiceLoad;

use super::Gossip;
use crate::placement::budget::{own_rows_in_budget, sums_in_budget};
use crate::placement::messages::{RowSender, data_centre_rows, merge_rows, own_rows};
use crate::placement::reports::{log_change, record_reports};

/// Number of boxes of a data centre that send its sums.
const SUM_SENDERS: usize = 2;

/// Where the next round of rows begins, if not all fit into one.
#[derive(Debug, Default)]
pub(super) struct RowRounds {
    own: AtomicUsize,
    sums: AtomicUsize,
}

impl Gossip {
    /// Sends a heartbeat to the boxes of the own data centre, with the rows of this box for the peers of its subset,
    /// and the sums of the data centre to the others. Without rows it is one heartbeat to all of `local`.
    pub(super) async fn send_local_heartbeat(&self, local: &[IpAddr], heartbeat: Heartbeat) {
        if !self.context.settings.overload.places() {
            return self.send(local, DatagramBody::Heartbeat(heartbeat)).await;
        }
        let now = self.context.now();
        self.share_capacity(now, local.len() + 1);
        let returns = self.context.returns.all_told_counts(now);
        let rows = own_rows(&mut self.context.core(), now, &returns);
        if rows.is_empty() {
            self.send(local, DatagramBody::Heartbeat(heartbeat)).await;
        } else {
            let (subset, others) = self.context.peers().full_report_peers();
            let service_loads =
                rotate(&self.row_rounds.own, |next| own_rows_in_budget(rows, subset.len(), next));
            let with_rows = Heartbeat { service_loads, ..heartbeat.clone() };
            self.send(&subset, DatagramBody::Heartbeat(with_rows)).await;
            if !others.is_empty() {
                self.send(&others, DatagramBody::Heartbeat(heartbeat)).await;
            }
        }
        self.send_sums().await;
        self.report_placement();
    }

    /// Gives the returns of refused callers the capacity that the `boxes` of the data centre share.
    fn share_capacity(&self, now: TimePoint, boxes: usize) {
        if !self.context.settings.overload.sheds_load() {
            return;
        }
        let loads = self.context.core().data_centre_loads(now);
        for (service, load) in loads {
            let returns = &self.context.returns;
            returns.set_capacity(now, &service, load.sum.capacity, boxes as u32);
        }
    }

    /// Sends the sums of the own data centre to the others, if this box is one of their senders.
    async fn send_sums(&self) {
        if self.context.peers().sum_rank() >= SUM_SENDERS {
            return;
        }
        let now = self.context.now();
        let sums = data_centre_rows(&mut self.context.core(), now);
        if sums.is_empty() {
            return;
        }
        let sums = rotate(&self.row_rounds.sums, |next| sums_in_budget(sums, next));
        let hosts = self.context.peers().random_of_each_remote_centre(1);
        self.send_rows(&hosts, sums).await;
    }

    /// Merges rows that another box sent, and passes on sums of other data centres.
    pub(super) async fn on_service_loads(&self, sender: RowSender<'_>, rows: Vec<ServiceLoad>) {
        if rows.is_empty() || !self.context.settings.overload.places() {
            return;
        }
        let now = self.context.now();
        let own = &self.context.settings.data_centre;
        let merged = merge_rows(&mut self.context.core(), now, own, sender, rows);
        for row in merged.peer_rows {
            let (service, returns) = (Name::from(row.service.as_str()), &self.context.returns);
            let age = Duration::from_millis(u64::from(row.age_ms));
            returns.merge_peer_counts(now, &service, sender.incarnation, age, &row.returns);
        }
        if let Some((service, reason)) = merged.dropped {
            let data_centre = sender.data_centre;
            log::warn!(service = service.as_str(), data_centre, reason; "service-load-dropped");
        }
        if !merged.relayed.is_empty() {
            let local = self.context.peers().local();
            self.send_rows(&local, merged.relayed).await;
        }
    }

    async fn send_rows(&self, hosts: &[IpAddr], service_loads: Vec<ServiceLoad>) {
        let heartbeat = Heartbeat { service_loads, ..Heartbeat::default() };
        self.send(hosts, DatagramBody::Heartbeat(heartbeat)).await;
    }

    /// Logs at most one change of a plan, and updates the metrics.
    fn report_placement(&self) {
        let (change, reports) = {
            let mut core = self.context.core();
            (core.take_placement_change(), core.take_placement_reports())
        };
        if let Some(change) = change {
            log_change(&change);
        }
        record_reports(reports);
    }
}

fn rotate(
    round: &AtomicUsize,
    take: impl FnOnce(&mut usize) -> Vec<ServiceLoad>,
) -> Vec<ServiceLoad> {
    let mut next = round.load(Ordering::Relaxed);
    let rows = take(&mut next);
    round.store(next, Ordering::Relaxed);
    rows
}
