//! Resources as rows of a table.

use godwitstep::resources::Collection;
use serde_json::Value;

/// Returns the header of a collection's table.
pub fn header(collection: Collection) -> Vec<String> {
    let columns: &[&str] = match collection {
        Collection::Domains => &["NAME", "REGION", "PHASE", "VERSION"],
        Collection::Workspaces => &["NAME", "RANK", "GUARANTEED", "KINDS", "PHASE", "VERSION"],
        Collection::Jobs => &[
            "NAME",
            "WORKSPACE",
            "KIND",
            "SHAPE",
            "PHASE",
            "ATTEMPT",
            "VERSION",
            "REASON",
        ],
    };
    columns.iter().map(|column| (*column).to_owned()).collect()
}

/// Returns the table row of an object.
pub fn row(collection: Collection, object: &Value) -> Vec<String> {
    let (spec, status) = (&object["spec"], &object["status"]);
    let (name, version) = (text(&object["name"]), text(&object["version"]));
    let phase = text(&status["phase"]);
    match collection {
        Collection::Domains => vec![name, text(&spec["region"]), phase, version],
        Collection::Workspaces => vec![
            name,
            text(&spec["rank"]),
            guaranteed_accelerators(&spec["guarantees"]).to_string(),
            kind_names(&spec["kinds"]),
            phase,
            version,
        ],
        Collection::Jobs => vec![
            name,
            text(&spec["workspace"]),
            text(&spec["kind"]),
            format_shape(&spec["shape"]),
            phase,
            text(&status["attempt"]),
            version,
            text(&status["reason"]["message"]),
        ],
    }
}

/// Formats a value as text without quotes, and null as `-`.
pub fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn format_shape(shape: &Value) -> String {
    format!(
        "{}x{} {}",
        shape["tasks"],
        shape["accelerators"],
        text(&shape["adjacency"])
    )
}

/// Returns the total number of accelerators of all guarantees.
fn guaranteed_accelerators(guarantees: &Value) -> u64 {
    let list = guarantees.as_array().map_or(&[][..], Vec::as_slice);
    list.iter()
        .map(|guarantee| {
            let shape = &guarantee["shape"];
            let factors = [&guarantee["count"], &shape["tasks"], &shape["accelerators"]];
            let factors = factors.map(|factor| factor.as_u64().unwrap_or(0));
            factors.into_iter().fold(1, u64::saturating_mul)
        })
        .fold(0, u64::saturating_add)
}

fn kind_names(kinds: &Value) -> String {
    let list = kinds.as_array().map_or(&[][..], Vec::as_slice);
    let names: Vec<_> = list.iter().map(|kind| text(&kind["name"])).collect();
    names.join(",")
}
