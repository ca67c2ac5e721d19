//! Workspaces and failure domains, folded from the stream `config`.

use super::{Change, Outcome};
use crate::id::{Name, Offset, Version};
use crate::record::{Event, Expect, Spec, Subject};
use crate::resource::{Domain, Workspace, fault};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A declared resource with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredResource<T> {
    /// Offset of its last change.
    pub version: Version,
    /// The spec that the operator declared.
    pub spec: T,
}

type Table<T> = BTreeMap<Name, Arc<DeclaredResource<T>>>;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Config {
    pub(super) workspaces: Table<Workspace>,
    pub(super) domains: Table<Domain>,
}

impl Config {
    /// Applies one event of the record at an offset.
    pub(super) fn apply(
        &mut self,
        offset: Offset,
        event: &Event,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        match event {
            Event::Declare { name, spec, expect } => {
                if !is_valid(name, spec) {
                    return Outcome::Invalid;
                }
                match spec {
                    Spec::Workspace(spec) => {
                        declare(&mut self.workspaces, name, spec, *expect, offset, |item| {
                            changes.push(workspace_change(name, item));
                        })
                    }
                    Spec::Domain(spec) => {
                        declare(&mut self.domains, name, spec, *expect, offset, |item| {
                            changes.push(domain_change(name, item));
                        })
                    }
                }
            }
            Event::Remove { subject, expect } => match subject {
                Subject::Workspace(name) => {
                    remove(&mut self.workspaces, name, *expect, offset, || {
                        changes.push(workspace_change(name, None));
                    })
                }
                Subject::Domain(name) => remove(&mut self.domains, name, *expect, offset, || {
                    changes.push(domain_change(name, None));
                }),
            },
            Event::SnapshotPart { .. } => Outcome::Unchanged,
            _ => Outcome::Invalid,
        }
    }

    /// Appends the changes that turn this state into `new`.
    pub(super) fn differences(&self, new: &Self, changes: &mut Vec<Change>) {
        for (name, item) in changed_entries(&self.workspaces, &new.workspaces) {
            changes.push(workspace_change(name, item));
        }
        for (name, item) in changed_entries(&self.domains, &new.domains) {
            changes.push(domain_change(name, item));
        }
    }
}

fn workspace_change(name: &Name, item: Option<Arc<DeclaredResource<Workspace>>>) -> Change {
    let name = name.clone();
    Change::Workspace { name, item }
}

fn domain_change(name: &Name, item: Option<Arc<DeclaredResource<Domain>>>) -> Change {
    let name = name.clone();
    Change::Domain { name, item }
}

/// Returns whether a declaration is valid. Checked here too, because records may also come from
/// tools without validation.
fn is_valid(name: &Name, spec: &Spec) -> bool {
    let faults = match spec {
        Spec::Workspace(spec) => spec.faults(),
        Spec::Domain(spec) => spec.faults(),
    };
    faults.is_empty() && fault::check_name("name", name).is_none()
}

/// Returns whether a resource is in the expected state.
fn matches_expectation(current: Option<Version>, expect: Expect) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => current.is_none(),
        Expect::Version(version) => current == Some(version),
    }
}

fn declare<T: Clone + PartialEq>(
    table: &mut Table<T>,
    name: &Name,
    spec: &T,
    expect: Expect,
    offset: Offset,
    on_change: impl FnOnce(Option<Arc<DeclaredResource<T>>>),
) -> Outcome {
    let current = table.get(name);
    if !matches_expectation(current.map(|item| item.version), expect) {
        return Outcome::Conflict(current.map(|item| item.version));
    }
    if current.is_some_and(|item| item.spec == *spec) {
        return Outcome::Unchanged;
    }
    let item = Arc::new(DeclaredResource {
        version: offset,
        spec: spec.clone(),
    });
    table.insert(name.clone(), item.clone());
    on_change(Some(item));
    Outcome::Applied(offset)
}

fn remove<T>(
    table: &mut Table<T>,
    name: &Name,
    expect: Expect,
    offset: Offset,
    on_change: impl FnOnce(),
) -> Outcome {
    let current = table.get(name).map(|item| item.version);
    if !matches_expectation(current, expect) {
        return Outcome::Conflict(current);
    }
    if table.remove(name).is_none() {
        return Outcome::Unchanged;
    }
    on_change();
    Outcome::Applied(offset)
}

/// Returns the entries of `new` that differ from `old`, and `None` for those that were removed.
pub(super) fn changed_entries<'a, T: PartialEq>(
    old: &'a BTreeMap<Name, Arc<T>>,
    new: &'a BTreeMap<Name, Arc<T>>,
) -> impl Iterator<Item = (&'a Name, Option<Arc<T>>)> {
    let removed = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .map(|name| (name, None));
    let added_or_changed = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(*value))
        .map(|(name, value)| (name, Some(value.clone())));
    removed.chain(added_or_changed)
}
