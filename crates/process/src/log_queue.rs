//! A bounded, non-blocking queue of log lines with a writer thread.
//!
//! A process must not block when its output is not read, nor exhaust its memory or processor
//! share with log lines when many operations fail at once. Log lines therefore go through a
//! bounded queue to a writer thread, with a limit on the rate. Lines over the capacity or the
//! rate are dropped, and the writer reports their number in a line of its own.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Capacity of the queue, in lines.
const MAX_QUEUED_LINES: usize = 4096;
/// Maximum number of lines per second. It allows ten lines per request at 100 requests per second.
const MAX_LINES_PER_SECOND: u64 = 1000;
/// Number of bytes after which the writer stops collecting lines for one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// A non-blocking queue of log lines. Clones share the queue.
#[derive(Debug, Clone)]
pub struct LogQueue {
    shared: Arc<SharedQueue>,
}

#[derive(Debug)]
struct SharedQueue {
    lines: Mutex<Option<SyncSender<Vec<u8>>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    rate: Mutex<RateLimiter>,
    dropped: Arc<AtomicU64>,
}

#[derive(Debug)]
struct RateLimiter {
    window_start: Instant,
    count: u64,
}

impl LogQueue {
    /// Starts a thread that writes the lines to `sink`.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<LogQueue> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let writer = std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&queued, sink, &writer_dropped))?;
        let rate = RateLimiter { window_start: Instant::now(), count: 0 };
        Ok(LogQueue {
            shared: Arc::new(SharedQueue {
                lines: Mutex::new(Some(lines)),
                writer: Mutex::new(Some(writer)),
                rate: Mutex::new(rate),
                dropped,
            }),
        })
    }

    /// Queues a line, given without its line break. The line is dropped if the queue is full or
    /// closed, or the rate is exceeded.
    pub fn push(&self, line: Vec<u8>) {
        let within_rate = lock(&self.shared.rate).allow();
        let lines = lock(&self.shared.lines);
        let queued =
            within_rate && lines.as_ref().is_some_and(|lines| lines.try_send(line).is_ok());
        if !queued {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines that the writer has not reported yet.
    pub fn unreported_drops(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Closes the queue and waits until the queued lines are written.
    pub fn close(&self) {
        drop(lock(&self.shared.lines).take());
        let writer = lock(&self.shared.writer).take();
        if let Some(writer) = writer
            && writer.join().is_err()
        {
            eprintln!("the log writer thread panicked; queued log lines are lost");
        }
    }
}

impl RateLimiter {
    fn allow(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
        self.count <= MAX_LINES_PER_SECOND
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut bytes = Vec::new();
    while let Ok(line) = queued.recv() {
        push_line(&mut bytes, &line);
        while bytes.len() < WRITE_BATCH_BYTES
            && let Ok(line) = queued.try_recv()
        {
            push_line(&mut bytes, &line);
        }
        report_dropped(&mut bytes, dropped);
        if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
            // The output is closed, and there is no other place to report it.
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        bytes.clear();
    }
    // Lines that were dropped after the last written line are reported here.
    report_dropped(&mut bytes, dropped);
    if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn report_dropped(bytes: &mut Vec<u8>, dropped: &AtomicU64) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"count\":\"{count}\"}}");
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
