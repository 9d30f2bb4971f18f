//! The key by which boxes recognize each other. It is made of a secret in the store, which only boxes can read.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use wingbridge_wire::{ErrorKind, FleetKey, WireError};

use crate::context::lock;
use crate::ports::EnvironmentPort;

/// Minimum age of the key in memory at which a failed proof has it read again. The secret is another one once the store
/// has come back from a copy of before its first write.
const MIN_REREAD_AGE: Duration = Duration::from_secs(5);

/// The fleet key: read with everything else when the box starts, or when it is first needed.
#[derive(Debug, Default)]
pub(crate) struct FleetKeyCache {
    cached: Mutex<Option<(FleetKey, Instant)>>,
}

impl FleetKeyCache {
    /// Returns the key.
    ///
    /// # Errors
    /// The key is not in memory and the store can't be read.
    pub(crate) async fn get(&self, port: &dyn EnvironmentPort) -> Result<FleetKey, WireError> {
        let known = lock(&self.cached).as_ref().map(|(key, _)| key.clone());
        if let Some(key) = known {
            return Ok(key);
        }
        let unreadable =
            |error| WireError::new(ErrorKind::Io, format!("the fleet key can't be read: {error}"));
        let secret = port.fleet_secret().await.map_err(unreadable)?;
        Ok(self.set(&secret))
    }

    /// Takes over the secret of a reading, and returns the key.
    pub(crate) fn set(&self, secret: &str) -> FleetKey {
        let key = FleetKey::derive(secret);
        *lock(&self.cached) = Some((key.clone(), Instant::now()));
        key
    }

    /// Records that a proof failed: the key is read again for the next one, unless it was read moments ago.
    pub(crate) fn record_failed_proof(&self) {
        lock(&self.cached).take_if(|(_, read_at)| read_at.elapsed() >= MIN_REREAD_AGE);
    }
}
