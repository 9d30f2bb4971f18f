//! The promises, held against what callers and targets saw.
//!
//! Bounds on times hold for boxes that were in touch, as the users' pages define it, and
//! are stretched by how late this program itself was woken, so that a busy machine makes
//! no false finding.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{AnswerCheck, Arrival, NoticeRecord, POISON_PATH};

use crate::callers::{CallerEnd, CallerRecord};
use crate::fleet::RETRY_SLACK;
use crate::limits::above_limit;
use crate::notices::{after_word, sent_in_rest};
use crate::report::Violation;
use crate::spans::{SpanLog, SpanScope};
use crate::world::{CUSTOMER, ConfigBoard, ROUTE_TIME, service_of};

/// A target that leaves gets no new work after this long, and a configuration is in force.
/// Source: the users' pages.
pub(crate) const CHANGE_TIME: Duration = Duration::from_secs(2);
/// A box counts as in touch after so long without a disturbance. Source: the users' pages.
const CONTACT: Duration = Duration::from_secs(3);
/// Handling by an older configuration is excused for so long after a newer one was seen.
const BACK: Duration = Duration::from_millis(250);
/// A connection that closes within this of a request's last byte crossed it on its way.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// A caller's hang-up reaches the target within this.
const GONE_TIME: Duration = Duration::from_millis(500);
/// A request is answered within this after its route's time.
const HELD_TIME: Duration = Duration::from_millis(500);
/// Requests of callers that have gone, which may still arrive. Source: "a few".
const GONE_MOST: usize = 3;
/// Sends of a request that may reach targets once so many have ended under it, and boxes had the time
/// to tell each other. Source: the users' pages.
const SENDS_AFTER: usize = 3;
const ENDED_BEFORE: usize = 3;
/// Retries for each request, and the window in which both count. Source: the users' pages.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A question which configuration is in force at a box.
#[derive(Debug, Clone)]
pub struct ProbeRecord {
    /// Its id.
    pub id: String,
    /// The box.
    pub index: usize,
    /// The number of its life.
    pub life: u32,
    /// The version whose route was asked for: the newest one then.
    pub version: u32,
    /// When it was asked.
    pub asked: Instant,
    /// When the answer came.
    pub ended: Instant,
    /// The status.
    pub status: u16,
}

/// All that a run saw.
#[derive(Debug)]
pub struct SoakEvidence {
    /// Callers' requests.
    pub records: Vec<CallerRecord>,
    /// What reached targets.
    pub arrivals: Vec<Arrival>,
    /// What targets said of themselves in answers.
    pub notices: Vec<NoticeRecord>,
    /// Questions for the configuration.
    pub probes: Vec<ProbeRecord>,
    /// Targets that left, and when that was acknowledged.
    pub departures: Vec<(String, Instant)>,
    /// Configurations.
    pub board: ConfigBoard,
    /// Disturbances.
    pub spans: SpanLog,
    /// What bounds are stretched by.
    pub margin: Duration,
    /// Processes that ended on their own, or did not.
    pub strays: Vec<String>,
    /// Whether all was served again in time after the last fault.
    pub recovered: bool,
}

/// Checks all promises.
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
        Violation::of("targets get what callers sent, at the right service", unasked(evidence), 0),
        Violation::of("targets are told the customer and no key", unnamed(evidence), 0),
        Violation::of("a planned stop cuts nothing", lost(evidence), 0),
        Violation::of("a request is answered in its time", held_too_long(evidence), 0),
        Violation::of("a leaving target gets no new work", late_at_leaving(evidence), 0),
        Violation::of("a target that says that it leaves is left alone", after_word(evidence), 0),
        Violation::of("a target that asks for rest gets it", sent_in_rest(evidence), 0),
        Violation::of("a target that names a limit gets no more", above_limit(evidence), 0),
        Violation::of("a configuration is in force in time", late_config(evidence), 0),
        Violation::of("a configuration never reverts", reverted(evidence), 0),
        Violation::of("a hang-up cancels", after_hang_up(evidence), GONE_MOST),
        Violation::of("retries stay within the budget", over_budget(evidence), 0),
        Violation::of("a request under which targets end reaches few more", deadly(evidence), 0),
        Violation::of("processes run until they are stopped", evidence.strays.clone(), 0),
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

/// Whether an answer promises that the request has not run and will not.
pub fn is_refusal(end: CallerEnd) -> bool {
    matches!(end, CallerEnd::Answered(408 | 421 | 429 | 503, _))
}

