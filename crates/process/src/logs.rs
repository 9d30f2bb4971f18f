//! Log output as one JSON object per line, to standard error or through a bounded queue to
//! standard output.

use std::collections::BTreeMap;
use std::io::Write;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

use crate::log_queue::LogQueue;

/// Starts logging at `level` ("error" to "trace") to standard error. The caller must keep the
/// handle.
///
/// # Errors
/// The level is unknown or logging is already started.
pub fn start_logs(level: &str) -> eyre::Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?.log_to_stderr().format(json_line);
    Ok(logger.start()?)
}

/// Starts logging at `level` through `queue`, which the caller must close before the process
/// ends. Each line contains `box_id`, so that lines of merged logs can be attributed to their
/// boxes. The caller must keep the handle.
///
/// # Errors
/// The level is unknown or logging is already started.
pub fn start_queued_logs(level: &str, queue: LogQueue, box_id: &str) -> eyre::Result<LoggerHandle> {
    let writer = Box::new(QueueWriter { queue, box_id: box_id.to_string() });
    Ok(Logger::try_with_str(level)?.log_to_writer(writer).start()?)
}

/// A log writer that formats records and queues them in a [`LogQueue`].
struct QueueWriter {
    queue: LogQueue,
    box_id: String,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(512);
        write_line(&mut line, now, record, Some(&self.box_id))?;
        self.queue.push(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

fn json_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    write_line(out, now, record, None)
}

fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
    box_id: Option<&str>,
) -> Result<(), std::io::Error> {
    let mut fields = FieldCollector::default();
    if let Some(box_id) = box_id {
        fields.insert("box", box_id);
    }
    fields.insert("time", &now.format_rfc3339());
    fields.insert("level", &record.level().to_string().to_lowercase());
    fields.insert("module", record.module_path().unwrap_or_default());
    fields.insert("event", &record.args().to_string());
    // If a value can't be formatted, the line is written without it.
    let _ = record.key_values().visit(&mut fields);
    let line = serde_json::to_string(&fields.0).map_err(std::io::Error::other)?;
    out.write_all(line.as_bytes())
}

/// Collects the fields of a log line, sorted by name.
#[derive(Default)]
struct FieldCollector(BTreeMap<String, String>);

impl FieldCollector {
    fn insert(&mut self, name: &str, value: &str) {
        self.0.insert(name.to_string(), value.to_string());
    }
}

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.insert(key.as_str(), &value.to_string());
        Ok(())
    }
}
