//! Messages between boxes, and the back-offs that targets ask boxes for.

use std::time::Duration;

use rand::Rng;
use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{
    AttemptEffect, AttemptHandle, PeerSample, SteerOutcome, TargetNotice,
};
use wingbridge_decide::{Name, TargetKey};

use super::{LOCAL_LATENCY, REPORT_DELAY, World};
use crate::steer::backoffs::BackoffStrategy;
use crate::steer::event::{Attempt, Event, Message, Request};

impl World<'_> {
    /// Counts a suspicion that an attempt led to, and its delay from the start of the target's episode.
    pub(super) fn record_suspicion(&mut self, handle: &AttemptHandle, effect: &AttemptEffect) {
        if !effect.change.as_ref().is_some_and(|change| change.suspect) {
            return;
        }
        let (service, target) = &mut self.targets[self.keys[&handle.key]];
        let plan = &self.plan.services[*service];
        let episode = target.record_suspicion(self.events.now, plan, &mut self.random);
        self.result.record_suspicion(episode.is_some());
        if let Some((age, true)) = episode {
            self.result.record_detection(age);
        }
    }

    /// Sends the effect of an attempt to all boxes of the data centre, and failures and stalls to the
    /// boxes of the other data centres, too.
    pub(super) fn report_attempt(
        &mut self,
        box_number: usize,
        key: TargetKey,
        outcome: Option<SteerOutcome>,
        effect: &AttemptEffect,
    ) {
        let (open, informative) = self.boxes[box_number].open_attempts_at(key);
        let failed = outcome == Some(SteerOutcome::Failed);
        let held = self.targets[self.keys[&key]].1.load().held;
        let sample = PeerSample {
            good: u32::from(matches!(outcome, Some(SteerOutcome::Good(_)))),
            bad: u32::from(failed),
            overdue: u32::from(effect.stalled),
            latency_ratio: effect.latency_ratio,
            held: outcome.map(|_| held),
            open: Some(open),
            informative,
        };
        let remote_sample =
            PeerSample { bad: sample.bad, overdue: sample.overdue, ..PeerSample::default() };
        let urgent = failed || effect.stalled;
        let retry_counts = self.boxes[box_number].unreported_retry_counts(self.events.now);
        let named = |(name, counts): (Name, RetryCounts)| {
            Some((self.names.iter().position(|known| *known == name)?, counts))
        };
        let retry_counts: Vec<(usize, RetryCounts)> =
            retry_counts.into_iter().filter_map(named).collect();
        for to in (0..self.boxes.len()).filter(|to| *to != box_number) {
            let local = to % self.plan.centres == box_number % self.plan.centres;
            if !local && !urgent {
                continue;
            }
            let message = Message {
                to,
                from: box_number as u64,
                key,
                sample: if local { sample.clone() } else { remote_sample.clone() },
                retry_counts: if local { retry_counts.clone() } else { Vec::new() },
            };
            let delay = if urgent { Duration::ZERO } else { REPORT_DELAY };
            let latency = if local { LOCAL_LATENCY } else { self.plan.remote_latency };
            self.messages.push(Some(message));
            self.events.schedule(
                delay + latency,
                Event::MessageReceived { message: self.messages.len() - 1 },
            );
        }
    }

    /// Exchanges the retry credit that a box wants; returns whether there was a reply. It takes no time: between boxes of a
    /// data centre it takes less than the time between two retries of a box.
    pub(super) fn exchange_credit(&mut self, box_number: usize) -> bool {
        let (now, centres) = (self.events.now, self.plan.centres);
        let is_peer =
            |other: &usize| *other != box_number && *other % centres == box_number % centres;
        let peers: Vec<u64> =
            (0..self.boxes.len()).filter(is_peer).map(|other| other as u64).collect();
        let requests = self.boxes[box_number].due_credit_requests(now, &peers).requests;
        for (peer, request) in &requests {
            let grant = self.boxes[*peer as usize].lend_credit(now, request);
            self.boxes[box_number].record_credit(now, &grant);
        }
        !requests.is_empty()
    }

    pub(super) fn receive_message(&mut self, message: usize) {
        let Some(Message { to, from, key, sample, retry_counts }) = self.messages[message].take()
        else {
            return;
        };
        // Suspicions are counted only in the box whose attempt led to them.
        let _ = self.boxes[to].merge_peer_sample(self.events.now, from, key, &sample);
        for (service, counts) in retry_counts {
            self.boxes[to].merge_retry_counts(self.events.now, from, &self.names[service], counts);
        }
    }

    /// Applies the back-off that a refusal asks for to the box that was refused, and to others if the
    /// back-off strategy shares it.
    pub(super) fn apply_backoff(&mut self, attempt: usize) {
        let Some(backoff) = self.pattern.backoff() else {
            return;
        };
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        let box_number = self.requests[request].box_number;
        let now = self.events.now;
        self.backoffs.record_backoff(now, box_number, target, backoff);
        let jitter = match self.backoff_strategy {
            BackoffStrategy::Ignored => return,
            BackoffStrategy::Jittered => backoff.mul_f64(self.random.random::<f64>() / 4.0),
            _ => Duration::ZERO,
        };
        let notice = TargetNotice { draining: false, backoff: Some(backoff + jitter) };
        let centre = box_number % self.plan.centres;
        let in_centre = |other: usize| other % self.plan.centres == centre;
        for (number, core) in self.boxes.iter_mut().enumerate() {
            if number == box_number
                || (self.backoff_strategy == BackoffStrategy::Shared && in_centre(number))
            {
                core.record_notice(now, handle.key, &notice);
            }
        }
    }

    /// Returns whether a request waits until the first back-off ends, which is after `remaining`.
    pub(super) fn may_hold(&self, request: usize, remaining: Duration) -> bool {
        let Request { service, since, .. } = self.requests[request];
        let resumed_at = self.events.now.since(since) + remaining;
        self.backoff_strategy == BackoffStrategy::Held
            && self.open_attempts(request) == 0
            && resumed_at < self.service_plan(service).goal
    }
}
