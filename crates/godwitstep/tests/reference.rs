//! Defaults, overrides, secrets and the reference page of settings.

use godwitstep::settings::{self, Agent, Entry, Settings, flags};
use std::time::Duration;

const AGENT: &str = include_str!("settings/valid/agent-target.json");

fn set(path: &str, value: &str) -> (String, String) {
    (path.to_owned(), value.to_owned())
}

/// Guards against a reference page that differs from what the checker accepts.
#[test]
fn reference_page_is_current() {
    let page = include_str!("../../../docs/operating/settings.md");
    assert!(
        page == settings::reference(),
        "run `cargo run -- reference > docs/operating/settings.md`"
    );
}

/// Guards against a flag that is ignored, and against one that goes around the checks.
#[test]
fn overrides_replace_and_are_checked() {
    let overrides = [
        set("stop_limit_ms", "1500"),
        set("target.slots", "3"),
        set("entries", "10.0.0.1:1, 10.0.0.2:1"),
    ];
    let agent: Agent = settings::read(AGENT, &overrides).expect("legal");
    assert_eq!(agent.stop_limit, Duration::from_millis(1_500));
    assert_eq!(agent.target.expect("a target").slots, 3);
    assert_eq!(agent.entries.len(), 2);
    let wrong = [set("stop_limit_ms", "soon"), set("target.slots", "0")];
    let faults = settings::read::<Agent>(AGENT, &wrong).unwrap_err();
    let paths: Vec<_> = faults.iter().map(|fault| &*fault.path).collect();
    assert_eq!(paths, ["stop_limit_ms", "target.slots"]);
}

/// Guards against the link key on a command line, in a message or in a debug print.
#[test]
fn secrets_are_not_shown() {
    let flags = flags(Entry::KEYS);
    assert!(flags.iter().all(|(path, _)| path != "link_key"));
    let agent: Agent = settings::read(AGENT, &[]).expect("legal");
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

/// Guards against a document that is not an object, or not JSON, being taken for empty settings.
#[test]
fn other_documents_are_faults() {
    for (text, path) in [
        ("[]", "(document)"),
        ("{\"name\": ", "line 1 column 9"),
        ("", "line 1 column 0"),
    ] {
        let faults = settings::read::<Entry>(text, &[]).unwrap_err();
        assert_eq!((faults.len(), &*faults[0].path), (1, path));
    }
}
