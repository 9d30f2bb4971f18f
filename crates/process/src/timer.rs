//! The timer service: one thread that parts subscribe to.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Sender, TrySendError};

/// Sends messages to subscribers at their periods, until it is dropped.
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
    /// Sends the tick; false when the subscriber is gone.
    fire: Box<dyn Fn() -> bool + Send>,
}

/// Stops the thread when the last clone of the service goes.
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
    /// Starts the thread.
    ///
    /// # Errors
    /// The operating system gave no thread.
    pub fn start() -> std::io::Result<TimerService> {
        let state = Mutex::new(TimerState::default());
        let shared = Arc::new(TimerShared { state, changed: Condvar::new() });
        let owner = Arc::new(TimerOwner { shared: Arc::clone(&shared) });
        let worker = Arc::clone(&shared);
        thread::Builder::new().name("timer".into()).spawn(move || run_timer(&worker))?;
        Ok(TimerService { shared, _owner: owner })
    }

    /// Sends `tick` into `ring` each `period`. A tick that finds the ring full is
    /// left out, the next one will do; when the ring is closed, so is the subscription.
    pub fn subscribe<T: Clone + Send + 'static>(&self, period: Duration, ring: Sender<T>, tick: T) {
        let fire = move || !matches!(ring.try_send(tick.clone()), Err(TrySendError::Closed(_)));
        let due = Instant::now() + period;
        lock(&self.shared).subscribers.push(Subscriber { period, due, fire: Box::new(fire) });
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
            // A machine that was paused gets one tick and not a burst of them.
            subscriber.due = (subscriber.due + subscriber.period).max(now);
            (subscriber.fire)()
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
