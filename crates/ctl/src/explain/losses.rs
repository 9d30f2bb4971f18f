//! Counts of requests by service, and of requests that were not served by outcome.

use std::collections::BTreeMap;

use serde::Serialize;

use super::log_line::{RequestEnd, RequestLine};

/// The outcomes of the requests of one service.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: String,
    /// Number of requests for the service.
    pub requests: usize,
    /// Number of requests that were refused before a target ran them.
    pub refused: usize,
    /// Number of requests that failed, or of which it is not known whether a target ran them.
    pub failed: usize,
    /// Number of requests whose last attempt was a trial.
    pub trials: usize,
    /// Number of failed requests whose last attempt was a trial.
    pub failed_trials: usize,
    /// Number of hedged requests, which had a second attempt while the first one was still open.
    pub hedged: usize,
    /// Number of hedged requests that were served.
    pub hedged_served: usize,
    /// Number of requests whose last attempt went to another data centre. Requests of boxes whose data
    /// centre is not in the logs are not counted.
    pub crossed: usize,
}

/// Requests of one service that were not served and have the same outcome.
#[derive(Debug, Clone, Serialize)]
pub struct LossRow {
    /// Name of the service.
    pub service: String,
    /// Status code that the callers received.
    pub status: u16,
    /// Number of attempts that were made.
    pub attempts: u32,
    /// Whether the last attempt was a trial.
    pub trial: bool,
    /// Whether the requests had a second attempt while the first one was still open.
    pub hedged: bool,
    /// Number of such requests.
    pub requests: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    service: String,
    status: u16,
    attempts: u32,
    trial: bool,
    hedged: bool,
}

/// Accumulates the counts of the services and of the losses.
#[derive(Debug, Default)]
pub(super) struct LossCounts {
    services: BTreeMap<String, ServiceRow>,
    losses: BTreeMap<LossKey, usize>,
}

impl LossCounts {
    /// Counts a request that was handled by a box in `data_centre`, which is `None` if the logs don't show it.
    pub(super) fn record(&mut self, line: &RequestLine, data_centre: Option<&str>) {
        let row = self.services.entry(line.service.clone()).or_default();
        let served = line.end == RequestEnd::Served;
        let failed = line.end == RequestEnd::Failed;
        row.service.clone_from(&line.service);
        row.requests += 1;
        row.refused += usize::from(line.end == RequestEnd::Refused);
        row.failed += usize::from(failed);
        row.trials += usize::from(line.trial);
        row.failed_trials += usize::from(line.trial && failed);
        row.hedged += usize::from(line.hedged);
        row.hedged_served += usize::from(line.hedged && served);
        let is_remote = data_centre.is_some_and(|home| home != line.target_centre);
        row.crossed += usize::from(is_remote && !line.target_centre.is_empty());
        if !served {
            let key = LossKey {
                service: line.service.clone(),
                status: line.status,
                attempts: line.attempts,
                trial: line.trial,
                hedged: line.hedged,
            };
            *self.losses.entry(key).or_default() += 1;
        }
    }

    /// Returns a row for each service, and the rows of the losses with the most frequent first.
    pub(super) fn rows(self) -> (Vec<ServiceRow>, Vec<LossRow>) {
        let row = |(key, requests): (LossKey, usize)| LossRow {
            service: key.service,
            status: key.status,
            attempts: key.attempts,
            trial: key.trial,
            hedged: key.hedged,
            requests,
        };
        let mut losses: Vec<LossRow> = self.losses.into_iter().map(row).collect();
        losses.sort_by_key(|row| std::cmp::Reverse(row.requests));
        (self.services.into_values().collect(), losses)
    }
}
