//! What a box may spend on the retries of one service, whatever it hears of the others.
//!
//! The bound applies to any window, and callers may move from box to box at any moment. If each box counted over a window
//! of its own, callers would pay for the retries of the box that they left, and once more at the box to which they went.
//! So what a request earns pays once, and soon: it makes up for the slack that this box has used, and what is beyond that
//! lasts for a moment. In any window the retries of all boxes then take the slack at most, and what the requests of this
//! window and of the moment before it have earned.

use std::collections::VecDeque;
use std::time::Duration;

use crate::steer::retry_share::CREDIT_LIFETIME;
use crate::time::TimePoint;

/// Share of the bound that is used. Retries of a window may be paid by requests from [`EARNED_LIFETIME`] and
/// [`CREDIT_LIFETIME`] before it on: at ten seconds, by 1.15 times the requests of the window.
const USED_SHARE: f64 = 0.85;
/// Time for which earnings may pay for a retry while no slack is to be made up for.
const EARNED_LIFETIME: Duration = Duration::from_secs(1);

/// The part of one box of the slack.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlackPart {
    /// In retries.
    pub(crate) amount: f64,
    /// Length of the window of the bound.
    pub(crate) window: Duration,
}

/// The amounts that a box holds for the retries of one service.
#[derive(Debug, Default)]
pub(crate) struct RetryAllowance {
    /// What requests earned while no slack was to be made up for, the oldest first.
    earnings: VecDeque<EarnedAmount>,
    /// Slack that was used and not made up for by a request since, the oldest first.
    slack_uses: VecDeque<SlackUse>,
}

#[derive(Debug, Clone, Copy)]
struct EarnedAmount {
    /// In retries.
    earned: f64,
    /// What is left of it.
    left: f64,
    until: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct SlackUse {
    /// In retries.
    amount: f64,
    /// When it counts no more.
    until: TimePoint,
}

impl SlackPart {
    fn usable(self) -> f64 {
        self.amount * USED_SHARE
    }
}

impl RetryAllowance {
    /// Creates the allowance of a box that started at `started`. The boxes before may have used the slack.
    pub(crate) fn new(started: TimePoint, part: SlackPart) -> RetryAllowance {
        let used = SlackUse { amount: part.usable(), until: started + part.window };
        RetryAllowance { earnings: VecDeque::new(), slack_uses: VecDeque::from([used]) }
    }

    /// Adds what a request earns: the share `earned` of a retry.
    pub(crate) fn earn(&mut self, now: TimePoint, earned: f64) {
        self.expire(now);
        let mut left = earned * USED_SHARE;
        // The latest uses are made up for first, since the others expire sooner.
        while let Some(used) = self.slack_uses.back_mut() {
            let part = used.amount.min(left);
            used.amount -= part;
            left -= part;
            if used.amount > 0.0 {
                return;
            }
            self.slack_uses.pop_back();
        }
        if left > 0.0 {
            let until = now + EARNED_LIFETIME;
            self.earnings.push_back(EarnedAmount { earned: left, left, until });
        }
    }

    /// Returns the amount that may be spent now, in retries.
    pub(crate) fn amount(&mut self, now: TimePoint, part: SlackPart) -> f64 {
        self.expire(now);
        let earned: f64 = self.earnings.iter().map(|one| one.left).sum();
        let used: f64 = self.slack_uses.iter().map(|one| one.amount).sum();
        earned + (part.usable() - used).max(0.0)
    }

    /// Returns the amount that could be spent now if nothing had been, in retries.
    pub(crate) fn capacity(&mut self, now: TimePoint, part: SlackPart) -> f64 {
        self.expire(now);
        let earned: f64 = self.earnings.iter().map(|one| one.earned).sum();
        earned + part.usable()
    }

    /// Takes `amount` of what may be spent: first of the earnings, the oldest first, then of the slack.
    pub(crate) fn take(&mut self, now: TimePoint, part: SlackPart, amount: f64) {
        let mut wanted = amount;
        for one in &mut self.earnings {
            let taken = one.left.min(wanted);
            one.left -= taken;
            wanted -= taken;
        }
        if wanted > 0.0 {
            // A peer may spend what it borrowed until the end of the credit's lifetime.
            let until = now + part.window + CREDIT_LIFETIME;
            self.slack_uses.push_back(SlackUse { amount: wanted, until });
        }
    }

    /// Ends all amounts earlier by `time`, which passed without being counted by the clock.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.earnings.iter_mut().for_each(|one| one.until = one.until.before(time));
        self.slack_uses.iter_mut().for_each(|one| one.until = one.until.before(time));
    }

    fn expire(&mut self, now: TimePoint) {
        while self.earnings.front().is_some_and(|one| one.until <= now) {
            self.earnings.pop_front();
        }
        while self.slack_uses.front().is_some_and(|one| one.until <= now) {
            self.slack_uses.pop_front();
        }
    }
}
