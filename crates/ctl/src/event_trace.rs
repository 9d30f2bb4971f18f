//! `wingctl timeline`: the event trace of the whole fleet.

use eyre::WrapErr;
use wingbridge_process::Outcome;
use wingbridge_trace::page::{render_html, render_text};
use wingbridge_trace::{TraceEvent, merge_events};

use crate::fleet::{BoxReply, FleetClient};
use crate::output::print;

/// Returns the events of all boxes whose agents answer, merged into one order, and whether the agent of
/// any box did not answer.
///
/// # Errors
/// Fails if no agent answers the request for the list of boxes.
pub async fn collect_events(fleet: &FleetClient) -> eyre::Result<(Vec<TraceEvent>, bool)> {
    let boxes = fleet.boxes().await?;
    let replies: Vec<BoxReply<Vec<TraceEvent>>> = fleet.query_all(&boxes, "/v1/timeline").await;
    let unresponsive = replies.iter().any(|reply| reply.result.is_err());
    let events = replies.into_iter().filter_map(|reply| reply.result.ok()).flatten();
    Ok((merge_events(events), unresponsive))
}

/// Prints the event trace as text or JSON, or writes it as an HTML page to the file `html`.
///
/// # Errors
/// Fails if no agent answers, or if the file can't be written.
pub async fn show_events(
    fleet: &FleetClient,
    json: bool,
    html: Option<&str>,
) -> eyre::Result<Outcome> {
    let (events, unresponsive) = collect_events(fleet).await?;
    match html {
        Some(file) => {
            std::fs::write(file, render_html(&events))
                .wrap_err_with(|| format!("writing {file}"))?;
            println!("{} events in {file}", events.len());
        }
        None => print(json, &events, || render_text(&events)),
    }
    Ok(if unresponsive { Outcome::Partial } else { Outcome::Done })
}