fn wrong_answers(evidence: &SoakEvidence) -> Vec<String> {
    let wrong = |record: &&CallerRecord| {
        matches!(record.end, CallerEnd::Answered(_, AnswerCheck::Wrong))
            // A 404 is a box's own, and callers ask for what every configuration has.
            || matches!(record.end, CallerEnd::Answered(0 | 400..=407 | 409..=420, _))
    };
    evidence.records.iter().filter(wrong).map(describe).collect()
}

fn unasked(evidence: &SoakEvidence) -> Vec<String> {
    let mut known: HashMap<&str, &str> = HashMap::new();
    known.extend(evidence.records.iter().map(|record| (record.id.as_str(), record.path.as_str())));
    let probes: HashSet<&str> = evidence.probes.iter().map(|probe| probe.id.as_str()).collect();
    let odd = evidence.arrivals.iter().filter(|arrival| {
        let path = arrival.line.split(' ').nth(1).unwrap_or_default();
        // Probes that were not answered left no record; their ids tell them.
        let probe = arrival.request.starts_with('p') || probes.contains(arrival.request.as_str());
        let asked = known.get(arrival.request.as_str()).is_some_and(|asked| *asked == path);
        (!asked && !probe) || (arrival.ran && service_of(path) != arrival.service)
    });
    odd.map(|arrival| format!("{} {} at {}", arrival.request, arrival.line, arrival.service))
        .collect()
}

/// Requests that ran without their customer's name, or that showed a target a key.
fn unnamed(evidence: &SoakEvidence) -> Vec<String> {
    let named = |arrival: &&Arrival| arrival.customer.as_deref() == Some(CUSTOMER);
    let odd = evidence.arrivals.iter().filter(|arrival| !named(arrival) || arrival.has_key);
    odd.map(|arrival| format!("{} at {}", arrival.request, arrival.target)).collect()
}

fn lost(evidence: &SoakEvidence) -> Vec<String> {
    let arrived: HashSet<&str> =
        evidence.arrivals.iter().map(|arrival| arrival.request.as_str()).collect();
    let closed = evidence.records.iter().filter(|record| record.end == CallerEnd::Closed);
    let lost = closed.filter(|record| {
        let crossed = !arrived.contains(record.id.as_str())
            && record.ended - record.sent <= LOSS_SLACK + evidence.margin;
        !crossed && was_undisturbed(evidence, record)
    });
    lost.map(describe).collect()
}

fn held_too_long(evidence: &SoakEvidence) -> Vec<String> {
    let most = ROUTE_TIME + HELD_TIME + evidence.margin;
    let long = evidence.records.iter().filter(|record| record.ended - record.sent > most);
    let long = long.filter(|record| was_undisturbed(evidence, record));
    long.map(describe).collect()
}

/// Whether nothing unplanned disturbed a request's box from a while before it until its end.
fn was_undisturbed(evidence: &SoakEvidence, record: &CallerRecord) -> bool {
    let from = record.sent.checked_sub(CONTACT).unwrap_or(record.sent);
    !evidence.spans.touches(&SpanScope::Box(record.index), from, record.ended)
}

fn late_at_leaving(evidence: &SoakEvidence) -> Vec<String> {
    let mut cases = Vec::new();
    for (target, acknowledged) in &evidence.departures {
        let until = *acknowledged + CHANGE_TIME + evidence.margin;
        let late = evidence
            .arrivals
            .iter()
            .filter(|arrival| arrival.ran && arrival.target == *target && arrival.at > until);
        for arrival in late {
            let Some(index) = box_of(&arrival.request) else { continue };
            if evidence.spans.in_touch(index, *acknowledged, arrival.at, CONTACT) {
                let after = (arrival.at - *acknowledged).as_millis();
                cases.push(format!("{} at {target} {after} ms after it left", arrival.request));
            }
        }
    }
    cases
}

fn late_config(evidence: &SoakEvidence) -> Vec<String> {
    let late = evidence.probes.iter().filter(|probe| {
        let Some(acknowledged) = evidence.board.acknowledged(probe.version) else {
            return false;
        };
        probe.status == 404
            && probe.asked > acknowledged + CHANGE_TIME + evidence.margin
            && evidence.spans.in_touch(probe.index, acknowledged, probe.ended, CONTACT)
            && !replaced_meanwhile(evidence, probe)
    });
    late.map(|probe| format!("box {} lacks version {}", probe.index, probe.version)).collect()
}

