//! Reports between boxes of what each one observed in its own traffic: passive health samples of targets, crash
//! records, and numbers of retries.
//!
//! The full-report peers of the own data centre receive all samples, the other local boxes only the important
//! ones. A box sends those also to a few relays in each other data centre, which relay them to the other boxes
//! there.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::mechanism::Mechanism;
use wingbridge_decide::steer::relay::RELAYS;
use wingbridge_decide::steer::{OpenAge, PeerSample};
use wingbridge_decide::{TargetKey, TimePoint};
use wingbridge_wire::gossip::{
    CrashRecord, DatagramBody, OpenAttempt, PassiveSample, PassiveSamples, ServiceCounts, UpdateId,
};

use super::Gossip;
use crate::context::{ObservedBy, lock, log_replaced, log_suspicion, millis};
use crate::limit_reports::merge_limit;
use crate::notices::merge_draining;
use crate::passive_samples::Urgency;

/// Time for which samples of successes are collected before they are sent.
const BATCH_TIME: Duration = Duration::from_millis(25);
/// Maximum number of samples in one datagram. With these it fits into 1,400 bytes.
const MAX_SAMPLES: usize = 40;
/// Maximum number of crash records in one datagram. A record with one or two targets takes 40 bytes.
const MAX_CRASHES: usize = 8;

impl Gossip {
    /// Sends reports whenever `wakeups` yields, until that channel is closed.
    pub(crate) async fn run_reports(self: Arc<Self>, wakeups: Receiver<Urgency>) {
        while let Ok(mut urgency) = wakeups.recv().await {
            let started_at = Instant::now();
            while urgency == Urgency::Soon {
                let remaining = BATCH_TIME.saturating_sub(started_at.elapsed());
                match async_std::future::timeout(remaining, wakeups.recv()).await {
                    Ok(Ok(next)) => urgency = next,
                    Ok(Err(_)) => return,
                    Err(_) => break,
                }
            }
            self.send_reports().await;
        }
    }

    /// Sends all that is pending.
    async fn send_reports(&self) {
        let pending = self.context.passive_samples.take();
        let crashes = self.context.crashes.take_unreported();
        let samples: Vec<PassiveSample> = {
            let now = self.context.now();
            let core = self.context.core();
            let with_open = |sample: &PassiveSample| {
                let (open, ages) = core.open_attempts_at(TargetKey(sample.target));
                let informative = ages.iter().map(|age| encode_age(now, age)).collect();
                PassiveSample { open_plus_one: open + 1, informative, ..sample.clone() }
            };
            pending.iter().map(|pending| with_open(&pending.sample)).collect()
        };
        let uses_relays = self.context.settings.mechanisms.has(Mechanism::UpdateRelays);
        let (full_report_peers, others, relays) = {
            let mut peers = self.context.peers();
            let (full_report_peers, mut others) = peers.full_report_peers();
            let relays =
                if uses_relays { peers.random_of_each_remote_centre(RELAYS) } else { Vec::new() };
            if !uses_relays {
                others.extend(peers.remote());
            }
            (full_report_peers, others, relays)
        };
        let retry_counts = self.unreported_retry_counts();
        for part in into_parts(&samples, retry_counts, &crashes) {
            self.send_samples(&full_report_peers, part).await;
        }
        let urgent = pending.iter().filter(|one| one.is_urgent).map(|one| one.sample.clone());
        let urgent: Vec<PassiveSample> = urgent.collect();
        // These have no counts of open attempts. A box that receives counts treats the report as a full one.
        for part in into_parts(&urgent, Vec::new(), &crashes) {
            if !relays.is_empty() {
                let number = self.update_count.fetch_add(1, Ordering::Relaxed) + 1;
                let update_id = UpdateId { number, relay: true, ..UpdateId::default() };
                let relayed = PassiveSamples { update_id: Some(update_id), ..part.clone() };
                self.send_samples(&relays, relayed).await;
            }
            self.send_samples(&others, part).await;
        }
    }

