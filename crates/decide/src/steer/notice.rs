//! What targets say of themselves in their answers: that they leave, for how long they want nothing
//! from the box that they answer, and how many requests a second they take from all boxes together.
//!
//! Such a notice is the target's own word, so it counts without the store and whatever the store
//! lists. It belongs to one life of a target: the next one, under another name or the same, begins
//! without any.

use std::time::Duration;

use crate::steer::limit::{LimitChange, LimitSaid, LimitWord, RequestRate};
use crate::time::TimePoint;

/// A longer rest is taken for one of this time. Targets ask for seconds; one that asks for years by
/// mistake is back in use after ten minutes, and asked for again by one request a box then.
const LONGEST_REST: Duration = Duration::from_secs(600);
/// A rest that is asked for again with an end this near the known one is no news.
const SAME_END: Duration = Duration::from_millis(100);

/// What one answer says of the target that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetNotice {
    /// Whether it leaves.
    pub leaves: bool,
    /// For how long it wants nothing from this box.
    pub rest: Option<Duration>,
}

/// What is new by a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoticeChange {
    /// Whether it was not known that the target leaves.
    pub leaves: bool,
    /// The time of a rest that was not known, or not to be as long.
    pub rest: Option<Duration>,
}

/// Why a target wants nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeBar {
    /// It has said that it leaves, that long ago.
    Leaving(Duration),
    /// It has asked for rest.
    Resting {
        /// How long ago.
        since: Duration,
        /// For how much longer.
        left: Duration,
    },
}

/// Targets of one service that want nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeftOut {
    /// Those that leave.
    pub leaving: usize,
    /// Those that rest.
    pub resting: usize,
    /// Those whose addresses others have.
    pub replaced: usize,
    /// Those whose limit over all boxes is used up for now.
    pub limited: usize,
    /// Those whose data centres operators want nothing sent to.
    pub evacuated: usize,
}

/// All that one target has said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct NoticeState {
    leaves_since: Option<TimePoint>,
    rest: Option<RestSpan>,
    limit: Option<LimitWord>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RestSpan {
    since: TimePoint,
    until: TimePoint,
}

impl NoticeState {
    /// Takes what an answer says. A shorter rest doesn't end a longer one: the target was promised
    /// that.
    pub(crate) fn take(&mut self, now: TimePoint, notice: &TargetNotice) -> NoticeChange {
        let leaves = notice.leaves && self.leaves_since.is_none();
        if leaves {
            self.leaves_since = Some(now);
        }
        let rest = notice.rest.map(|rest| rest.min(LONGEST_REST)).filter(|rest| !rest.is_zero());
        let rest = rest.filter(|rest| self.lengthen(now, *rest));
        NoticeChange { leaves, rest }
    }

    /// Takes what an answer to a request that was sent at `asked` says of the target's limit.
    pub(crate) fn hear_limit(
        &mut self,
        now: TimePoint,
        asked: TimePoint,
        said: LimitSaid,
    ) -> Option<LimitChange> {
        let (word, change) = LimitWord::heard(self.limit, now, asked, said)?;
        self.limit = Some(word);
        change
    }

    /// Takes what a peer tells of the limit that heard it `age` ago.
    pub(crate) fn take_limit(
        &mut self,
        now: TimePoint,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<LimitChange> {
        let (word, change) = LimitWord::told(self.limit, now, rate, age)?;
        self.limit = Some(word);
        change
    }

    /// What the target said last of its limit.
    pub(crate) fn limit_word(&self) -> Option<LimitWord> {
        self.limit
    }

    /// The limit that it has now.
    pub(crate) fn limit(&self) -> Option<RequestRate> {
        self.limit?.rate
    }

    /// Why the target wants nothing at `now`, if so.
    pub(crate) fn bar(&self, now: TimePoint) -> Option<NoticeBar> {
        if let Some(since) = self.leaves_since {
            return Some(NoticeBar::Leaving(now.since(since)));
        }
        let rest = self.rest.filter(|rest| now < rest.until)?;
        Some(NoticeBar::Resting { since: now.since(rest.since), left: rest.until.since(now) })
    }

    /// Whether it has said nothing so far.
    pub(crate) fn is_silent(&self) -> bool {
        *self == NoticeState::default()
    }

    /// Ends rests sooner by `time`, which the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        if let Some(rest) = &mut self.rest {
            rest.until = rest.until.before(time);
        }
    }

    /// Takes a rest from `now` on; returns whether it ends later than what was known.
    fn lengthen(&mut self, now: TimePoint, time: Duration) -> bool {
        let until = now + time;
        let known = self.rest.filter(|rest| now < rest.until);
        let Some(rest) = known else {
            self.rest = Some(RestSpan { since: now, until });
            return true;
        };
        self.rest = Some(RestSpan { until: until.max(rest.until), ..rest });
        until > rest.until + SAME_END
    }
}
