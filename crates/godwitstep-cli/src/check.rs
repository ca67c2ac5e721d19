//! Check of a settings or resource file, without starting anything.

use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::Document;
use godwitstep::settings::{self, Agent, Entry};
use godwitstep_core::resource::Fault;
use serde_json::Value;
use std::io::Read;

/// Checks the file of a command line.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let mut failure = None;
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let text = read(file)?;
        let form = matches
            .get_one::<String>("as")
            .map_or_else(|| form(&text), String::as_str);
        match check(form, &text) {
            Ok(found) => output::line(&format!("{file}: {found}, no faults"))?,
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
pub fn read(file: &str) -> Result<String, Failure> {
    let text = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| Failure::Usage(format!("{file} can't be read: {error}")))
}

fn check(form: &str, text: &str) -> Result<String, Vec<Fault>> {
    match form {
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

/// Tells the form of a file by the keys that only this form has.
fn form(text: &str) -> &'static str {
    let Ok(Value::Object(map)) = serde_json::from_str(text) else {
        return "resources";
    };
    let has = |keys: &[&str]| keys.iter().any(|key| map.contains_key(*key));
    if has(&["kind", "items", "spec"]) {
        "resources"
    } else if has(&["entries", "target", "worker", "rack"]) {
        "agent"
    } else {
        "entry"
    }
}
