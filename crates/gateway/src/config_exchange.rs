//! Transfer of configurations between boxes, as deltas against the revision that the receiver holds.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use prost::Message;
use wingbridge_wire::gossip::{ConfigDelta, ConfigReply, ConfigRequest, ExchangeQuestion};
use wingbridge_wire::{ErrorKind, WireError, send_message};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::{BoxContext, millis};
use crate::store_revision::{ConfigId, StoreRevision};
use crate::text_patch::apply_patch;
use crate::view::ConfigText;
use crate::view_exchange::query_peer;

/// Outcome of requesting the configuration from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConfigFetch {
    /// The configuration was received and applied.
    Applied,
    /// All transfer slots of the peer are in use; these other peers have the configuration.
    Busy(Vec<IpAddr>),
    /// The peer has no newer configuration, was unreachable, or sent an invalid reply.
    Failed,
}

/// Fetches the configuration from the peer at `host` and applies it.
pub(crate) async fn fetch_config(context: &BoxContext, host: IpAddr) -> ConfigFetch {
    let started_at = Instant::now();
    let sample = context.clock_sample();
    let held = context.view().config_text().cloned();
    let question = ExchangeQuestion::Config(config_request(context.view().config_id()));
    let time_limit = context.budget.config_fetch_timeout();
    let reply: ConfigReply = match query_peer(context, host, question, time_limit).await {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!(peer:% = host, reason:% = error; "configuration-not-fetched");
            return ConfigFetch::Failed;
        }
    };
    if reply.busy {
        let seeders = reply.seeders.iter().filter_map(|host| host.parse().ok());
        return ConfigFetch::Busy(seeders.collect());
    }
    let as_of = Instant::now().checked_sub(Duration::from_millis(reply.age_ms));
    let as_of = as_of.map(|as_of| context.correct(&sample, as_of));
    let (Some(as_of), false) = (as_of, reply.deltas.is_empty()) else {
        log::info!(peer:% = host, revision = reply.revision, era = reply.era; "configuration-not-newer");
        return ConfigFetch::Failed;
    };
    match apply_deltas(held.as_ref(), &reply.deltas) {
        Ok(text) => {
            log::info!(
                peer:% = host, revision:% = text.revision, era = text.revision.era,
                from = reply.deltas[0].from,
                bytes = reply.encoded_len(), text_bytes = text.text.len(),
                taken_ms = millis(started_at.elapsed());
                "configuration-fetched"
            );
            context.apply_config(text, reply.deltas, as_of, "peer");
            ConfigFetch::Applied
        }
        Err(reason) => {
            log::warn!(peer:% = host, reason; "configuration-not-fetched");
            ConfigFetch::Failed
        }
    }
}

/// Sends a peer the deltas from the configuration that it holds to the one held here.
pub(crate) async fn serve_config(
    stream: &TcpStream,
    peer: IpAddr,
    context: &BoxContext,
    request: ConfigRequest,
) -> Result<(), WireError> {
    let age_ms = context.config_age().map_or(0, millis);
    let source = context.config_source.reply(request, age_ms);
    let timed_out =
        |_| WireError::new(ErrorKind::Io, "timed out sending the configuration to a peer");
    // The requesting peer has the same time limit. A shorter one here would discard transfers that
    // are nearly complete.
    let time_limit = context.budget.config_fetch_timeout();
    timeout(time_limit, send_message(stream, source.message())).await.map_err(timed_out)??;
    if !source.message().deltas.is_empty() {
        context.config_source.record_seeder(peer, source.revision());
    }
    Ok(())
}

/// Returns the request for what is newer than the configuration `held`.
fn config_request(held: ConfigId) -> ConfigRequest {
    let ConfigId { version, revision: StoreRevision { era, number } } = held;
    ConfigRequest { revision: number, era, version }
}

/// Returns the revision of the configuration that a delta applies to.
pub(crate) fn delta_base(delta: &ConfigDelta) -> StoreRevision {
    StoreRevision { era: delta.from_era, number: delta.from }
}

fn apply_deltas(
    held: Option<&ConfigText>,
    deltas: &[ConfigDelta],
) -> Result<ConfigText, &'static str> {
    let mut text: Vec<u8> = Vec::new();
    let mut revision = StoreRevision::NONE;
    if let Some(held) =
        held.filter(|held| deltas.first().is_some_and(|delta| delta_base(delta) == held.revision))
    {
        text.extend_from_slice(&held.text);
        revision = held.revision;
    }
    for delta in deltas {
        if delta_base(delta) != revision {
            return Err("the configuration deltas are not consecutive");
        }
        text = apply_patch(&text, &delta.patch)
            .map_err(|_| "a configuration delta does not fit its base")?;
        if xxh3_64(&text) != delta.hash {
            return Err("the hash of a patched configuration does not match its delta");
        }
        revision = StoreRevision { era: delta.to_era, number: delta.to };
    }
    Ok(ConfigText { revision, text: text.into() })
}
