//! Runs one case of the second review: `review-standins-2 CASE FOLDER`. It exits with 1 if the rule of the case was
//! broken, with 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod base64;
mod boxes;
mod cases;
mod http;
mod instances;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case is run with.
pub struct Run {
    pub record: Record,
    /// Whether the disruption of the case takes place.
    pub trouble: bool,
    /// Folder for the boxes' logs, which is removed afterwards.
    pub logs: PathBuf,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let logs = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&logs) {
        eprintln!("{}: {error}", logs.display());
        return ExitCode::from(2);
    }
    let run = Run { record: Record::start(), trouble, logs };
    let result = match case.as_str() {
        "long-answers" => cases::long_answers::run(&run),
        "pipelines" => cases::pipelines::run(&run),
        "quota" => cases::quota::run(&run),
        _ => Err(format!("no case is named '{case}'")),
    };
    match &result {
        Ok(broken) => {
            run.record.add(format!("the rule {}", if *broken { "was broken" } else { "held" }))
        }
        Err(reason) => run.record.add(format!("the case couldn't run: {reason}")),
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&run.logs);
    }
    let record = PathBuf::from(folder).join("record.txt");
    if let Err(error) = run.record.write(&record) {
        eprintln!("{}: {error}", record.display());
        return ExitCode::from(2);
    }
    match result {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}
