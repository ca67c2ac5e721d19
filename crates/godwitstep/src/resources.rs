//! Operator API: HTTP endpoints that declare, change, list and watch resources.
//!
//! The API reads the registry and appends records through a [`Store`], which the entry
//! implements. [`handle`] serves one request:
//!
//! | request | answer |
//! |---|---|
//! | `GET /v1/{collection}` | `{version, items, next}`; `limit`, `after`, for jobs `workspace` |
//! | `GET /v1/{collection}?watch=true&from=V` | JSON lines `{version, type, object}` |
//! | `GET /v1/{collection}/{name}` | the object |
//! | `PUT /v1/{collection}/{name}` | declares it, or submits a job; conditional; `dry_run=true` |
//! | `DELETE /v1/{collection}/{name}` | removes it, or cancels a job; conditional |
//! | `POST /v1/jobs` | submits the job that the body names |
//! | `GET /v1/status`, `/v1/report`, `/metrics`, `/healthz`, `/readyz` | state of the entry |
//!
//! ```
//! use godwitstep::resources::Document;
//!
//! let text = r#"{"kind": "domain", "name": "dk-vest-a", "spec": {"region": "dk-vest"}}"#;
//! let faults = Document::read_all(text).unwrap_err();
//! assert_eq!(faults[0].path, "spec");
//! assert!(faults[0].allowed.contains("missing field `in_service`"));
//! ```

use crate::http::{Body, Source};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;

mod collection;
mod condition;
mod document;
mod object;
mod query;
mod read;
mod reply;
mod store;
mod watch;
mod write;

pub use collection::Collection;
pub use document::{Document, Spec};
pub use store::{ChangeError, Proposal, Review, Store};

use query::Query;
use reply::Refusal;

/// Serves one request of the operator API. Errors become JSON responses.
pub async fn handle<S, B>(store: &Rc<S>, request: Request<B>) -> Response<Body>
where
    S: Store,
    B: Source,
{
    match route(store, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

async fn route<S, B>(store: &Rc<S>, request: Request<B>) -> Result<Response<Body>, Refusal>
where
    S: Store,
    B: Source,
{
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let (collection, name) = match *parts.as_slice() {
        ["v1", collection] => (collection, None),
        ["v1", collection, name] => (collection, Some(name)),
        _ => return serve_page(&**store, &method, &path),
    };
    let Ok(collection) = collection.parse::<Collection>() else {
        return serve_page(&**store, &method, &path);
    };
    let query = Query::read(request.uri().query().unwrap_or_default())?;
    match (&method, name) {
        (&Method::GET, None) if query.watch => watch::stream(store, collection, query),
        (&Method::GET, None) => Ok(read::list(&**store, collection, &query)),
        (&Method::GET, Some(name)) => read::get(&**store, collection, name),
        (&Method::PUT, Some(name)) => {
            write::put(&**store, collection, Some(name), &query, request).await
        }
        (&Method::POST, None) if collection == Collection::Jobs => {
            write::put(&**store, collection, None, &query, request).await
        }
        (&Method::DELETE, Some(name)) => {
            write::delete(&**store, collection, name, &query, request.headers()).await
        }
        (_, None) if collection == Collection::Jobs => {
            Err(Refusal::method_not_allowed("GET, POST"))
        }
        (_, None) => Err(Refusal::method_not_allowed("GET")),
        (_, Some(_)) => Err(Refusal::method_not_allowed("GET, PUT, DELETE")),
    }
}

fn serve_page<S: Store>(store: &S, method: &Method, path: &str) -> Result<Response<Body>, Refusal> {
    let response = match path {
        "/healthz" => reply::text(StatusCode::OK, "ok\n"),
        "/readyz" => match store.ready() {
            Ok(()) => reply::text(StatusCode::OK, "ready\n"),
            Err(reason) => reply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/metrics" => reply::text(StatusCode::OK, store.metrics()),
        "/v1/status" => reply::json(StatusCode::OK, &store.overview()),
        "/v1/report" => reply::json(StatusCode::OK, &store.report()),
        _ => return Err(Refusal::not_found(format!("nothing is served at {path}"))),
    };
    if method == Method::GET {
        Ok(response)
    } else {
        Err(Refusal::method_not_allowed("GET"))
    }
}
