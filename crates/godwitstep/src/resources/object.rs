//! Resources as the interface shows them.

use super::{Collection, Spec, Store};
use godwitstep_core::id::Version;
use godwitstep_core::reason::Reason;
use godwitstep_core::registry::{Change, DeclaredResource, JobState, Registry};
use godwitstep_core::resource::{Domain, Workspace};
use serde::Serialize;
use serde_json::{Map, Value, json};

/// A resource as declared, before the store adds to its status.
pub(super) struct Object {
    pub(super) name: String,
    pub(super) version: Version,
    pub(super) spec: Value,
    pub(super) status: Map<String, Value>,
}

impl Object {
    /// Returns the resource with the given name.
    pub(super) fn find(registry: &Registry, collection: Collection, name: &str) -> Option<Self> {
        match collection {
            Collection::Domains => registry.domain(name).map(|item| domain(name, item)),
            Collection::Workspaces => registry.workspace(name).map(|item| workspace(name, item)),
            Collection::Jobs => registry.job(name).map(|state| job(name, state)),
        }
    }

    /// Returns the new state that a change has made, or `None` if it removed a resource.
    pub(super) fn changed(change: &Change) -> Option<Self> {
        match change {
            Change::Domain { name, item } => item.as_ref().map(|item| domain(name, item)),
            Change::Workspace { name, item } => item.as_ref().map(|item| workspace(name, item)),
            Change::Job { name, state } => state.as_ref().map(|state| job(name, state)),
            Change::Claim(_) => None,
        }
    }

    /// Returns the JSON form, with the status that the store adds.
    pub(super) fn render<S: Store>(mut self, store: &S, collection: Collection) -> Value {
        self.status.extend(store.status(collection, &self.name));
        json!({
            "kind": collection.singular(),
            "name": self.name,
            "version": self.version,
            "spec": self.spec,
            "status": self.status,
        })
    }
}

pub(super) fn domain(name: &str, item: &DeclaredResource<Domain>) -> Object {
    let phase = if item.spec.in_service {
        "in_service"
    } else {
        "out_of_service"
    };
    declared(name, item, phase)
}

pub(super) fn workspace(name: &str, item: &DeclaredResource<Workspace>) -> Object {
    declared(name, item, "declared")
}

fn declared<T: Serialize>(name: &str, item: &DeclaredResource<T>, phase: &str) -> Object {
    let mut status = Map::new();
    status.insert("phase".to_owned(), phase.into());
    Object {
        name: name.to_owned(),
        version: item.version,
        spec: value(&item.spec),
        status,
    }
}

pub(super) fn job(name: &str, state: &JobState) -> Object {
    let mut status = Map::new();
    let mut put = |key: &str, value| status.insert(key.to_owned(), value);
    put("phase", value(&state.status.phase));
    put("attempt", state.status.attempt.into());
    put("accepted", state.status.accepted.into());
    put("cancelled", state.cancelled.into());
    put("reason", reason(&state.status.reason));
    put("parts", value(&state.parts));
    Object {
        name: name.to_owned(),
        version: state.version,
        spec: value(&state.spec),
        status,
    }
}

/// Returns the code, the numbers and one sentence.
fn reason(reason: &Reason) -> Value {
    let mut shown = value(reason);
    shown["message"] = reason.to_string().into();
    shown
}

/// Returns the JSON form of a spec.
pub(super) fn spec(spec: &Spec) -> Value {
    match spec {
        Spec::Workspace(spec) => value(spec),
        Spec::Domain(spec) => value(spec),
        Spec::Job(spec) => value(spec),
    }
}

fn value(part: &impl Serialize) -> Value {
    // Only maps with keys that are not strings can fail, and resources have none.
    serde_json::to_value(part).unwrap_or_default()
}
