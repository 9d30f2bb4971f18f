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
        ring.put(format!("line {number}").into_bytes());
    }
    let dropped = ring.dropped();
    assert!(dropped >= 10_000, "only {dropped} of 20,000 lines were dropped");
    open.send(()).expect("the sink waits");
    ring.close();
    let text = String::from_utf8(written.lock().expect("no thread panics").clone()).expect("text");
    let kept = text.lines().filter(|line| line.starts_with("line ")).count() as u64;
    assert_eq!(kept + dropped, 20_000, "each line is either written or counted");
    assert!(text.contains(&format!("\"event\":\"log-lines-dropped\",\"count\":\"{dropped}\"")));
}

#[test]
fn lines_put_before_the_end_are_written() {
    let (sink, open, written) = gated();
    open.send(()).expect("the sink waits");
    let ring = LogRing::start(sink).expect("a thread");
    ring.put(b"first".to_vec());
    ring.put(b"last".to_vec());
    ring.close();
    assert_eq!(*written.lock().expect("no thread panics"), b"first\nlast\n");
    ring.put(b"too late".to_vec());
    assert_eq!(ring.dropped(), 1);
}
