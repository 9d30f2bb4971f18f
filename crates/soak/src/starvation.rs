//! Whether the machine let a box run: how long its threads waited for a processor.
//!
//! A busy machine may leave one processor's threads waiting for seconds while others run on
//! time, so the soak's own lateness does not show it. The kernel counts the waiting of each
//! thread; a box that waited much within a look counts as disturbed then, and all boxes do
//! where the soak itself waited: its callers and stand-ins stood still.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Waiting within one look, of one thread, from which on a box counts as disturbed.
pub const STARVED_FROM: Duration = Duration::from_millis(150);

/// How long threads have waited so far, by process and thread.
#[derive(Debug, Default)]
pub struct StarvationWatch {
    waits: HashMap<(u32, String), Duration>,
}

impl StarvationWatch {
    /// The longest time that a thread of the process has waited since the last look; zero
    /// where the kernel does not tell, or the process is gone.
    pub fn look(&mut self, process: u32) -> Duration {
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

/// The second number of a thread's account: nanoseconds on a run queue.
fn read_wait(thread: &Path) -> Option<Duration> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    let waited = text.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(Duration::from_nanos(waited))
}
