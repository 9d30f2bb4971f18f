//! Memory and processor time of this process, as the operating system counts them.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4096;
/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Bytes in memory now; 0 where `/proc` does not tell.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time that this process has used, threads counted together.
pub fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program's name is in brackets and may hold spaces: count from behind it.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> =
        rest.split_whitespace().skip(11).take(2).filter_map(|word| word.parse().ok()).collect();
    let ticks: u64 = fields.iter().sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}
