//! Memory and processor time of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4096;
/// Clock ticks per second in `/proc`, which Linux fixes at 100.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the resident memory of this process in bytes, 0 if `/proc` can't be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the processor time that all threads of this process have used, 0 if `/proc` can't be
/// read.
pub fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name is in parentheses and may contain blanks, so fields are counted from its
    // end.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> =
        rest.split_whitespace().skip(11).take(2).filter_map(|word| word.parse().ok()).collect();
    let ticks: u64 = fields.iter().sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}
