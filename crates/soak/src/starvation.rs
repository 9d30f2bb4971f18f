//! Measures how long the threads of a box waited for a processor.
//!
//! On a busy machine the threads of one processor may wait for seconds while threads on others run
//! on time, so the lateness of the soak's own threads does not show it. The kernel counts the run
//! queue time of each thread. A box with a long wait between two measurements counts as disturbed,
//! and all boxes do if the soak itself waited, as its callers and stand-ins were not running then.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Run queue time of one thread between two measurements from which a box counts as disturbed.
pub const STARVATION_THRESHOLD: Duration = Duration::from_millis(150);

/// The run queue time of each thread at the last measurement, by process and thread.
#[derive(Debug, Default)]
pub struct StarvationMonitor {
    waits: HashMap<(u32, String), Duration>,
}

impl StarvationMonitor {
    /// Returns the longest time that a thread of `process` has waited since the last measurement.
    /// Returns zero if the kernel does not report it or the process has ended.
    pub fn measure(&mut self, process: u32) -> Duration {
        let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
            return Duration::ZERO;
        };
        let mut longest = Duration::ZERO;
        for thread in threads.flatten() {
            let Some(waited) = read_wait(&thread.path()) else {
                continue;
            };
            let name = thread.file_name().to_string_lossy().into_owned();
            let before = self.waits.insert((process, name), waited).unwrap_or_default();
            longest = longest.max(waited.saturating_sub(before));
        }
        longest
    }
}

/// Reads the second number of the thread's `schedstat`: nanoseconds on a run queue.
fn read_wait(thread: &Path) -> Option<Duration> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    let waited = text.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(Duration::from_nanos(waited))
}
