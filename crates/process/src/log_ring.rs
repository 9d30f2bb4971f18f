//! Log lines on their way to standard output: bounded, and never waited for.
//!
//! A process must not stand still because nobody reads its output, nor fill memory or
//! its processor share with lines when something goes wrong everywhere at once. So lines
//! go through a ring with a thread behind it. What the ring or the rate has no room for
//! is dropped, and how much that was is said in a line of its own.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Lines that wait for the output.
const RING_LINES: usize = 4096;
/// Lines a second at most: ten for each of a box's busiest 100 requests.
const LINES_PER_SECOND: u64 = 1000;
/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// Takes log lines and never waits.
#[derive(Debug, Clone)]
pub struct LogRing {
    shared: Arc<RingShared>,
}

#[derive(Debug)]
struct RingShared {
    lines: Mutex<Option<SyncSender<Vec<u8>>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    rate: Mutex<LineRate>,
    dropped: Arc<AtomicU64>,
}

#[derive(Debug)]
struct LineRate {
    second: Instant,
    count: u64,
}

impl LogRing {
    /// A ring that writes to `sink` on a thread of its own.
    ///
    /// # Errors
    /// The operating system gave no thread.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<LogRing> {
        let (lines, waiting) = sync_channel(RING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let writer = std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&waiting, sink, &counted))?;
        let rate = LineRate { second: Instant::now(), count: 0 };
        Ok(LogRing {
            shared: Arc::new(RingShared {
                lines: Mutex::new(Some(lines)),
                writer: Mutex::new(Some(writer)),
                rate: Mutex::new(rate),
                dropped,
            }),
        })
    }

    /// Takes a line, which ends without a line break. It is dropped if there is no room.
    pub fn push(&self, line: Vec<u8>) {
        let room = lock(&self.shared.rate).allow();
        let lines = lock(&self.shared.lines);
        let taken = room && lines.as_ref().is_some_and(|lines| lines.try_send(line).is_ok());
        if !taken {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines that were dropped and not yet told of.
    pub fn unreported_drops(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Closes the ring and waits until what is in it is written.
    pub fn close(&self) {
        drop(lock(&self.shared.lines).take());
        let writer = lock(&self.shared.writer).take();
        if let Some(writer) = writer
            && writer.join().is_err()
        {
            eprintln!("the thread that writes logs had failed");
        }
    }
}

impl LineRate {
    fn allow(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.count = 0;
        }
        self.count += 1;
        self.count <= LINES_PER_SECOND
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut bytes = Vec::new();
    while let Ok(line) = waiting.recv() {
        push_line(&mut bytes, &line);
        while bytes.len() < WRITE_BYTES
            && let Ok(line) = waiting.try_recv()
        {
            push_line(&mut bytes, &line);
        }
        tell_dropped(&mut bytes, dropped);
        if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
            // Nobody reads any more, and there is nowhere else to say so.
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        bytes.clear();
    }
    // What was dropped after the last line would else never be told.
    tell_dropped(&mut bytes, dropped);
    if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn tell_dropped(bytes: &mut Vec<u8>, dropped: &AtomicU64) {
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost > 0 {
        let line =
            format!("{{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"count\":\"{lost}\"}}");
        push_line(bytes, line.as_bytes());
    }
}

fn push_line(bytes: &mut Vec<u8>, line: &[u8]) {
    bytes.extend_from_slice(line);
    bytes.push(b'\n');
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
