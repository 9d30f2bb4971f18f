//! Decoding of the log lines of boxes.

use chrono::DateTime;
use eyre::{WrapErr, eyre};
use serde::Deserialize;

use super::excluded_targets::{ExclusionCause, ExclusionLine};
use super::limited_targets::{LimitEvent, LimitLine};
use super::lost_paths::PathEvent;
use super::poison_requests::EndedLine;
use super::propagation::{InForceLine, UnlistedLine};
use super::retry_windows::RetriesLine;

/// Text in the log line of a request whose target ended during an attempt.
const TARGET_ENDED: &str = "the target has ended";

/// The outcome of a request, as far as the counts of losses distinguish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// A target answered with a status below 500.
    Served,
    /// The request was refused and no target ran it.
    Refused,
    /// The request failed, or it is not known whether a target ran it.
    Failed,
    /// The box rejected the request as invalid.
    Rejected,
}

/// Log line of a request.
#[derive(Debug, Clone)]
pub(super) struct RequestLine {
    pub(super) service: String,
    pub(super) status: u16,
    pub(super) end: RequestEnd,
    /// Number of attempts that were made.
    pub(super) attempts: u32,
    /// Number of targets that received the request; 0 in lines of earlier versions.
    pub(super) deliveries: u32,
    /// Whether a second attempt was made while the first one was still open.
    pub(super) hedged: bool,
    pub(super) target: String,
    pub(super) target_centre: String,
    /// Predicted failure probability of the last attempt, if there was one.
    pub(super) risk: Option<f64>,
    pub(super) trial: bool,
    /// Time at which the box had read the request, in milliseconds since 1970.
    pub(super) started_ms: i64,
    /// Time at which the answer was ready, in milliseconds since 1970.
    pub(super) ended_ms: i64,
    /// Age of the box's view of the targets, in milliseconds; 0 if the line does not have it.
    pub(super) view_age_ms: u64,
    /// Fingerprint by which boxes recognise repetitions of the request; empty in lines of earlier versions.
    pub(super) fingerprint: String,
    pub(super) path: String,
    pub(super) customer: String,
    /// Number of targets that had ended under the request when it was refused for that reason, otherwise 0.
    pub(super) targets_ended: u32,
    /// Whether a target ended during one of the attempts.
    pub(super) target_ended: bool,
    /// Whether another box handled the request.
    pub(super) relayed: bool,
}

/// A decoded log line, with the name of the box that wrote it.
pub(super) struct BoxLine {
    /// Name of the box; empty if the line does not have it.
    pub(super) box_name: String,
    pub(super) event: LogEvent,
}

/// The event of a log line.
pub(super) enum LogEvent {
    Request(Box<RequestLine>),
    /// A box started, in this data centre.
    Started(String),
    /// A version of the configuration came into force.
    InForce(InForceLine),
    /// The listing of targets has dropped a target, or marks it as draining.
    Unlisted(UnlistedLine),
    /// A target ended while it ran a request.
    Ended(EndedLine),
    /// A target is excluded.
    Excluded(ExclusionLine),
    /// A target announced or ended its limit, or received a request under it.
    Limit(LimitLine),
    /// A box allowed retries of a service.
    Retries(RetriesLine),
    /// Paths of a box to the targets were lost or restored, or a request was handled for another box.
    Paths {
        at_ms: i64,
        event: PathEvent,
    },
    /// Any other event, which the report does not use.
    Other,
}

/// The fields of a log line that the report uses. Each value is logged as a string.
#[derive(Deserialize)]
struct RawLine {
    #[serde(default, rename = "box")]
    box_name: String,
    #[serde(default)]
    event: String,
    #[serde(default)]
    time: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    status: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    attempts: String,
    #[serde(default)]
    deliveries: String,
    #[serde(default)]
    allowed: String,
    #[serde(default)]
    hedged_ms: String,
    #[serde(default)]
    target: String,
    #[serde(default)]
    target_centre: String,
    #[serde(default)]
    risk: String,
    #[serde(default)]
    taken_ms: String,
    #[serde(default)]
    view_age_ms: String,
    #[serde(default)]
    version: String,
    #[serde(default, rename = "heard_ms")]
    pending_ms: String,
    #[serde(default)]
    source: String,
    #[serde(default)]
    fingerprint: String,
    #[serde(default)]
    path: String,
    #[serde(default)]
    customer: String,
    #[serde(default)]
    targets_ended: String,
    #[serde(default, rename = "tried")]
    attempt_log: String,
    #[serde(default, rename = "rest_ms")]
    backoff_ms: String,
    #[serde(default)]
    per_second: String,
    #[serde(default)]
    relayed_from: String,
    #[serde(default)]
    relayed_to: String,
}

/// Decodes the JSON object of a log line.
///
/// # Errors
/// Fails if `json` is not a JSON object, or if a field that the event needs is missing or invalid.
pub(super) fn decode(json: &str) -> eyre::Result<BoxLine> {
    let mut raw: RawLine =
        serde_json::from_str(json).wrap_err("found no JSON object of a log line")?;
    let box_name = std::mem::take(&mut raw.box_name);
    Ok(BoxLine { box_name, event: decode_event(raw)? })
}

