//! The agents' end points, asked of one box or of all.

use std::time::Duration;

use eyre::eyre;
use futures::stream::{self, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wingbridge_http::HttpClient;

const ASK_TIME: Duration = Duration::from_secs(2);
/// Boxes that are asked at once.
const AT_ONCE: usize = 64;

/// A box, as agents list it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxView {
    /// Its name.
    pub box_id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where its agent answers operators.
    pub admin: String,
    /// Whether it will be stopped.
    pub leaving: bool,
}

/// A key, as one box holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// The key.
    pub key: String,
    /// Its generation.
    pub generation: u64,
    /// The change's id.
    pub change: String,
    /// Whether it is deleted.
    pub deleted: bool,
    /// Whether the box's proxy has it in force.
    pub in_force: bool,
}

/// What a box said, or why it said nothing.
#[derive(Debug, Clone)]
pub struct BoxAnswer<T> {
    /// The box.
    pub asked: BoxView,
    /// Its answer.
    pub answer: Result<T, String>,
}

/// Asks agents.
#[derive(Debug, Clone)]
pub struct FleetClient {
    agents: Vec<String>,
}

impl FleetClient {
    /// A client that knows some agents' admin addresses.
    pub fn new(agents: Vec<String>) -> FleetClient {
        FleetClient { agents }
    }

    /// Whether any agent is known.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// All boxes, as the first agent that answers knows them.
    ///
    /// # Errors
    /// No agent is known or none answers.
    pub async fn boxes(&self) -> eyre::Result<Vec<BoxView>> {
        if self.agents.is_empty() {
            return Err(eyre!("no agent is known: set --agents"));
        }
        let mut last = String::new();
        for agent in &self.agents {
            match ask(agent, "/v1/boxes").await {
                Ok(boxes) => return Ok(boxes),
                Err(error) => last = format!("{agent}: {error}"),
            }
        }
        Err(eyre!("no agent answers; the last one asked was {last}"))
    }

    /// Asks all of `boxes` for `path`.
    pub async fn ask_all<T: DeserializeOwned>(
        &self,
        boxes: &[BoxView],
        path: &str,
    ) -> Vec<BoxAnswer<T>> {
        let asked = stream::iter(boxes.iter().cloned());
        let answers = asked.map(|asked| async move {
            let answer = ask(&asked.admin, path).await;
            BoxAnswer { asked, answer }
        });
        let mut answers: Vec<BoxAnswer<T>> = answers.buffer_unordered(AT_ONCE).collect().await;
        answers.sort_by(|one, other| one.asked.box_id.cmp(&other.asked.box_id));
        answers
    }
}

async fn ask<T: DeserializeOwned>(agent: &str, path: &str) -> Result<T, String> {
    let reply = HttpClient::new(agent, ASK_TIME).get(path).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
}
