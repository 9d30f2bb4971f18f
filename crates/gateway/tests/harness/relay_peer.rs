//! A peer that handles requests for a box by a script.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use prost::Message;
use wingbridge_wire::gossip::{Datagram, DatagramBody, ExchangeRequest, Heartbeat};
use wingbridge_wire::handshake::prove;
use wingbridge_wire::paths::PathStatement;
use wingbridge_wire::relay::{RelayDecision, RelayOutcome, RelayRequest, RelayResult};
use wingbridge_wire::{FleetKey, HandshakeSide, WireError, receive_exact, send_message};

use super::{EXCHANGE, GOSSIP, lock};

/// What the peer does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayScript {
    /// Answers it with the status 200.
    Answers,
    /// Does not take it.
    Declines,
    /// Takes it, reads it and closes the connection.
    ClosesAfterRequest,
    /// Takes it, reads it and says nothing until the box closes.
    Holds,
    /// Takes it, reads it and says nothing, whatever the box does.
    Hangs,
    /// Takes it and tells that nothing has run once it is asked to end it.
    NotBegunAtEnd,
    /// Takes it and tells that a target has it once it is asked to end it.
    BegunAtEnd,
    /// Sends the part of a successful answer that the path tells, `/SERVICE/BYTES/RESET/`, and closes, or resets.
    CutsAnswer,
    /// Answers that it reached no target.
    ReachesNoTarget,
    /// Has another fleet key.
    OtherKey,
    /// Sends nothing.
    Silent,
}

/// A request that the peer was offered.
#[derive(Debug, Clone)]
pub struct OfferedRequest {
    pub offered: RelayRequest,
    /// The head and the beginning of the body, if the peer took it.
    pub beginning: Vec<u8>,
}

/// A peer that states contacts with targets and handles requests by a script.
pub struct RelayPeer {
    /// Number of connections on which a box began an offer.
    offers: Arc<AtomicUsize>,
    /// Number of datagrams from boxes.
    datagrams: Arc<AtomicUsize>,
    received: Arc<Mutex<Vec<OfferedRequest>>>,
}

impl RelayPeer {
    /// Starts a peer at `host` that makes itself known to the box at `known_to`.
    pub fn start(host: IpAddr, known_to: IpAddr, script: RelayScript) -> RelayPeer {
        let socket = UdpSocket::bind(SocketAddr::new(host, GOSSIP)).expect("the address is free");
        let sending = socket.try_clone().expect("a socket can be shared");
        thread::spawn(move || {
            let address = SocketAddr::new(known_to, GOSSIP);
            // The box may end before the test does.
            let heartbeat = datagram(host, DatagramBody::Heartbeat(Heartbeat::default()));
            while sending.send_to(&heartbeat, address).is_ok() {
                thread::sleep(Duration::from_millis(200));
            }
        });
        let datagrams = Arc::new(AtomicUsize::new(0));
        let heard = Arc::clone(&datagrams);
        thread::spawn(move || state_contacts(host, &socket, &heard));
        let listener = task::block_on(TcpListener::bind(SocketAddr::new(host, EXCHANGE)));
        let listener = listener.expect("the address is free");
        let received = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&received);
        let offers = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&offers);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The box closes connections that it has no use for.
                let _ = serve(stream, script, &counted, &recorded).await;
            }
        });
        RelayPeer { offers, datagrams, received }
    }

    /// Returns the number of datagrams that boxes have sent. A box sends none before it knows the peer.
    pub fn datagrams(&self) -> usize {
        self.datagrams.load(Ordering::Acquire)
    }

    /// Returns the number of offers that boxes began.
    pub fn offers(&self) -> usize {
        self.offers.load(Ordering::Acquire)
    }

    /// Returns the bytes of the answer that [`RelayScript::CutsAnswer`] cuts: the result, which a length precedes, and
    /// the answer itself.
    pub fn cut_answer_bytes() -> Vec<u8> {
        let outcome = RelayOutcome::Answered.into();
        let result = RelayResult { outcome, possible_runs: 1, deliveries: 1 }.encode_to_vec();
        let length = u32::try_from(result.len()).expect("a short message").to_be_bytes();
        let answer =
            b"HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nhello";
        [&length[..], &result, answer].concat()
    }

    /// Returns the requests that the peer was offered.
    pub fn received(&self) -> Vec<OfferedRequest> {
        lock(&self.received).clone()
    }
}

