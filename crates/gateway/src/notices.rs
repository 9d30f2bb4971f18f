//! Notices that targets give in the heads of their answers: that they are draining, request a back-off, or have a
//! limit.
//!
//! A notice is applied as soon as the head has arrived. It applies even if the body is long or truncated, or if the
//! caller has disconnected.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use async_std::net::TcpStream;
use futures::FutureExt;
use wingbridge_decide::steer::{
    ExcludedTargets, Ineligibility, LimitUpdate, NoticeChange, RequestRate, SteerPick, TargetNotice,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};
use wingbridge_http::raw::RawResponseHead;

use crate::attempt::is_for_other_request;
use crate::context::{BoxContext, millis};
use crate::limit_reports::{limit_of, log_limit};
use crate::permit_manager::SendPermit;
use crate::ports::HeaderNames;

/// Maximum size in bytes of a head that is read by [`UnreadHead`]. Targets send heads of about 300 bytes.
const MAX_UNREAD_BYTES: usize = 4096;
/// Value of the header by which a target announces that it is draining.
const DRAINING: &str = "1";

/// Applies the notices in the answer to one attempt, and checks the notices of its target before the attempt is sent.
pub(crate) struct AttemptNotices<'a> {
    context: &'a BoxContext,
    key: TargetKey,
    target: &'a str,
    service: &'a Name,
    /// The caller's id of the request, if it has one.
    request: Option<&'a str>,
    /// Time at which the attempt began.
    started: TimePoint,
    /// Permit of the attempt, if its target has a limit.
    permit: Option<SendPermit>,
    /// Whether the head of the answer has been read.
    is_head_read: AtomicBool,
}

/// Reads, on drop, the head of an answer that has arrived and that no task waits for any more.
///
/// Of two concurrent attempts the first one with an answer wins, and a caller may disconnect. The other answer may
/// have arrived by then without having been read. A target that requested a back-off in such an answer got 22 of
/// the next 40 requests of a box on a machine with all processors busy.
pub(crate) struct UnreadHead<'a> {
    pub(crate) stream: TcpStream,
    pub(crate) method: &'a str,
    pub(crate) notices: &'a AttemptNotices<'a>,
}

impl Drop for UnreadHead<'_> {
    fn drop(&mut self) {
        if self.notices.is_head_read.load(Ordering::Acquire) {
            return;
        }
        let mut bytes = [0; MAX_UNREAD_BYTES];
        // A head that has not arrived yet is not awaited. The connection closes, which cancels the work of the
        // target.
        let Some(Ok(count)) = self.stream.peek(&mut bytes).now_or_never() else {
            return;
        };
        if let Ok(Some((head, _))) = RawResponseHead::parse(&bytes[..count], self.method) {
            self.notices.apply_head(&head);
        }
    }
}

