//! Limits of targets as boxes tell each other of them.

use std::time::Duration;

use wingbridge_decide::TargetKey;
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::{LimitChange, LimitReport, RequestRate};
use wingbridge_wire::limits::TargetLimit;

use crate::context::{BoxContext, millis};

/// What is known of a target's limit, for a message; `None` if it never named one.
pub(crate) fn limit_of(context: &BoxContext, key: TargetKey) -> Option<TargetLimit> {
    let word = context.core().limit_report(key)?;
    Some(encode_limit(context.now(), key, &word))
}

/// Limits that are in force, the last ones heard, `most` at most: what boxes are told that may have
/// missed them.
pub(crate) fn limits_retold(context: &BoxContext, most: usize) -> Vec<TargetLimit> {
    let mut words: Vec<(TargetKey, LimitReport)> = context.core().limited_targets().collect();
    words.sort_by_key(|(_, word)| std::cmp::Reverse(word.received_at));
    words.truncate(most);
    let now = context.now();
    words.iter().map(|(key, word)| encode_limit(now, *key, word)).collect()
}

/// Takes what a peer tells of a target's limit.
pub(crate) fn take_limit(context: &BoxContext, told: &TargetLimit, peer: &str) {
    let key = TargetKey(told.target);
    let rate = told.limited.then(|| RequestRate::from_millionths(told.millionths));
    let age = Duration::from_millis(told.age_ms);
    let now = context.now();
    let mut core = context.core();
    let Some(change) = core.merge_limit(now, key, rate, age) else {
        return;
    };
    let name =
        core.target_name(key).map_or_else(|| format!("{:016x}", key.0), |name| name.to_string());
    drop(core);
    log_limit(&name, change, peer);
}

/// Logs a limit that is new to this box; `by` is who told: "own" for the target's answer to it.
pub(crate) fn log_limit(target: &str, change: LimitChange, by: &str) {
    match change {
        LimitChange::Set(rate) => log::info!(target, per_second:% = rate, by; "target-limited"),
        LimitChange::Cleared => log::info!(target, by; "target-unlimited"),
    }
}

fn encode_limit(now: TimePoint, key: TargetKey, word: &LimitReport) -> TargetLimit {
    TargetLimit {
        target: key.0,
        limited: word.rate.is_some(),
        millionths: word.rate.map_or(0, RequestRate::millionths),
        age_ms: millis(now.since(word.received_at)),
    }
}
