//! What became of the requests of emulated fleets.

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

/// Sums over requests that may run again, or over those that run once.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq)]
pub struct RequestCounts {
    /// Requests.
    pub requests: u64,
    /// Served ones.
    pub served: u64,
    /// Served within their goal.
    pub in_goal: u64,
    /// Attempts of these and of requests before them that are not counted.
    pub attempts: u64,
    /// Attempts that drew on the retry budget.
    pub retries: u64,
    /// Attempts that left the data centre.
    pub crossed: u64,
    /// Trials.
    pub trials: u64,
}

/// Sums of one fleet.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetResult {
    /// The fleet's seed.
    pub seed: u64,
    /// Requests that may run again.
    pub repeatable: RequestCounts,
    /// Requests that run once.
    pub once: RequestCounts,
    /// Suspicions of targets that were in an episode.
    pub right_suspicions: u64,
    /// Suspicions of healthy targets.
    pub false_suspicions: u64,
    /// Time from an episode's beginning until some box suspected its target, in milliseconds:
    /// the median and the 99th percentile of the episodes that were noticed.
    pub noticed_ms: [u64; 2],
    /// All requests by the second in which they began.
    #[serde(default)]
    pub seconds: SecondRows,
    /// What targets got that had asked for rest.
    #[serde(default)]
    pub rests: BackoffCounts,
    /// What targets got that had named a limit.
    #[serde(default)]
    pub limits: LimitCounts,
    #[serde(skip)]
    noticed: NoticeTimes,
    #[serde(skip)]
    repeatable_services: Vec<bool>,
}

/// Times until episodes were noticed, in milliseconds.
#[derive(Debug, Clone)]
struct NoticeTimes(Histogram<u64>);

impl Default for NoticeTimes {
    fn default() -> NoticeTimes {
        /// Digits that are kept: a percent is enough for times that vary by factors.
        const DIGITS: u8 = 2;
        /// No episode that is played lasts longer, in milliseconds.
        const LONGEST: u64 = 600_000;
        let times = Histogram::new_with_bounds(1, LONGEST, DIGITS);
        NoticeTimes(times.expect("the bounds and two digits are allowed"))
    }
}

/// All fleets, as set and with uniform random picks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SteerReport {
    /// The first seed.
    pub seed: u64,
    /// Fleets.
    pub fleets: usize,
    /// What was switched off.
    pub without: String,
    /// What happened to each fleet.
    #[serde(default = "steady")]
    pub pattern: String,
    /// As set.
    pub steered: FleetResult,
    /// With uniform random picks, no retries beside an open attempt, no news of peers.
    pub uniform: FleetResult,
}

impl FleetResult {
    pub(super) fn new(plan: &FleetPlan) -> FleetResult {
        let repeatable_services = plan.services.iter().map(|service| service.repeatable).collect();
        FleetResult { seed: plan.seed, repeatable_services, ..FleetResult::default() }
    }

    fn kind(&mut self, service: usize) -> &mut RequestCounts {
        if self.repeatable_services[service] { &mut self.repeatable } else { &mut self.once }
    }

    pub(super) fn note_attempt(&mut self, service: usize, away: bool, trial: bool) {
        let kind = self.kind(service);
        kind.attempts += 1;
        kind.crossed += u64::from(away);
        kind.trials += u64::from(trial);
    }

    pub(super) fn note_retry(&mut self, service: usize) {
        self.kind(service).retries += 1;
    }

    pub(super) fn note_request(
        &mut self,
        service: usize,
        served: Option<Duration>,
        goal: Duration,
    ) {
        let kind = self.kind(service);
        kind.requests += 1;
        kind.served += u64::from(served.is_some());
        kind.in_goal += u64::from(served.is_some_and(|time| time <= goal));
    }

    /// Counts a suspicion, of a target that is in an episode or of a healthy one.
    pub(super) fn note_suspicion(&mut self, in_episode: bool) {
        if in_episode {
            self.right_suspicions += 1;
        } else {
            self.false_suspicions += 1;
        }
    }

