//! What callers sent and were told, against what the targets ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;
use wingbridge_standin::target::download_byte;

use crate::caller::CallerAnswer;
use crate::system::RunningTarget;

/// Counts of answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Requests made.
    pub requests: u64,
    /// Whole answers of targets.
    pub whole: u64,
    /// Requests that were said not to have run.
    pub not_run: u64,
    /// Requests of which it was said that they may have run.
    pub unknown: u64,
    /// Connections that broke without a whole answer.
    pub cut: u64,
    /// Answers that were another request's, or in part.
    pub wrong_answer: u64,
}

/// All callers' books. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallerLedger {
    shared: Arc<Mutex<LedgerState>>,
}

#[derive(Debug, Default)]
struct LedgerState {
    counts: AnswerCounts,
    orders: BTreeMap<String, ReportedOutcome>,
}

/// What a caller was told of its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// What the books and the targets' logs say together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct OrderAudit {
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders that ran although the caller was told "not run".
    pub not_run_ran: u64,
    /// Orders that did not run although the caller was told "answered".
    pub answered_not_ran: u64,
}

impl CallerLedger {
    /// Books an answer to a request with `token`.
    pub fn record_answer(&self, token: &str, answer: &CallerAnswer) {
        let mut state = self.state();
        state.counts.requests += 1;
        match answer.outcome.as_str() {
            "answered" => {
                state.counts.whole += 1;
                if answer.status == 200 && !repeats_token(answer, token) {
                    state.counts.wrong_answer += 1;
                }
            }
            "not-run" => state.counts.not_run += 1,
            _ => state.counts.unknown += 1,
        }
    }

    /// Books an answer to a download of `length` bytes.
    pub fn record_download(&self, length: u64, answer: &CallerAnswer) {
        let mut state = self.state();
        state.counts.requests += 1;
        match answer.outcome.as_str() {
            "answered" if answer.status == 200 => {
                state.counts.whole += 1;
                let whole = answer.body.len() as u64 == length
                    && answer.body.iter().zip(0..).all(|(byte, at)| *byte == download_byte(at));
                state.counts.wrong_answer += u64::from(!whole);
            }
            "answered" => state.counts.whole += 1,
            "not-run" => state.counts.not_run += 1,
            _ => state.counts.unknown += 1,
        }
    }

    /// Books an order that was answered.
    pub fn record_order(&self, order: &str, answer: &CallerAnswer) {
        self.record_answer(order, answer);
        let word = match answer.outcome.as_str() {
            "answered" => ReportedOutcome::Answered,
            "not-run" => ReportedOutcome::NotRun,
            _ => ReportedOutcome::Unknown,
        };
        self.state().orders.insert(order.to_string(), word);
    }

    /// Books a connection that broke.
    pub fn record_cut(&self) {
        let mut state = self.state();
        state.counts.requests += 1;
        state.counts.cut += 1;
    }

    /// The counts so far.
    pub fn counts(&self) -> AnswerCounts {
        self.state().counts.clone()
    }

    /// Compares what callers of orders were told with what targets ran.
    pub fn audit(&self, targets: &[RunningTarget]) -> OrderAudit {
        let mut ran: BTreeMap<String, u32> = BTreeMap::new();
        for target in targets {
            for (order, count) in target.handle.log().orders {
                *ran.entry(order).or_default() += count;
            }
        }
        let state = self.state();
        let told = |word: ReportedOutcome| {
            let orders = state.orders.iter().filter(move |(_, told)| **told == word);
            orders.map(|(order, _)| ran.get(order).copied().unwrap_or(0))
        };
        OrderAudit {
            doubled: ran.values().filter(|count| **count > 1).count() as u64,
            not_run_ran: told(ReportedOutcome::NotRun).filter(|count| *count > 0).count() as u64,
            answered_not_ran: told(ReportedOutcome::Answered).filter(|count| *count == 0).count()
                as u64,
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, LedgerState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the answer repeats the request's token, which no other request has.
fn repeats_token(answer: &CallerAnswer, token: &str) -> bool {
    let body: serde_json::Value = match serde_json::from_slice(&answer.body) {
        Ok(body) => body,
        Err(_) => return false,
    };
    body["token"] == token
}
