//! Checks the promises against what callers and targets observed.
//!
//! Time bounds apply to boxes that were connected, which means undisturbed for `CONNECTED_AFTER`.
//! They are extended in proportion to the lateness of this program's own threads, so that a busy
//! machine causes no false violations.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{AnswerCheck, Arrival, NoticeRecord, POISON_PATH};

use crate::callers::{CallerEnd, CallerRecord};
use crate::environment::{CUSTOMER, ConfigHistory, ROUTE_TIMEOUT, service_of};
use crate::fleet::RETRY_SLACK;
use crate::limits::above_limit;
use crate::notices::{sent_during_backoff, sent_to_draining};
use crate::report::Violation;
use crate::spans::{SpanLog, SpanScope};

/// Time after which a target that leaves must get no new work, and after which a new configuration
/// must be in force.
pub(crate) const MAX_CHANGE_TIME: Duration = Duration::from_secs(2);
/// Time without a disturbance after which a box counts as connected.
const CONNECTED_AFTER: Duration = Duration::from_secs(3);
/// Time for which requests may still be handled by an older configuration after a newer one was
/// observed.
const REVERT_GRACE: Duration = Duration::from_millis(250);
/// Time after a request's last byte within which the closing of its connection counts as having
/// crossed the request on the network.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Time within which a caller's hang-up must reach the target.
const HANG_UP_TIME: Duration = Duration::from_millis(500);
/// Time beyond its route's timeout within which a request must be answered.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests per run that may still reach targets after their callers hung up. The
/// promise allows "a few".
const MAX_AFTER_HANG_UP: usize = 3;
/// Maximum number of times that a poison request may reach targets after [`POISON_THRESHOLD`] of
/// them have ended and the boxes had time to report it to each other.
const MAX_SENDS_AFTER: usize = 3;
/// Number of targets that end before a request has to count as a poison request.
const POISON_THRESHOLD: usize = 3;
/// Number of requests that may fail at boxes without paths to the targets, beside one in fifty of all.
const MAX_FAILED_IN_CUTS: usize = 10;
/// Maximum number of retries per request.
const MAX_RETRY_RATIO: f64 = 0.2;
/// Time window in which requests and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A probe of a box for the configuration that is in force there.
#[derive(Debug, Clone)]
pub struct ProbeRecord {
    /// Request id of the probe.
    pub id: String,
    /// Index of the box.
    pub index: usize,
    /// Number of the box's incarnation.
    pub incarnation: u32,
    /// The version whose route was requested, which was the newest one at that time.
    pub version: u32,
    /// When the probe was sent.
    pub sent: Instant,
    /// When the answer was complete.
    pub ended: Instant,
    /// Status of the answer.
    pub status: u16,
}

/// All observations of a run.
#[derive(Debug)]
pub struct SoakEvidence {
    /// Requests of callers.
    pub records: Vec<CallerRecord>,
    /// Requests that reached targets.
    pub arrivals: Vec<Arrival>,
    /// Boxes that handled relayed requests, by the ids of the requests.
    pub handlers: HashMap<String, usize>,
    /// Notices of targets in their answers.
    pub notices: Vec<NoticeRecord>,
    /// Probes for the configuration in force.
    pub probes: Vec<ProbeRecord>,
    /// Targets that were marked as draining or removed, and when the store acknowledged it.
    pub departures: Vec<(String, Instant)>,
    /// Acknowledged configurations.
    pub config_history: ConfigHistory,
    /// Disturbances of boxes and of the store.
    pub spans: SpanLog,
    /// Time by which bounds are extended.
    pub margin: Duration,
    /// Processes that ended unexpectedly or did not end in time when they were stopped.
    pub process_faults: Vec<String>,
    /// Whether service recovered in time after the last fault.
    pub recovered: bool,
}

