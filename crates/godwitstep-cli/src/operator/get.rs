//! The command `get`: shows lists and single resources.

use super::filter::Filter;
use super::table_row::{header, row};
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
        let (version, mut items) = list_all(client, collection, &filter).await?;
        items.retain(|item| filter.accepts(item));
        (json!({"version": version, "items": items}), items)
    };
    if wants_json(matches) {
        return output::print_json(&document);
    }
    let mut rows = vec![header(collection)];
    rows.extend(items.iter().map(|item| row(collection, item)));
    output::print(&output::table(&rows))
}

/// Gets all pages of a list. The returned version is that of the first page, so that a watch from
/// it misses no change.
pub async fn list_all(
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
        if let Value::Array(page_items) = page["items"].take() {
            items.extend(page_items);
        }
        let Some(next) = page["next"].as_str() else {
            return Ok((version, items));
        };
        page = client.get(&format!("{path}&after={next}")).await?;
    }
}
