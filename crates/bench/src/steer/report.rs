//! The report of `wingbench steer`: outcomes of requests, suspicions and their detection times.

use std::fs;
use std::time::Duration;

use eyre::WrapErr;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use wingctl::output::table;

use crate::steer::SteerBench;
use crate::steer::backoffs::BackoffCounts;
use crate::steer::fleet::FleetPlan;
use crate::steer::limits::LimitCounts;
use crate::steer::pattern::LoadPattern;
use crate::steer::seconds::SecondRows;

/// Counts of the repeatable requests, or of those that run once.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq)]
pub struct RequestCounts {
    /// Requests that arrived while load was measured.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within their goal.
    pub in_goal: u64,
    /// Attempts, including those of requests that arrived before load was measured.
    pub attempts: u64,
    /// Attempts that spent from the retry budget.
    pub retries: u64,
    /// Attempts that were sent to another data centre.
    #[serde(rename = "crossed")]
    pub remote: u64,
    /// Attempts that were trials.
    pub trials: u64,
}

/// The result of one fleet, or the total over fleets.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetResult {
    /// Seed of the fleet.
    pub seed: u64,
    /// Counts of the requests that may run more than once.
    pub repeatable: RequestCounts,
    /// Counts of the requests that run once.
    pub once: RequestCounts,
    /// Suspicions of targets that were in a failure episode.
    pub right_suspicions: u64,
    /// Suspicions of healthy targets.
    pub false_suspicions: u64,
    /// Time from the start of a failure episode until some box suspected its target, in milliseconds:
    /// median and 99th percentile over the episodes that were detected.
    #[serde(rename = "noticed_ms")]
    pub detection_ms: [u64; 2],
    /// Outcomes of all requests by the second in which they arrived.
    #[serde(default)]
    pub seconds: SecondRows,
    /// Requests that were sent to targets which had asked for a back-off.
    #[serde(default, rename = "rests")]
    pub backoffs: BackoffCounts,
    /// Requests that reached targets with a limit.
    #[serde(default)]
    pub limits: LimitCounts,
    #[serde(skip)]
    detection_times: DetectionTimes,
    #[serde(skip)]
    repeatable_services: Vec<bool>,
}

/// Detection times of failure episodes in milliseconds.
#[derive(Debug, Clone)]
struct DetectionTimes(Histogram<u64>);

impl Default for DetectionTimes {
    fn default() -> DetectionTimes {
        /// Two digits, since an accuracy of a percent is enough for times that vary by factors.
        const DIGITS: u8 = 2;
        /// Upper bound in milliseconds: no simulated episode lasts longer.
        const MAX_MS: u64 = 600_000;
        let times = Histogram::new_with_bounds(1, MAX_MS, DIGITS);
        DetectionTimes(times.expect("the histogram accepts these bounds and two digits"))
    }
}

/// The results of all fleets, with the given settings and with uniform random selection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SteerReport {
    /// Seed of the first fleet.
    pub seed: u64,
    /// Number of fleets.
    pub fleets: usize,
    /// Names of the mechanisms that were switched off.
    pub without: String,
    /// Name of the load pattern.
    #[serde(default = "steady")]
    pub pattern: String,
    /// Total with the given settings.
    pub steered: FleetResult,
    /// Total with uniform random selection, without hedges and without reports of peers.
    pub uniform: FleetResult,
}

impl FleetResult {
    pub(super) fn new(plan: &FleetPlan) -> FleetResult {
        let repeatable_services = plan.services.iter().map(|service| service.repeatable).collect();
        FleetResult { seed: plan.seed, repeatable_services, ..FleetResult::default() }
    }

    fn counts(&mut self, service: usize) -> &mut RequestCounts {
        if self.repeatable_services[service] { &mut self.repeatable } else { &mut self.once }
    }

    pub(super) fn record_attempt(&mut self, service: usize, remote: bool, trial: bool) {
        let counts = self.counts(service);
        counts.attempts += 1;
        counts.remote += u64::from(remote);
        counts.trials += u64::from(trial);
    }

    pub(super) fn record_retry(&mut self, service: usize) {
        self.counts(service).retries += 1;
    }

    pub(super) fn record_request(
        &mut self,
        service: usize,
        served: Option<Duration>,
        goal: Duration,
    ) {
        let counts = self.counts(service);
        counts.requests += 1;
        counts.served += u64::from(served.is_some());
        counts.in_goal += u64::from(served.is_some_and(|time| time <= goal));
    }

    /// Counts a suspicion of a target that is in a failure episode, or of a healthy one.
    pub(super) fn record_suspicion(&mut self, in_episode: bool) {
        if in_episode {
            self.right_suspicions += 1;
        } else {
            self.false_suspicions += 1;
        }
    }

    /// Counts a failure episode that was detected after that time.
    pub(super) fn record_detection(&mut self, after: Duration) {
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.detection_times.0.saturating_record(millis.max(1));
    }

    fn summarize(&mut self) {
        let histogram = &self.detection_times.0;
        self.detection_ms = [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99)];
    }

    fn add(&mut self, other: &FleetResult) {
        self.repeatable.add(&other.repeatable);
        self.once.add(&other.once);
        self.seconds.add(&other.seconds);
        self.backoffs.add(&other.backoffs);
        self.limits.add(&other.limits);
        self.detection_times.0 += &other.detection_times.0;
        self.right_suspicions += other.right_suspicions;
        self.false_suspicions += other.false_suspicions;
    }
}

