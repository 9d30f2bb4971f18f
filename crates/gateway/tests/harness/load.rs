//! Boxes that are asked again and again, and what came of it at a target.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Has each of `boxes` asked again and again by a thread of its own, each `pause` after it has answered, for as
/// long as `meanwhile` lasts.
pub fn request_while<B: Sync, T>(
    boxes: &[B],
    ask: impl Fn(&B) + Sync,
    pause: Duration,
    meanwhile: impl FnOnce() -> T,
) -> T {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for asked in boxes {
            let (is_over, ask) = (&is_over, &ask);
            scope.spawn(move || {
                while !is_over.load(Ordering::Acquire) {
                    ask(asked);
                    thread::sleep(pause);
                }
            });
        }
        let _ends = OnEnd(&is_over);
        meanwhile()
    })
}

/// Has the boxes asked no longer, also if the test fails.
struct OnEnd<'a>(&'a AtomicBool);

impl Drop for OnEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// The most that came within `window` from `from` on.
pub fn max_within(arrivals: &[Instant], from: Instant, window: Duration) -> usize {
    let mut late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    late.sort_unstable();
    let within = |first: Instant| move |at: &&Instant| **at >= first && **at < first + window;
    late.iter().map(|first| late.iter().filter(within(*first)).count()).max().unwrap_or(0)
}
