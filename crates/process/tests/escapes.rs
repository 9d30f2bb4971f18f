//! Texts that other writers choose, in log lines and metrics: none can add a line or a field.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use wingbridge_process::log_queue::LogQueue;
use wingbridge_process::logs::start_queued_logs;
use wingbridge_process::metrics::{render_metrics, start_metrics};

const TEXTS: &[&str] = &[
    "a\"b",
    "a\\",
    "a\\\"b",
    "a\nwingbridge_evil 1",
    "a\"} 1\nwingbridge_evil{x=\"b",
    "a\r\n{\"event\":\"evil\"}",
    "a\",\"event\":\"evil\",\"x\":\"",
    "a\u{0}\u{1b}[31m\u{7f}",
    "a\u{85}\u{2028}b",
    "zlín",
];

#[derive(Clone, Default)]
struct SharedSink(Arc<Mutex<Vec<u8>>>);

impl Write for SharedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no thread panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against keys of entries and paths of requests that forge log lines.
#[test]
fn no_text_can_add_a_line_or_a_field_to_the_log() {
    let sink = SharedSink::default();
    let queue = LogQueue::start(sink.clone()).expect("start the writer thread");
    let handle = start_queued_logs("info", queue.clone(), "box-1").expect("no other logger");
    for text in TEXTS {
        log::info!(key = *text; "entry-refused");
    }
    queue.close();
    drop(handle);
    let bytes = sink.0.lock().expect("no thread panics").clone();
    let lines: Vec<&[u8]> =
        bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()).collect();
    assert_eq!(lines.len(), TEXTS.len(), "{}", String::from_utf8_lossy(&bytes));
    for (line, text) in lines.iter().zip(TEXTS) {
        let fields: serde_json::Value = serde_json::from_slice(line).expect("a JSON object");
        assert_eq!(fields["key"], *text);
        assert_eq!(fields["event"], "entry-refused");
        assert_eq!(fields["box"], "box-1");
        // A JSON string may have the character 127 as it is.
        assert!(line.iter().all(|byte| *byte >= b' '), "{text:?}");
    }
}

/// Guards against names of services that forge metrics.
#[test]
fn no_text_can_add_a_line_or_a_label_to_the_metrics() {
    start_metrics();
    for text in TEXTS {
        metrics::gauge!("wingbridge_test", "service" => *text).set(1.0);
    }
    let text = render_metrics();
    let lines: Vec<&str> = text.split('\n').filter(|line| !line.is_empty()).collect();
    for line in lines.iter().filter(|line| !line.starts_with('#')) {
        let value = line.strip_prefix("wingbridge_test{service=\"").expect("one metric");
        let value = value.strip_suffix("\"} 1").expect("one label");
        let mut escaped = false;
        for c in value.chars() {
            assert!(escaped || c != '"', "a quote ends the label early: {line}");
            escaped = c == '\\' && !escaped;
        }
        assert!(!escaped, "the end of the label is escaped: {line}");
    }
}
