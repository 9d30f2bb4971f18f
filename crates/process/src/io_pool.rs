//! The pool of threads that connections and requests run on.
//!
//! Without this, async-std takes a thread for each core. At a box's rate (some 200
//! requests a second) the pool is nearly always idle, and each wake-up then goes to
//! another sleeping thread: with one thread the proxy adds a fifth as much for 99 in
//! 100 requests (docs/MEASURED.md). A box that is asked for more sets `--io-threads`.

use async_global_executor::GlobalExecutorConfig;

/// Sizes the pool. It must come before the first task; later calls change nothing.
pub fn start_io_pool(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_thread_name_fn(|| "io".to_string())
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}
