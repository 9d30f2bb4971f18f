//! Datagrams between boxes: signs of life, the age of views, and what was seen of targets.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::net::UdpSocket;
use async_std::task;
use prost::Message;
use wingbridge_decide::steer::ledger::RetryTally;
use wingbridge_decide::steer::{OpenAge, PeerSample};
use wingbridge_decide::{TargetKey, TimePoint};
use wingbridge_wire::gossip::{
    Beacon, Datagram, DatagramBody, OpenAttempt, Sighting, Sightings, Tally, ViewMark,
};

use crate::context::{BoxContext, log_replaced, millis, note_suspicion};
use crate::peers::PeerNote;
use crate::sightings::Urgency;
use crate::view_exchange::{fetch_targets, view_mark};

/// Time between two beacons to the own data centre.
const NEAR_PERIOD: Duration = Duration::from_secs(1);
/// Beacons between two that go to another data centre and list peers: bytes across have a price.
const FAR_EVERY: u32 = 4;
/// Peers that such a beacon lists, and those that one within the data centre lists.
const FAR_LISTED: usize = 6;
const NEAR_LISTED: usize = 12;
/// Time between two questions to seeds while no peer is known.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);
/// A box that knows others, but none of its data centre, asks seeds as often for this long:
/// seeds are told some seconds late.
const NEAR_SEARCH_TIME: Duration = Duration::from_secs(8);
/// How long successes wait for more before they are told.
const SOON: Duration = Duration::from_millis(25);
/// Longest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 4096;
/// Sightings in one datagram at most: they fit 1,400 bytes.
const SIGHTINGS: usize = 40;
/// Boxes that are told at once that this one has a configuration from a peer: most will have
/// been told by the reader and wait for their turn there.
const TOLD_OF_CONFIG: usize = 4;
/// Wait after a failed read of the socket.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// The box that told something.
struct PeerSource<'a> {
    incarnation: u64,
    box_id: &'a str,
    /// Whether it is of the own data centre.
    near: bool,
}

/// Sends and takes datagrams.
pub(crate) struct GossipDuty {
    context: Arc<BoxContext>,
    socket: UdpSocket,
    incarnation: u64,
    fetching: async_channel::Sender<IpAddr>,
}

impl GossipDuty {
    /// A duty over `socket`; peers with newer targets are named to `fetching`.
    pub(crate) fn new(
        context: Arc<BoxContext>,
        socket: UdpSocket,
        incarnation: u64,
        fetching: async_channel::Sender<IpAddr>,
    ) -> Arc<GossipDuty> {
        Arc::new(GossipDuty { context, socket, incarnation, fetching })
    }

