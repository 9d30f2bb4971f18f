//! What this box saw of targets and did of retries, told to peers, and what they tell.

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

/// How long successes wait for more before they are told.
const SOON: Duration = Duration::from_millis(25);
/// PassiveSamples in one datagram at most: they fit 1,400 bytes.
const SIGHTINGS: usize = 40;
/// Requests under which targets ended in one datagram at most: of one or two targets they take 40 bytes each.
const CRASHES: usize = 8;

impl Gossip {
    /// Tells what was seen, until the ring closes.
    pub(crate) async fn run_reports(self: Arc<Self>, wishes: Receiver<Urgency>) {
        while let Ok(mut urgency) = wishes.recv().await {
            let since = Instant::now();
            while urgency == Urgency::Soon {
                let left = SOON.saturating_sub(since.elapsed());
                match async_std::future::timeout(left, wishes.recv()).await {
                    Ok(Ok(next)) => urgency = next,
                    Ok(Err(_)) => return,
                    Err(_) => break,
                }
            }
            self.send_reports().await;
        }
    }

    async fn send_reports(&self) {
        let pending = self.context.passive_samples.take();
        let crashes = self.context.crashes.take_unreported();
        let seen: Vec<PassiveSample> = {
            let now = self.context.now();
            let core = self.context.core();
            let with_open = |sighting: &PassiveSample| {
                let (open, ages) = core.open_attempts_at(TargetKey(sighting.target));
                let informative = ages.iter().map(|age| encode_age(now, age)).collect();
                PassiveSample { open_plus_one: open + 1, informative, ..sighting.clone() }
            };
            pending.iter().map(|seen| with_open(&seen.sighting)).collect()
        };
        let by_relays = self.context.settings.mechanisms.has(Mechanism::UpdateRelays);
        let (full_report_peers, others, relays) = {
            let mut peers = self.context.peers();
            let (full_report_peers, mut others) = peers.full_report_peers();
            let relays =
                if by_relays { peers.random_of_each_remote_centre(RELAYS) } else { Vec::new() };
            if !by_relays {
                others.extend(peers.remote());
            }
            (full_report_peers, others, relays)
        };
        let retry_counts = self.unreported_retry_counts();
        for told in into_parts(&seen, retry_counts, &crashes) {
            self.send_samples(&full_report_peers, told).await;
        }
        let news = pending.iter().filter(|seen| seen.is_news).map(|seen| seen.sighting.clone());
        let news: Vec<PassiveSample> = news.collect();
        // Without what is open, by which a box knows that it is told all.
        for told in into_parts(&news, Vec::new(), &crashes) {
            if !relays.is_empty() {
                let number = self.update_count.fetch_add(1, Ordering::Relaxed) + 1;
                let mark = UpdateId { number, relay: true, ..UpdateId::default() };
                let news = PassiveSamples { update_id: Some(mark), ..told.clone() };
                self.send_samples(&relays, news).await;
            }
            self.send_samples(&others, told).await;
        }
    }

    /// Takes what a peer saw, and hands it on if it is news for this data centre.
    pub(super) async fn on_passive_samples(
        &self,
        incarnation: u64,
        box_id: &str,
        told: PassiveSamples,
    ) {
        let Some(mark) = &told.update_id else {
            self.merge_samples(incarnation, box_id, &told);
            return;
        };
        let is_own = mark.origin_incarnation == 0;
        let origin = if is_own { incarnation } else { mark.origin_incarnation };
        let origin_id = if is_own { box_id } else { mark.origin_id.as_str() };
        if origin == self.incarnation || !lock(&self.received_updates).insert(origin, mark.number) {
            return;
        }
        self.merge_samples(origin, origin_id, &told);
        if !mark.relay {
            return;
        }
        let mark = UpdateId {
            number: mark.number,
            relay: false,
            origin_id: origin_id.to_string(),
            origin_incarnation: origin,
        };
        let near = self.context.peers().local();
        self.send_samples(&near, PassiveSamples { update_id: Some(mark), ..told }).await;
    }

    fn unreported_retry_counts(&self) -> Vec<ServiceCounts> {
        let now = self.context.now();
        let untold = self.context.core().unreported_retry_counts(now).into_iter();
        let counts = |(service, counts): (wingbridge_decide::Name, RetryCounts)| ServiceCounts {
            service: service.to_string(),
            requests: counts.requests,
            retries: counts.retries,
            unresponsive_retries: counts.unresponsive_retries,
        };
        untold.map(counts).collect()
    }

    fn merge_samples(&self, peer: u64, box_id: &str, sightings: &PassiveSamples) {
        self.context.crashes.merge_records(&sightings.crashes, box_id);
        let leaving = sightings.targets.iter().filter(|seen| seen.draining);
        leaving.for_each(|seen| merge_draining(&self.context, TargetKey(seen.target), box_id));
        let limits = sightings.targets.iter().filter_map(|seen| seen.limit.as_ref());
        limits.for_each(|limit| merge_limit(&self.context, limit, box_id));
        let now = self.context.now();
        let mut core = self.context.core();
        for seen in &sightings.targets {
            if seen.replaced && core.record_replaced(TargetKey(seen.target)) {
                log_replaced(&format!("{:016x}", seen.target), box_id);
            }
            let sample = PeerSample {
                good: seen.good,
                bad: seen.bad,
                overdue: seen.overdue,
                latency_ratio: (seen.latency_permille > 0)
                    .then(|| f64::from(seen.latency_permille) / 1000.0),
                held: seen.held_plus_one.checked_sub(1),
                open: seen.open_plus_one.checked_sub(1),
                informative: seen.informative.iter().map(|open| decode_age(now, open)).collect(),
            };
            let change = core.merge_peer_sample(now, peer, TargetKey(seen.target), &sample);
            log_suspicion(change, ObservedBy::Peer);
        }
        for told in &sightings.service_counts {
            let counts = RetryCounts {
                requests: told.requests,
                retries: told.retries,
                unresponsive_retries: told.unresponsive_retries,
            };
            core.merge_retry_counts(now, peer, &told.service, counts);
        }
    }

    async fn send_samples(&self, hosts: &[IpAddr], sightings: PassiveSamples) {
        self.send(hosts, DatagramBody::PassiveSamples(sightings)).await;
    }
}

/// Divides what is told into datagrams.
fn into_parts(
    targets: &[PassiveSample],
    mut retry_counts: Vec<ServiceCounts>,
    crashes: &[CrashRecord],
) -> Vec<PassiveSamples> {
    let mut targets = targets.chunks(SIGHTINGS);
    let mut crashes = crashes.chunks(CRASHES);
    let mut parts = Vec::new();
    loop {
        let (seen, ended) = (targets.next(), crashes.next());
        if seen.is_none() && ended.is_none() && retry_counts.is_empty() {
            return parts;
        }
        parts.push(PassiveSamples {
            targets: seen.unwrap_or_default().to_vec(),
            service_counts: std::mem::take(&mut retry_counts),
            update_id: None,
            crashes: ended.unwrap_or_default().to_vec(),
        });
    }
}

fn encode_age(now: TimePoint, age: &OpenAge) -> OpenAttempt {
    OpenAttempt {
        age_ms: short_millis(now.since(age.since)),
        typical_ms: short_millis(age.typical),
    }
}

fn decode_age(now: TimePoint, open: &OpenAttempt) -> OpenAge {
    OpenAge {
        since: now.before(Duration::from_millis(open.age_ms.into())),
        typical: Duration::from_millis(open.typical_ms.into()),
    }
}

fn short_millis(time: Duration) -> u32 {
    u32::try_from(millis(time)).unwrap_or(u32::MAX)
}
