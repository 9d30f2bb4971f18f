//! Proof of the fleet key, before any message is parsed.
//!
//! Each end sends 32 random bytes and then a keyed hash over its side's name and
//! both ends' bytes. So a recording is worth nothing, neither end's proof can be
//! sent back to it, and a stranger costs 64 bytes of reading and one hash. The
//! messages that follow are not encrypted: the boxes' network is taken to be
//! the operators' own (docs/DESIGN.md says what TLS between boxes would change).

use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use crate::error::{ErrorKind, WireError};

const NONCE: usize = 32;
/// Time that a peer has to prove itself.
const HANDSHAKE_TIME: Duration = Duration::from_secs(3);

/// The key that all boxes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from what operators set.
    pub fn derive(secret: &str) -> FleetKey {
        FleetKey(blake3::derive_key("wingbridge fleet key, version 1", secret.as_bytes()))
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Which end of the connection this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeSide {
    /// It connected.
    Client,
    /// It accepted.
    Server,
}

impl HandshakeSide {
    fn label(self) -> &'static [u8] {
        match self {
            HandshakeSide::Client => b"client",
            HandshakeSide::Server => b"server",
        }
    }

    fn other(self) -> HandshakeSide {
        match self {
            HandshakeSide::Client => HandshakeSide::Server,
            HandshakeSide::Server => HandshakeSide::Client,
        }
    }
}

/// Proves to the peer that this end knows `key`, and checks that the peer does.
///
/// # Errors
/// The peer does not know the key, is too slow, or the connection failed.
pub async fn prove(
    stream: &mut TcpStream,
    key: &FleetKey,
    side: HandshakeSide,
) -> Result<(), WireError> {
    let exchange = exchange_proofs(stream, key, side);
    match async_std::future::timeout(HANDSHAKE_TIME, exchange).await {
        Ok(result) => result,
        Err(_) => {
            Err(WireError::new(ErrorKind::Unauthenticated, "no proof of the fleet key in time"))
        }
    }
}

async fn exchange_proofs(
    stream: &mut TcpStream,
    key: &FleetKey,
    side: HandshakeSide,
) -> Result<(), WireError> {
    let mut own = [0; NONCE];
    getrandom::fill(&mut own)
        .map_err(|error| WireError::new(ErrorKind::Io, format!("no random bytes: {error}")))?;
    stream.write_all(&own).await?;
    let mut theirs = [0; NONCE];
    stream.read_exact(&mut theirs).await?;
    stream.write_all(proof(key, side, &own, &theirs).as_bytes()).await?;
    let mut claimed = [0; blake3::OUT_LEN];
    stream.read_exact(&mut claimed).await?;
    // The comparison of two `Hash`es takes the same time wherever they differ.
    if blake3::Hash::from_bytes(claimed) != proof(key, side.other(), &theirs, &own) {
        return Err(WireError::new(
            ErrorKind::Unauthenticated,
            "the peer does not know the fleet key",
        ));
    }
    Ok(())
}

fn proof(
    key: &FleetKey,
    side: HandshakeSide,
    own: &[u8; NONCE],
    theirs: &[u8; NONCE],
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(side.label()).update(own).update(theirs);
    hasher.finalize()
}
