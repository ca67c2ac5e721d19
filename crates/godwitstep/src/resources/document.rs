//! Parsing and validation of the resource documents that operators submit.

use super::Collection;
use crate::settings;
use godwitstep_core::id::{Name, Version};
use godwitstep_core::resource::{Domain, Fault, Job, Workspace, fault};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Keys that a document may have. `status` is ignored, so that a document can be fetched, edited
/// and put back.
const DOCUMENT_KEYS: [&str; 5] = ["kind", "name", "version", "spec", "status"];

/// Spec of a resource, by collection.
#[derive(Debug, Clone, PartialEq)]
pub enum Spec {
    /// Kinds of work and guarantees of a workspace.
    Workspace(Workspace),
    /// Service state of a failure domain.
    Domain(Domain),
    /// Work that a job submits.
    Job(Job),
}

/// A validated resource document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Collection of the resource.
    pub collection: Collection,
    /// Name of the resource; passed the name check.
    pub name: Name,
    /// Version that the change is based on, if given.
    pub version: Option<Version>,
    /// Validated spec of the resource.
    pub spec: Spec,
}

impl Document {
    /// Parses a resource file: one document, a list of documents, or an object with `items`. Each
    /// document must have a `kind`.
    ///
    /// # Errors
    ///
    /// Returns the faults of all documents, with paths relative to the root of the file.
    pub fn read_all(text: &str) -> Result<Vec<Self>, Vec<Fault>> {
        let (values, prefix) = match settings::parse(text)? {
            Value::Array(list) => (list, Some("")),
            Value::Object(mut map) => match map.remove("items") {
                Some(Value::Array(list)) => (list, Some("items")),
                Some(other) => return Err(vec![Fault::new("items", other, "a list")]),
                None => (vec![Value::Object(map)], None),
            },
            other => (vec![other], None),
        };
        let mut documents = Vec::new();
        let mut faults = Vec::new();
        for (index, value) in values.into_iter().enumerate() {
            let prefix = prefix.map_or_else(String::new, |prefix| format!("{prefix}[{index}]."));
            match Self::read(value, None, None) {
                Ok(document) => documents.push(document),
                Err(found) => faults.extend(found.into_iter().map(|fault| Fault {
                    path: format!("{prefix}{}", fault.path),
                    ..fault
                })),
            }
        }
        if faults.is_empty() {
            Ok(documents)
        } else {
            Err(faults)
        }
    }

    /// Parses one document. A collection or name taken from the request path must match the
    /// document and may be left out of it.
    ///
    /// # Errors
    ///
    /// Returns all faults, but only the first type error within a spec.
    pub fn read(
        value: Value,
        collection: Option<Collection>,
        name: Option<&str>,
    ) -> Result<Self, Vec<Fault>> {
        let Value::Object(mut map) = value else {
            return Err(vec![Fault::new("(document)", value, "an object")]);
        };
        let mut faults: Vec<_> = map
            .iter()
            .filter(|(key, _)| !DOCUMENT_KEYS.contains(&key.as_str()))
            .map(|(key, value)| {
                Fault::new(
                    key,
                    value,
                    format!("one of the keys {}", DOCUMENT_KEYS.join(", ")),
                )
            })
            .collect();
        let collection = read_collection(&map, collection, &mut faults);
        let name = read_name(&map, name, &mut faults);
        let version = read_version(&map, &mut faults);
        let spec = map.remove("spec");
        if spec.is_none() {
            faults.push(Fault::new("spec", "a missing value", "an object"));
        }
        let spec = match (collection, spec) {
            (Some(collection), Some(spec)) => read_spec(collection, spec, &mut faults),
            _ => None,
        };
        match (collection, name, spec) {
            (Some(collection), Some(name), Some(spec)) if faults.is_empty() => Ok(Self {
                collection,
                name,
                version,
                spec,
            }),
            _ => Err(faults),
        }
    }
}

fn read_collection(
    map: &Map<String, Value>,
    known: Option<Collection>,
    faults: &mut Vec<Fault>,
) -> Option<Collection> {
    let given = map.get("kind");
    let parsed = given
        .and_then(Value::as_str)
        .and_then(|text| text.parse().ok());
    match (given, parsed, known) {
        (None, _, Some(known)) => Some(known),
        (Some(_), Some(parsed), None) => Some(parsed),
        (Some(_), Some(parsed), Some(known)) if parsed == known => Some(known),
        (_, _, known) => {
            let shown = given.map_or("a missing value".to_owned(), Value::to_string);
            let allowed = known
                .map_or("\"domain\", \"workspace\" or \"job\"".to_owned(), |known| {
                    format!("\"{}\"", known.singular())
                });
            faults.push(Fault::new("kind", shown, allowed));
            None
        }
    }
}

fn read_name(
    map: &Map<String, Value>,
    known: Option<&str>,
    faults: &mut Vec<Fault>,
) -> Option<Name> {
    let fault = match (map.get("name"), known) {
        (None, None) => Fault::new("name", "a missing value", "a name"),
        (Some(Value::String(given)), Some(known)) if given != known => {
            Fault::new("name", given, format!("{known}, as in the path"))
        }
        (Some(Value::String(text)), _) => match fault::check_name("name", text) {
            None => return Some(text.as_str().into()),
            Some(fault) => fault,
        },
        (Some(other), _) => Fault::new("name", other, "a name"),
        (None, Some(known)) => match fault::check_name("name", known) {
            None => return Some(known.into()),
            Some(fault) => fault,
        },
    };
    faults.push(fault);
    None
}

fn read_version(map: &Map<String, Value>, faults: &mut Vec<Fault>) -> Option<Version> {
    let given = map.get("version")?;
    let version = given.as_u64();
    if version.is_none() {
        faults.push(Fault::new("version", given, "a whole number"));
    }
    version
}

fn read_spec(collection: Collection, value: Value, faults: &mut Vec<Fault>) -> Option<Spec> {
    let (spec, found) = match collection {
        Collection::Workspaces => {
            let spec: Workspace = decode(value, faults)?;
            let found = spec.faults();
            (Spec::Workspace(spec), found)
        }
        Collection::Domains => {
            let spec: Domain = decode(value, faults)?;
            let found = spec.faults();
            (Spec::Domain(spec), found)
        }
        Collection::Jobs => {
            let spec: Job = decode(value, faults)?;
            let found = spec.faults();
            (Spec::Job(spec), found)
        }
    };
    faults.extend(found);
    Some(spec)
}

fn decode<T: DeserializeOwned>(value: Value, faults: &mut Vec<Fault>) -> Option<T> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| {
            let inner = error.path().to_string();
            let path = if inner == "." {
                "spec".to_owned()
            } else {
                format!("spec.{inner}")
            };
            let allowed = format!("a value that can be read: {}", error.into_inner());
            faults.push(Fault::new(path, "the value", allowed));
        })
        .ok()
}