/// Checks all promises and returns those that were broken.
pub fn check_all(evidence: &SoakEvidence) -> Vec<Violation> {
    let runs = runs_of(&evidence.arrivals);
    let not_recovered = match evidence.recovered {
        true => Vec::new(),
        false => vec!["after the last fault requests still failed".to_string()],
    };
    let found = [
        Violation::of("an order runs once at most", run_twice(evidence, &runs), 0),
        Violation::of("what is refused has not run", refused_and_run(evidence, &runs), 0),
        Violation::of("a success is the target's whole answer", wrong_answers(evidence), 0),
        Violation::of(
            "targets get what callers sent, at the right service",
            unexpected_arrivals(evidence),
            0,
        ),
        Violation::of("targets are told the customer and no key", wrong_credentials(evidence), 0),
        Violation::of("a planned stop cuts nothing", cut_requests(evidence), 0),
        Violation::of("a request is answered in its time", held_too_long(evidence), 0),
        Violation::of("a leaving target gets no new work", ran_after_departure(evidence), 0),
        Violation::of(
            "a target that says that it leaves is left alone",
            sent_to_draining(evidence),
            0,
        ),
        Violation::of("a target that asks for rest gets it", sent_during_backoff(evidence), 0),
        Violation::of("a target that names a limit gets no more", above_limit(evidence), 0),
        Violation::of("a configuration is in force in time", late_config(evidence), 0),
        Violation::of("a configuration never reverts", reverted_config(evidence), 0),
        Violation::of("a hang-up cancels", arrived_after_hang_up(evidence), MAX_AFTER_HANG_UP),
        Violation::of("retries stay within the budget", retries_over_budget(evidence), 0),
        Violation::of(
            "a request under which targets end reaches few more",
            poison_over_limit(evidence),
            0,
        ),
        Violation::of("boxes without paths have requests served", unserved_in_cuts(evidence), 0),
        Violation::of("processes run until they are stopped", evidence.process_faults.clone(), 0),
        Violation::of("service returns after faults", not_recovered, 0),
    ];
    found.into_iter().flatten().collect()
}

fn runs_of(arrivals: &[Arrival]) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
        *runs.entry(arrival.request.as_str()).or_default() += 1;
    }
    runs
}

fn run_twice(evidence: &SoakEvidence, runs: &HashMap<&str, usize>) -> Vec<String> {
    let orders = evidence.records.iter().filter(|record| record.path.starts_with("/order/"));
    let twice = orders.filter(|record| runs.get(record.id.as_str()).is_some_and(|runs| *runs > 1));
    twice.map(|record| record.id.clone()).collect()
}

fn refused_and_run(evidence: &SoakEvidence, runs: &HashMap<&str, usize>) -> Vec<String> {
    let orders = evidence.records.iter().filter(|record| record.path.starts_with("/order/"));
    let refused = orders.filter(|record| is_refusal(record.end));
    let ran = refused.filter(|record| runs.contains_key(record.id.as_str()));
    ran.map(|record| format!("{} {:?}", record.id, record.end)).collect()
}

/// Returns whether an answer promises that the request has not run and will not run.
pub fn is_refusal(end: CallerEnd) -> bool {
    matches!(end, CallerEnd::Answered(408 | 421 | 429 | 503, _))
}

fn wrong_answers(evidence: &SoakEvidence) -> Vec<String> {
    let wrong = |record: &&CallerRecord| {
        matches!(record.end, CallerEnd::Answered(_, AnswerCheck::Wrong))
            // Only boxes answer 404, and callers request routes that every configuration has.
            || matches!(record.end, CallerEnd::Answered(0 | 400..=407 | 409..=420, _))
    };
    evidence.records.iter().filter(wrong).map(describe).collect()
}

fn unexpected_arrivals(evidence: &SoakEvidence) -> Vec<String> {
    let mut sent_paths: HashMap<&str, &str> = HashMap::new();
    sent_paths
        .extend(evidence.records.iter().map(|record| (record.id.as_str(), record.path.as_str())));
    let probes: HashSet<&str> = evidence.probes.iter().map(|probe| probe.id.as_str()).collect();
    let unexpected = evidence.arrivals.iter().filter(|arrival| {
        let path = arrival.line.split(' ').nth(1).unwrap_or_default();
        // Probes without an answer left no record; they are recognized by their ids.
        let is_probe =
            arrival.request.starts_with('p') || probes.contains(arrival.request.as_str());
        let requested = sent_paths.get(arrival.request.as_str()).is_some_and(|sent| *sent == path);
        (!requested && !is_probe) || (arrival.ran && service_of(path) != arrival.service)
    });
    unexpected
        .map(|arrival| format!("{} {} at {}", arrival.request, arrival.line, arrival.service))
        .collect()
}

/// Finds requests that reached a target without the name of their customer or with an API key.
fn wrong_credentials(evidence: &SoakEvidence) -> Vec<String> {
    let names_customer = |arrival: &&Arrival| arrival.customer.as_deref() == Some(CUSTOMER);
    let wrong =
        evidence.arrivals.iter().filter(|arrival| !names_customer(arrival) || arrival.has_key);
    wrong.map(|arrival| format!("{} at {}", arrival.request, arrival.target)).collect()
}

fn cut_requests(evidence: &SoakEvidence) -> Vec<String> {
    let arrived: HashSet<&str> =
        evidence.arrivals.iter().map(|arrival| arrival.request.as_str()).collect();
    let closed = evidence.records.iter().filter(|record| record.end == CallerEnd::Closed);
    let lost = closed.filter(|record| {
        let crossed = !arrived.contains(record.id.as_str())
            && record.ended - record.sent <= CROSSING_TIME + evidence.margin;
        !crossed && was_undisturbed(evidence, record)
    });
    lost.map(describe).collect()
}

