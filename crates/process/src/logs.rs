//! Logs: one JSON object a line, on standard error or through a bounded ring on standard output.

use std::collections::BTreeMap;
use std::io::Write;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

use crate::log_ring::LogRing;

/// Starts logging at `level` ("error" to "trace"). The handle must be kept.
///
/// # Errors
/// The level is unknown or logging has been started already.
pub fn start_logs(level: &str) -> eyre::Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?.log_to_stderr().format(json_line);
    Ok(logger.start()?)
}

/// Starts logging at `level` to standard output through `ring`, which the caller closes at
/// the end. Each line names the box `box_id`, so that merged logs can be told apart. The handle must
/// be kept.
///
/// # Errors
/// The level is unknown or logging has been started already.
pub fn start_ring_logs(level: &str, ring: LogRing, box_id: &str) -> eyre::Result<LoggerHandle> {
    let writer = Box::new(RingWriter { ring, box_id: box_id.to_string() });
    Ok(Logger::try_with_str(level)?.log_to_writer(writer).start()?)
}

/// Hands formatted lines to the ring.
struct RingWriter {
    ring: LogRing,
    box_id: String,
}

impl LogWriter for RingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(512);
        write_line(&mut line, now, record, Some(&self.box_id))?;
        self.ring.push(line);
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
    let mut fields = FieldReader::default();
    if let Some(box_id) = box_id {
        fields.put("box", box_id);
    }
    fields.put("time", &now.format_rfc3339());
    fields.put("level", &record.level().to_string().to_lowercase());
    fields.put("module", record.module_path().unwrap_or_default());
    fields.put("event", &record.args().to_string());
    // A value that can't be shown costs its field and not the line.
    let _ = record.key_values().visit(&mut fields);
    let line = serde_json::to_string(&fields.0).map_err(std::io::Error::other)?;
    out.write_all(line.as_bytes())
}

#[derive(Default)]
struct FieldReader(BTreeMap<String, String>);

impl FieldReader {
    fn put(&mut self, name: &str, value: &str) {
        self.0.insert(name.to_string(), value.to_string());
    }
}

impl<'kvs> VisitSource<'kvs> for FieldReader {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.put(key.as_str(), &value.to_string());
        Ok(())
    }
}
