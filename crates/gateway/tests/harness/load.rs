//! Continuous load on boxes, and the peak rate of the requests that arrive at a target.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Runs `request` in a loop for each of `boxes`, on a thread per box and with `pause` after each request, until
/// `meanwhile` returns.
pub fn request_while<B: Sync, T>(
    boxes: &[B],
    request: impl Fn(&B) + Sync,
    pause: Duration,
    meanwhile: impl FnOnce() -> T,
) -> T {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for target_box in boxes {
            let (is_over, request) = (&is_over, &request);
            scope.spawn(move || {
                while !is_over.load(Ordering::Acquire) {
                    request(target_box);
                    thread::sleep(pause);
                }
            });
        }
        let _stop = StopOnDrop(&is_over);
        meanwhile()
    })
}

/// Stops the load when dropped, also if the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Returns the largest number of arrivals after `from` within any period of length `window`.
pub fn max_within(arrivals: &[Instant], from: Instant, window: Duration) -> usize {
    let mut considered: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    considered.sort_unstable();
    let within = |first: Instant| move |at: &&Instant| **at >= first && **at < first + window;
    considered
        .iter()
        .map(|first| considered.iter().filter(within(*first)).count())
        .max()
        .unwrap_or(0)
}
