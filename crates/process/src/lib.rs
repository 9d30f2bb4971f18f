//! Infrastructure shared by all wingbridge processes: settings, logs, metrics, signals, timers.

pub mod clock;
pub mod exit;
pub mod io_pool;
pub mod log_queue;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod stop;
pub mod suspension;
pub mod timer;

pub use clock::ProcessClock;
pub use exit::{Outcome, exit_code};
pub use settings::SettingError;
pub use stop::{StopHandle, StopSignal};
pub use timer::TimerService;
