//! Handlers that list a collection or return one resource.

use super::object::{self, Object};
use super::query::Query;
use super::reply::{self, Refusal};
use super::{Collection, Store};
use crate::http::Body;
use godwitstep_core::id::Version;
use godwitstep_core::registry::Registry;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

/// Returns one page of a list. If more resources follow, `next` is the `after` of the next page.
///
/// A client that reads several pages and then watches from the version of the first page misses no
/// change.
pub(super) fn list<S: Store>(store: &S, collection: Collection, query: &Query) -> Response<Body> {
    let (version, mut objects) = store.read(|registry| page(registry, collection, query));
    let more = objects.len() > query.limit;
    objects.truncate(query.limit);
    let next = objects
        .last()
        .filter(|_| more)
        .map(|last| last.name.clone());
    let items: Vec<Value> = objects
        .into_iter()
        .map(|object| object.render(store, collection))
        .collect();
    let mut body = json!({"version": version, "items": items});
    if let Some(next) = next {
        body["next"] = next.into();
    }
    reply::json(StatusCode::OK, &body)
}

pub(super) fn get<S: Store>(
    store: &S,
    collection: Collection,
    name: &str,
) -> Result<Response<Body>, Refusal> {
    let object = store
        .read(|registry| Object::find(registry, collection, name))
        .ok_or_else(|| not_found_error(collection, name))?;
    let object = object.render(store, collection);
    Ok(reply::object(StatusCode::OK, &object))
}

pub(super) fn not_found_error(collection: Collection, name: &str) -> Refusal {
    Refusal::not_found(format!("there is no {} {name}", collection.singular()))
}

/// Returns the objects of a page and, if it exists, the first object after it.
fn page(registry: &Registry, collection: Collection, query: &Query) -> (Version, Vec<Object>) {
    let after_cursor = |name: &str| query.after.as_deref().is_none_or(|after| name > after);
    let max_items = query.limit + 1;
    let objects = match collection {
        Collection::Domains => registry
            .domains()
            .filter(|(name, _)| after_cursor(name))
            .map(|(name, item)| object::domain(name, item))
            .take(max_items)
            .collect(),
        Collection::Workspaces => registry
            .workspaces()
            .filter(|(name, _)| after_cursor(name))
            .map(|(name, item)| object::workspace(name, item))
            .take(max_items)
            .collect(),
        Collection::Jobs => registry
            .jobs()
            .filter(|(name, state)| {
                after_cursor(name) && in_workspace(query, &state.spec.workspace)
            })
            .map(|(name, state)| object::job(name, state))
            .take(max_items)
            .collect(),
    };
    (registry.position(collection.stream()), objects)
}

fn in_workspace(query: &Query, workspace: &str) -> bool {
    query
        .workspace
        .as_deref()
        .is_none_or(|filter| filter == workspace)
}