fn held_too_long(evidence: &SoakEvidence) -> Vec<String> {
    let max_time = ROUTE_TIMEOUT + ANSWER_GRACE + evidence.margin;
    let long = evidence.records.iter().filter(|record| record.ended - record.sent > max_time);
    let long = long.filter(|record| was_undisturbed(evidence, record));
    long.map(describe).collect()
}

/// Returns whether nothing except planned stops disturbed the box of a request, from
/// [`CONNECTED_AFTER`] before the request until its end.
fn was_undisturbed(evidence: &SoakEvidence, record: &CallerRecord) -> bool {
    let from = record.sent.checked_sub(CONNECTED_AFTER).unwrap_or(record.sent);
    !evidence.spans.overlaps(&SpanScope::Box(record.index), from, record.ended)
}

fn ran_after_departure(evidence: &SoakEvidence) -> Vec<String> {
    let mut cases = Vec::new();
    for (target, acknowledged) in &evidence.departures {
        let until = *acknowledged + MAX_CHANGE_TIME + evidence.margin;
        let late = evidence
            .arrivals
            .iter()
            .filter(|arrival| arrival.ran && arrival.target == *target && arrival.at > until);
        for arrival in late {
            let Some(index) = evidence.sender_of(&arrival.request) else { continue };
            if evidence.spans.was_connected(index, *acknowledged, arrival.at, CONNECTED_AFTER) {
                let after = (arrival.at - *acknowledged).as_millis();
                cases.push(format!("{} at {target} {after} ms after it left", arrival.request));
            }
        }
    }
    cases
}

fn late_config(evidence: &SoakEvidence) -> Vec<String> {
    let late = evidence.probes.iter().filter(|probe| {
        let Some(acknowledged) = evidence.config_history.acknowledged(probe.version) else {
            return false;
        };
        probe.status == 404
            && probe.sent > acknowledged + MAX_CHANGE_TIME + evidence.margin
            && evidence.spans.was_connected(probe.index, acknowledged, probe.ended, CONNECTED_AFTER)
            && !replaced_meanwhile(evidence, probe)
    });
    late.map(|probe| format!("box {} lacks version {}", probe.index, probe.version)).collect()
}

fn reverted_config(evidence: &SoakEvidence) -> Vec<String> {
    let mut seen: HashMap<(usize, u32), (u32, Instant)> = HashMap::new();
    let mut cases = Vec::new();
    for probe in &evidence.probes {
        let incarnation = (probe.index, probe.incarnation);
        if probe.status == 200 {
            let newest = seen.entry(incarnation).or_insert((probe.version, probe.ended));
            if probe.version > newest.0 {
                *newest = (probe.version, probe.ended);
            }
        }
        let Some((version, at)) = seen.get(&incarnation) else { continue };
        let reverts = probe.status == 404
            && probe.version <= *version
            && probe.sent > *at + REVERT_GRACE + evidence.margin
            && !replaced_meanwhile(evidence, probe);
        if reverts {
            cases.push(format!("box {} is back before version {version}", probe.index));
        }
    }
    cases
}

/// Returns whether two newer versions were acknowledged before the probe ended, as its route no
/// longer exists then.
fn replaced_meanwhile(evidence: &SoakEvidence, probe: &ProbeRecord) -> bool {
    let later = evidence.config_history.acknowledged(probe.version + 2);
    later.is_some_and(|later| later <= probe.ended + evidence.margin)
}

fn arrived_after_hang_up(evidence: &SoakEvidence) -> Vec<String> {
    let hung_up = evidence.records.iter().filter(|record| record.end == CallerEnd::GivenUp);
    let hung_up: HashMap<&str, &CallerRecord> =
        hung_up.map(|record| (record.id.as_str(), record)).collect();
    let late = evidence.arrivals.iter().filter(|arrival| {
        hung_up.get(arrival.request.as_str()).is_some_and(|record| {
            arrival.at > record.ended + HANG_UP_TIME + evidence.margin
                && evidence.spans.was_connected(
                    record.index,
                    record.sent,
                    arrival.at,
                    CONNECTED_AFTER,
                )
        })
    });
    late.map(|arrival| arrival.request.clone()).collect()
}

