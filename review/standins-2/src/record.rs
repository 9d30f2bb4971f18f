//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    pub started: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn start() -> Record {
        Record { started: Instant::now(), lines: Mutex::default() }
    }

    pub fn add(&self, line: String) {
        let at = self.started.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, line));
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>11.3} ms  {line}\n", *at as f64 / 1000.0))
            .collect();
        fs::write(path, text)
    }
}
