//! A timer service: one thread that sends periodic ticks to subscribers.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Sender, TrySendError};

/// Sends ticks to subscribers, each at its own period, until the last clone is dropped.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<TimerShared>,
    _owner: Arc<TimerOwner>,
}

struct TimerShared {
    state: Mutex<TimerState>,
    changed: Condvar,
}

#[derive(Default)]
struct TimerState {
    subscribers: Vec<Subscriber>,
    stopped: bool,
}

struct Subscriber {
    period: Duration,
    due: Instant,
    /// Sends a tick; returns false if the subscriber's channel is closed.
    send_tick: Box<dyn Fn() -> bool + Send>,
}

/// Stops the thread when the last clone of the service is dropped.
struct TimerOwner {
    shared: Arc<TimerShared>,
}

impl Drop for TimerOwner {
    fn drop(&mut self) {
        lock(&self.shared).stopped = true;
        self.shared.changed.notify_all();
    }
}

impl TimerService {
    /// Starts the timer thread.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start() -> std::io::Result<TimerService> {
        let state = Mutex::new(TimerState::default());
        let shared = Arc::new(TimerShared { state, changed: Condvar::new() });
        let owner = Arc::new(TimerOwner { shared: Arc::clone(&shared) });
        let worker = Arc::clone(&shared);
        thread::Builder::new().name("timer".into()).spawn(move || run_timer(&worker))?;
        Ok(TimerService { shared, _owner: owner })
    }

    /// Sends `tick` to `channel` every `period`. A tick is skipped if the channel is full; the
    /// subscription ends when the channel is closed.
    pub fn subscribe<T: Clone + Send + 'static>(
        &self,
        period: Duration,
        channel: Sender<T>,
        tick: T,
    ) {
        let send_tick =
            move || !matches!(channel.try_send(tick.clone()), Err(TrySendError::Closed(_)));
        let due = Instant::now() + period;
        lock(&self.shared).subscribers.push(Subscriber {
            period,
            due,
            send_tick: Box::new(send_tick),
        });
        self.shared.changed.notify_all();
    }
}

fn run_timer(shared: &TimerShared) {
    let mut state = lock(shared);
    while !state.stopped {
        let now = Instant::now();
        state.subscribers.retain_mut(|subscriber| {
            if subscriber.due > now {
                return true;
            }
            // After a pause of the process, one tick is sent instead of one per missed period.
            subscriber.due = (subscriber.due + subscriber.period).max(now);
            (subscriber.send_tick)()
        });
        let next = state.subscribers.iter().map(|subscriber| subscriber.due).min();
        let wait = next.map_or(Duration::from_secs(1), |due| due.saturating_duration_since(now));
        state = match shared.changed.wait_timeout(state, wait) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}

fn lock(shared: &TimerShared) -> std::sync::MutexGuard<'_, TimerState> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}
