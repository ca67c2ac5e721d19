//! Drivers of the review cases. Each starts a small deployment, disturbs it and checks one rule by what clients and
//! runners have seen.
//!
//! `godwitstep-review CASE FOLDER ROOT` exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
//! could not run. With `TROUBLE=0` in the environment the case runs without its disruption.

mod cases;
mod deployment;
mod log;
mod runner;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, root] = arguments.as_slice() else {
        eprintln!("usage: godwitstep-review CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, root) = (PathBuf::from(folder), PathBuf::from(root));
    let verdict = match name.as_str() {
        "large-record" => cases::large_record(&folder, &root, trouble),
        "cancel-in-doubt" => cases::cancel_in_doubt(&folder, &root, trouble),
        "uncounted-failure" => cases::uncounted_failure(&folder, &root, trouble),
        "pending-count" => cases::pending_count(&folder, &root, trouble),
        "starved-suspect" => cases::starved_suspect(&folder, &root, trouble),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
