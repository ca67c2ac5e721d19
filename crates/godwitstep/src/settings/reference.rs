//! Reference page of the settings, generated from the definitions of the keys.

use super::key::{Form, Key, Presence};
use super::{Agent, Entry, Settings};
use std::fmt::Write;

const INTRODUCTION: &str = "# Settings

<!-- Made by `cargo run -- reference`; a test compares this page with the definitions. -->

A daemon reads its settings from one JSON file and checks all of it before it starts anything. Every fault
is reported with its path, its value and what is allowed; unknown keys and keys given twice are faults.
`godwitstep check FILE` does the same check alone. Each key except secrets can be replaced on the command
line: `target.slots` by `--target-slots 4`, and a list by its elements with commas between them.
";

/// Returns the reference page of all settings, in Markdown.
#[must_use]
pub fn reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    write_section(&mut page, "Entry", Entry::KEYS);
    write_section(&mut page, "Agent", Agent::KEYS);
    page
}

fn write_section(page: &mut String, title: &str, keys: &[Key]) {
    let _ = write!(
        page,
        "\n## {title}\n\n| key | allowed | if left out | meaning |\n|---|---|---|---|\n"
    );
    write_rows(page, "", keys);
}

fn write_rows(page: &mut String, prefix: &str, keys: &[Key]) {
    for key in keys {
        let default = match key.presence {
            Presence::Required => "a fault".to_owned(),
            Presence::Optional => "none".to_owned(),
            Presence::Integer(value) => format!("`{value}`"),
            Presence::Choice(value) => format!("`\"{value}\"`"),
        };
        let _ = writeln!(
            page,
            "| `{prefix}{}` | {} | {default} | {} |",
            key.name,
            key.form.allowed(),
            key.help
        );
        if let Form::Group(inner) = key.form {
            write_rows(page, &format!("{prefix}{}.", key.name), inner);
        }
    }
}