fn datagram(host: IpAddr, body: DatagramBody) -> Vec<u8> {
    let (box_id, data_centre) = (format!("peer-{host}"), "centre".into());
    // Each peer has an address, and so an incarnation, of its own.
    let incarnation = match host {
        IpAddr::V4(host) => u32::from(host).into(),
        IpAddr::V6(_) => 1,
    };
    Datagram { box_id, data_centre, incarnation, body: Some(body), link_mbps: 0 }.encode_to_vec()
}

fn state_contacts(host: IpAddr, socket: &UdpSocket, heard: &AtomicUsize) {
    let mut buffer = [0; 4096];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        heard.fetch_add(1, Ordering::AcqRel);
        let Ok(Datagram { body: Some(DatagramBody::PathQuestion(question)), .. }) =
            Datagram::decode(&buffer[..length])
        else {
            continue;
        };
        let statement = PathStatement {
            service: question.service,
            run: question.run,
            contacts: 20,
            ..PathStatement::default()
        };
        // A statement that is lost is asked for again.
        let _ = socket.send_to(&datagram(host, DatagramBody::PathStatement(statement)), from);
    }
}

async fn serve(
    mut stream: TcpStream,
    script: RelayScript,
    offers: &AtomicUsize,
    received: &Mutex<Vec<OfferedRequest>>,
) -> Result<(), WireError> {
    let _offer: ExchangeRequest = receive_exact(&mut stream, 1024).await?;
    offers.fetch_add(1, Ordering::AcqRel);
    if script == RelayScript::Silent {
        task::sleep(Duration::from_secs(5)).await;
    }
    let secret = if script == RelayScript::OtherKey { "another" } else { "" };
    prove(&mut stream, &FleetKey::derive(secret), HandshakeSide::Server).await?;
    let offered: RelayRequest = receive_exact(&mut stream, 64 * 1024).await?;
    let path = offered.path.clone();
    lock(received).push(OfferedRequest { offered, beginning: Vec::new() });
    if script == RelayScript::Declines {
        return send_message(&stream, &RelayDecision { declined: "not now".into() }).await;
    }
    send_message(&stream, &RelayDecision::default()).await?;
    // A connection that is closed before everything was read is reset.
    let resets = script == RelayScript::CutsAnswer && path.split('/').nth(3) == Some("true");
    let mut beginning = vec![0; if resets { 1 } else { 4096 }];
    let length = stream.read(&mut beginning).await?;
    beginning.truncate(length);
    if let Some(last) = lock(received).last_mut() {
        last.beginning = beginning;
    }
    if script == RelayScript::CutsAnswer {
        let length = path.split('/').nth(2).and_then(|text| text.parse().ok());
        let length: usize = length.expect("the path tells a length");
        stream.write_all(&RelayPeer::cut_answer_bytes()[..length]).await?;
        return Ok(());
    }
    if script == RelayScript::Hangs {
        task::sleep(Duration::from_secs(5)).await;
    }
    if matches!(script, RelayScript::Holds | RelayScript::NotBegunAtEnd | RelayScript::BegunAtEnd) {
        // The reading ends when the box closes, or asks for the end.
        while stream.read(&mut [0; 16]).await? > 0 {}
    }
    let (outcome, runs, head) = match script {
        RelayScript::ReachesNoTarget | RelayScript::NotBegunAtEnd => {
            (RelayOutcome::NotRun, 0, "HTTP/1.1 503 Unavailable\r\nRetry-After: 0.5\r\n")
        }
        RelayScript::BegunAtEnd => (RelayOutcome::Unknown, 1, "HTTP/1.1 502 Unknown\r\n"),
        RelayScript::Answers => (RelayOutcome::Answered, 1, "HTTP/1.1 200 Fine\r\n"),
        _ => return Ok(()),
    };
    let result = RelayResult { outcome: outcome.into(), possible_runs: runs, deliveries: runs };
    send_message(&stream, &result).await?;
    stream.write_all(format!("{head}Content-Length: 5\r\n\r\nhello").as_bytes()).await?;
    Ok(())
}
