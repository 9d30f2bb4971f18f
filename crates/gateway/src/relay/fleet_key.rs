//! The key by which boxes recognize each other. It is made of a secret in the store, which only boxes can read.

use std::time::{Duration, Instant};

use async_std::sync::Mutex;
use wingbridge_wire::FleetKey;

use crate::ports::{EnvironmentPort, StoreError};

/// Minimum age of the key in memory at which a failed proof has it read again. The secret is another one once the store
/// has come back from a copy of before its first write.
const MIN_REREAD_AGE: Duration = Duration::from_secs(5);

/// The fleet key, read from the store when it is first needed.
#[derive(Debug, Default)]
pub(crate) struct FleetKeyCache {
    cached: Mutex<Option<(FleetKey, Instant)>>,
}

impl FleetKeyCache {
    /// Returns the key.
    ///
    /// # Errors
    /// The key is not in memory and the store can't be read.
    pub(crate) async fn get(&self, port: &dyn EnvironmentPort) -> Result<FleetKey, StoreError> {
        let mut cached = self.cached.lock().await;
        if let Some((key, _)) = &*cached {
            return Ok(key.clone());
        }
        let key = FleetKey::derive(&port.fleet_secret().await?);
        *cached = Some((key.clone(), Instant::now()));
        Ok(key)
    }

    /// Records that a proof failed: the key is read again for the next one, unless it was read moments ago.
    pub(crate) async fn record_failed_proof(&self) {
        let mut cached = self.cached.lock().await;
        cached.take_if(|(_, read_at)| read_at.elapsed() >= MIN_REREAD_AGE);
    }
}
