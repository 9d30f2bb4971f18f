//! Mutual authentication with the fleet key, before any message is parsed.
//!
//! Each end sends 32 random bytes and then a keyed hash over the name of its side and the random bytes of
//! both ends. A recorded handshake therefore cannot be replayed, a proof cannot be reflected to its sender,
//! and an unauthenticated peer costs 64 bytes of reading and one hash. The messages that follow are not
//! encrypted, since the network between boxes is assumed to be the operators' own (docs/DESIGN.md
//! describes what TLS between boxes would change).

use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use crate::error::{ErrorKind, WireError};

const NONCE_BYTES: usize = 32;
/// Time within which a peer must complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The secret key that all boxes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from the secret in the operators' settings.
    pub fn derive(secret: &str) -> FleetKey {
        FleetKey(blake3::derive_key("wingbridge fleet key, version 1", secret.as_bytes()))
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// The side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeSide {
    /// The end that opened the connection.
    Client,
    /// The end that accepted the connection.
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

/// Proves to the peer that this end has `key`, and verifies the same proof of the peer.
///
/// # Errors
/// Returns an error if the peer does not have the key or sends no proof in time, or if the connection fails.
pub async fn prove(
    stream: &mut TcpStream,
    key: &FleetKey,
    side: HandshakeSide,
) -> Result<(), WireError> {
    let exchange = exchange_proofs(stream, key, side);
    match async_std::future::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(WireError::new(
            ErrorKind::Unauthenticated,
            "the peer sent no proof of the fleet key in time",
        )),
    }
}

async fn exchange_proofs(
    stream: &mut TcpStream,
    key: &FleetKey,
    side: HandshakeSide,
) -> Result<(), WireError> {
    let mut own_nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut own_nonce).map_err(|error| {
        WireError::new(ErrorKind::Io, format!("cannot generate a nonce: {error}"))
    })?;
    stream.write_all(&own_nonce).await?;
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    stream.write_all(proof(key, side, &own_nonce, &peer_nonce).as_bytes()).await?;
    let mut peer_proof = [0; blake3::OUT_LEN];
    stream.read_exact(&mut peer_proof).await?;
    // `Hash` compares in constant time.
    if blake3::Hash::from_bytes(peer_proof) != proof(key, side.other(), &peer_nonce, &own_nonce) {
        return Err(WireError::new(
            ErrorKind::Unauthenticated,
            "the peer does not have the fleet key",
        ));
    }
    Ok(())
}

fn proof(
    key: &FleetKey,
    side: HandshakeSide,
    own_nonce: &[u8; NONCE_BYTES],
    peer_nonce: &[u8; NONCE_BYTES],
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(side.label()).update(own_nonce).update(peer_nonce);
    hasher.finalize()
}
