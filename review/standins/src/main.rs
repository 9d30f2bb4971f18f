//! The review's scripts: `review-standins CASE FOLDER TROUBLE`, run at the root of the repository. With TROUBLE 0 the
//! case is played without its disruption.

mod boxes;
mod broken_off;
mod client;
mod http;
mod odd_entry;
mod record;
mod relayed_stop;
mod server;
mod setup;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;
use setup::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = &arguments[..] else {
        eprintln!("review-standins CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let root = std::env::current_dir().expect("a working directory");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let Some(logs) = std::env::var_os("LOGS").map(PathBuf::from) else {
        eprintln!("LOGS names no folder for the boxes' logs");
        return ExitCode::from(2);
    };
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "relayed-stop" => relayed_stop::run(&root, &logs, &record, trouble),
        "odd-entry" => odd_entry::run(&root, &logs, &record, trouble),
        "broken-off" => broken_off::run(&root, &logs, &record, trouble),
        _ => Verdict::CouldNotRun,
    };
    record.line(&format!("verdict: {verdict:?}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
