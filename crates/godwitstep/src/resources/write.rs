//! Handlers that change resources: declare, remove, submit and cancel.

use super::object::{self, Object};
use super::query::Query;
use super::reply::{self, Refusal};
use super::{ChangeError, Collection, Document, Proposal, Spec, Store, condition, read};
use crate::http::{self, Body};
use crate::settings;
use godwitstep_core::id::{Name, Version};
use godwitstep_core::record::{self, Event, Expect, Subject};
use godwitstep_core::registry::Outcome;
use godwitstep_core::resource::{Fault, Job, fault};
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Maximum size of a request body. Unit: bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum size of a spec as JSON, so that its record stays within the record limit of the log.
/// Unit: bytes.
const MAX_SPEC_BYTES: usize = 48 * 1024;
/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles `PUT` and `POST`: declares a resource or submits a job.
pub(super) async fn put<S, B>(
    store: &S,
    collection: Collection,
    name: Option<&str>,
    query: &Query,
    request: Request<B>,
) -> Result<Response<Body>, Refusal>
where
    S: Store,
    B: http::Source,
{
    let (head, body) = request.into_parts();
    let bytes = http::read(body, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let document = parse_document(&bytes, collection, name)?;
    let expect = match collection {
        Collection::Jobs => job_condition(&head.headers)?,
        _ => condition::read(&head.headers, document.version)?,
    };
    if let Spec::Job(job) = &document.spec {
        let faults = check_references(store, job);
        if !faults.is_empty() {
            return Err(Refusal::invalid(faults));
        }
    }
    let review = store.review(Proposal::Put(&document));
    if !review.faults.is_empty() {
        return Err(Refusal::refused(review.faults));
    }
    let before = store.read(|registry| Object::find(registry, collection, &document.name));
    if query.dry_run {
        return dry_run_response(store, &document, expect, before, &review.effect);
    }
    let outcome = append_change(store, collection, put_event(&document, expect)).await?;
    match outcome {
        Outcome::Applied(version) => {
            let change = before.map_or("created", |_| "updated");
            Ok(reply::changed(
                change,
                &applied_object(store, &document, version),
            ))
        }
        outcome => unapplied_response(store, collection, &document.name, outcome),
    }
}

/// Handles `DELETE`: removes a resource or cancels a job.
pub(super) async fn delete<S: Store>(
    store: &S,
    collection: Collection,
    name: &str,
    query: &Query,
    headers: &HeaderMap,
) -> Result<Response<Body>, Refusal> {
    if let Some(fault) = fault::check_name("name", name) {
        return Err(Refusal::invalid(vec![fault]));
    }
    let expect = match collection {
        Collection::Jobs => job_condition(headers)?,
        _ => condition::read(headers, None)?,
    };
    let review = store.review(Proposal::Remove(collection, name));
    if !review.faults.is_empty() {
        return Err(Refusal::refused(review.faults));
    }
    if query.dry_run {
        let before = store.read(|registry| Object::find(registry, collection, name));
        let before = before.ok_or_else(|| read::not_found_error(collection, name))?;
        check_condition(expect, Some(before.version), || {
            current(store, collection, name)
        })?;
        let current = before.render(store, collection);
        let body = json!({
            "dry_run": true, "change": "remove", "current": current, "effect": review.effect,
        });
        return Ok(reply::json(StatusCode::OK, &body));
    }
    match append_change(
        store,
        collection,
        remove_event(collection, name.into(), expect),
    )
    .await?
    {
        Outcome::Applied(version) if collection != Collection::Jobs => {
            let body = json!({"kind": collection.singular(), "name": name, "version": version});
            Ok(reply::json(StatusCode::OK, &body))
        }
        Outcome::Applied(_) => Ok(reply::changed("updated", &current(store, collection, name))),
        outcome => unapplied_response(store, collection, name, outcome),
    }
}

fn parse_document(
    bytes: &[u8],
    collection: Collection,
    name: Option<&str>,
) -> Result<Document, Refusal> {
    let malformed = |faults| Refusal::bad_request("the body is not a JSON document").faults(faults);
    let text = std::str::from_utf8(bytes)
        .map_err(|error| malformed(vec![Fault::new("(document)", error, "UTF-8")]))?;
    let value = settings::parse(text).map_err(malformed)?;
    let document = Document::read(value, Some(collection), name).map_err(Refusal::invalid)?;
    let size = object::spec(&document.spec).to_string().len();
    if size > MAX_SPEC_BYTES {
        let fault = Fault::new(
            "spec",
            format!("{size} bytes"),
            format!("{MAX_SPEC_BYTES} bytes"),
        );
        return Err(Refusal::invalid(vec![fault]));
    }
    Ok(document)
}

/// Parses the precondition of a job request. A job is submitted once and its spec never changes,
/// so a precondition on its version is an error.
fn job_condition(headers: &HeaderMap) -> Result<Expect, Refusal> {
    if headers.contains_key(IF_MATCH) {
        return Err(Refusal::invalid_field(
            "if-match",
            "a condition",
            "no condition on a job",
        ));
    }
    if headers.contains_key(IF_NONE_MATCH) {
        condition::read(headers, None)?;
    }
    Ok(Expect::Any)
}

/// Checks that the workspace of a job is declared and has the kind of the job.
fn check_references<S: Store>(store: &S, job: &Job) -> Vec<Fault> {
    store.read(|registry| match registry.workspace(&job.workspace) {
        None => {
            let fault = Fault::new("spec.workspace", &job.workspace, "a declared workspace");
            vec![fault]
        }
        Some(item) if item.spec.kind(&job.kind).is_none() => {
            let kinds: Vec<&str> = item.spec.kinds.iter().map(|kind| &*kind.name).collect();
            let allowed = format!("a kind of the workspace: {}", kinds.join(", "));
            vec![Fault::new("spec.kind", &job.kind, allowed)]
        }
        Some(_) => Vec::new(),
    })
}

fn put_event(document: &Document, expect: Expect) -> Event {
    let name = document.name.clone();
    let spec = match &document.spec {
        Spec::Workspace(spec) => record::Spec::Workspace(spec.clone()),
        Spec::Domain(spec) => record::Spec::Domain(spec.clone()),
        Spec::Job(spec) => {
            return Event::Submit {
                job: name,
                spec: spec.clone(),
            };
        }
    };
    Event::Declare { name, spec, expect }
}

fn remove_event(collection: Collection, name: Name, expect: Expect) -> Event {
    let subject = match collection {
        Collection::Jobs => return Event::Cancel { job: name },
        Collection::Domains => Subject::Domain(name),
        Collection::Workspaces => Subject::Workspace(name),
    };
    Event::Remove { subject, expect }
}

async fn append_change<S: Store>(
    store: &S,
    collection: Collection,
    event: Event,
) -> Result<Outcome, Refusal> {
    let outcomes = store.change(collection.stream(), vec![event]).await?;
    outcomes
        .first()
        .copied()
        .ok_or_else(|| ChangeError::Unknown.into())
}

/// Returns the response to a change whose event was not applied.
fn unapplied_response<S: Store>(
    store: &S,
    collection: Collection,
    name: &str,
    outcome: Outcome,
) -> Result<Response<Body>, Refusal> {
    let current = current(store, collection, name);
    match outcome {
        Outcome::Conflict(None) if collection == Collection::Jobs => {
            Err(read::not_found_error(collection, name))
        }
        Outcome::Unchanged if current.is_null() => Err(read::not_found_error(collection, name)),
        Outcome::Unchanged => Ok(reply::changed("unchanged", &current)),
        Outcome::Conflict(version) => Err(conflict(version, current)),
        Outcome::Invalid => {
            let fault = Fault::new("spec", "the spec", "one that all entries accept");
            Err(Refusal::invalid(vec![fault]))
        }
        Outcome::Applied(_) | Outcome::Duplicate => Err(ChangeError::Unknown.into()),
    }
}

fn conflict(version: Option<Version>, current: Value) -> Refusal {
    let message = match version {
        Some(version) => format!("the resource exists with version {version}"),
        None => "the resource does not exist".to_owned(),
    };
    Refusal::conflict(message, current)
}

/// Checks a precondition against this entry's registry.
fn check_condition(
    expect: Expect,
    version: Option<Version>,
    current: impl FnOnce() -> Value,
) -> Result<(), Refusal> {
    let satisfied = match expect {
        Expect::Any => true,
        Expect::Absent => version.is_none(),
        Expect::Version(expected) => version == Some(expected),
    };
    if satisfied {
        Ok(())
    } else {
        Err(conflict(version, current()))
    }
}

/// Returns the response to a dry run: what the change would do in this entry's registry.
fn dry_run_response<S: Store>(
    store: &S,
    document: &Document,
    expect: Expect,
    before: Option<Object>,
    effect: &Value,
) -> Result<Response<Body>, Refusal> {
    let collection = document.collection;
    let spec = object::spec(&document.spec);
    let show = || current(store, collection, &document.name);
    let version = before.as_ref().map(|object| object.version);
    check_condition(expect, version, show)?;
    let change = match &before {
        None => "create",
        Some(object) if object.spec == spec => "none",
        Some(_) if collection == Collection::Jobs => return Err(conflict(version, show())),
        Some(_) => "update",
    };
    let body = json!({
        "dry_run": true,
        "change": change,
        "current": before.map(|object| object.render(store, collection)),
        "proposed": {"kind": collection.singular(), "name": &*document.name, "spec": spec},
        "effect": effect,
    });
    Ok(reply::json(StatusCode::OK, &body))
}

fn current<S: Store>(store: &S, collection: Collection, name: &str) -> Value {
    store
        .read(|registry| Object::find(registry, collection, name))
        .map_or(Value::Null, |object| object.render(store, collection))
}

/// Returns the resource at the version that the change produced, even if it has changed since.
fn applied_object<S: Store>(store: &S, document: &Document, version: Version) -> Value {
    let collection = document.collection;
    let now = current(store, collection, &document.name);
    if now["version"] == version {
        return now;
    }
    json!({
        "kind": collection.singular(),
        "name": &*document.name,
        "version": version,
        "spec": object::spec(&document.spec),
    })
}