impl<'a> AttemptNotices<'a> {
    /// Creates the notices of an attempt at the target `pick` of `service`. `request` is the caller's id of the request, if any.
    pub(crate) fn new(
        context: &'a BoxContext,
        pick: &'a SteerPick,
        service: &'a Name,
        request: Option<&'a str>,
        permit: Option<SendPermit>,
    ) -> AttemptNotices<'a> {
        let is_head_read = AtomicBool::new(false);
        let started = context.now();
        AttemptNotices {
            context,
            key: pick.key,
            target: &pick.id,
            service,
            request,
            started,
            permit,
            is_head_read,
        }
    }

    /// Applies the notices in the head of an answer.
    pub(crate) fn apply_head(&self, head: &RawResponseHead) {
        self.is_head_read.store(true, Ordering::Release);
        let now = self.context.now();
        self.context.paths.record_contact(now, self.started, self.service);
        let names = &self.context.headers;
        if !is_from_target(head, names, self.request) {
            return;
        }
        let notice = read_notice(head, names);
        let now = self.context.now();
        let mut core = self.context.core();
        let change = core.record_notice(now, self.key, &notice);
        let limit = core.record_limit(now, self.key, self.started, read_limit(head, names));
        drop(core);
        self.report_change(head.status, &change);
        if let Some(limit) = limit {
            log_limit(self.target, limit, "own");
            if let Some(report) = limit_of(self.context, self.key) {
                self.context.passive_samples.record_limit(self.key, report);
            }
        }
    }

    /// Returns the address of a random target other than the one of the attempt, which is believed to be up; `None` if
    /// there is none.
    pub(crate) fn address_of_sound_target(&self) -> Option<Name> {
        let random: f64 = rand::random();
        let core = self.context.core();
        let sound = core.random_sound(self.context.now(), self.key, random);
        sound.map(|target| target.address.clone())
    }

    /// Returns whether the head of an answer has been read.
    pub(crate) fn is_head_read(&self) -> bool {
        self.is_head_read.load(Ordering::Acquire)
    }

    /// Returns whether the request may still be sent, now that a connection to the target is established.
    pub(crate) fn may_send(&self) -> bool {
        let now = self.context.now();
        let (ineligibility, limit, is_evacuated) = {
            let core = self.context.core();
            let key = self.key;
            (core.ineligibility(now, key), core.limit(now, key), core.is_evacuated(key))
        };
        let (notice, since) = match ineligibility {
            _ if is_evacuated => ("evacuated", Duration::ZERO),
            Some(Ineligibility::Draining(since)) => ("leaves", since),
            Some(Ineligibility::BackingOff { since, .. }) => ("rests", since),
            None => match limit {
                None => return true,
                // A permit that was granted under a higher limit is void, because the target now accepts less.
                Some(limit) if self.permit.is_some_and(|permit| permit.limit <= limit) => {
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

    /// Logs a send to a target with a limit. The lines of all boxes together show whether the limit was kept.
    fn log_limited_send(&self, limit: RequestRate) {
        let by = self.permit.map_or("", |permit| permit.source.as_str());
        let (target, request) = (self.target, self.request_id());
        log::info!(target, request, per_second:% = limit, by; "limited-send");
        metrics::counter!("wingbridge_limited_sends").increment(1);
    }

    fn request_id(&self) -> &str {
        self.request.unwrap_or("-")
    }

    /// Logs a change of the notices of the target, and reports to peers that it is draining. A back-off is not
    /// reported.
    fn report_change(&self, status: u16, change: &NoticeChange) {
        let (target, request) = (self.target, self.request_id());
        if change.draining {
            log::info!(target, request, status, by = "own"; "target-leaves");
            self.context.passive_samples.record_draining(self.key);
        }
        if let Some(backoff) = change.backoff {
            log::info!(target, request, status, rest_ms = millis(backoff); "target-rests");
        }
    }
}

/// Merges the report of a peer that a target is draining.
///
/// Without the report, a box would learn of the draining only when the target answers it, and would until then send
/// requests that are cut off when the target ends. A back-off is not reported: it was requested from one box, and if
/// one refusal were reported to all, every box would turn to the same targets next.
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

/// Sets the gauges of targets that are excluded or limited.
pub(crate) fn update_excluded_gauges(context: &BoxContext) {
    let core = context.core();
    let ExcludedTargets { draining, backing_off, evacuated, .. } = core.all_excluded(context.now());
    let limited = core.limited_targets().count();
    drop(core);
    metrics::gauge!("wingbridge_targets_limited").set(limited as f64);
    metrics::gauge!("wingbridge_targets_evacuated").set(evacuated as f64);
    metrics::gauge!("wingbridge_targets_leaving").set(draining as f64);
    metrics::gauge!("wingbridge_targets_resting").set(backing_off as f64);
}

/// Returns whether an answer to the request with the id `request` comes from the chosen target. The notices in an
/// answer of another instance, or to another request, can't be attributed to a target.
fn is_from_target(head: &RawResponseHead, names: &HeaderNames, request: Option<&str>) -> bool {
    let is_success = (200..300).contains(&head.status);
    let has_proof = !is_success || head.headers.contains(&names.proof);
    head.status != 421 && !is_for_other_request(head, names, request) && has_proof
}

/// Reads from an answer whether its target is draining, and the back-off that it requests.
fn read_notice(head: &RawResponseHead, names: &HeaderNames) -> TargetNotice {
    let mut draining = head.headers.texts(&names.draining);
    let is_refusal = matches!(head.status, 429 | 503);
    let backoff = if is_refusal { read_backoff(head, names, SystemTime::now()) } else { None };
    TargetNotice { draining: draining.any(|text| text == DRAINING), backoff }
}

/// Reads the limit that an answer announces, the lowest one if it has several that are valid.
fn read_limit(head: &RawResponseHead, names: &HeaderNames) -> LimitUpdate {
    let mut texts = head.headers.texts(&names.limit).peekable();
    if texts.peek().is_none() {
        return LimitUpdate::None;
    }
    let rate = |text: &str| RequestRate::new(read_decimal(text)?);
    texts.filter_map(rate).min().map_or(LimitUpdate::Unreadable, LimitUpdate::At)
}

/// Reads the longest valid back-off that an answer requests. It is a decimal number of seconds, or a date, which
/// counts from the `Date` of the answer if it has one.
fn read_backoff(head: &RawResponseHead, names: &HeaderNames, now: SystemTime) -> Option<Duration> {
    let sent_at = head.headers.text("date").and_then(|text| httpdate::parse_http_date(text).ok());
    let from = sent_at.unwrap_or(now);
    let until = |text: &str| httpdate::parse_http_date(text).ok()?.duration_since(from).ok();
    let read = |text: &str| read_seconds(text).or_else(|| until(text));
    head.headers.texts(&names.retry_after).filter_map(read).max()
}

/// Parses a decimal number of seconds.
fn read_seconds(text: &str) -> Option<Duration> {
    let seconds = read_decimal(text)?;
    // A number beyond the range of a duration counts as the longest one.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses a non-negative decimal number without an exponent. Other texts that parse as a float, such as `inf` and
/// `1e12`, are rejected, since no target sends them intentionally.
fn read_decimal(text: &str) -> Option<f64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    text.parse().ok()
}
