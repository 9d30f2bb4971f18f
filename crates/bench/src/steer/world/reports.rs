//! What boxes tell each other, and what targets tell boxes of themselves.

use std::time::Duration;

use rand::Rng;
use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{
    AttemptEffect, AttemptHandle, PeerSample, SteerOutcome, TargetNotice,
};
use wingbridge_decide::{Name, TargetKey};

use super::{NEAR, TELL_AFTER, World};
use crate::steer::backoffs::BackoffStrategy;
use crate::steer::event::{Attempt, Event, Message, Request};

impl World<'_> {
    /// Counts a suspicion, and the time since its target's episode began.
    pub(super) fn note_suspect(&mut self, handle: &AttemptHandle, news: &AttemptEffect) {
        if !news.change.as_ref().is_some_and(|change| change.suspect) {
            return;
        }
        let (service, target) = &mut self.targets[self.keys[&handle.key]];
        let plan = &self.plan.services[*service];
        let noticed = target.notice(self.events.now, plan, &mut self.random);
        self.sums.note_suspicion(noticed.is_some());
        if let Some((age, true)) = noticed {
            self.sums.note_noticed(age);
        }
    }

    /// Tells the data centre all of it, and the others of failures.
    pub(super) fn tell(
        &mut self,
        gateway: usize,
        key: TargetKey,
        outcome: Option<SteerOutcome>,
        news: &AttemptEffect,
    ) {
        let (open, informative) = self.boxes[gateway].open_attempts_at(key);
        let failed = outcome == Some(SteerOutcome::Failed);
        let held = self.targets[self.keys[&key]].1.load().held;
        let sample = PeerSample {
            good: u32::from(matches!(outcome, Some(SteerOutcome::Good(_)))),
            bad: u32::from(failed),
            overdue: u32::from(news.stalled),
            latency_ratio: news.latency_ratio,
            held: outcome.map(|_| held),
            open: Some(open),
            informative,
        };
        let far_sample =
            PeerSample { bad: sample.bad, overdue: sample.overdue, ..PeerSample::default() };
        let urgent = failed || news.stalled;
        let retry_counts = self.boxes[gateway].unreported_retry_counts(self.events.now);
        let named = |(name, counts): (Name, RetryCounts)| {
            Some((self.names.iter().position(|known| *known == name)?, counts))
        };
        let retry_counts: Vec<(usize, RetryCounts)> =
            retry_counts.into_iter().filter_map(named).collect();
        for to in (0..self.boxes.len()).filter(|to| *to != gateway) {
            let near = to % self.plan.centres == gateway % self.plan.centres;
            if !near && !urgent {
                continue;
            }
            let message = Message {
                to,
                from: gateway as u64,
                key,
                sample: if near { sample.clone() } else { far_sample.clone() },
                retry_counts: if near { retry_counts.clone() } else { Vec::new() },
            };
            let gathered = if urgent { Duration::ZERO } else { TELL_AFTER };
            let way = if near { NEAR } else { self.plan.between };
            self.messages.push(Some(message));
            self.events.schedule(gathered + way, Event::Told { message: self.messages.len() - 1 });
        }
    }

    pub(super) fn take_message(&mut self, message: usize) {
        let Some(Message { to, from, key, sample, retry_counts }) = self.messages[message].take()
        else {
            return;
        };
        // Suspicions are counted where an attempt gave rise to them.
        let _ = self.boxes[to].merge_peer_sample(self.events.now, from, key, &sample);
        for (service, counts) in retry_counts {
            self.boxes[to].merge_retry_counts(self.events.now, from, &self.names[service], counts);
        }
    }

    /// Has the box that was refused, and others by the way that is played, take a target's wish for
    /// rest.
    pub(super) fn take_rest(&mut self, attempt: usize) {
        let Some(rest) = self.pattern.rest_time() else {
            return;
        };
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        let gateway = self.requests[request].gateway;
        let now = self.events.now;
        self.rests.note_asked(now, gateway, target, rest);
        let longer = match self.backoff_strategy {
            BackoffStrategy::Ignored => return,
            BackoffStrategy::Jittered => rest.mul_f64(self.random.random::<f64>() / 4.0),
            _ => Duration::ZERO,
        };
        let notice = TargetNotice { draining: false, backoff: Some(rest + longer) };
        let centre = gateway % self.plan.centres;
        let told = |other: usize| other % self.plan.centres == centre;
        for (number, core) in self.boxes.iter_mut().enumerate() {
            if number == gateway
                || (self.backoff_strategy == BackoffStrategy::Shared && told(number))
            {
                core.record_notice(now, handle.key, &notice);
            }
        }
    }

    /// Whether a request waits for the first target that is back after `left`.
    pub(super) fn may_hold(&self, request: usize, left: Duration) -> bool {
        let Request { service, since, .. } = self.requests[request];
        let back = self.events.now.since(since) + left;
        self.backoff_strategy == BackoffStrategy::Held
            && self.open_attempts(request) == 0
            && back < self.service_plan(service).goal
    }
}
