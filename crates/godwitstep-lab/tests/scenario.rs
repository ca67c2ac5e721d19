//! Scenario files can be read, and a changed one is refused.

use godwitstep_lab::compare::Scenario;
use std::path::Path;

/// Guards against examples that the tool can't read.
fn parses(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let scenario = Scenario::parse(&text)?;
    let again = Scenario::parse(&serde_json::to_string(&scenario)?)?;
    assert_eq!(scenario, again);
    Ok(())
}

/// Guards against misspelt fields and names that pass unnoticed.
fn refuses_mistakes(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for (right, wrong) in [
        ("\"run_p50_s\"", "\"run_s\""),
        ("\"duration_s\"", "\"duration\""),
        ("\"kind\": \"", "\"kind\": \"un"),
        ("\"at_s\"", "\"at\""),
    ] {
        assert!(text.contains(right), "{right}");
        let changed = text.replacen(right, wrong, 1);
        assert!(Scenario::parse(&changed).is_err(), "{wrong}");
    }
    Ok(())
}

datatest_stable::harness! {
    { test = parses, root = "../../examples/scenarios", pattern = r"\.json$" },
    { test = refuses_mistakes, root = "../../examples/scenarios", pattern = r"\.json$" },
}
