//! Output on standard output: tables for operators, or JSON for programs.

use serde::Serialize;

/// Prints `value` as indented JSON if `json` is set, otherwise the text that `as_text` returns.
pub fn print(json: bool, value: &impl Serialize, as_text: impl FnOnce() -> String) {
    let text = if json {
        serde_json::to_string_pretty(value).unwrap_or_else(|error| error.to_string())
    } else {
        as_text()
    };
    println!("{}", text.trim_end());
}

/// Formats `rows` under `headings` as a text table. Each column is as wide as its widest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    let mut lines = vec![line(headings.to_vec())];
    lines.extend(rows.iter().map(|row| line(row.iter().map(String::as_str).collect())));
    lines.join("\n")
}

/// Formats a duration in milliseconds, seconds, minutes or hours, depending on its length.
pub fn format_duration(millis: u64) -> String {
    match millis {
        0..1_000 => format!("{millis} ms"),
        1_000..120_000 => format!("{:.1} s", millis as f64 / 1000.0),
        120_000..7_200_000 => format!("{} min", millis / 60_000),
        _ => format!("{} h", millis / 3_600_000),
    }
}
