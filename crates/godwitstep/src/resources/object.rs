//! JSON form of resources in responses.

use super::{Collection, Spec, Store};
use godwitstep_core::id::Version;
use godwitstep_core::reason::Reason;
use godwitstep_core::registry::{Change, DeclaredResource, JobState, Registry};
use godwitstep_core::resource::{Domain, Workspace};
use serde::Serialize;
use serde_json::{Map, Value, json};

/// A resource from the registry, before the store extends its status.
pub(super) struct Object {
    pub(super) name: String,
    pub(super) version: Version,
    pub(super) spec: Value,
    pub(super) status: Map<String, Value>,
}

impl Object {
    /// Looks up a resource in the registry by its name.
    pub(super) fn find(registry: &Registry, collection: Collection, name: &str) -> Option<Self> {
        match collection {
            Collection::Domains => registry.domain(name).map(|item| domain(name, item)),
            Collection::Workspaces => registry.workspace(name).map(|item| workspace(name, item)),
            Collection::Jobs => registry.job(name).map(|state| job(name, state)),
        }
    }

    /// Returns the resource after a change, or `None` if the change removed it.
    pub(super) fn changed(change: &Change) -> Option<Self> {
        match change {
            Change::Domain { name, item } => item.as_ref().map(|item| domain(name, item)),
            Change::Workspace { name, item } => item.as_ref().map(|item| workspace(name, item)),
            Change::Job { name, state } => state.as_ref().map(|state| job(name, state)),
            Change::Claim(_) => None,
        }
    }

    /// Returns the JSON form, with the status fields that the store adds or replaces.
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
        spec: to_json(&item.spec),
        status,
    }
}

pub(super) fn job(name: &str, state: &JobState) -> Object {
    let mut status = Map::new();
    let mut put = |key: &str, value| status.insert(key.to_owned(), value);
    put("phase", to_json(&state.status.phase));
    put("attempt", state.status.attempt.into());
    put("accepted", state.status.accepted.into());
    put("cancelled", state.cancelled.into());
    put("reason", reason_json(&state.status.reason));
    put("parts", to_json(&state.parts));
    Object {
        name: name.to_owned(),
        version: state.version,
        spec: to_json(&state.spec),
        status,
    }
}

/// Returns the JSON form of a reason: its code, its numbers and a message of one sentence.
fn reason_json(reason: &Reason) -> Value {
    let mut shown = to_json(reason);
    shown["message"] = reason.to_string().into();
    shown
}

/// Returns the JSON form of a spec, without version and status.
pub(super) fn spec(spec: &Spec) -> Value {
    match spec {
        Spec::Workspace(spec) => to_json(spec),
        Spec::Domain(spec) => to_json(spec),
        Spec::Job(spec) => to_json(spec),
    }
}

fn to_json(part: &impl Serialize) -> Value {
    // Serialization fails only for maps with non-string keys, which resources don't have.
    serde_json::to_value(part).unwrap_or_default()
}
