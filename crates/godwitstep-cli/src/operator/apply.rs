//! The command `apply`: declares the resources of files.

use crate::check::read_file;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::{Document, Spec};
use hyper::Method;
use serde_json::{Value, json};

/// Validates all files, then declares each resource, even if an earlier one was refused.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let dry_run = matches.get_flag("dry-run");
    let mut documents = Vec::new();
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let text = read_file(file)?;
        let file_documents = Document::read_all(&text).map_err(|faults| Failure::Faults {
            file: file.clone(),
            faults,
        })?;
        documents.extend(file_documents);
    }
    documents.sort_by_key(|document| document.collection);
    let mut failure = None;
    for document in &documents {
        match apply_document(client, document, dry_run).await {
            Ok(text) => output::print_line(&text)?,
            Err(current) => {
                if let Some(earlier) = failure.replace(current) {
                    earlier.print();
                }
            }
        }
    }
    failure.map_or(Ok(()), Err)
}

/// Sends a document and returns a description of its effect.
async fn apply_document(
    client: &Client,
    document: &Document,
    dry_run: bool,
) -> Result<String, Failure> {
    let Document {
        collection, name, ..
    } = document;
    let resource = format!("{} {name}", collection.singular());
    let query = if dry_run { "?dry_run=true" } else { "" };
    let path = format!("/v1/{collection}/{name}{query}");
    let body = json!({"spec": spec_json(document)});
    // A job's spec never changes, so its version is not sent as a condition.
    let version = match document.spec {
        Spec::Job(_) => None,
        _ => document.version,
    };
    let response = client
        .send(Method::PUT, &path, version, Some(&body))
        .await?;
    let change = response.change.clone();
    let object = response.into_body(&resource)?;
    if dry_run {
        let change = object["change"].as_str().unwrap_or("unknown").to_owned();
        let effect = match &object["effect"] {
            Value::Null => String::new(),
            effect => format!("\n{}", output::outline(effect, 1).trim_end()),
        };
        return Ok(format!("{resource} (dry run): {change}{effect}"));
    }
    let change = change.as_deref().unwrap_or("changed");
    Ok(format!(
        "{resource} {change} (version {})",
        object["version"]
    ))
}

fn spec_json(document: &Document) -> Value {
    let value = match &document.spec {
        Spec::Workspace(spec) => serde_json::to_value(spec),
        Spec::Domain(spec) => serde_json::to_value(spec),
        Spec::Job(spec) => serde_json::to_value(spec),
    };
    value.unwrap_or_default()
}
