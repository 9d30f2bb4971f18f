//! The task that asks peers while attempts come to no contact, and probes whether lost paths are back. It sleeps while
//! paths are sound.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use wingbridge_decide::TargetKey;
use wingbridge_decide::paths::PathScope;
use wingbridge_wire::paths::PathQuestion;

use super::log_changes;
use crate::attempt::CONNECT_TIMEOUT;
use crate::context::{BoxContext, lock, millis};
use crate::gossip::Gossip;

/// Time between two checks for questions and probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of peers of the own data centre that a round of questions reaches, and as many of the others. A box that is
/// the only one with paths among forty is found in two rounds on average.
const ASKED_PEERS: usize = 12;

/// Asks peers and probes lost paths whenever `wakeups` yields, until that channel is closed.
pub(crate) async fn watch_paths(
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    wakeups: Receiver<()>,
) {
    while wakeups.recv().await.is_ok() {
        while lock(&context.paths.monitor).is_watching() {
            ask_peers(&context, &gossip).await;
            let due = lock(&context.paths.monitor).due_probes(context.now());
            for scope in due {
                probe(&context, &scope).await;
            }
            task::sleep(CHECK_INTERVAL).await;
        }
    }
}

async fn ask_peers(context: &BoxContext, gossip: &Gossip) {
    let now = context.now();
    let (questions, changes) = lock(&context.paths.monitor).take_questions(now);
    log_changes(now, &changes);
    for question in questions {
        let hosts: Vec<IpAddr> = context.peers().random_local_and_remote(ASKED_PEERS);
        let message = PathQuestion {
            service: question.scope.service().to_string(),
            run: question.run,
            age_ms: u32::try_from(millis(question.age)).unwrap_or(u32::MAX),
        };
        gossip.ask_paths(&hosts, message).await;
    }
}

/// Connects to a target of a scope, and closes the connection without a request.
async fn probe(context: &BoxContext, scope: &PathScope) {
    let Some((key, address, listed)) = choose_target(context, scope) else {
        return;
    };
    let connect = context.port.connect_target(&address);
    // The timeout is the one of an attempt, so that a path that is too slow for attempts is not found to be back.
    let connected = matches!(async_std::future::timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)));
    metrics::counter!("wingbridge_path_probes").increment(1);
    let now = context.now();
    let change = lock(&context.paths.monitor).record_probe(now, scope, key, connected, listed);
    log_changes(now, change.as_slice());
}

/// Returns a random target that may be chosen now, its address, and the number of such targets.
fn choose_target(context: &BoxContext, scope: &PathScope) -> Option<(TargetKey, String, usize)> {
    let service = match scope {
        PathScope::All => None,
        PathScope::Service(name) => Some(name),
    };
    let random: f64 = rand::random();
    let core = context.core();
    let (target, listed) = core.random_eligible(context.now(), service, random)?;
    Some((target.key(), target.address.to_string(), listed))
}
