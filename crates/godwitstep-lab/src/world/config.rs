//! Declared resources of the simulated region: failure domains and workspaces.

use super::World;
use godwitstep_core::guarantee;
use godwitstep_core::id::{DomainId, WorkspaceId};
use godwitstep_core::planner::Event;
use godwitstep_core::resource::Workspace;
use std::time::Duration;

impl World {
    /// Puts a failure domain in or out of service.
    pub fn set_domain(&mut self, number: usize, in_service: bool) {
        let now = self.now;
        let domain = &mut self.domains[number];
        if domain.out.is_none() == in_service {
            return;
        }
        domain.out = (!in_service).then_some(now);
        let id = domain.id.clone();
        self.version += 1;
        if !self.injected_bug.hide_domain_events {
            self.publish(&Event::Domain { id, in_service });
        }
    }

    /// Returns since when a failure domain has been out of service.
    pub fn out_since(&self, id: &DomainId) -> Option<Duration> {
        let found = self.domains.iter().find(|domain| domain.id == *id);
        found.and_then(|domain| domain.out)
    }

    /// Returns each failure domain with whether it is in service.
    pub(super) fn domain_states(&self) -> Vec<(DomainId, bool)> {
        let states = self.domains.iter();
        states
            .map(|domain| (domain.id.clone(), domain.out.is_none()))
            .collect()
    }

    /// Declares a workspace if the workers in service can provide all guarantees. Returns whether it
    /// was accepted.
    pub fn declare(&mut self, id: &WorkspaceId, spec: Workspace) -> bool {
        let mut declared = self.workspaces.clone();
        declared.insert(id.clone(), spec.clone());
        let workers = self.agents.iter().map(|agent| &agent.worker);
        let usable: Vec<_> = workers
            .filter(|worker| self.out_since(&worker.domain).is_none())
            .collect();
        if !guarantee::find_shortfalls(usable, &declared).is_empty() {
            return false;
        }
        self.workspaces = declared;
        self.version += 1;
        let (id, spec) = (id.clone(), Some(spec));
        self.publish(&Event::Workspace { id, spec });
        true
    }

    /// Removes a workspace.
    pub fn remove(&mut self, id: &WorkspaceId) {
        if self.workspaces.remove(id).is_some() {
            self.version += 1;
            let (id, spec) = (id.clone(), None);
            self.publish(&Event::Workspace { id, spec });
        }
    }
}
