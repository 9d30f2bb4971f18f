//! Requests that were not served, by how they ended.

use std::collections::BTreeMap;

use serde::Serialize;

use super::request_line::{LineEnd, RequestLine};

/// What became of the requests of one service.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ServiceRow {
    /// The service.
    pub service: String,
    /// Requests that went to it.
    pub requests: usize,
    /// Those that were refused before anything ran.
    pub refused: usize,
    /// Those that failed.
    pub failed: usize,
    /// Those whose last attempt was a trial, and the failed ones of them.
    pub trials: usize,
    /// Failed trials.
    pub failed_trials: usize,
    /// Those with a second attempt beside an open one, and the served ones of them.
    pub hedged: usize,
    /// Served ones of these.
    pub hedged_served: usize,
    /// Those whose last attempt left the data centre, as far as that is known.
    pub crossed: usize,
}

/// Requests of one service that ended alike without being served.
#[derive(Debug, Clone, Serialize)]
pub struct LossRow {
    /// The service.
    pub service: String,
    /// The status that callers got.
    pub status: u16,
    /// Targets that were asked.
    pub attempts: u32,
    /// Whether the last attempt was a trial.
    pub trial: bool,
    /// Whether there was a second attempt beside an open one.
    pub hedged: bool,
    /// How many.
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

/// The counts so far.
#[derive(Debug, Default)]
pub(super) struct LossCount {
    services: BTreeMap<String, ServiceRow>,
    losses: BTreeMap<LossKey, usize>,
}

impl LossCount {
    /// Counts a request that a box of `data_centre` served, if that is known.
    pub(super) fn note(&mut self, line: &RequestLine, data_centre: Option<&str>) {
        let row = self.services.entry(line.service.clone()).or_default();
        let served = line.end == LineEnd::Served;
        let failed = line.end == LineEnd::Failed;
        row.service.clone_from(&line.service);
        row.requests += 1;
        row.refused += usize::from(line.end == LineEnd::Refused);
        row.failed += usize::from(failed);
        row.trials += usize::from(line.trial);
        row.failed_trials += usize::from(line.trial && failed);
        row.hedged += usize::from(line.hedged);
        row.hedged_served += usize::from(line.hedged && served);
        let away = data_centre.is_some_and(|own| own != line.target_centre);
        row.crossed += usize::from(away && !line.target_centre.is_empty());
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

    /// A row for each service, and the losses, the most frequent first.
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
