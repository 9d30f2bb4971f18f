//! Reports between boxes about the limits of targets.

use std::time::Duration;

use wingbridge_decide::TargetKey;
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::{LimitChange, LimitReport, RequestRate};
use wingbridge_wire::limits::TargetLimit;

use crate::context::{BoxContext, millis};

/// Encodes the last limit report of a target; `None` if the target never set a limit.
pub(crate) fn limit_of(context: &BoxContext, key: TargetKey) -> Option<TargetLimit> {
    let report = context.core().limit_report(key)?;
    Some(encode_limit(context.now(), key, &report))
}

/// Returns the limits in force, the most recently received ones first and at most `max` of them. They are sent
/// to boxes that may have missed the first report.
pub(crate) fn limits_in_force(context: &BoxContext, max: usize) -> Vec<TargetLimit> {
    let mut reports: Vec<(TargetKey, LimitReport)> = context.core().limited_targets().collect();
    reports.sort_by_key(|(_, report)| std::cmp::Reverse(report.received_at));
    reports.truncate(max);
    let now = context.now();
    reports.iter().map(|(key, report)| encode_limit(now, *key, report)).collect()
}

/// Merges the limit of a target that a peer reported.
pub(crate) fn merge_limit(context: &BoxContext, limit: &TargetLimit, peer: &str) {
    let key = TargetKey(limit.target);
    let rate = limit.limited.then(|| RequestRate::from_millionths(limit.millionths));
    let age = Duration::from_millis(limit.age_ms);
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

/// Logs a change of a limit. `by` is the reporting peer, or "own" for a target's answer to this box.
pub(crate) fn log_limit(target: &str, change: LimitChange, by: &str) {
    match change {
        LimitChange::Set(rate) => log::info!(target, per_second:% = rate, by; "target-limited"),
        LimitChange::Cleared => log::info!(target, by; "target-unlimited"),
    }
}

fn encode_limit(now: TimePoint, key: TargetKey, report: &LimitReport) -> TargetLimit {
    TargetLimit {
        target: key.0,
        limited: report.rate.is_some(),
        millionths: report.rate.map_or(0, RequestRate::millionths),
        age_ms: millis(now.since(report.received_at)),
    }
}
