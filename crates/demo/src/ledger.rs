//! Compares the outcomes that callers got with what the targets executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;
use wingbridge_standin::target::download_byte;

use crate::caller::CallerAnswer;
use crate::system::RunningTarget;

/// Counts of requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Number of requests made.
    pub requests: u64,
    /// Number of complete answers of targets.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Number of requests with the outcome that they have not run.
    pub not_run: u64,
    /// Number of requests with the outcome that they may have run.
    pub unknown: u64,
    /// Number of connections that broke without a complete answer.
    pub cut: u64,
    /// Number of answers that belonged to another request or were incomplete.
    pub wrong_answer: u64,
}

/// The outcomes of all callers' requests. Clones share the same record.
#[derive(Debug, Clone, Default)]
pub struct CallerLedger {
    shared: Arc<Mutex<LedgerState>>,
}

#[derive(Debug, Default)]
struct LedgerState {
    counts: AnswerCounts,
    orders: BTreeMap<String, ReportedOutcome>,
}

/// The outcome of an order as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// Result of the comparison of reported outcomes with the logs of targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct OrderAudit {
    /// Number of orders that ran more than once.
    pub doubled: u64,
    /// Number of orders that ran although their reported outcome was "not run".
    pub not_run_ran: u64,
    /// Number of orders that did not run although their reported outcome was "answered".
    pub answered_not_ran: u64,
}

impl CallerLedger {
    /// Records the answer to a request with `token`.
    pub fn record_answer(&self, token: &str, answer: &CallerAnswer) {
        let mut state = self.state();
        state.counts.requests += 1;
        match answer.outcome.as_str() {
            "answered" => {
                state.counts.complete += 1;
                if answer.status == 200 && !repeats_token(answer, token) {
                    state.counts.wrong_answer += 1;
                }
            }
            "not-run" => state.counts.not_run += 1,
            _ => state.counts.unknown += 1,
        }
    }

    /// Records the answer to a download of `length` bytes.
    pub fn record_download(&self, length: u64, answer: &CallerAnswer) {
        let mut state = self.state();
        state.counts.requests += 1;
        match answer.outcome.as_str() {
            "answered" if answer.status == 200 => {
                state.counts.complete += 1;
                let complete = answer.body.len() as u64 == length
                    && answer.body.iter().zip(0..).all(|(byte, at)| *byte == download_byte(at));
                state.counts.wrong_answer += u64::from(!complete);
            }
            "answered" => state.counts.complete += 1,
            "not-run" => state.counts.not_run += 1,
            _ => state.counts.unknown += 1,
        }
    }

    /// Records the answer to an order.
    pub fn record_order(&self, order: &str, answer: &CallerAnswer) {
        self.record_answer(order, answer);
        let outcome = match answer.outcome.as_str() {
            "answered" => ReportedOutcome::Answered,
            "not-run" => ReportedOutcome::NotRun,
            _ => ReportedOutcome::Unknown,
        };
        self.state().orders.insert(order.to_string(), outcome);
    }

    /// Records a connection that broke before a complete answer.
    pub fn record_cut(&self) {
        let mut state = self.state();
        state.counts.requests += 1;
        state.counts.cut += 1;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> AnswerCounts {
        self.state().counts.clone()
    }

    /// Compares the reported outcomes of orders with what the targets executed.
    pub fn audit(&self, targets: &[RunningTarget]) -> OrderAudit {
        let mut ran: BTreeMap<String, u32> = BTreeMap::new();
        for target in targets {
            for (order, count) in target.handle.log().orders {
                *ran.entry(order).or_default() += count;
            }
        }
        let state = self.state();
        let runs_with = |outcome: ReportedOutcome| {
            let orders = state.orders.iter().filter(move |(_, reported)| **reported == outcome);
            orders.map(|(order, _)| ran.get(order).copied().unwrap_or(0))
        };
        OrderAudit {
            doubled: ran.values().filter(|count| **count > 1).count() as u64,
            not_run_ran: runs_with(ReportedOutcome::NotRun).filter(|count| *count > 0).count()
                as u64,
            answered_not_ran: runs_with(ReportedOutcome::Answered)
                .filter(|count| *count == 0)
                .count() as u64,
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, LedgerState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the answer repeats the token of the request, which is unique to it.
fn repeats_token(answer: &CallerAnswer, token: &str) -> bool {
    let body: serde_json::Value = match serde_json::from_slice(&answer.body) {
        Ok(body) => body,
        Err(_) => return false,
    };
    body["token"] == token
}
