//! Walk over a document by the definitions of its keys.

use super::key::{Form, Key, Presence};
use godwitstep_core::resource::{Fault, fault};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Least similarity at which a known key is suggested for an unknown one.
const SIMILAR: f64 = 0.7;

/// Checks a whole document and fills in defaults.
pub(super) fn document(keys: &[Key], document: &mut Value, faults: &mut Vec<Fault>) {
    match document {
        Value::Object(map) => object(keys, map, "", faults),
        other => faults.push(Fault::new("(document)", &*other, "an object")),
    }
}

/// Puts a value from the command line in place of the document's.
pub(super) fn replace(
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
        faults.push(unknown(keys, path, name, &Value::from(text)));
        return;
    };
    if let Form::Group(inner) = key.form {
        let group = map.entry(name).or_insert_with(|| Map::new().into());
        replace(inner, group, rest, text, faults);
        return;
    }
    map.insert(name.to_owned(), given(&key.form, text));
}

/// Reads a value from the command line in the form that its key wants.
fn given(form: &Form, text: &str) -> Value {
    match form {
        Form::Integer { .. } => text
            .parse::<u64>()
            .map_or_else(|_| text.into(), Value::from),
        Form::Addresses { .. } => text.split(',').map(str::trim).collect(),
        _ => text.into(),
    }
}

fn object(keys: &[Key], map: &mut Map<String, Value>, at: &str, faults: &mut Vec<Fault>) {
    for (name, value) in map.iter_mut() {
        let path = join(at, name);
        match keys.iter().find(|key| key.name == name) {
            Some(key) => check(&key.form, value, &path, faults),
            None => faults.push(unknown(keys, &path, name, value)),
        }
    }
    for key in keys {
        if map.contains_key(key.name) {
            continue;
        }
        match key.presence {
            Presence::Optional => {}
            Presence::Required => {
                let path = join(at, key.name);
                faults.push(Fault::new(path, "a missing value", key.form.allowed()));
            }
            Presence::Integer(value) => {
                map.insert(key.name.to_owned(), value.into());
            }
            Presence::Word(value) => {
                map.insert(key.name.to_owned(), value.into());
            }
        }
    }
}

fn check(form: &Form, value: &mut Value, path: &str, faults: &mut Vec<Fault>) {
    let legal = match (form, &mut *value) {
        (Form::Group(keys), Value::Object(map)) => return object(keys, map, path, faults),
        (Form::Addresses { most }, Value::Array(list)) => {
            return addresses(list, *most, path, faults);
        }
        (Form::Name, Value::String(text)) => fault::check_name(path, text).is_none(),
        (Form::Address, Value::String(text)) => text.parse::<SocketAddr>().is_ok(),
        (Form::Secret { least, most }, Value::String(text)) => {
            (*least..=*most).contains(&text.len())
        }
        (Form::Word(words), Value::String(text)) => words.contains(&text.as_str()),
        (Form::Integer { low, high }, Value::Number(number)) => number
            .as_u64()
            .is_some_and(|number| (*low..=*high).contains(&number)),
        _ => false,
    };
    if !legal {
        let shown = match form {
            Form::Secret { .. } => "the value (not shown)".to_owned(),
            _ => value.to_string(),
        };
        faults.push(Fault::new(path, shown, form.allowed()));
    }
}

fn addresses(list: &[Value], most: usize, path: &str, faults: &mut Vec<Fault>) {
    let form = Form::Addresses { most };
    if list.is_empty() || list.len() > most {
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

/// Returns the fault of an unknown key. The value is not shown: it may be a misspelt secret.
fn unknown(keys: &[Key], path: &str, name: &str, value: &Value) -> Fault {
    let nearest = keys
        .iter()
        .map(|key| (strsim::jaro_winkler(key.name, name), key.name))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(similarity, _)| *similarity >= SIMILAR);
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

fn join(at: &str, name: &str) -> String {
    if at.is_empty() {
        name.to_owned()
    } else {
        format!("{at}.{name}")
    }
}