fn decode_event(raw: RawLine) -> eyre::Result<LogEvent> {
    match raw.event.as_str() {
        // The line of the box that accepted the request counts for it.
        "request" if !raw.relayed_from.is_empty() => path_event(&raw, PathEvent::RelayedFrom),
        "paths-lost" => path_event(&raw, PathEvent::Lost),
        "paths-restored" => path_event(&raw, PathEvent::Restored),
        "request" => Ok(LogEvent::Request(Box::new(decode_request(raw)?))),
        "started" => Ok(LogEvent::Started(raw.data_centre)),
        "configuration-in-force" => Ok(LogEvent::InForce(InForceLine {
            version: number(&raw.version, "version")?,
            at_ms: time_ms(&raw.time)?,
            // Boxes of earlier versions don't log this field.
            pending_ms: raw.pending_ms.parse().unwrap_or_default(),
            from_store: raw.source == "store",
        })),
        "target-left" => {
            Ok(LogEvent::Unlisted(UnlistedLine { at_ms: time_ms(&raw.time)?, target: raw.target }))
        }
        "target-ended" => {
            Ok(LogEvent::Ended(EndedLine { fingerprint: raw.fingerprint, target: raw.target }))
        }
        "target-leaves" => exclusion(raw, ExclusionCause::Draining),
        "target-rests" => {
            let backoff_ms = number(&raw.backoff_ms, "rest_ms")?;
            exclusion(raw, ExclusionCause::BackingOff(backoff_ms))
        }
        "target-limited" => {
            let rate = number(&raw.per_second, "per_second")?;
            limit_event(raw, LimitEvent::Announced(rate))
        }
        "target-unlimited" => limit_event(raw, LimitEvent::Ended),
        "limited-send" => limit_event(raw, LimitEvent::Sent),
        "retry-budget" => Ok(LogEvent::Retries(RetriesLine {
            at_ms: time_ms(&raw.time)?,
            allowed: number(&raw.allowed, "allowed")?,
            service: raw.service,
        })),
        "target-replaced" => exclusion(raw, ExclusionCause::Replaced),
        "send-withheld" => exclusion(raw, ExclusionCause::Withheld),
        _ => Ok(LogEvent::Other),
    }
}

fn path_event(raw: &RawLine, event: PathEvent) -> eyre::Result<LogEvent> {
    Ok(LogEvent::Paths { at_ms: time_ms(&raw.time)?, event })
}

fn exclusion(raw: RawLine, cause: ExclusionCause) -> eyre::Result<LogEvent> {
    let at_ms = time_ms(&raw.time)?;
    Ok(LogEvent::Excluded(ExclusionLine { target: raw.target, at_ms, cause }))
}

fn limit_event(raw: RawLine, event: LimitEvent) -> eyre::Result<LogEvent> {
    let at_ms = time_ms(&raw.time)?;
    Ok(LogEvent::Limit(LimitLine { target: raw.target, at_ms, event }))
}

fn decode_request(raw: RawLine) -> eyre::Result<RequestLine> {
    let status = number(&raw.status, "status")?;
    let ended_ms = time_ms(&raw.time)?;
    let (risk, trial) = match raw.risk.split_once(' ') {
        Some((risk, _)) => (risk, true),
        None => (raw.risk.as_str(), false),
    };
    Ok(RequestLine {
        end: request_end(status, &raw.outcome),
        status,
        attempts: number(&raw.attempts, "attempts")?,
        deliveries: raw.deliveries.parse().unwrap_or_default(),
        hedged: raw.hedged_ms.parse::<u64>().is_ok(),
        risk: risk.parse().ok(),
        trial,
        started_ms: ended_ms - number::<i64>(&raw.taken_ms, "taken_ms")?,
        ended_ms,
        view_age_ms: raw.view_age_ms.parse().unwrap_or_default(),
        targets_ended: raw.targets_ended.parse().unwrap_or_default(),
        target_ended: raw.attempt_log.contains(TARGET_ENDED),
        relayed: !raw.relayed_to.is_empty(),
        fingerprint: raw.fingerprint,
        path: raw.path,
        customer: raw.customer,
        service: raw.service,
        target: raw.target,
        target_centre: raw.target_centre,
    })
}

fn time_ms(time: &str) -> eyre::Result<i64> {
    let time = DateTime::parse_from_rfc3339(time)
        .wrap_err_with(|| format!("the field 'time' is '{time}', expected an RFC 3339 time"))?;
    Ok(time.timestamp_millis())
}

fn request_end(status: u16, outcome: &str) -> RequestEnd {
    match outcome {
        "answered" if status < 500 => RequestEnd::Served,
        "not-run" => RequestEnd::Refused,
        "rejected" => RequestEnd::Rejected,
        _ => RequestEnd::Failed,
    }
}

fn number<T: std::str::FromStr>(text: &str, name: &str) -> eyre::Result<T> {
    text.parse().map_err(|_| eyre!("the field '{name}' is '{text}', expected a number"))
}
