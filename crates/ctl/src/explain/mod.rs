//! `wingctl explain`: where requests were lost, according to the logs of boxes.
//!
//! The log line of a request covers this request alone. The most frequent cause of losses, which should be
//! corrected first, shows only in the statistics of all lines. The report therefore counts lost requests by
//! service and outcome, by the predicted failure probability of the target, and by their position in a
//! failure episode of the target.
//!
//! Further tables show how long configurations and removals of targets took to reach all boxes, how many
//! requests were decided on an outdated view, which requests repeatedly ended targets, which targets were
//! excluded and for which reason, how many requests all boxes together sent to targets with a limit, and when they
//! made the most retries.

mod calibration;
mod episodes;
mod excluded_targets;
mod limited_targets;
mod log_line;
mod log_objects;
mod losses;
mod lost_paths;
mod poison_requests;
mod propagation;
mod report;
mod retry_windows;
mod seconds;
mod tables;

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use wingbridge_process::Outcome;

use crate::output::print;

pub use report::{LogReport, explain_lines};

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Runs `wingctl explain`: reads the named log files and prints the report.
///
/// # Errors
/// Fails if a file can't be read, or if none of the files has the log line of a request.
pub fn run_explain(matches: &ArgMatches, json: bool) -> eyre::Result<Outcome> {
    let names = matches.get_many::<String>("files").into_iter().flatten();
    let mut readers: Vec<(String, Box<dyn BufRead>)> = Vec::new();
    for name in names {
        readers.push((name.clone(), open(name)?));
    }
    let report = explain_lines(readers)?;
    if report.requests == 0 {
        return Err(eyre!(
            "found no request in the logs: a box logs each request as one line of JSON with \
             \"event\":\"request\""
        ));
    }
    print(json, &report, || report.as_text());
    Ok(Outcome::Done)
}

fn open(name: &str) -> eyre::Result<Box<dyn BufRead>> {
    if name == STANDARD_INPUT {
        return Ok(Box::new(BufReader::new(stdin())));
    }
    let file = File::open(name).wrap_err_with(|| format!("can't open {name}"))?;
    Ok(Box::new(BufReader::new(file)))
}
