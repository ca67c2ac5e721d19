//! Validation of settings and resource files, without starting anything.

use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::Document;
use godwitstep::settings::{self, Agent, Entry};
use godwitstep_core::resource::Fault;
use serde_json::Value;
use std::io::Read;

/// Validates the files of a command line and reports the faults of all of them.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let mut failure = None;
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let text = read_file(file)?;
        let file_type = matches
            .get_one::<String>("as")
            .map_or_else(|| detect_file_type(&text), String::as_str);
        match validate(file_type, &text) {
            Ok(summary) => output::print_line(&format!("{file}: {summary}, no faults"))?,
            Err(faults) => {
                let file = file.clone();
                if let Some(earlier) = failure.replace(Failure::Faults { file, faults }) {
                    earlier.print();
                }
            }
        }
    }
    failure.map_or(Ok(()), Err)
}

/// Reads a file, or the standard input for `-`.
pub fn read_file(file: &str) -> Result<String, Failure> {
    let text = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| Failure::Usage(format!("{file} can't be read: {error}")))
}

/// Validates the text of a file and returns a summary of its content.
fn validate(file_type: &str, text: &str) -> Result<String, Vec<Fault>> {
    match file_type {
        "entry" => {
            let entry = settings::read::<Entry>(text, &[])?;
            Ok(format!("settings of entry {}", entry.name))
        }
        "agent" => {
            let agent = settings::read::<Agent>(text, &[])?;
            Ok(format!("settings of agent {}", agent.name))
        }
        _ => {
            let documents = Document::read_all(text)?;
            Ok(format!("{} resource(s)", documents.len()))
        }
    }
}

/// Detects the type of a file by keys that only this type has.
fn detect_file_type(text: &str) -> &'static str {
    let Ok(Value::Object(object)) = serde_json::from_str(text) else {
        return "resources";
    };
    let has_any = |keys: &[&str]| keys.iter().any(|key| object.contains_key(*key));
    if has_any(&["kind", "items", "spec"]) {
        "resources"
    } else if has_any(&["entries", "target", "worker", "rack"]) {
        "agent"
    } else {
        "entry"
    }
}
