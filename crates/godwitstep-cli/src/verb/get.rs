//! Lists and single resources.

use super::filter::Filter;
use super::row::{head, row};
use super::{collection, wants_json};
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::Collection;
use serde_json::{Value, json};

/// Shows a list or one resource.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let collection = collection(matches)?;
    let name = matches.get_one::<String>("name");
    let (document, items) = if let Some(name) = name {
        let object = client.get(&format!("/v1/{collection}/{name}")).await?;
        (object.clone(), vec![object])
    } else {
        let filter = Filter::new(collection, matches)?;
        let (version, mut items) = list(client, collection, &filter).await?;
        items.retain(|item| filter.takes(item));
        (json!({"version": version, "items": items}), items)
    };
    if wants_json(matches) {
        return output::json(&document);
    }
    let mut rows = vec![head(collection)];
    rows.extend(items.iter().map(|item| row(collection, item)));
    output::print(&output::table(&rows))
}

/// Reads all pages. The version is that of the first page, from which a watch misses nothing.
pub async fn list(
    client: &Client,
    collection: Collection,
    filter: &Filter,
) -> Result<(Value, Vec<Value>), Failure> {
    let mut path = format!("/v1/{collection}?limit=1000");
    path.push_str(&filter.query());
    let mut page = client.get(&path).await?;
    let version = page["version"].take();
    let mut items = Vec::new();
    loop {
        if let Value::Array(list) = page["items"].take() {
            items.extend(list);
        }
        let Some(next) = page["next"].as_str() else {
            return Ok((version, items));
        };
        page = client.get(&format!("{path}&after={next}")).await?;
    }
}
