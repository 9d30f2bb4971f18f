//! A peer that takes part in the gossip of one box.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use prost::Message;
use wingbridge_wire::gossip::{Datagram, DatagramBody, Heartbeat};

use super::{BoxUnderTest, GOSSIP, own_host};

/// A peer that receives the datagrams of a box.
pub struct PeerStandin {
    socket: UdpSocket,
}

impl PeerStandin {
    /// Starts a peer and waits until `gateway` knows it.
    pub fn known_to(gateway: &BoxUnderTest) -> PeerStandin {
        let socket = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
        let peer = PeerStandin { socket };
        peer.send(
            gateway,
            DatagramBody::Heartbeat(Heartbeat { wants_reply: true, ..Heartbeat::default() }),
        );
        peer.receive(|body| matches!(body, DatagramBody::Heartbeat(_)).then_some(()));
        peer
    }

    /// Sends a datagram to the box.
    pub fn send(&self, gateway: &BoxUnderTest, body: DatagramBody) {
        let datagram = Datagram {
            box_id: "peer".into(),
            data_centre: "centre".into(),
            incarnation: 1,
            body: Some(body),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    }

    /// Receives datagrams until `wanted` accepts one.
    pub fn receive<T>(&self, wanted: impl Fn(DatagramBody) -> Option<T>) -> T {
        self.socket.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid time");
        let mut buffer = [0; 4096];
        loop {
            let length = self.socket.recv(&mut buffer).expect("the datagram arrives in time");
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
            if let Some(found) = datagram.body.and_then(&wanted) {
                return found;
            }
        }
    }

    /// Returns what `wanted` accepts of the datagrams that arrive within `time`.
    pub fn receive_for<T>(
        &self,
        time: Duration,
        wanted: impl Fn(DatagramBody) -> Option<T>,
    ) -> Vec<T> {
        let until = Instant::now() + time;
        let mut buffer = [0; 4096];
        let mut found = Vec::new();
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return found;
            }
            self.socket.set_read_timeout(Some(remaining)).expect("a valid time");
            // The time is over without a further datagram.
            let Ok(length) = self.socket.recv(&mut buffer) else { return found };
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
            found.extend(datagram.body.and_then(&wanted));
        }
    }
}
