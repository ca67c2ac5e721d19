//! Tests of the parser on all scenario files of the examples.

use godwitstep_lab::compare::Scenario;
use std::path::Path;

/// Guards against examples that the tool can't parse, and against fields that are lost when a
/// scenario is written out.
fn parses_and_serializes(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let scenario = Scenario::parse(&text)?;
    let reparsed = Scenario::parse(&serde_json::to_string(&scenario)?)?;
    assert_eq!(scenario, reparsed);
    Ok(())
}

/// Guards against misspelt fields and undeclared kinds that are accepted.
fn rejects_misspelt_fields_and_undeclared_kinds(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for (valid, invalid) in [
        ("\"run_p50_s\"", "\"run_s\""),
        ("\"duration_s\"", "\"duration\""),
        ("\"kind\": \"", "\"kind\": \"un"),
        ("\"at_s\"", "\"at\""),
    ] {
        assert!(text.contains(valid), "{valid}");
        let changed = text.replacen(valid, invalid, 1);
        assert!(Scenario::parse(&changed).is_err(), "{invalid}");
    }
    Ok(())
}

datatest_stable::harness! {
    { test = parses_and_serializes, root = "../../examples/scenarios", pattern = r"\.json$" },
    { test = rejects_misspelt_fields_and_undeclared_kinds, root = "../../examples/scenarios", pattern = r"\.json$" },
}