    /// Merges the samples of a peer, and relays them within the data centre if the peer asked for it. An update
    /// that was received before is dropped.
    pub(super) async fn on_passive_samples(
        &self,
        incarnation: u64,
        box_id: &str,
        samples: PassiveSamples,
    ) {
        let Some(id) = &samples.update_id else {
            self.merge_samples(incarnation, box_id, &samples);
            return;
        };
        let is_own = id.origin_incarnation == 0;
        let origin = if is_own { incarnation } else { id.origin_incarnation };
        let origin_id = if is_own { box_id } else { id.origin_id.as_str() };
        if origin == self.incarnation || !lock(&self.received_updates).insert(origin, id.number) {
            return;
        }
        self.merge_samples(origin, origin_id, &samples);
        if !id.relay {
            return;
        }
        let relayed_id = UpdateId {
            number: id.number,
            relay: false,
            origin_id: origin_id.to_string(),
            origin_incarnation: origin,
        };
        let local = self.context.peers().local();
        self.send_samples(&local, PassiveSamples { update_id: Some(relayed_id), ..samples }).await;
    }

    fn unreported_retry_counts(&self) -> Vec<ServiceCounts> {
        let now = self.context.now();
        let unreported = self.context.core().unreported_retry_counts(now).into_iter();
        let counts = |(service, counts): (wingbridge_decide::Name, RetryCounts)| ServiceCounts {
            service: service.to_string(),
            requests: counts.requests,
            retries: counts.retries,
            unresponsive_retries: counts.unresponsive_retries,
        };
        unreported.map(counts).collect()
    }

    fn merge_samples(&self, peer: u64, box_id: &str, samples: &PassiveSamples) {
        self.context.crashes.merge_records(&samples.crashes, box_id);
        let draining = samples.targets.iter().filter(|entry| entry.draining);
        draining.for_each(|entry| merge_draining(&self.context, TargetKey(entry.target), box_id));
        let limits = samples.targets.iter().filter_map(|entry| entry.limit.as_ref());
        limits.for_each(|limit| merge_limit(&self.context, limit, box_id));
        let now = self.context.now();
        let mut core = self.context.core();
        for entry in &samples.targets {
            if entry.replaced && core.record_replaced(TargetKey(entry.target)) {
                log_replaced(&format!("{:016x}", entry.target), box_id);
            }
            let sample = PeerSample {
                good: entry.good,
                bad: entry.bad,
                overdue: entry.overdue,
                latency_ratio: (entry.latency_permille > 0)
                    .then(|| f64::from(entry.latency_permille) / 1000.0),
                held: entry.held_plus_one.checked_sub(1),
                open: entry.open_plus_one.checked_sub(1),
                informative: entry.informative.iter().map(|open| decode_age(now, open)).collect(),
            };
            let change = core.merge_peer_sample(now, peer, TargetKey(entry.target), &sample);
            log_suspicion(change, ObservedBy::Peer);
        }
        for reported in &samples.service_counts {
            let counts = RetryCounts {
                requests: reported.requests,
                retries: reported.retries,
                unresponsive_retries: reported.unresponsive_retries,
            };
            core.merge_retry_counts(now, peer, &reported.service, counts);
        }
        let keys = samples.targets.iter().map(|entry| TargetKey(entry.target));
        self.context.waiting.offer_room(core, now, keys);
    }

    async fn send_samples(&self, hosts: &[IpAddr], samples: PassiveSamples) {
        self.send(hosts, DatagramBody::PassiveSamples(samples)).await;
    }
}

/// Divides a report into the bodies of datagrams. The first one has the retry counts.
fn into_parts(
    targets: &[PassiveSample],
    mut retry_counts: Vec<ServiceCounts>,
    crashes: &[CrashRecord],
) -> Vec<PassiveSamples> {
    let mut targets = targets.chunks(MAX_SAMPLES);
    let mut crashes = crashes.chunks(MAX_CRASHES);
    let mut parts = Vec::new();
    loop {
        let (samples, records) = (targets.next(), crashes.next());
        if samples.is_none() && records.is_none() && retry_counts.is_empty() {
            return parts;
        }
        parts.push(PassiveSamples {
            targets: samples.unwrap_or_default().to_vec(),
            service_counts: std::mem::take(&mut retry_counts),
            update_id: None,
            crashes: records.unwrap_or_default().to_vec(),
        });
    }
}

fn encode_age(now: TimePoint, age: &OpenAge) -> OpenAttempt {
    OpenAttempt {
        age_ms: short_millis(now.since(age.slot_expected_at)),
        typical_ms: short_millis(age.typical),
    }
}

fn decode_age(now: TimePoint, open: &OpenAttempt) -> OpenAge {
    OpenAge {
        slot_expected_at: now.before(Duration::from_millis(open.age_ms.into())),
        typical: Duration::from_millis(open.typical_ms.into()),
    }
}

fn short_millis(time: Duration) -> u32 {
    u32::try_from(millis(time)).unwrap_or(u32::MAX)
}
