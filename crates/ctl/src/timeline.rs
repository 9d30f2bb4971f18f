//! `wingctl timeline`.

use eyre::WrapErr;
use wingbridge_process::Outcome;
use wingbridge_trace::page::{render_html, render_text};
use wingbridge_trace::{TraceEvent, merge_events};

use crate::fleet::{BoxAnswer, FleetClient};
use crate::output::print;

/// The events of all boxes that answer, in one order, and whether one did not.
///
/// # Errors
/// No agent answers.
pub async fn gather(fleet: &FleetClient) -> eyre::Result<(Vec<TraceEvent>, bool)> {
    let boxes = fleet.boxes().await?;
    let answers: Vec<BoxAnswer<Vec<TraceEvent>>> = fleet.ask_all(&boxes, "/v1/timeline").await;
    let silent = answers.iter().any(|answer| answer.answer.is_err());
    let events = answers.into_iter().filter_map(|answer| answer.answer.ok()).flatten();
    Ok((merge_events(events), silent))
}

/// Shows the time line as text or JSON, or writes it as a page.
///
/// # Errors
/// No agent answers, or the file can't be written.
pub async fn show(fleet: &FleetClient, json: bool, html: Option<&str>) -> eyre::Result<Outcome> {
    let (events, silent) = gather(fleet).await?;
    match html {
        Some(file) => {
            std::fs::write(file, render_html(&events))
                .wrap_err_with(|| format!("writing {file}"))?;
            println!("{} events in {file}", events.len());
        }
        None => print(json, &events, || render_text(&events)),
    }
    Ok(if silent { Outcome::Partial } else { Outcome::Done })
}
