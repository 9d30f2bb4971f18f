//! Configurations between boxes, as what is new in them.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use prost::Message;
use wingbridge_wire::gossip::{ConfigDelta, ConfigReply, ConfigRequest, ExchangeQuestion};
use wingbridge_wire::{ErrorKind, WireError, send_message};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::{BoxContext, millis};
use crate::text_patch::apply_patch;
use crate::view::ConfigText;
use crate::view_exchange::query_peer;

/// What came of asking a peer for its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConfigFetch {
    /// It is held now.
    Applied,
    /// The peer sends to as many others as it can; those have it.
    Busy(Vec<IpAddr>),
    /// The peer has none that is newer, or can't be reached, or sent nonsense.
    Failed,
}

/// Fetches the configuration of the peer at `host`, and takes it.
pub(crate) async fn fetch_config(context: &BoxContext, host: IpAddr) -> ConfigFetch {
    let began = Instant::now();
    let start = context.clock_sample();
    let held = context.view().config_text().cloned();
    let revision = held.as_ref().map_or(0, |held| held.revision);
    let question = ExchangeQuestion::Config(ConfigRequest { revision });
    let time = context.budget.config_fetch_timeout();
    let reply: ConfigReply = match query_peer(context, host, question, time).await {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!(peer:% = host, reason:% = error; "configuration-not-fetched");
            return ConfigFetch::Failed;
        }
    };
    if reply.busy {
        let holders = reply.seeders.iter().filter_map(|host| host.parse().ok());
        return ConfigFetch::Busy(holders.collect());
    }
    let as_of = Instant::now().checked_sub(Duration::from_millis(reply.age_ms));
    let as_of = as_of.map(|as_of| context.correct(&start, as_of));
    let (Some(as_of), false) = (as_of, reply.deltas.is_empty()) else {
        log::info!(peer:% = host, revision = reply.revision; "configuration-not-newer");
        return ConfigFetch::Failed;
    };
    match apply_deltas(held.as_ref(), &reply.deltas) {
        Ok(text) => {
            log::info!(
                peer:% = host, revision = text.revision, from = reply.deltas[0].from,
                bytes = reply.encoded_len(), text_bytes = text.text.len(),
                taken_ms = millis(began.elapsed());
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

/// Sends a peer what it lacks of the configuration that is held.
pub(crate) async fn serve_config(
    stream: &TcpStream,
    peer: IpAddr,
    context: &BoxContext,
    request: ConfigRequest,
) -> Result<(), WireError> {
    let age_ms = context.config_age().map_or(0, millis);
    let source = context.config_source.reply(request, age_ms);
    let late = |_| WireError::new(ErrorKind::Io, "the configuration was not read in time");
    // As long as the peer waits for it: less would throw away what is nearly through.
    let time = context.budget.config_fetch_timeout();
    timeout(time, send_message(stream, source.message())).await.map_err(late)??;
    if !source.message().deltas.is_empty() {
        context.config_source.record_seeder(peer, source.message().revision);
    }
    Ok(())
}

fn apply_deltas(
    held: Option<&ConfigText>,
    steps: &[ConfigDelta],
) -> Result<ConfigText, &'static str> {
    let mut text: Vec<u8> = Vec::new();
    let mut revision = 0;
    if let Some(held) =
        held.filter(|held| steps.first().is_some_and(|step| step.from == held.revision))
    {
        text.extend_from_slice(&held.text);
        revision = held.revision;
    }
    for step in steps {
        if step.from != revision || step.to <= revision {
            return Err("its steps don't follow each other");
        }
        text = apply_patch(&text, &step.patch).map_err(|_| "a step does not fit its base")?;
        if xxh3_64(&text) != step.hash {
            return Err("a step makes another text than it should");
        }
        revision = step.to;
    }
    Ok(ConfigText { revision, text: text.into() })
}
