//! What targets say of themselves in the heads of their answers: read, taken into the core, and
//! told in the log.
//!
//! A head counts as soon as it is there. What becomes of the answer behind it (long, cut short, for
//! nobody any more) changes nothing of what its target has said.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use async_std::net::TcpStream;
use futures::FutureExt;
use wingbridge_decide::steer::{
    ExcludedTargets, Ineligibility, LimitUpdate, NoticeChange, RequestRate, SteerPick, TargetNotice,
};
use wingbridge_decide::{TargetKey, TimePoint};
use wingbridge_http::raw::RawResponseHead;

use crate::attempt::is_for_other_request;
use crate::context::{BoxContext, millis};
use crate::limit_reports::{limit_of, log_limit};
use crate::permit_manager::SendPermit;
use crate::ports::HeaderNames;

/// Bytes that a head may have which is read so, at most: those of targets have some 300.
const UNREAD_BYTES: usize = 4096;
/// What a target's answer says where it leaves.
const LEAVES: &str = "1";

/// One attempt's view of what its target has said.
pub(crate) struct AttemptNotices<'a> {
    context: &'a BoxContext,
    key: TargetKey,
    target: &'a str,
    /// The caller's id of the request, if it has one.
    request: Option<&'a str>,
    /// When the attempt began.
    asked: TimePoint,
    /// The permit that it has.
    permit: Option<SendPermit>,
    /// Whether a head was read already.
    heard: AtomicBool,
}

/// Reads the head of an answer that is there when nobody waits for it any more.
///
/// Of two attempts beside each other the first one with an answer wins, and a caller may leave: the
/// other answer may have come by then and not have been looked at. A target that had asked
/// for rest by it got 22 of the next 40 requests (a box on a machine whose processors were all busy).
pub(crate) struct UnreadHead<'a> {
    pub(crate) stream: TcpStream,
    pub(crate) method: &'a str,
    pub(crate) link: &'a AttemptNotices<'a>,
}

impl Drop for UnreadHead<'_> {
    fn drop(&mut self) {
        if self.link.heard.load(Ordering::Acquire) {
            return;
        }
        let mut bytes = [0; UNREAD_BYTES];
        // What is not there yet is not waited for: the connection closes, which cancels the work.
        let Some(Ok(count)) = self.stream.peek(&mut bytes).now_or_never() else {
            return;
        };
        if let Ok(Some((start, _))) = RawResponseHead::parse(&bytes[..count], self.method) {
            self.link.apply_head(&start);
        }
    }
}

impl<'a> AttemptNotices<'a> {
    /// A link for an attempt of that `request` at the target `pick`.
    pub(crate) fn new(
        context: &'a BoxContext,
        pick: &'a SteerPick,
        request: Option<&'a str>,
        permit: Option<SendPermit>,
    ) -> AttemptNotices<'a> {
        let heard = AtomicBool::new(false);
        let asked = context.now();
        AttemptNotices { context, key: pick.key, target: &pick.id, request, asked, permit, heard }
    }

    /// Takes what the head of an answer says of the target.
    pub(crate) fn apply_head(&self, start: &RawResponseHead) {
        self.heard.store(true, Ordering::Release);
        let names = &self.context.headers;
        if !is_own_word(start, names, self.request) {
            return;
        }
        let notice = read_notice(start, names);
        let now = self.context.now();
        let mut core = self.context.core();
        let change = core.record_notice(now, self.key, &notice);
        let limit = core.receive_limit(now, self.key, self.asked, read_limit(start, names));
        drop(core);
        self.tell(start.status, &change);
        if let Some(limit) = limit {
            log_limit(self.target, limit, "own");
            if let Some(told) = limit_of(self.context, self.key) {
                self.context.passive_samples.record_limit(self.key, told);
            }
        }
    }

    /// Whether the target may be sent the request, now that a connection to it is up.
    pub(crate) fn may_send(&self) -> bool {
        let now = self.context.now();
        let (bar, limit, is_evacuated) = {
            let core = self.context.core();
            let key = self.key;
            (core.ineligibility(now, key), core.limit(now, key), core.is_evacuated(key))
        };
        let (notice, since) = match bar {
            _ if is_evacuated => ("evacuated", Duration::ZERO),
            Some(Ineligibility::Draining(since)) => ("leaves", since),
            Some(Ineligibility::BackingOff { since, .. }) => ("rests", since),
            None => match limit {
                None => return true,
                // One for a higher limit was for more than the target takes now.
                Some(limit) if self.permit.is_some_and(|permit| permit.under <= limit) => {
                    self.log_limited_send(limit);
                    return true;
                }
                Some(_) => ("limit", Duration::ZERO),
            },
        };
        let (target, request, since_ms) = (self.target, self.request_id(), millis(since));
        log::info!(target, request, notice, since_ms; "send-withheld");
        metrics::counter!("wingbridge_sends_withheld", "notice" => notice).increment(1);
        false
    }

    /// Leaves a line of each send to a target with a limit: over all boxes they show whether it was kept.
    fn log_limited_send(&self, limit: RequestRate) {
        let by = self.permit.map_or("", |permit| permit.source.as_str());
        let (target, request) = (self.target, self.request_id());
        log::info!(target, request, per_second:% = limit, by; "limited-send");
        metrics::counter!("wingbridge_limited_sends").increment(1);
    }

    fn request_id(&self) -> &str {
        self.request.unwrap_or("-")
    }

    /// Tells of what is new: peers of a target that leaves, and the log of both.
    fn tell(&self, status: u16, change: &NoticeChange) {
        let (target, request) = (self.target, self.request_id());
        if change.draining {
            log::info!(target, request, status, by = "own"; "target-leaves");
            self.context.passive_samples.record_draining(self.key);
        }
        if let Some(rest) = change.backoff {
            log::info!(target, request, status, rest_ms = millis(rest); "target-rests");
        }
    }
}

