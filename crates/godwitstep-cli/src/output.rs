//! Forms of output.

use crate::failure::Failure;
use serde_json::Value;
use std::fmt::Write as _;
use std::io::Write as _;

/// Writes text to the standard output at once.
pub fn print(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(Failure::Output)
}

/// Writes a line.
pub fn line(text: &str) -> Result<(), Failure> {
    print(&format!("{text}\n"))
}

/// Writes a value as JSON for people.
pub fn json(value: &Value) -> Result<(), Failure> {
    line(&format!("{value:#}"))
}

/// Returns rows as a table with aligned columns. The first row is the head.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:width$}   ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Returns a value as an indented outline of its members.
pub fn outline(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    let mut text = String::new();
    let mut member = |name: &str, inner: &Value| match inner {
        Value::Array(list) if list.is_empty() => {
            let _ = writeln!(text, "{indent}{name} none");
        }
        Value::Object(_) | Value::Array(_) => {
            let _ = write!(text, "{indent}{name}\n{}", outline(inner, depth + 1));
        }
        Value::Null => {
            let _ = writeln!(text, "{indent}{name} none");
        }
        Value::String(word) => {
            let _ = writeln!(text, "{indent}{name} {word}");
        }
        other => {
            let _ = writeln!(text, "{indent}{name} {other}");
        }
    };
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                member(&format!("{name}:"), inner);
            }
        }
        Value::Array(list) => {
            for inner in list {
                member("-", inner);
            }
        }
        other => member("-", other),
    }
    text
}
