//! `wingctl explain`: where requests were lost, by the log lines of boxes.
//!
//! One line of a request tells its own story. Which story is the usual one, and so what
//! to mend first, shows only in all of them: by service and way of ending, by what was
//! believed of the target, and by where in a failure episode of a target they fell. Lines of
//! configurations and targets tell how long a change took through all boxes, and requests how
//! old what they were decided by was. Requests under which targets ended are named one by one,
//! and targets that wanted nothing with what kept them out of the choice. What all boxes sent to a target
//! that had named a limit is held against it.

mod calibration;
mod deadly;
mod episodes;
mod left_alone;
mod limited;
mod log_objects;
mod losses;
mod moments;
mod report;
mod request_line;
mod spread;
mod tables;

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use wingbridge_process::Outcome;

use crate::output::print;

pub use report::{LogReport, explain_lines};

/// The name for standard input.
const STANDARD_INPUT: &str = "-";

/// Reads the named files and prints what they tell.
///
/// # Errors
/// A file can't be read, or no line of a request is in any of them.
pub fn run_explain(matches: &ArgMatches, json: bool) -> eyre::Result<Outcome> {
    let names = matches.get_many::<String>("files").into_iter().flatten();
    let mut readers: Vec<(String, Box<dyn BufRead>)> = Vec::new();
    for name in names {
        readers.push((name.clone(), open(name)?));
    }
    let report = explain_lines(readers)?;
    if report.requests == 0 {
        return Err(eyre!(
            "no line of a request was found: a box's log has one line of JSON for each, with \
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
    let file = File::open(name).wrap_err_with(|| format!("opening {name}"))?;
    Ok(Box::new(BufReader::new(file)))
}