fn retries_over_budget(evidence: &SoakEvidence) -> Vec<String> {
    let mut requests: HashMap<&str, Vec<Instant>> = HashMap::new();
    for record in &evidence.records {
        requests.entry(service_of(&record.path)).or_default().push(record.sent);
    }
    for probe in &evidence.probes {
        requests.entry("reads").or_default().push(probe.sent);
    }
    let mut firsts = HashSet::new();
    let mut repeats: HashMap<&str, Vec<Instant>> = HashMap::new();
    for arrival in &evidence.arrivals {
        if !firsts.insert(arrival.request.as_str()) {
            repeats.entry(arrival.service.as_str()).or_default().push(arrival.at);
        }
    }
    let mut cases = Vec::new();
    for (service, times) in repeats {
        let sent = requests.remove(service).unwrap_or_default();
        let within = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + RETRY_WINDOW).count()
        };
        let over = times.iter().find_map(|from| {
            let earlier = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let earlier = earlier.iter().filter_map(|before| from.checked_sub(*before));
            let max_requests = earlier.map(|from| within(&sent, from)).max().unwrap_or(0);
            let allowed = MAX_RETRY_RATIO * max_requests as f64 + f64::from(RETRY_SLACK);
            let count = within(&times, *from);
            (count as f64 > allowed)
                .then(|| format!("{service}: {count} repeats, {allowed:.0} allowed"))
        });
        cases.extend(over);
    }
    cases
}

/// Finds poison requests that reached targets more than [`MAX_SENDS_AFTER`] times once
/// [`POISON_THRESHOLD`] targets had ended and the boxes had time to report it to each other.
fn poison_over_limit(evidence: &SoakEvidence) -> Vec<String> {
    let mut by_path: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in evidence.arrivals.iter().filter(|arrival| arrival.line.contains(POISON_PATH)) {
        by_path.entry(arrival.line.as_str()).or_default().push(arrival);
    }
    let mut cases = Vec::new();
    for (line, arrivals) in by_path {
        let mut runs = arrivals.iter().filter(|arrival| arrival.ran).map(|arrival| arrival.at);
        let Some(threshold_run) = runs.nth(POISON_THRESHOLD - 1) else { continue };
        let reported_by = threshold_run + CONNECTED_AFTER + evidence.margin;
        let late = arrivals.iter().filter(|arrival| {
            let was_connected = |index| {
                evidence.spans.was_connected(index, arrival.at, arrival.at, CONNECTED_AFTER)
            };
            arrival.at > reported_by
                && evidence.sender_of(&arrival.request).is_some_and(was_connected)
        });
        let late = late.count();
        if late > MAX_SENDS_AFTER {
            cases.push(format!("{line}: {late} sends of {} later than that", arrivals.len()));
        }
    }
    cases
}

/// Compares the requests at boxes that have lost their paths to all targets with those at the others at the same time,
/// once the boxes had time to notice.
fn unserved_in_cuts(evidence: &SoakEvidence) -> Vec<String> {
    let spans = &evidence.spans;
    let covers = |index: usize, at: Instant| {
        let from = at.checked_sub(CONNECTED_AFTER + evidence.margin).unwrap_or(at);
        spans.covers(&SpanScope::Paths(index), from, at)
    };
    let touches = |index: usize, at: Instant| {
        let from = at.checked_sub(CONNECTED_AFTER).unwrap_or(at);
        spans.overlaps(&SpanScope::Paths(index), from, at)
    };
    let boxes = evidence.records.iter().map(|record| record.index).max().map_or(0, |last| last + 1);
    let (mut cut, mut others) = (ServedCount::default(), ServedCount::default());
    for record in &evidence.records {
        let (index, at) = (record.index, record.sent);
        if !spans.was_connected(index, at, record.ended, CONNECTED_AFTER) {
            continue;
        }
        if covers(index, at) {
            cut.add(record);
        } else if !touches(index, at) && (0..boxes).any(|other| covers(other, at)) {
            others.add(record);
        }
    }
    let failed = cut.all - cut.served;
    let is_worse =
        cut.served as f64 * others.all as f64 * 1.5 < others.served as f64 * cut.all as f64;
    let is_broken = is_worse && failed > MAX_FAILED_IN_CUTS + (cut.all + others.all) / 50;
    let text = || {
        let ServedCount { served, all } = others;
        format!("{} of {} served, at the others {served} of {all}", cut.served, cut.all)
    };
    is_broken.then(text).into_iter().collect()
}

/// Requests, and those that were served.
#[derive(Debug, Clone, Copy, Default)]
struct ServedCount {
    all: usize,
    served: usize,
}

impl ServedCount {
    fn add(&mut self, record: &CallerRecord) {
        self.all += 1;
        self.served += usize::from(matches!(record.end, CallerEnd::Answered(200..=299, _)));
    }
}

impl SoakEvidence {
    /// Returns the index of the box that sent a request to targets: the one that received it from its caller, or the
    /// one that handled it for that one.
    pub(crate) fn sender_of(&self, request: &str) -> Option<usize> {
        self.handlers.get(request).copied().or_else(|| box_of(request))
    }
}

/// Returns the index of the box that received a request, which the request's id contains.
fn box_of(request: &str) -> Option<usize> {
    request.split_once('-')?.0.parse().ok()
}

fn describe(record: &CallerRecord) -> String {
    let taken = (record.ended - record.sent).as_millis();
    format!("{} at box {}: {:?} after {taken} ms", record.path, record.index, record.end)
}
