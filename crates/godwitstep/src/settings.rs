//! Settings of the daemons: JSON, checked in full before anything starts.
//!
//! Each key is defined once, as a [`Key`] with its form, its default and one line of help. The
//! checker, the defaults, the command line's override flags and the reference page all follow from
//! the definitions.
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

/// Settings of one daemon.
pub trait Settings: DeserializeOwned {
    /// Definitions of all keys.
    const KEYS: &'static [Key];

    /// Returns the faults that concern more than one key.
    fn faults(&self) -> Vec<Fault>;
}

/// A value that replaces the one in the file: the path of the key, and the text from the command
/// line.
pub type Override = (String, String);

/// Reads settings from a JSON text.
///
/// # Errors
///
/// Returns every fault that was found. The faults that concern more than one key are looked for
/// once each key by itself is in order.
pub fn read<S: Settings>(text: &str, overrides: &[Override]) -> Result<S, Vec<Fault>> {
    let mut document = document::parse(text)?;
    let mut faults = Vec::new();
    for (path, text) in overrides {
        check::replace(S::KEYS, &mut document, path, text, &mut faults);
    }
    check::document(S::KEYS, &mut document, &mut faults);
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
