//! A box that has the box under test handle requests.

use std::net::{IpAddr, Shutdown, SocketAddr};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use wingbridge_wire::gossip::{ExchangeQuestion, ExchangeRequest};
use wingbridge_wire::handshake::prove;
use wingbridge_wire::relay::{RelayDecision, RelayOffer, RelayRequest, RelayResult};
use wingbridge_wire::{FleetKey, HandshakeSide, WireError, receive_exact, send_message};

use super::{EXCHANGE, READ_TIMEOUT};

/// A request that the box under test has agreed to handle.
pub struct RelayCaller {
    stream: TcpStream,
}

/// What the box under test says of a request.
#[derive(Debug)]
pub struct RelayedReply {
    pub result: RelayResult,
    /// The answer, as HTTP.
    pub answer: String,
}

impl RelayCaller {
    /// Offers a request to the box at `host`.
    ///
    /// # Errors
    /// Returns the reason if the box does not take it, or has ended.
    pub fn offer(host: IpAddr, request: &RelayRequest) -> Result<RelayCaller, String> {
        let decided = task::block_on(timeout(READ_TIMEOUT, decide(host, request)));
        let (stream, decision) =
            decided.expect("a decision in time").map_err(|error| error.to_string())?;
        match decision.declined {
            declined if declined.is_empty() => Ok(RelayCaller { stream }),
            declined => Err(declined),
        }
    }

    /// Sends bytes of the request.
    pub fn send(&mut self, text: &str) {
        task::block_on(self.stream.write_all(text.as_bytes())).expect("the box reads");
    }

    /// Asks the box to end the request and to tell what has run.
    pub fn ask_end(&self) {
        self.stream.shutdown(Shutdown::Write).expect("the connection is open");
    }

    /// Waits for what the box says of the request; `None` if it closes the connection, or says nothing in `time`.
    pub fn reply(mut self, time: Duration) -> Option<RelayedReply> {
        let reply = async {
            let result = receive_exact(&mut self.stream, 1024).await.ok()?;
            let mut answer = String::new();
            self.stream.read_to_string(&mut answer).await.ok()?;
            Some(RelayedReply { result, answer })
        };
        task::block_on(timeout(time, reply)).ok().flatten()
    }
}

async fn decide(
    host: IpAddr,
    request: &RelayRequest,
) -> Result<(TcpStream, RelayDecision), WireError> {
    let mut stream = TcpStream::connect(SocketAddr::new(host, EXCHANGE)).await?;
    let question = Some(ExchangeQuestion::Relay(RelayOffer {}));
    send_message(&stream, &ExchangeRequest { question }).await?;
    prove(&mut stream, &FleetKey::derive(""), HandshakeSide::Client).await?;
    send_message(&stream, request).await?;
    let decision = receive_exact(&mut stream, 1024).await?;
    Ok((stream, decision))
}
