//! Formatting and printing of output.

use crate::failure::Failure;
use serde_json::Value;
use std::fmt::Write as _;
use std::io::Write as _;

/// Writes text to the standard output and flushes it.
pub fn print(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(Failure::Output)
}

/// Writes a line to the standard output.
pub fn print_line(text: &str) -> Result<(), Failure> {
    print(&format!("{text}\n"))
}

/// Writes a value as indented JSON to the standard output.
pub fn print_json(value: &Value) -> Result<(), Failure> {
    print_line(&format!("{value:#}"))
}

/// Formats rows as a table with aligned columns. The first row is the header.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let column_width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(column_width).collect();
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

/// Formats a value as an indented outline of its members.
pub fn outline(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    let mut text = String::new();
    let mut append_member = |name: &str, member: &Value| match member {
        Value::Array(list) if list.is_empty() => {
            let _ = writeln!(text, "{indent}{name} none");
        }
        Value::Object(_) | Value::Array(_) => {
            let _ = write!(text, "{indent}{name}\n{}", outline(member, depth + 1));
        }
        Value::Null => {
            let _ = writeln!(text, "{indent}{name} none");
        }
        Value::String(string) => {
            let _ = writeln!(text, "{indent}{name} {string}");
        }
        other => {
            let _ = writeln!(text, "{indent}{name} {other}");
        }
    };
    match value {
        Value::Object(map) => {
            for (name, member) in map {
                append_member(&format!("{name}:"), member);
            }
        }
        Value::Array(list) => {
            for member in list {
                append_member("-", member);
            }
        }
        other => append_member("-", other),
    }
    text
}
