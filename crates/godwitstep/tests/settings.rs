//! Settings files that must be accepted, and ones whose faults must all be reported.

// The harness fixes the signatures of the tests.
#![allow(clippy::needless_pass_by_value, clippy::unnecessary_wraps)]

use godwitstep::settings::{self, Agent, Entry, Settings};
use std::path::Path;

fn faults<S: Settings>(text: &str) -> Vec<String> {
    let faults = settings::read::<S>(text, &[]).err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

fn check(path: &Path, text: &str) -> Vec<String> {
    let name = path.file_name().expect("a file").to_string_lossy();
    if name.starts_with("entry") {
        faults::<Entry>(text)
    } else {
        faults::<Agent>(text)
    }
}

/// Guards against legal settings being refused.
fn valid(path: &Path, text: String) -> datatest_stable::Result<()> {
    assert_eq!(check(path, &text), Vec::<String>::new());
    Ok(())
}

/// Guards against a fault that is missed, reported at the wrong path or without what is allowed.
fn invalid(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("faults"))?;
    assert_eq!(check(path, &text).join("\n"), expected.trim_end());
    Ok(())
}

datatest_stable::harness! {
    { test = valid, root = "tests/settings/valid", pattern = r"\.json$" },
    { test = invalid, root = "tests/settings/invalid", pattern = r"\.json$" },
}
