//! Client of the admin endpoints of the agents, for one box or for the whole fleet.

use std::time::Duration;

use eyre::eyre;
use futures::stream::{self, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wingbridge_http::HttpClient;

/// Timeout of one request to an agent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of agents that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// A box, as listed by an agent under `/v1/boxes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxView {
    /// Name of the box.
    pub box_id: String,
    /// Data centre that the box runs in.
    pub data_centre: String,
    /// Address of the admin endpoint of the box's agent.
    pub admin: String,
    /// Whether the box has announced that it shuts down.
    pub leaving: bool,
}

/// The version of a configuration key that one box holds, as listed under `/v1/keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Configuration key, with its prefix.
    pub key: String,
    /// Generation of the version that the box holds.
    pub generation: u64,
    /// Identifier of the change that wrote this version.
    pub change: String,
    /// Whether this version deletes the key.
    pub deleted: bool,
    /// Whether the box's proxy has it in force.
    pub in_force: bool,
}

/// The reply of one agent to a query of several boxes.
#[derive(Debug, Clone)]
pub struct BoxReply<T> {
    /// Box whose agent was queried.
    pub queried: BoxView,
    /// Decoded body of the answer, or the reason why there is none.
    pub result: Result<T, String>,
}

/// Client that queries the agents of a fleet.
#[derive(Debug, Clone)]
pub struct FleetClient {
    agents: Vec<String>,
}

impl FleetClient {
    /// Creates a client from the admin addresses of some agents. One that answers is enough, because it
    /// lists all boxes of the fleet.
    pub fn new(agents: Vec<String>) -> FleetClient {
        FleetClient { agents }
    }

    /// Returns whether the client has no agent address.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns all boxes that the first agent that answers lists.
    ///
    /// # Errors
    /// Fails if no agent address is configured or no agent answers.
    pub async fn boxes(&self) -> eyre::Result<Vec<BoxView>> {
        if self.agents.is_empty() {
            return Err(eyre!("no agent address is configured: set --agents"));
        }
        let mut last_error = String::new();
        for agent in &self.agents {
            match fetch(agent, "/v1/boxes").await {
                Ok(boxes) => return Ok(boxes),
                Err(error) => last_error = format!("{agent}: {error}"),
            }
        }
        Err(eyre!("no agent answered; last failure: {last_error}"))
    }

    /// Requests `path` from the agents of all `boxes`, and returns the replies ordered by box name.
    pub async fn query_all<T: DeserializeOwned>(
        &self,
        boxes: &[BoxView],
        path: &str,
    ) -> Vec<BoxReply<T>> {
        let queries = stream::iter(boxes.iter().cloned());
        let replies = queries.map(|queried| async move {
            let result = fetch(&queried.admin, path).await;
            BoxReply { queried, result }
        });
        let mut replies: Vec<BoxReply<T>> =
            replies.buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await;
        replies.sort_by(|one, other| one.queried.box_id.cmp(&other.queried.box_id));
        replies
    }
}

async fn fetch<T: DeserializeOwned>(agent: &str, path: &str) -> Result<T, String> {
    let reply = HttpClient::new(agent, REQUEST_TIMEOUT).get(path).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("the agent answered with status {}", reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
}
