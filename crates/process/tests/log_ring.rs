//! The ring of log lines, with an output that stands still or fails.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use wingbridge_process::log_ring::LogRing;

/// Keeps what is written, once a message lets it go on.
struct GatedSink {
    gate: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            // A closed gate is an open one: the test is over.
            let _ = self.gate.recv();
            self.open = true;
        }
        self.written.lock().expect("no thread panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated() -> (GatedSink, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    (GatedSink { gate, open: false, written: Arc::clone(&written) }, open, written)
}

#[test]
fn an_output_that_stands_still_costs_lines_and_no_time() {
    let (sink, open, written) = gated();
    let ring = LogRing::start(sink).expect("a thread");
    // Far more than ring and rate have room for; a `put` that waited would never return,
    // since the gate opens only afterwards.
    for number in 0..20_000 {
        ring.push(format!("line {number}").into_bytes());
    }
    open.send(()).expect("the sink waits");
    ring.close();
    let text = String::from_utf8(written.lock().expect("no thread panics").clone()).expect("text");
    let kept = text.lines().filter(|line| line.starts_with("line ")).count() as u64;
    let told: u64 = text.lines().filter_map(dropped_count).sum();
    assert!(told >= 10_000, "only {told} of 20,000 lines were dropped");
    assert_eq!(kept + told, 20_000, "each line is either written or told as dropped");
    assert_eq!(ring.unreported_drops(), 0, "none is left to tell");
}

/// The count of a line that tells of dropped ones.
fn dropped_count(line: &str) -> Option<u64> {
    let (_, count) = line.split_once("\"event\":\"log-lines-dropped\",\"count\":\"")?;
    count.trim_end_matches("\"}").parse().ok()
}

#[test]
fn lines_put_before_the_end_are_written() {
    let (sink, open, written) = gated();
    open.send(()).expect("the sink waits");
    let ring = LogRing::start(sink).expect("a thread");
    ring.push(b"first".to_vec());
    ring.push(b"last".to_vec());
    ring.close();
    assert_eq!(*written.lock().expect("no thread panics"), b"first\nlast\n");
    ring.push(b"too late".to_vec());
    assert_eq!(ring.unreported_drops(), 1);
}
