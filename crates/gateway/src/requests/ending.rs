//! The early end of a request: the process is about to end, or the peer that passed the request on asks for it.
//!
//! Work that is dropped tells nothing, so that what may have run is known only from what was recorded before.

use futures::future::{Either, select};

use super::RequestRun;
use crate::answers::CallerAnswer;
use crate::latch::ReadyLatch;
use crate::routing::BOX_ENDS;
use crate::stop_schedule::PEER_RESULT_TIME;

/// Reason for the end of a relayed request: the box that accepted it ends, or its caller has left.
const PEER_ENDS: &str = "the box that accepted it has ended it";

/// How the work on a request ended.
pub(super) enum RunEnd {
    /// An answer was decided.
    Answered(CallerAnswer),
    /// The request was ended early, with the answer that a peer gave for it, if one did.
    EndedEarly(Option<CallerAnswer>),
}

impl RequestRun {
    /// Makes attempts until an answer is decided or the request is to be ended early. A peer that handles it then tells
    /// what has run: this box can't know, and would have to call an order unknown that nobody has begun.
    pub(super) async fn run_until_end(&mut self) -> RunEnd {
        let stopping = self.context.stopping.clone();
        let asked_to_end = self.asked_to_end.clone();
        let peer_part = self.peer_part.clone();
        let mut attempts = std::pin::pin!(self.run_attempts());
        let process_ends = std::pin::pin!(stopping.wait_ending());
        let peer_asks = std::pin::pin!(wait_asked(asked_to_end));
        match select(attempts.as_mut(), select(process_ends, peer_asks)).await {
            Either::Left((answer, _)) => RunEnd::Answered(answer),
            Either::Right(_) if peer_part.ask_to_end() => {
                let answer = async_std::future::timeout(PEER_RESULT_TIME, attempts).await;
                RunEnd::EndedEarly(answer.ok())
            }
            Either::Right(_) => RunEnd::EndedEarly(None),
        }
    }

    /// Returns the answer to a request that is still open when it is ended early.
    pub(super) fn end_early(&mut self) -> CallerAnswer {
        // The open attempts were dropped, and their targets may complete them. So may those of a peer.
        for _ in 0..std::mem::take(&mut self.open_attempts) {
            self.record_possible_run();
        }
        if self.peer_part.is_open() {
            self.record_possible_runs_at_peer();
        }
        self.give_up_stopping(self.end_reason())
    }

    /// Returns whether the request is to be ended early.
    pub(super) fn is_ending(&self) -> bool {
        self.context.stopping.is_ending() || self.is_asked_to_end()
    }

    fn is_asked_to_end(&self) -> bool {
        self.asked_to_end.as_ref().is_some_and(ReadyLatch::is_open)
    }

    /// Returns why the request is ended early.
    pub(super) fn end_reason(&self) -> &'static str {
        if self.is_asked_to_end() { PEER_ENDS } else { BOX_ENDS }
    }
}

/// Waits until the peer that passed a request on wants it ended; without an end if no peer did.
async fn wait_asked(asked_to_end: Option<ReadyLatch>) {
    match asked_to_end {
        Some(latch) => latch.wait_open().await,
        None => futures::future::pending().await,
    }
}
