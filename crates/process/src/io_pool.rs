//! The thread pool that serves connections and requests.
//!
//! By default, async-std starts one thread per core. At the request rate of a box (about 200
//! requests per second) the pool is nearly always idle, and each wake-up goes to another sleeping
//! thread: with one thread the latency that the proxy adds at the 99th percentile is a fifth of
//! that with one thread per core. A box with a higher rate sets `--io-threads`.

use async_global_executor::GlobalExecutorConfig;

/// Sets the number of threads of the pool. It must be called before the first task is spawned;
/// later calls have no effect.
pub fn start_io_pool(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_thread_name_fn(|| "io".to_string())
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}
