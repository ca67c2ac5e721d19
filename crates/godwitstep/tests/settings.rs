//! Tests of settings files: valid ones must be accepted, and all faults of the invalid ones reported.

// The harness fixes the signatures of the tests.
#![allow(clippy::needless_pass_by_value, clippy::unnecessary_wraps)]

use godwitstep::settings::{self, Agent, Entry, Settings};
use std::path::Path;

/// Returns the faults of a settings document.
fn faults<S: Settings>(text: &str) -> Vec<String> {
    let faults = settings::read::<S>(text, &[]).err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

/// Returns the faults of a settings file, which is that of an entry if its name starts with `entry`.
fn faults_of_file(path: &Path, text: &str) -> Vec<String> {
    let name = path.file_name().expect("a file").to_string_lossy();
    if name.starts_with("entry") {
        faults::<Entry>(text)
    } else {
        faults::<Agent>(text)
    }
}

/// Guards against valid settings that are rejected.
fn valid(path: &Path, text: String) -> datatest_stable::Result<()> {
    assert_eq!(faults_of_file(path, &text), Vec::<String>::new());
    Ok(())
}

/// Guards against a fault that is not reported, or is reported with a wrong path or without the
/// allowed values.
fn invalid(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("faults"))?;
    assert_eq!(faults_of_file(path, &text).join("\n"), expected.trim_end());
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "tests/settings/valid", pattern = r"\.json$" },
    { test = invalid, root = "tests/settings/invalid", pattern = r"\.json$" },
}
