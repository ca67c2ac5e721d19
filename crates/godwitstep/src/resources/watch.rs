//! Watches: changes as JSON lines.

use super::object::Object;
use super::query::Query;
use super::reply::Refusal;
use super::{Collection, Store};
use crate::http::{self, Body, BoxError};
use bytes::Bytes;
use godwitstep_core::id::Version;
use godwitstep_core::registry::{Change, Registry, Relist};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::{Value, json};
use smol::Timer;
use smol::future::FutureExt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest silence of a watch. A bookmark shows that it lives and how far it is.
const BOOKMARK: Duration = Duration::from_secs(5);
/// Changes that are written at once, so that one watch does not hold the thread for long.
const BATCH: usize = 256;

struct Watch<S> {
    store: Rc<S>,
    collection: Collection,
    workspace: Option<String>,
    /// Where the watch goes on.
    from: Version,
    /// When the next bookmark is due.
    due: Instant,
    ended: bool,
}

/// Starts a watch; without `from`, from now on.
pub(super) fn stream<S: Store>(
    store: &Rc<S>,
    collection: Collection,
    query: Query,
) -> Result<Response<Body>, Refusal> {
    let start = store.read(|registry| {
        let stream = collection.stream();
        let from = query.from.unwrap_or_else(|| registry.position(stream));
        registry.watch(stream, from).map(|_| from)
    });
    let from = start.map_err(|relist| Refusal::relist(relist.oldest, relist.to_string()))?;
    let watch = Watch {
        store: store.clone(),
        collection,
        workspace: query.workspace,
        from,
        due: Instant::now(),
        ended: false,
    };
    let lines = futures_util::stream::unfold(watch, |mut watch| async move {
        let lines = watch.next().await?;
        Some((Ok::<_, BoxError>(Bytes::from(lines)), watch))
    });
    let mut response = Response::new(http::stream(lines));
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

impl<S: Store> Watch<S> {
    /// Returns the next lines, or `None` once the watch has ended.
    async fn next(&mut self) -> Option<String> {
        while !self.ended {
            match self.batch() {
                Err(relist) => {
                    self.ended = true;
                    return Some(line(relist.oldest, "relist", &Value::Null));
                }
                Ok(lines) if !lines.is_empty() => {
                    self.due = Instant::now() + BOOKMARK;
                    return Some(lines);
                }
                Ok(_) => {}
            }
            if Instant::now() >= self.due {
                self.due = Instant::now() + BOOKMARK;
                return Some(line(self.from, "bookmark", &Value::Null));
            }
            self.wait().await;
        }
        None
    }

    /// Returns the lines of the changes that are there, and moves behind them.
    fn batch(&mut self) -> Result<String, Relist> {
        let (found, from) = self.store.read(|registry| self.collect(registry))?;
        self.from = from;
        Ok(found
            .into_iter()
            .map(|(version, change)| self.show(version, &change))
            .collect())
    }

    /// Returns the wanted changes of whole records, and where the watch goes on after them.
    fn collect(&self, registry: &Registry) -> Result<(Vec<(Version, Change)>, Version), Relist> {
        let stream = self.collection.stream();
        let mut found = Vec::new();
        let mut from = self.from;
        for notice in registry.watch(stream, self.from)? {
            if found.len() >= BATCH && notice.offset >= from {
                return Ok((found, from));
            }
            from = notice.resume;
            if self.wants(notice.change) {
                found.push((notice.resume, notice.change.clone()));
            }
        }
        Ok((found, from.max(registry.position(stream))))
    }

    fn wants(&self, change: &Change) -> bool {
        let other = match (change, &self.workspace) {
            (
                Change::Job {
                    state: Some(state), ..
                },
                Some(workspace),
            ) => *state.spec.workspace != **workspace,
            _ => false,
        };
        self.collection.holds(change) && !other
    }

    fn show(&self, version: Version, change: &Change) -> String {
        if let Some(object) = Object::changed(change) {
            let object = object.render(&*self.store, self.collection);
            return line(version, "put", &object);
        }
        let (Change::Domain { name, .. }
        | Change::Workspace { name, .. }
        | Change::Job { name, .. }) = change
        else {
            return String::new();
        };
        let object = json!({"kind": self.collection.singular(), "name": &**name});
        line(version, "delete", &object)
    }

    /// Waits for further records, for the next bookmark or for the end of the entry.
    async fn wait(&mut self) {
        let advanced = async {
            let stream = self.collection.stream();
            self.store.advanced(stream, self.from).await;
            false
        };
        let due = async {
            Timer::at(self.due).await;
            false
        };
        let signal = self.store.signal();
        let stopped = async {
            signal.wait().await;
            true
        };
        self.ended = stopped.or(advanced).or(due).await;
    }
}

fn line(version: Version, kind: &str, object: &Value) -> String {
    let mut event = json!({"version": version, "type": kind});
    if !object.is_null() {
        event["object"] = object.clone();
    }
    format!("{event}\n")
}
