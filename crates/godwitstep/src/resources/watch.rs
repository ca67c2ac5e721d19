//! Watches: streams of changes as JSON lines.

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

/// Interval of bookmarks on an idle watch. A bookmark shows that the watch is still open, and
/// its position.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum changes written at once, so that one watch does not block the thread for long.
const MAX_BATCH: usize = 256;

struct Watch<S> {
    store: Rc<S>,
    collection: Collection,
    workspace: Option<String>,
    /// Position in the stream from which the watch continues.
    from: Version,
    /// Time of the next bookmark if no change comes before.
    next_bookmark: Instant,
    ended: bool,
}

/// Starts a watch at `from`, or at the current position of the stream if `from` is not given.
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
        next_bookmark: Instant::now(),
        ended: false,
    };
    let lines = futures_util::stream::unfold(watch, |mut watch| async move {
        let lines = watch.next().await?;
        Some((Ok::<_, BoxError>(Bytes::from(lines)), watch))
    });
    let mut response = Response::new(http::stream(lines));
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(response)
}

impl<S: Store> Watch<S> {
    /// Waits for the next lines. Returns `None` once the watch has ended.
    async fn next(&mut self) -> Option<String> {
        while !self.ended {
            match self.batch() {
                Err(relist) => {
                    self.ended = true;
                    return Some(event_line(relist.oldest, "relist", &Value::Null));
                }
                Ok(lines) if !lines.is_empty() => {
                    self.next_bookmark = Instant::now() + BOOKMARK_INTERVAL;
                    return Some(lines);
                }
                Ok(_) => {}
            }
            if Instant::now() >= self.next_bookmark {
                self.next_bookmark = Instant::now() + BOOKMARK_INTERVAL;
                return Some(event_line(self.from, "bookmark", &Value::Null));
            }
            self.wait().await;
        }
        None
    }

    /// Returns lines for the available changes and advances the position past them.
    fn batch(&mut self) -> Result<String, Relist> {
        let (changes, from) = self.store.read(|registry| self.collect(registry))?;
        self.from = from;
        Ok(changes
            .into_iter()
            .map(|(version, change)| self.render_line(version, &change))
            .collect())
    }

    /// Returns the matching changes of complete records, and the position from which the watch
    /// continues after them.
    fn collect(&self, registry: &Registry) -> Result<(Vec<(Version, Change)>, Version), Relist> {
        let stream = self.collection.stream();
        let mut changes = Vec::new();
        let mut from = self.from;
        for event in registry.watch(stream, self.from)? {
            if changes.len() >= MAX_BATCH && event.offset >= from {
                return Ok((changes, from));
            }
            from = event.resume;
            if self.matches(event.change) {
                changes.push((event.resume, event.change.clone()));
            }
        }
        Ok((changes, from.max(registry.position(stream))))
    }

    fn matches(&self, change: &Change) -> bool {
        let other_workspace = match (change, &self.workspace) {
            (
                Change::Job {
                    state: Some(state), ..
                },
                Some(workspace),
            ) => *state.spec.workspace != **workspace,
            _ => false,
        };
        self.collection.includes(change) && !other_workspace
    }

    fn render_line(&self, version: Version, change: &Change) -> String {
        if let Some(object) = Object::changed(change) {
            let object = object.render(&*self.store, self.collection);
            return event_line(version, "put", &object);
        }
        let (Change::Domain { name, .. }
        | Change::Workspace { name, .. }
        | Change::Job { name, .. }) = change
        else {
            return String::new();
        };
        let object = json!({"kind": self.collection.singular(), "name": &**name});
        event_line(version, "delete", &object)
    }

    /// Waits for new records, the next bookmark or the shutdown of the entry.
    async fn wait(&mut self) {
        let advanced = async {
            let stream = self.collection.stream();
            self.store.wait_past(stream, self.from).await;
            false
        };
        let bookmark_due = async {
            Timer::at(self.next_bookmark).await;
            false
        };
        let signal = self.store.signal();
        let stopped = async {
            signal.wait().await;
            true
        };
        self.ended = stopped.or(advanced).or(bookmark_due).await;
    }
}

fn event_line(version: Version, kind: &str, object: &Value) -> String {
    let mut event = json!({"version": version, "type": kind});
    if !object.is_null() {
        event["object"] = object.clone();
    }
    format!("{event}\n")
}
