//! The log line of a request, decoded once.

use chrono::DateTime;
use eyre::{WrapErr, eyre};
use serde::Deserialize;

use super::deadly::EndedLine;
use super::left_alone::{AloneCause, AloneLine};
use super::limited::{LimitedCause, LimitedLine};
use super::spread::{InForceLine, LeftLine};

/// What a request's line says of an attempt under which its target ended.
const TARGET_ENDED: &str = "the target has ended";

/// How a request ended, for the count of losses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LineEnd {
    /// A target's success.
    Served,
    /// Refused, and nothing was run.
    Refused,
    /// It failed, or whether it ran is unknown.
    Failed,
    /// The request itself could not be taken.
    Rejected,
}

/// A request, as its box logged it.
#[derive(Debug, Clone)]
pub(super) struct RequestLine {
    pub(super) service: String,
    pub(super) status: u16,
    pub(super) end: LineEnd,
    /// Targets that were asked.
    pub(super) attempts: u32,
    /// Whether a second attempt was made beside an open one.
    pub(super) hedged: bool,
    pub(super) target: String,
    pub(super) target_centre: String,
    /// How likely the last attempt was taken to fail, if there was one.
    pub(super) risk: Option<f64>,
    pub(super) trial: bool,
    /// When it was read and when its answer was ready, in milliseconds.
    pub(super) started_ms: i64,
    pub(super) ended_ms: i64,
    /// How old the box's view of the targets was then, in milliseconds; 0 if it is not told.
    pub(super) view_age_ms: u64,
    /// By which the box knows it again; empty in lines of earlier versions.
    pub(super) fingerprint: String,
    pub(super) path: String,
    pub(super) customer: String,
    /// Targets for whose end it was refused; 0 if it was not.
    pub(super) targets_ended: u32,
    /// Whether a target ended under this try.
    pub(super) met_end: bool,
}

/// A line of a log, and the box whose it is, if the line tells.
pub(super) struct BoxLine {
    /// Empty in logs of boxes that did not tell.
    pub(super) box_name: String,
    pub(super) line: LogLine,
}

/// What a line of a log is, as far as it counts here.
pub(super) enum LogLine {
    Request(Box<RequestLine>),
    /// A box's start, with its data centre.
    Started(String),
    /// A configuration that came into force.
    InForce(InForceLine),
    /// A target that left.
    Left(LeftLine),
    /// A target that ended while it had a request.
    Ended(EndedLine),
    /// Why a target is left alone.
    Alone(AloneLine),
    /// What a target with a limit said, or got.
    Limited(LimitedLine),
    Other,
}

/// The fields as they stand in the log: each value is a text.
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
    #[serde(default)]
    heard_ms: String,
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
    #[serde(default)]
    tried: String,
    #[serde(default)]
    rest_ms: String,
    #[serde(default)]
    per_second: String,
}

/// Decodes the JSON of one line.
///
/// # Errors
/// It is no JSON object, or a request's field is missing or is no number.
pub(super) fn decode(json: &str) -> eyre::Result<BoxLine> {
    let mut raw: RawLine = serde_json::from_str(json).wrap_err("it is no JSON object of a log")?;
    let box_name = std::mem::take(&mut raw.box_name);
    Ok(BoxLine { box_name, line: decode_line(raw)? })
}

fn decode_line(raw: RawLine) -> eyre::Result<LogLine> {
    match raw.event.as_str() {
        "request" => Ok(LogLine::Request(Box::new(decode_request(raw)?))),
        "started" => Ok(LogLine::Started(raw.data_centre)),
        "configuration-in-force" => Ok(LogLine::InForce(InForceLine {
            version: number(&raw.version, "version")?,
            at_ms: time_ms(&raw.time)?,
            // Older boxes don't tell it.
            known_ms: raw.heard_ms.parse().unwrap_or_default(),
            from_store: raw.source == "store",
        })),
        "target-left" => {
            Ok(LogLine::Left(LeftLine { at_ms: time_ms(&raw.time)?, target: raw.target }))
        }
        "target-ended" => {
            Ok(LogLine::Ended(EndedLine { fingerprint: raw.fingerprint, target: raw.target }))
        }
        "target-leaves" => alone(raw, AloneCause::Leaves),
        "target-rests" => {
            let rest_ms = number(&raw.rest_ms, "rest_ms")?;
            alone(raw, AloneCause::Rests(rest_ms))
        }
        "target-limited" => {
            let rate = number(&raw.per_second, "per_second")?;
            limited(raw, LimitedCause::Named(rate))
        }
        "target-unlimited" => limited(raw, LimitedCause::Ended),
        "limited-send" => limited(raw, LimitedCause::Sent),
        "target-replaced" => alone(raw, AloneCause::Replaced),
        "send-withheld" => alone(raw, AloneCause::Withheld),
        _ => Ok(LogLine::Other),
    }
}

fn alone(raw: RawLine, cause: AloneCause) -> eyre::Result<LogLine> {
    let at_ms = time_ms(&raw.time)?;
    Ok(LogLine::Alone(AloneLine { target: raw.target, at_ms, cause }))
}

fn limited(raw: RawLine, cause: LimitedCause) -> eyre::Result<LogLine> {
    let at_ms = time_ms(&raw.time)?;
    Ok(LogLine::Limited(LimitedLine { target: raw.target, at_ms, cause }))
}

fn decode_request(raw: RawLine) -> eyre::Result<RequestLine> {
    let status = number(&raw.status, "status")?;
    let ended_ms = time_ms(&raw.time)?;
    let (risk, trial) = match raw.risk.split_once(' ') {
        Some((risk, _)) => (risk, true),
        None => (raw.risk.as_str(), false),
    };
    Ok(RequestLine {
        end: end_of(status, &raw.outcome),
        status,
        attempts: number(&raw.attempts, "attempts")?,
        hedged: raw.hedged_ms.parse::<u64>().is_ok(),
        risk: risk.parse().ok(),
        trial,
        started_ms: ended_ms - number::<i64>(&raw.taken_ms, "taken_ms")?,
        ended_ms,
        view_age_ms: raw.view_age_ms.parse().unwrap_or_default(),
        targets_ended: raw.targets_ended.parse().unwrap_or_default(),
        met_end: raw.tried.contains(TARGET_ENDED),
        fingerprint: raw.fingerprint,
        path: raw.path,
        customer: raw.customer,
        service: raw.service,
        target: raw.target,
        target_centre: raw.target_centre,
    })
}

fn time_ms(time: &str) -> eyre::Result<i64> {
    let time =
        DateTime::parse_from_rfc3339(time).wrap_err_with(|| format!("its time is '{time}'"))?;
    Ok(time.timestamp_millis())
}

fn end_of(status: u16, outcome: &str) -> LineEnd {
    match outcome {
        "answered" if status < 500 => LineEnd::Served,
        "not-run" => LineEnd::Refused,
        "rejected" => LineEnd::Rejected,
        _ => LineEnd::Failed,
    }
}

fn number<T: std::str::FromStr>(text: &str, name: &str) -> eyre::Result<T> {
    text.parse().map_err(|_| eyre!("its field '{name}' is '{text}', which is no number"))
}
