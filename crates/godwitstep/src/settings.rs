//! Settings of the daemons: a JSON file that is validated completely before anything starts.
//!
//! Each setting is defined once, as a [`Key`] with its form, its default and one line of help.
//! Validation, defaults, override flags of the command line and the reference page are derived from
//! these definitions.
//!
//! ```
//! use godwitstep::settings::{self, Agent};
//!
//! let text = r#"{"name": "runner-1", "region": "dk-vest", "slots": 8}"#;
//! let faults = settings::read::<Agent>(text, &[]).unwrap_err();
//! let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
//! assert_eq!(paths, ["slots", "domain", "rack", "entries", "link_key"]);
//! ```

use godwitstep_core::resource::Fault;
use serde::de::DeserializeOwned;
use serde_json::Value;

mod agent;
mod check;
mod document;
mod entry;
mod key;
mod reference;
mod secret;

pub use agent::{Agent, Target, Worker};
pub use document::parse;
pub use entry::Entry;
pub use key::{Form, Key, Presence, flags};
pub use reference::reference;
pub use secret::Secret;

/// Typed settings of one daemon, with the definitions of their keys.
pub trait Settings: DeserializeOwned {
    /// Definitions of all top-level keys.
    const KEYS: &'static [Key];

    /// Validates combinations of keys and returns their faults.
    fn faults(&self) -> Vec<Fault>;
}

/// A value from the command line that overrides the one in the file: the path of the key and the
/// text of the value.
pub type Override = (String, String);

/// Parses and validates settings from a JSON text, after applying the overrides.
///
/// # Errors
///
/// Returns every fault that was found. Combinations of keys are validated only once each key on its
/// own is valid.
pub fn read<S: Settings>(text: &str, overrides: &[Override]) -> Result<S, Vec<Fault>> {
    let mut document = document::parse(text)?;
    let mut faults = Vec::new();
    for (path, text) in overrides {
        check::apply_override(S::KEYS, &mut document, path, text, &mut faults);
    }
    check::check_document(S::KEYS, &mut document, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let settings = decode::<S>(document)?;
    let faults = settings.faults();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

fn decode<S: DeserializeOwned>(document: Value) -> Result<S, Vec<Fault>> {
    serde_path_to_error::deserialize(document).map_err(|error| {
        let path = error.path().to_string();
        vec![Fault::new(
            path,
            "the value",
            error.into_inner().to_string(),
        )]
    })
}
