//! What this box saw of targets and did of retries, told to peers, and what they tell.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use wingbridge_decide::steer::ledger::RetryTally;
use wingbridge_decide::steer::{OpenAge, PeerSample};
use wingbridge_decide::{TargetKey, TimePoint};
use wingbridge_wire::gossip::{DatagramBody, OpenAttempt, Sighting, Sightings, Tally};

use super::GossipDuty;
use crate::context::{log_replaced, millis, note_suspicion};
use crate::sightings::Urgency;

/// How long successes wait for more before they are told.
const SOON: Duration = Duration::from_millis(25);
/// Sightings in one datagram at most: they fit 1,400 bytes.
const SIGHTINGS: usize = 40;

impl GossipDuty {
    /// Tells what was seen, until the ring closes.
    pub(crate) async fn tell(self: Arc<Self>, wishes: Receiver<Urgency>) {
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
            self.tell_once().await;
        }
    }

    async fn tell_once(&self) {
        let pending = self.context.sightings.take();
        let seen: Vec<Sighting> = {
            let now = self.context.now();
            let core = self.context.core();
            let with_open = |sighting: &Sighting| {
                let (open, ages) = core.open_at(TargetKey(sighting.target));
                let telling = ages.iter().map(|age| encode_age(now, age)).collect();
                Sighting { open_plus_one: open + 1, telling, ..sighting.clone() }
            };
            pending.iter().map(|seen| with_open(&seen.sighting)).collect()
        };
        let (listeners, others) = {
            let peers = self.context.peers();
            let (listeners, mut others) = peers.listeners();
            others.extend(peers.far());
            (listeners, others)
        };
        let mut tallies = self.untold_tallies();
        for part in seen.chunks(SIGHTINGS) {
            let tallies = std::mem::take(&mut tallies);
            self.send_sightings(&listeners, Sightings { targets: part.to_vec(), tallies }).await;
        }
        if !tallies.is_empty() {
            self.send_sightings(&listeners, Sightings { targets: Vec::new(), tallies }).await;
        }
        let news = pending.iter().filter(|seen| seen.is_news).map(|seen| seen.sighting.clone());
        let news: Vec<Sighting> = news.collect();
        for part in news.chunks(SIGHTINGS) {
            // Without what is open, by which a box knows that it is told all.
            let sightings = Sightings { targets: part.to_vec(), tallies: Vec::new() };
            self.send_sightings(&others, sightings).await;
        }
    }

    fn untold_tallies(&self) -> Vec<Tally> {
        let now = self.context.now();
        let untold = self.context.core().untold_tallies(now).into_iter();
        let tally = |(service, tally): (wingbridge_decide::Name, RetryTally)| Tally {
            service: service.to_string(),
            requests: tally.requests,
            retries: tally.retries,
            silent_retries: tally.silent_retries,
        };
        untold.map(tally).collect()
    }

    pub(super) fn take_sightings(&self, peer: u64, box_id: &str, sightings: &Sightings) {
        let now = self.context.now();
        let mut core = self.context.core();
        for seen in &sightings.targets {
            if seen.replaced && core.note_replaced(TargetKey(seen.target)) {
                log_replaced(&format!("{:016x}", seen.target), box_id);
            }
            let sample = PeerSample {
                good: seen.good,
                bad: seen.bad,
                overdue: seen.overdue,
                multiple: (seen.permille > 0).then(|| f64::from(seen.permille) / 1000.0),
                held: seen.held_plus_one.checked_sub(1),
                open: seen.open_plus_one.checked_sub(1),
                telling: seen.telling.iter().map(|open| decode_age(now, open)).collect(),
            };
            let change = core.take_peer(now, peer, TargetKey(seen.target), &sample);
            note_suspicion(change, box_id);
        }
        for told in &sightings.tallies {
            let tally = RetryTally {
                requests: told.requests,
                retries: told.retries,
                silent_retries: told.silent_retries,
            };
            core.take_tally(now, peer, &told.service, tally);
        }
    }

    async fn send_sightings(&self, hosts: &[IpAddr], sightings: Sightings) {
        self.send(hosts, DatagramBody::Sightings(sightings)).await;
    }
}

fn encode_age(now: TimePoint, age: &OpenAge) -> OpenAttempt {
    OpenAttempt { age_ms: short_millis(now.since(age.since)), usual_ms: short_millis(age.usual) }
}

fn decode_age(now: TimePoint, open: &OpenAttempt) -> OpenAge {
    OpenAge {
        since: now.before(Duration::from_millis(open.age_ms.into())),
        usual: Duration::from_millis(open.usual_ms.into()),
    }
}

fn short_millis(time: Duration) -> u32 {
    u32::try_from(millis(time)).unwrap_or(u32::MAX)
}
