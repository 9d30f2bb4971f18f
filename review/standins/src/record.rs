//! What was sent, answered and run, in order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    is_quiet: bool,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)), is_quiet: false }
    }

    /// A record that writes nothing, for cases with many thousand requests, which count them at the end.
    pub fn quiet(&self) -> Record {
        Record { is_quiet: true, ..self.clone() }
    }

    pub fn line(&self, text: &str) {
        if self.is_quiet {
            return;
        }
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} s  {text}");
    }
}