impl RequestCounts {
    /// Returns the share of requests that were not served.
    pub fn lost(&self) -> f64 {
        1.0 - self.served as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests that were not served within their goal.
    pub fn missed_goal(&self) -> f64 {
        1.0 - self.in_goal as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, other: &RequestCounts) {
        self.requests += other.requests;
        self.served += other.served;
        self.in_goal += other.in_goal;
        self.attempts += other.attempts;
        self.retries += other.retries;
        self.remote += other.remote;
        self.trials += other.trials;
    }

    fn cells(&self) -> Vec<String> {
        let ratio = |part: u64, total: u64| format!("{:.4}", part as f64 / total.max(1) as f64);
        vec![
            self.requests.to_string(),
            format!("{:.4}", self.lost()),
            ratio(self.in_goal, self.requests),
            ratio(self.retries, self.requests),
            ratio(self.remote, self.attempts),
            ratio(self.trials, self.attempts),
        ]
    }
}

impl SteerReport {
    pub(super) fn new(bench: &SteerBench, rows: &[(FleetResult, FleetResult)]) -> SteerReport {
        let mut report = SteerReport {
            seed: bench.seed,
            fleets: rows.len(),
            without: bench.without.to_string(),
            pattern: bench.pattern.to_string(),
            steered: FleetResult::default(),
            uniform: FleetResult::default(),
        };
        for (steered, uniform) in rows {
            report.steered.add(steered);
            report.uniform.add(uniform);
        }
        report.steered.summarize();
        report.uniform.summarize();
        report
    }

    /// Reads a report that another version printed with `--json`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not such a report.
    pub fn read(file: &str) -> eyre::Result<SteerReport> {
        let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {file}"))?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("{file} holds no report of 'wingbench steer --json'"))
    }

    /// Formats a table that compares the lost and the late or lost requests of this report with those
    /// of another one.
    ///
    /// # Errors
    /// Returns an error if the reports are of different fleets or load patterns.
    pub fn compare(&self, other: &SteerReport) -> eyre::Result<String> {
        if (self.seed, self.fleets) != (other.seed, other.fleets) {
            eyre::bail!(
                "the baseline has {} fleets from seed {}, but this run has {} from seed {}",
                other.fleets,
                other.seed,
                self.fleets,
                self.seed
            );
        }
        if self.pattern != other.pattern {
            eyre::bail!(
                "the baseline has the load pattern {}, but this run has {}",
                other.pattern,
                self.pattern
            );
        }
        let row = |name: &str, before: &RequestCounts, now: &RequestCounts| {
            let cell = |share: f64| format!("{share:.4}");
            let change = |before: f64, now: f64| format!("{:+.4}", now - before);
            vec![
                name.to_string(),
                cell(before.lost()),
                cell(now.lost()),
                change(before.lost(), now.lost()),
                cell(before.missed_goal()),
                cell(now.missed_goal()),
                change(before.missed_goal(), now.missed_goal()),
            ]
        };
        let (before, now) = (&other.steered, &self.steered);
        let rows = vec![
            row("repeatable", &before.repeatable, &now.repeatable),
            row("once", &before.once, &now.once),
        ];
        let headings = ["", "lost before", "now", "", "late or lost before", "now", ""];
        Ok(table(&headings, &rows))
    }

    /// Formats the report as tables. The table by seconds is left out for steady load.
    pub fn as_text(&self) -> String {
        if self.pattern == steady() {
            return self.sums_text();
        }
        let notes = [self.backoffs_text(), self.limits_text()].concat();
        format!("{}{notes}\n\n{}", self.sums_text(), self.seconds_text())
    }

    fn backoffs_text(&self) -> String {
        let BackoffCounts { requested, sent_during_backoff, peak } = self.steered.backoffs;
        if requested == 0 {
            return String::new();
        }
        format!(
            "\nrests asked for {requested}, requests within them {sent_during_backoff}, the most at one target \
             within 100 ms {peak}"
        )
    }

    fn limits_text(&self) -> String {
        let LimitCounts { windows, exceeded, worst, arrived, allowed } = self.steered.limits;
        if windows == 0 {
            return String::new();
        }
        format!(
            "\nrequests to targets with a limit {arrived}, their limits {allowed:.0}; windows of 4 s with \
             more than is allowed {exceeded} of {windows}, the worst {worst:.2} of it"
        )
    }

    fn seconds_text(&self) -> String {
        let rows = self.steered.seconds.0.iter().enumerate().map(|(second, row)| {
            let counts = [row.requests, row.in_goal, row.late, row.lost(), row.trials];
            let mut cells = vec![second.to_string()];
            cells.extend(counts.map(|count| count.to_string()));
            cells
        });
        let headings = ["second", "requests", "in goal", "late", "lost", "trials"];
        table(&headings, &rows.collect::<Vec<_>>())
    }

    fn sums_text(&self) -> String {
        let row = |name: &str, counts: &RequestCounts| {
            let mut cells = vec![name.to_string()];
            cells.extend(counts.cells());
            cells
        };
        let rows = vec![
            row("repeatable, steered", &self.steered.repeatable),
            row("repeatable, uniform", &self.uniform.repeatable),
            row("once, steered", &self.steered.once),
            row("once, uniform", &self.uniform.once),
        ];
        let headings = ["", "requests", "lost", "in goal", "retries", "crossed", "trials"];
        format!(
            "{} fleets from seed {}, {}, without [{}]\n{}\nsuspicions of targets in a spell {}, of sound ones {}; spells noticed after {} ms, {} ms (99 in 100)",
            self.fleets,
            self.seed,
            self.pattern,
            self.without,
            table(&headings, &rows),
            self.steered.right_suspicions,
            self.steered.false_suspicions,
            self.steered.detection_ms[0],
            self.steered.detection_ms[1],
        )
    }
}

/// Returns the pattern of reports of versions that had no patterns.
fn steady() -> String {
    LoadPattern::Steady.to_string()
}
