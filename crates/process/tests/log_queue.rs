//! The log queue with an output that blocks.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use wingbridge_process::log_queue::LogQueue;

/// A sink that blocks until a message arrives on `gate`, and then stores what is written.
struct GatedSink {
    gate: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            // A closed channel opens the gate as well: the test has ended.
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
fn blocked_output_drops_lines_and_does_not_block() {
    let (sink, open, written) = gated();
    let queue = LogQueue::start(sink).expect("start the writer thread");
    // More lines than the queue and the rate allow. A `push` that blocked would never return,
    // since the gate opens only afterwards.
    for number in 0..20_000 {
        queue.push(format!("line {number}").into_bytes());
    }
    open.send(()).expect("the sink is waiting");
    queue.close();
    let text = String::from_utf8(written.lock().expect("no thread panics").clone()).expect("text");
    let written_lines = text.lines().filter(|line| line.starts_with("line ")).count() as u64;
    let reported: u64 = text.lines().filter_map(dropped_count).sum();
    assert!(reported >= 10_000, "only {reported} of 20,000 lines were dropped");
    assert_eq!(
        written_lines + reported,
        20_000,
        "each line is either written or reported as dropped"
    );
    assert_eq!(queue.unreported_drops(), 0, "all drops are reported");
}

/// Returns the count of a line that reports dropped lines.
fn dropped_count(line: &str) -> Option<u64> {
    let (_, count) = line.split_once("\"event\":\"log-lines-dropped\",\"count\":\"")?;
    count.trim_end_matches("\"}").parse().ok()
}

#[test]
fn lines_pushed_before_close_are_written() {
    let (sink, open, written) = gated();
    open.send(()).expect("the sink is waiting");
    let queue = LogQueue::start(sink).expect("start the writer thread");
    queue.push(b"first".to_vec());
    queue.push(b"last".to_vec());
    queue.close();
    assert_eq!(*written.lock().expect("no thread panics"), b"first\nlast\n");
    queue.push(b"too late".to_vec());
    assert_eq!(queue.unreported_drops(), 1);
}
