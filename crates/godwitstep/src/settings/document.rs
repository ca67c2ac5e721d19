//! JSON parser that rejects duplicate keys.

use godwitstep_core::resource::Fault;
use serde::de::{Deserialize, DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::fmt;

/// Parses a JSON text. A duplicate key is a fault, because only one of its values could take
/// effect.
///
/// # Errors
///
/// Returns the position of the syntax error, or a fault for every duplicate key.
pub fn parse(text: &str) -> Result<Value, Vec<Fault>> {
    let faults = RefCell::new(Vec::new());
    let seed = UniqueKeys {
        path: String::new(),
        faults: &faults,
    };
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = seed.deserialize(&mut reader);
    match value.and_then(|value| reader.end().map(|()| value)) {
        Err(error) => {
            let position = format!("line {} column {}", error.line(), error.column());
            Err(vec![Fault::new(position, error, "JSON")])
        }
        Ok(value) if faults.borrow().is_empty() => Ok(value),
        Ok(_) => Err(faults.into_inner()),
    }
}

/// Deserializer of any JSON value that records duplicate keys as faults.
struct UniqueKeys<'a> {
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl UniqueKeys<'_> {
    fn with_path(&self, path: String) -> Self {
        UniqueKeys {
            path,
            faults: self.faults,
        }
    }
}

impl<'de> DeserializeSeed<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, values.len());
            match list.next_element_seed(self.with_path(path))? {
                Some(value) => values.push(value),
                None => return Ok(values.into()),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let dot = if self.path.is_empty() { "" } else { "." };
            let path = format!("{}{dot}{name}", self.path);
            let value = map.next_value_seed(self.with_path(path.clone()))?;
            if values.insert(name, value).is_some() {
                let fault = Fault::new(path, "a key that is given twice", "each key once");
                self.faults.borrow_mut().push(fault);
            }
        }
        Ok(values.into())
    }
}