    /// Takes datagrams, until the task is dropped.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(reason:% = error; "datagram-not-read");
                    task::sleep(READ_PAUSE).await;
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.take(from.ip(), datagram).await,
                Err(error) => {
                    log::warn!(peer:% = from.ip(), reason:% = error; "datagram-malformed")
                }
            }
        }
    }

    /// Sends signs of life, until the task is dropped.
    pub(crate) async fn beat(self: Arc<Self>) {
        let started = Instant::now();
        let mut round: u32 = 0;
        loop {
            // One box of another data centre is no use for what boxes of one share, and it
            // may be all that is heard at first: the search goes on for a while.
            let alone = self.context.peers().near().is_empty();
            let lonely = self.context.peers().boxes() == 1;
            if lonely || (alone && started.elapsed() < NEAR_SEARCH_TIME) {
                self.search().await;
                task::sleep(SEARCH_PERIOD).await;
                continue;
            }
            round = round.wrapping_add(1);
            self.beat_once(round).await;
            task::sleep(NEAR_PERIOD).await;
        }
    }

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

    /// Tells the own data centre how new the view is.
    pub(crate) async fn tell_mark(&self) {
        let near = self.context.peers().near();
        self.send_beacon(&near, Beacon { mark: self.mark(), ..Beacon::default() }).await;
    }

    /// Tells some boxes of the own data centre, so that they know one more whom to ask.
    pub(crate) async fn tell_mark_to_some(&self) {
        let some = self.context.peers().some_near(TOLD_OF_CONFIG);
        self.send_beacon(&some, Beacon { mark: self.mark(), ..Beacon::default() }).await;
    }

    /// Tells everybody that this box ends.
    pub(crate) async fn tell_leaving(&self) {
        let mut all = self.context.peers().near();
        all.extend(self.context.peers().far());
        self.send_beacon(&all, Beacon { leaving: true, ..Beacon::default() }).await;
    }

    /// Asks the boxes at `hosts` whom they know.
    pub(crate) async fn ask(&self, hosts: &[IpAddr]) {
        let beacon = Beacon { asks: true, mark: self.mark(), ..Beacon::default() };
        self.send_beacon(hosts, beacon).await;
    }

    /// Asks a box of another data centre how new its view is.
    pub(crate) async fn ask_far(&self) {
        let far = self.context.peers().some_far();
        self.ask(far.as_slice()).await;
    }

    async fn search(&self) {
        let own = self.context.settings.host();
        let seeds = self.context.settings.seeds.iter().copied().filter(|seed| *seed != own);
        let mut hosts: Vec<IpAddr> = seeds.collect();
        hosts.extend(self.context.peers().some_far());
        self.ask(&hosts).await;
    }

    async fn beat_once(&self, round: u32) {
        let now = Instant::now();
        let (near, far, listed, gone) = {
            let mut peers = self.context.peers();
            let gone = peers.drop_silent(now);
            let far = if round.is_multiple_of(FAR_EVERY) { peers.some_far() } else { None };
            let listed = peers.listed(now, NEAR_LISTED);
            (peers.near(), far, listed, gone)
        };
        for box_id in gone {
            log::info!(peer = box_id.as_str(); "peer-lost");
        }
        self.note_boxes();
        let told = listed.iter().take(FAR_LISTED).cloned().collect();
        let beacon = Beacon { mark: self.mark(), peers: listed, ..Beacon::default() };
        self.send_beacon(&near, beacon).await;
        if let Some(far) = far {
            let beacon = Beacon { asks: true, mark: self.mark(), peers: told, ..Beacon::default() };
            self.send_beacon(&[far], beacon).await;
        }
    }

    fn note_boxes(&self) {
        let (near, all) = {
            let peers = self.context.peers();
            (peers.near().len() + 1, peers.boxes())
        };
        self.context.core().set_boxes(near, all);
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
        let (near, far) = {
            let peers = self.context.peers();
            (peers.near(), peers.far())
        };
        let mut tallies = self.untold_tallies();
        for part in seen.chunks(SIGHTINGS) {
            let tallies = std::mem::take(&mut tallies);
            self.send_sightings(&near, Sightings { targets: part.to_vec(), tallies }).await;
        }
        if !tallies.is_empty() {
            self.send_sightings(&near, Sightings { targets: Vec::new(), tallies }).await;
        }
        let news = pending.iter().filter(|seen| seen.is_news).map(|seen| seen.sighting.clone());
        let news: Vec<Sighting> = news.collect();
        for part in news.chunks(SIGHTINGS) {
            let sightings = Sightings { targets: part.to_vec(), tallies: Vec::new() };
            self.send_sightings(&far, sightings).await;
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

    async fn take(&self, from: IpAddr, datagram: Datagram) {
        let now = Instant::now();
        let Datagram { box_id, data_centre, incarnation, body, link_mbps } = datagram;
        let note = PeerNote {
            host: from,
            box_id: &box_id,
            data_centre: &data_centre,
            incarnation,
            link_mbps,
            heard: now,
        };
        let new = self.context.peers().note_alive(note);
        if new {
            log::info!(peer = box_id.as_str(), data_centre = data_centre.as_str(); "peer-found");
            self.note_boxes();
        }
        match body {
            Some(DatagramBody::Beacon(beacon)) => self.take_beacon(from, now, beacon).await,
            Some(DatagramBody::Sightings(sightings)) => {
                let near = self.context.peers().is_near(from);
                self.take_sightings(PeerSource { incarnation, box_id: &box_id, near }, &sightings)
            }
            None => {}
        }
    }

    async fn take_beacon(&self, from: IpAddr, now: Instant, beacon: Beacon) {
        if beacon.leaving {
            self.context.peers().note_leaving(from);
            return;
        }
        let found: Vec<IpAddr> = {
            let mut peers = self.context.peers();
            let near = peers.near();
            for told in &beacon.peers {
                peers.note_told(now, told);
            }
            peers.near().into_iter().filter(|host| !near.contains(host)).collect()
        };
        if !found.is_empty() {
            // They learn of this box by it.
            self.send_beacon(&found, Beacon { mark: self.mark(), ..Beacon::default() }).await;
        }
        if beacon.asks {
            let listed = {
                let mut peers = self.context.peers();
                let most = if peers.is_near(from) { NEAR_LISTED } else { FAR_LISTED };
                peers.listed(now, most)
            };
            let answer = Beacon { mark: self.mark(), peers: listed, ..Beacon::default() };
            self.send_beacon(&[from], answer).await;
        }
        if let Some(mark) = beacon.mark {
            self.compare_view(from, now, mark);
        }
    }

    /// Takes a peer's word that what is known is still right, or has what is newer fetched.
    fn compare_view(&self, from: IpAddr, now: Instant, mark: ViewMark) {
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        let (Some(as_of), Some(config_as_of)) = (before(mark.age_ms), before(mark.config_age_ms))
        else {
            return;
        };
        let held = {
            let mut known = self.context.view();
            known.confirm_config(mark.config_revision, config_as_of);
            known.config_revision()
        };
        if mark.config_revision > held {
            self.note_newer(from, mark.config_revision, held);
        }
        let mut known = self.context.view();
        let newer = known.as_of().is_none_or(|held| as_of > held);
        if mark.revision < known.revision() || !newer {
            return;
        }
        if mark.digest == known.digest() {
            known.confirm(mark.revision, as_of);
            // Full: a notice already waits.
            let _ = self.context.view_changed.try_send(());
            return;
        }
        // Full: one is being fetched, and the next beacon asks again.
        let _ = self.fetching.try_send(from);
    }

    fn note_newer(&self, from: IpAddr, revision: u64, held: u64) {
        let is_near = self.context.peers().is_near(from);
        if self.context.newer_config().note(from, is_near, revision, held) {
            log::info!(peer:% = from, config_revision = revision, held; "configuration-heard-of");
        }
        // Full: a notice already waits.
        let _ = self.context.newer_heard.try_send(());
    }

    fn take_sightings(&self, from: PeerSource<'_>, sightings: &Sightings) {
        let PeerSource { incarnation: peer, box_id, near } = from;
        let now = self.context.now();
        let mut core = self.context.core();
        for seen in &sightings.targets {
            if seen.replaced && core.note_replaced(TargetKey(seen.target)) {
                log_replaced(&format!("{:016x}", seen.target), box_id);
            }
            let sample = PeerSample {
                near,
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

    fn mark(&self) -> Option<ViewMark> {
        view_mark(&self.context.view())
    }

    async fn send_beacon(&self, hosts: &[IpAddr], beacon: Beacon) {
        self.send(hosts, DatagramBody::Beacon(beacon)).await;
    }

    async fn send_sightings(&self, hosts: &[IpAddr], sightings: Sightings) {
        self.send(hosts, DatagramBody::Sightings(sightings)).await;
    }

    async fn send(&self, hosts: &[IpAddr], body: DatagramBody) {
        let settings = &self.context.settings;
        let datagram = Datagram {
            box_id: settings.box_id.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.incarnation,
            body: Some(body),
            link_mbps: settings.link_mbps,
        };
        let bytes = datagram.encode_to_vec();
        for host in hosts {
            let address = SocketAddr::new(*host, settings.gossip_port);
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                // A datagram may be lost anyway; the next one tells the same.
                log::debug!(peer:% = host, reason:% = error; "datagram-not-sent");
            }
        }
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

/// Fetches listings of targets from the peers that are named, one at a time, until the ring
/// closes. Configurations have a task of their own, so that no listing waits for one.
pub(crate) async fn fetch_listings(context: Arc<BoxContext>, named: Receiver<IpAddr>) {
    while let Ok(host) = named.recv().await {
        fetch_targets(&context, host).await;
    }
}