    /// Counts an episode that was noticed after that time.
    pub(super) fn note_noticed(&mut self, after: Duration) {
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.noticed.0.saturating_record(millis.max(1));
    }

    fn summarize(&mut self) {
        let histogram = &self.noticed.0;
        self.noticed_ms = [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99)];
    }

    fn add(&mut self, other: &FleetResult) {
        self.repeatable.add(&other.repeatable);
        self.once.add(&other.once);
        self.seconds.add(&other.seconds);
        self.rests.add(&other.rests);
        self.limits.add(&other.limits);
        self.noticed.0 += &other.noticed.0;
        self.right_suspicions += other.right_suspicions;
        self.false_suspicions += other.false_suspicions;
    }
}

impl RequestCounts {
    /// The share of requests that were not served.
    pub fn lost(&self) -> f64 {
        1.0 - self.served as f64 / self.requests.max(1) as f64
    }

    /// The share of requests that were late or not served.
    pub fn missed_goal(&self) -> f64 {
        1.0 - self.in_goal as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, other: &RequestCounts) {
        self.requests += other.requests;
        self.served += other.served;
        self.in_goal += other.in_goal;
        self.attempts += other.attempts;
        self.retries += other.retries;
        self.crossed += other.crossed;
        self.trials += other.trials;
    }

    fn cells(&self) -> Vec<String> {
        let of = |part: u64, whole: u64| format!("{:.4}", part as f64 / whole.max(1) as f64);
        vec![
            self.requests.to_string(),
            format!("{:.4}", self.lost()),
            of(self.in_goal, self.requests),
            of(self.retries, self.requests),
            of(self.crossed, self.attempts),
            of(self.trials, self.attempts),
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

    /// Reads the report of another version, as `--json` printed it.
    ///
    /// # Errors
    /// The file can't be read or is no such report.
    pub fn read(file: &str) -> eyre::Result<SteerReport> {
        let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {file}"))?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("{file} is no report of 'wingbench steer --json'"))
    }

    /// This version beside another one: what was lost, and late or lost, in both.
    ///
    /// # Errors
    /// The other one played other fleets.
    pub fn compare(&self, other: &SteerReport) -> eyre::Result<String> {
        if (self.seed, self.fleets) != (other.seed, other.fleets) {
            eyre::bail!(
                "the baseline has {} fleets from seed {}; {} from {} were played",
                other.fleets,
                other.seed,
                self.fleets,
                self.seed
            );
        }
        if self.pattern != other.pattern {
            eyre::bail!(
                "the baseline's pattern is {}, and {} was played",
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

    /// Tables for people; what happens over time only where something happens.
    pub fn as_text(&self) -> String {
        if self.pattern == steady() {
            return self.sums_text();
        }
        let told = [self.rests_text(), self.limits_text()].concat();
        format!("{}{told}\n\n{}", self.sums_text(), self.seconds_text())
    }

    fn rests_text(&self) -> String {
        let BackoffCounts { asked, sent_during_backoff, peak } = self.steered.rests;
        if asked == 0 {
            return String::new();
        }
        format!(
            "\nrests asked for {asked}, requests within them {sent_during_backoff}, the most at one target \
             within 100 ms {peak}"
        )
    }

    fn limits_text(&self) -> String {
        let LimitCounts { windows, broken, worst, arrived, allowed } = self.steered.limits;
        if windows == 0 {
            return String::new();
        }
        format!(
            "\nrequests to targets with a limit {arrived}, their limits {allowed:.0}; windows of 4 s with \
             more than is allowed {broken} of {windows}, the worst {worst:.2} of it"
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
        let row = |name: &str, kind: &RequestCounts| {
            let mut cells = vec![name.to_string()];
            cells.extend(kind.cells());
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
            self.steered.noticed_ms[0],
            self.steered.noticed_ms[1],
        )
    }
}

/// The pattern of reports that name none.
fn steady() -> String {
    LoadPattern::Steady.to_string()
}
