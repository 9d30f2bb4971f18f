//! The JSON objects of one collected line.
//!
//! A collector may put the ends of two boxes' lines together, or cut one short. What is whole is
//! still worth reading.

use serde::de::IgnoredAny;

/// One object of a line.
pub(super) struct LogObject<'a> {
    /// The word before it, by which a collector names the box.
    pub(super) named: Option<&'a str>,
    /// Its text, or what is left of the line where it is no whole object.
    pub(super) text: &'a str,
}

/// Cuts a line into its objects. Text before, between and behind them is passed over.
pub(super) fn log_objects(line: &str) -> Vec<LogObject<'_>> {
    let mut objects = Vec::new();
    let mut rest = line;
    while let Some(start) = rest.find('{') {
        let named = rest[..start].split_whitespace().last();
        let from = &rest[start..];
        let mut stream = serde_json::Deserializer::from_str(from).into_iter::<IgnoredAny>();
        let end = match stream.next() {
            Some(Ok(_)) => stream.byte_offset(),
            // What is cut short may hold another line: the next one begins anew.
            _ => from[1..].find("{\"").map_or(from.len(), |next| next + 1),
        };
        objects.push(LogObject { named, text: &from[..end] });
        rest = &from[end..];
    }
    objects
}
