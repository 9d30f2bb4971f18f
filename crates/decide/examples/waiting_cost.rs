//! Measures the time of joining and leaving a waiting queue in which 1,000 requests wait.
//!
//! `cargo run --release -p wingbridge-decide --example waiting_cost`

use std::time::{Duration, Instant};

use wingbridge_decide::TimePoint;
use wingbridge_decide::waiting::{Departure, QueueEntry, WaitingQueue};

/// Requests that wait all the time.
const WAITING: u64 = 1000;
/// Number of timed pairs of joining and leaving.
const PAIRS: u64 = 200_000;
/// Time between two pairs. A check of all requests is due every tenth time.
const INTERVAL: Duration = Duration::from_millis(1);

fn main() {
    let mut now = TimePoint::from_micros(1_000_000);
    let mut queue = WaitingQueue::default();
    // So many ends that no request is refused while the rate is known.
    for _ in 0..100_000 {
        queue.record_end(now, Duration::from_millis(300), Duration::ZERO);
    }
    for number in 0..WAITING {
        assert!(queue.join(now, entry(now, number)).0.is_ok(), "the request may wait");
    }
    let (mut joins, mut leaves) = (Vec::new(), Vec::new());
    for number in 0..PAIRS {
        now = now + INTERVAL;
        queue.record_end(now, Duration::from_millis(300), Duration::ZERO);
        let entry = entry(now, number);
        let started = Instant::now();
        let (joined, _) = std::hint::black_box(queue.join(now, entry));
        joins.push(started.elapsed());
        let ticket = joined.expect("the request may wait");
        let started = Instant::now();
        let signals = std::hint::black_box(queue.leave(now, ticket, Departure::Abandoned));
        leaves.push(started.elapsed());
        assert!(signals.refused.is_empty(), "no request is refused");
    }
    assert_eq!(queue.len() as u64, WAITING);
    for (name, times) in [("join", &mut joins), ("leave", &mut leaves)] {
        times.sort_unstable();
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        let at = |share: f64| times[(times.len() as f64 * share) as usize].as_nanos();
        println!(
            "{name}: mean {} ns, median {} ns, 99 in 100 below {} ns",
            mean.as_nanos(),
            at(0.5),
            at(0.99)
        );
    }
}

/// Returns an entry whose place in the queue differs from entry to entry.
fn entry(now: TimePoint, number: u64) -> QueueEntry {
    /// Long enough that no entry becomes too late during the measurement.
    const GOAL: Duration = Duration::from_secs(1000);
    QueueEntry {
        rank: (number % 3) as u32,
        due_return: false,
        goal_at: now + GOAL + Duration::from_millis(number * 7919 % 1000),
        deadline: now + 2 * GOAL,
        typical_time: Duration::from_millis(300),
        safe_time: Duration::from_millis(500),
        tried: Vec::new(),
        homes: None,
    }
}
