//! Tests of overrides, secrets and the reference page of the settings.

use godwitstep::settings::{self, Agent, Entry, Settings, flags};
use std::time::Duration;

/// Valid settings of an agent.
const AGENT_SETTINGS: &str = include_str!("settings/valid/agent-target.json");

/// Returns an override of one setting, as given by a command-line flag.
fn setting_override(path: &str, value: &str) -> (String, String) {
    (path.to_owned(), value.to_owned())
}

/// Guards against a reference page that differs from the settings that are accepted.
#[test]
fn reference_page_is_current() {
    let page = include_str!("../../../docs/operating/settings.md");
    assert!(
        page == settings::reference(),
        "run `cargo run -- reference > docs/operating/settings.md`"
    );
}

/// Guards against a flag that is ignored, and against one whose value is not validated.
#[test]
fn overrides_replace_and_are_checked() {
    let overrides = [
        setting_override("stop_limit_ms", "1500"),
        setting_override("target.slots", "3"),
        setting_override("entries", "10.0.0.1:1, 10.0.0.2:1"),
    ];
    let agent: Agent = settings::read(AGENT_SETTINGS, &overrides).expect("legal");
    assert_eq!(agent.stop_limit, Duration::from_millis(1_500));
    assert_eq!(agent.target.expect("a target").slots, 3);
    assert_eq!(agent.entries.len(), 2);
    let invalid = [
        setting_override("stop_limit_ms", "soon"),
        setting_override("target.slots", "0"),
    ];
    let faults = settings::read::<Agent>(AGENT_SETTINGS, &invalid).unwrap_err();
    let paths: Vec<_> = faults.iter().map(|fault| &*fault.path).collect();
    assert_eq!(paths, ["stop_limit_ms", "target.slots"]);
}

/// Guards against a link key on the command line, in an error message or in debug output.
#[test]
fn secrets_are_not_shown() {
    let flags = flags(Entry::KEYS);
    assert!(flags.iter().all(|(path, _)| path != "link_key"));
    let agent: Agent = settings::read(AGENT_SETTINGS, &[]).expect("legal");
    let secret = std::str::from_utf8(agent.link_key.expose()).expect("text");
    assert!(!format!("{agent:?}").contains(secret));
    for text in [
        r#"{"link_key": "tiny-secret"}"#,
        r#"{"link_kee": "tiny-secret"}"#,
    ] {
        let faults = settings::read::<Entry>(text, &[]).unwrap_err();
        assert!(
            faults
                .iter()
                .all(|fault| !fault.to_string().contains("tiny-secret"))
        );
    }
}

/// Guards against a document that is not JSON, or not an object, and is read as empty settings.
#[test]
fn documents_that_are_not_json_objects_are_rejected() {
    for (text, path) in [
        ("[]", "(document)"),
        ("{\"name\": ", "line 1 column 9"),
        ("", "line 1 column 0"),
    ] {
        let faults = settings::read::<Entry>(text, &[]).unwrap_err();
        assert_eq!((faults.len(), &*faults[0].path), (1, path));
    }
}
