//! Extraction of the JSON objects from one line of a collected log.
//!
//! A log collector may join parts of two boxes' lines into one, or truncate a line. The complete objects of
//! such a line are still evaluated.

use serde::de::IgnoredAny;

/// A JSON object found in a line.
pub(super) struct LogObject<'a> {
    /// Last word before the object. Some collectors put the name of the box there.
    pub(super) prefix: Option<&'a str>,
    /// Text of the object. If the object is incomplete, the text up to the next start of an object, or to the
    /// end of the line.
    pub(super) text: &'a str,
}

/// Splits a line into its JSON objects. Text before, between and after them is skipped.
pub(super) fn log_objects(line: &str) -> Vec<LogObject<'_>> {
    let mut objects = Vec::new();
    let mut remaining = line;
    while let Some(start) = remaining.find('{') {
        let prefix = remaining[..start].split_whitespace().last();
        let from = &remaining[start..];
        let mut stream = serde_json::Deserializer::from_str(from).into_iter::<IgnoredAny>();
        let end = match stream.next() {
            Some(Ok(_)) => stream.byte_offset(),
            // A truncated object may be followed by another line: continue at the next start of an object.
            _ => from[1..].find("{\"").map_or(from.len(), |next| next + 1),
        };
        objects.push(LogObject { prefix, text: &from[..end] });
        remaining = &from[end..];
    }
    objects
}
