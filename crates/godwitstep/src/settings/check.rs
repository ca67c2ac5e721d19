//! Validation of a settings document against the definitions of its keys.

use super::key::{Form, Key, Presence};
use godwitstep_core::resource::{Fault, fault};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Minimum Jaro-Winkler similarity for suggesting a known key in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Validates a whole document and fills in defaults.
pub(super) fn check_document(keys: &[Key], document: &mut Value, faults: &mut Vec<Fault>) {
    match document {
        Value::Object(map) => check_object(keys, map, "", faults),
        other => faults.push(Fault::new("(document)", &*other, "an object")),
    }
}

/// Sets the key given by `path` to a value from the command line.
pub(super) fn apply_override(
    keys: &[Key],
    document: &mut Value,
    path: &str,
    text: &str,
    faults: &mut Vec<Fault>,
) {
    let Value::Object(map) = document else {
        return;
    };
    let (name, rest) = path.split_once('.').unwrap_or((path, ""));
    let Some(key) = keys.iter().find(|key| key.name == name) else {
        faults.push(unknown_key(keys, path, name, &Value::from(text)));
        return;
    };
    if let Form::Group(inner) = key.form {
        let group = map.entry(name).or_insert_with(|| Map::new().into());
        apply_override(inner, group, rest, text, faults);
        return;
    }
    map.insert(name.to_owned(), parse_override(&key.form, text));
}

/// Converts a command-line value to the JSON type of its key.
fn parse_override(form: &Form, text: &str) -> Value {
    match form {
        Form::Integer { .. } => text
            .parse::<u64>()
            .map_or_else(|_| text.into(), Value::from),
        Form::Addresses { .. } => text.split(',').map(str::trim).collect(),
        _ => text.into(),
    }
}

fn check_object(keys: &[Key], map: &mut Map<String, Value>, parent: &str, faults: &mut Vec<Fault>) {
    for (name, value) in map.iter_mut() {
        let path = join_path(parent, name);
        match keys.iter().find(|key| key.name == name) {
            Some(key) => check_value(&key.form, value, &path, faults),
            None => faults.push(unknown_key(keys, &path, name, value)),
        }
    }
    for key in keys {
        if map.contains_key(key.name) {
            continue;
        }
        match key.presence {
            Presence::Optional => {}
            Presence::Required => {
                let path = join_path(parent, key.name);
                faults.push(Fault::new(path, "a missing value", key.form.allowed()));
            }
            Presence::Integer(value) => {
                map.insert(key.name.to_owned(), value.into());
            }
            Presence::Choice(value) => {
                map.insert(key.name.to_owned(), value.into());
            }
        }
    }
}

fn check_value(form: &Form, value: &mut Value, path: &str, faults: &mut Vec<Fault>) {
    let valid = match (form, &mut *value) {
        (Form::Group(keys), Value::Object(map)) => return check_object(keys, map, path, faults),
        (Form::Addresses { max_len }, Value::Array(list)) => {
            return check_addresses(list, *max_len, path, faults);
        }
        (Form::Name, Value::String(text)) => fault::check_name(path, text).is_none(),
        (Form::Address, Value::String(text)) => text.parse::<SocketAddr>().is_ok(),
        (Form::Secret { min_len, max_len }, Value::String(text)) => {
            (*min_len..=*max_len).contains(&text.len())
        }
        (Form::Choice(words), Value::String(text)) => words.contains(&text.as_str()),
        (Form::Integer { min, max }, Value::Number(number)) => number
            .as_u64()
            .is_some_and(|number| (*min..=*max).contains(&number)),
        _ => false,
    };
    if !valid {
        let shown = match form {
            Form::Secret { .. } => "the value (not shown)".to_owned(),
            _ => value.to_string(),
        };
        faults.push(Fault::new(path, shown, form.allowed()));
    }
}

fn check_addresses(list: &[Value], max_len: usize, path: &str, faults: &mut Vec<Fault>) {
    let form = Form::Addresses { max_len };
    if list.is_empty() || list.len() > max_len {
        let shown = format!("a list of {}", list.len());
        faults.push(Fault::new(path, shown, form.allowed()));
    }
    let mut seen = BTreeSet::new();
    for (index, value) in list.iter().enumerate() {
        let address = value
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok());
        let allowed = match address {
            None => Form::Address.allowed(),
            Some(address) if !seen.insert(address) => "an address not listed before".into(),
            Some(_) => continue,
        };
        faults.push(Fault::new(format!("{path}[{index}]"), value, allowed));
    }
}

/// Returns the fault for an unknown key. It leaves out the value, because a misspelled key may hold
/// a secret.
fn unknown_key(keys: &[Key], path: &str, name: &str, value: &Value) -> Fault {
    let nearest = keys
        .iter()
        .map(|key| (strsim::jaro_winkler(key.name, name), key.name))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    let names: Vec<_> = keys.iter().map(|key| key.name).collect();
    let allowed = match nearest {
        Some((_, name)) => format!("a known key; did you mean \"{name}\"?"),
        None => format!("one of the keys {}", names.join(", ")),
    };
    let shown = match value {
        Value::Object(_) => "an object under an unknown key",
        Value::Array(_) => "a list under an unknown key",
        _ => "a value under an unknown key",
    };
    Fault::new(path, shown, allowed)
}

fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}
