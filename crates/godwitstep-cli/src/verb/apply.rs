//! Declaration of the resources of files.

use crate::check::read;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::{Document, Spec};
use hyper::Method;
use serde_json::{Value, json};

/// Checks all files, then declares each resource, also if one before it was refused.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let dry_run = matches.get_flag("dry-run");
    let mut documents = Vec::new();
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let text = read(file)?;
        let found = Document::read_all(&text).map_err(|faults| Failure::Faults {
            file: file.clone(),
            faults,
        })?;
        documents.extend(found);
    }
    documents.sort_by_key(|document| document.collection);
    let mut failure = None;
    for document in &documents {
        match put(client, document, dry_run).await {
            Ok(text) => output::line(&text)?,
            Err(error) => {
                if let Some(earlier) = failure.replace(error) {
                    earlier.print();
                }
            }
        }
    }
    failure.map_or(Ok(()), Err)
}

async fn put(client: &Client, document: &Document, dry_run: bool) -> Result<String, Failure> {
    let Document {
        collection, name, ..
    } = document;
    let what = format!("{} {name}", collection.singular());
    let query = if dry_run { "?dry_run=true" } else { "" };
    let path = format!("/v1/{collection}/{name}{query}");
    let body = json!({"spec": spec(document)});
    // A job's spec never changes, so its version is no condition.
    let version = match document.spec {
        Spec::Job(_) => None,
        _ => document.version,
    };
    let answer = client
        .send(Method::PUT, &path, version, Some(&body))
        .await?;
    let change = answer.change.clone();
    let object = answer.expect(&what)?;
    if dry_run {
        let change = object["change"].as_str().unwrap_or("unknown").to_owned();
        let effect = match &object["effect"] {
            Value::Null => String::new(),
            effect => format!("\n{}", output::outline(effect, 1).trim_end()),
        };
        return Ok(format!("{what} (dry run): {change}{effect}"));
    }
    let change = change.as_deref().unwrap_or("changed");
    Ok(format!("{what} {change} (version {})", object["version"]))
}

fn spec(document: &Document) -> Value {
    let value = match &document.spec {
        Spec::Workspace(spec) => serde_json::to_value(spec),
        Spec::Domain(spec) => serde_json::to_value(spec),
        Spec::Job(spec) => serde_json::to_value(spec),
    };
    value.unwrap_or_default()
}