fn reverted(evidence: &SoakEvidence) -> Vec<String> {
    let mut seen: HashMap<(usize, u32), (u32, Instant)> = HashMap::new();
    let mut cases = Vec::new();
    for probe in &evidence.probes {
        let life = (probe.index, probe.life);
        if probe.status == 200 {
            let newest = seen.entry(life).or_insert((probe.version, probe.ended));
            if probe.version > newest.0 {
                *newest = (probe.version, probe.ended);
            }
        }
        let Some((version, at)) = seen.get(&life) else { continue };
        let reverts = probe.status == 404
            && probe.version <= *version
            && probe.asked > *at + BACK + evidence.margin
            && !replaced_meanwhile(evidence, probe);
        if reverts {
            cases.push(format!("box {} is back before version {version}", probe.index));
        }
    }
    cases
}

/// Whether two newer versions came while the question was asked: the route is gone then.
fn replaced_meanwhile(evidence: &SoakEvidence, probe: &ProbeRecord) -> bool {
    let later = evidence.board.acknowledged(probe.version + 2);
    later.is_some_and(|later| later <= probe.ended + evidence.margin)
}

fn after_hang_up(evidence: &SoakEvidence) -> Vec<String> {
    let gone = evidence.records.iter().filter(|record| record.end == CallerEnd::GivenUp);
    let gone: HashMap<&str, &CallerRecord> =
        gone.map(|record| (record.id.as_str(), record)).collect();
    let late = evidence.arrivals.iter().filter(|arrival| {
        gone.get(arrival.request.as_str()).is_some_and(|record| {
            arrival.at > record.ended + GONE_TIME + evidence.margin
                && evidence.spans.in_touch(record.index, record.sent, arrival.at, CONTACT)
        })
    });
    late.map(|arrival| arrival.request.clone()).collect()
}

fn over_budget(evidence: &SoakEvidence) -> Vec<String> {
    let mut requests: HashMap<&str, Vec<Instant>> = HashMap::new();
    for record in &evidence.records {
        requests.entry(service_of(&record.path)).or_default().push(record.sent);
    }
    for probe in &evidence.probes {
        requests.entry("reads").or_default().push(probe.asked);
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
        let asked = requests.remove(service).unwrap_or_default();
        let within = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + RETRY_WINDOW).count()
        };
        let over = times.iter().find_map(|from| {
            let earlier = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let earlier = earlier.iter().filter_map(|before| from.checked_sub(*before));
            let most = earlier.map(|from| within(&asked, from)).max().unwrap_or(0);
            let allowed = RETRY_RATIO * most as f64 + f64::from(RETRY_SLACK);
            let count = within(&times, *from);
            (count as f64 > allowed)
                .then(|| format!("{service}: {count} repeats, {allowed:.0} allowed"))
        });
        cases.extend(over);
    }
    cases
}

/// Requests that reached targets long after three had ended under them, more often than they may.
fn deadly(evidence: &SoakEvidence) -> Vec<String> {
    let mut by_path: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in evidence.arrivals.iter().filter(|arrival| arrival.line.contains(POISON_PATH)) {
        by_path.entry(arrival.line.as_str()).or_default().push(arrival);
    }
    let mut cases = Vec::new();
    for (line, arrivals) in by_path {
        let mut runs = arrivals.iter().filter(|arrival| arrival.ran).map(|arrival| arrival.at);
        let Some(third) = runs.nth(ENDED_BEFORE - 1) else { continue };
        let known = third + CONTACT + evidence.margin;
        let late = arrivals.iter().filter(|arrival| {
            let in_touch = |index| evidence.spans.in_touch(index, arrival.at, arrival.at, CONTACT);
            arrival.at > known && box_of(&arrival.request).is_some_and(in_touch)
        });
        let late = late.count();
        if late > SENDS_AFTER {
            cases.push(format!("{line}: {late} sends of {} later than that", arrivals.len()));
        }
    }
    cases
}

/// The box that took a request, by its id.
pub(crate) fn box_of(request: &str) -> Option<usize> {
    request.split_once('-')?.0.parse().ok()
}

fn describe(record: &CallerRecord) -> String {
    let taken = (record.ended - record.sent).as_millis();
    format!("{} at box {}: {:?} after {taken} ms", record.path, record.index, record.end)
}
