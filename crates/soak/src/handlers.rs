//! Which box handled each relayed request, as the boxes' logs tell. Targets can't tell: all boxes reach them by way of a
//! relay.

use std::collections::HashMap;
use std::fs::{File, read_dir};
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde::Deserialize;

/// The fields that are read of a log line.
#[derive(Deserialize)]
struct RequestLine {
    #[serde(default)]
    request: String,
    #[serde(default)]
    relayed_from: String,
}

/// Returns the index of the box that handled each relayed request, by the id of the request.
///
/// # Errors
/// Returns an error if the logs in `directory` can't be read.
pub fn read_handlers(directory: &Path) -> std::io::Result<HashMap<String, usize>> {
    let mut handlers = HashMap::new();
    for entry in read_dir(directory)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let Some(index) = box_index(name) else { continue };
        for line in BufReader::new(File::open(&path)?).lines() {
            // The last line of a killed process may be cut off.
            let Ok(line) = serde_json::from_str::<RequestLine>(&line?) else { continue };
            if !line.relayed_from.is_empty() {
                handlers.insert(line.request, index);
            }
        }
    }
    Ok(handlers)
}

/// Returns the index of the box whose log has this file name.
fn box_index(name: &str) -> Option<usize> {
    name.strip_prefix("box-")?.split('-').next()?.parse().ok()
}