/// Takes a peer's word that a target leaves.
///
/// Until it has asked the target itself a box would send it work that is then cut when the target
/// ends. A rest is not told: it was asked of one box, and one refusal told to all would have
/// every box turn to the same targets next.
pub(crate) fn merge_draining(context: &BoxContext, key: TargetKey, peer: &str) {
    let now = context.now();
    let mut core = context.core();
    if !core.record_draining(now, key) {
        return;
    }
    let name =
        core.target_name(key).map_or_else(|| format!("{:016x}", key.0), |name| name.to_string());
    drop(core);
    log::info!(target:% = name, by = peer; "target-leaves");
}

/// Sets the gauges of targets that want nothing now.
pub(crate) fn update_excluded_gauges(context: &BoxContext) {
    let core = context.core();
    let ExcludedTargets { draining: leaving, backing_off: resting, evacuated, .. } =
        core.all_excluded(context.now());
    let limited = core.limited_targets().count();
    drop(core);
    metrics::gauge!("wingbridge_targets_limited").set(limited as f64);
    metrics::gauge!("wingbridge_targets_evacuated").set(evacuated as f64);
    metrics::gauge!("wingbridge_targets_leaving").set(leaving as f64);
    metrics::gauge!("wingbridge_targets_resting").set(resting as f64);
}

/// Whether an answer to the request with the id `request` is the word of the target that was asked: of
/// another instance, or in an answer to another request, nobody knows whose it is.
fn is_own_word(start: &RawResponseHead, names: &HeaderNames, request: Option<&str>) -> bool {
    let is_success = (200..300).contains(&start.status);
    let has_proof = !is_success || start.headers.contains(&names.proof);
    start.status != 421 && !is_for_other_request(start, names, request) && has_proof
}

/// What an answer says of its target: that it leaves, and for how long it wants nothing.
fn read_notice(start: &RawResponseHead, names: &HeaderNames) -> TargetNotice {
    let mut leaving = start.headers.texts(&names.draining);
    let rests = matches!(start.status, 429 | 503);
    let rest = if rests { read_rest(start, names, SystemTime::now()) } else { None };
    TargetNotice { draining: leaving.any(|text| text == LEAVES), backoff: rest }
}

/// What an answer says of its target's limit: the lowest one of those that can be read.
fn read_limit(start: &RawResponseHead, names: &HeaderNames) -> LimitUpdate {
    let mut texts = start.headers.texts(&names.limit).peekable();
    if texts.peek().is_none() {
        return LimitUpdate::None;
    }
    let rate = |text: &str| RequestRate::new(read_decimal(text)?);
    texts.filter_map(rate).min().map_or(LimitUpdate::Unreadable, LimitUpdate::At)
}

/// The longest time for which an answer asks to be left alone, of those that can be read: seconds,
/// whole or not, or a date, which counts from that of the answer if it tells one.
fn read_rest(start: &RawResponseHead, names: &HeaderNames, now: SystemTime) -> Option<Duration> {
    let told = start.headers.text("date").and_then(|text| httpdate::parse_http_date(text).ok());
    let from = told.unwrap_or(now);
    let until = |text: &str| httpdate::parse_http_date(text).ok()?.duration_since(from).ok();
    let read = |text: &str| read_seconds(text).or_else(|| until(text));
    start.headers.texts(&names.retry_after).filter_map(read).max()
}

/// A time in seconds, whole or not.
fn read_seconds(text: &str) -> Option<Duration> {
    let seconds = read_decimal(text)?;
    // So many digits that no duration holds them are the longest one.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// A number from 0 on, whole or not, as digits. What a float may be beside that (`inf`, `1e12`) is none
/// that a target means.
fn read_decimal(text: &str) -> Option<f64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    text.parse().ok()
}
