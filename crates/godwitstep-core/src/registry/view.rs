//! Read access to the folded state.

use super::{Claim, DeclaredResource, JobState, Registry, Relist, Stream, WatchEvent};
use crate::id::{DomainId, Epoch, JobId, Name, Offset, RegionId, Version};
use crate::resource::{Domain, Workspace};
use std::sync::Arc;
use std::time::Duration;

impl Registry {
    /// Returns the region whose jobs the registry folds.
    #[must_use]
    pub const fn region(&self) -> &RegionId {
        &self.region
    }

    /// Returns the first offset of a stream that is not yet folded, which is the version of its lists.
    #[must_use]
    pub fn position(&self, stream: Stream) -> Offset {
        self.cursors[stream as usize].position
    }

    /// Returns the last folded offset of a stream, or `None` if no record is folded.
    #[must_use]
    pub fn newest(&self, stream: Stream) -> Option<Offset> {
        self.position(stream).checked_sub(1)
    }

    /// Returns the changes of all records at offset `from` or later.
    ///
    /// # Errors
    ///
    /// [`Relist`] if some of these changes are no longer retained.
    pub fn watch(
        &self,
        stream: Stream,
        from: Version,
    ) -> Result<impl Iterator<Item = WatchEvent<'_>>, Relist> {
        self.cursors[stream as usize].changes_from(from)
    }

    /// Returns all workspaces by name.
    pub fn workspaces(&self) -> impl Iterator<Item = (&Name, &Arc<DeclaredResource<Workspace>>)> {
        self.config.workspaces.iter()
    }

    /// Returns the workspace with the given name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Arc<DeclaredResource<Workspace>>> {
        self.config.workspaces.get(name)
    }

    /// Returns the failure domains of all regions by name.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainId, &Arc<DeclaredResource<Domain>>)> {
        self.config.domains.iter()
    }

    /// Returns the failure domain with the given name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&Arc<DeclaredResource<Domain>>> {
        self.config.domains.get(name)
    }

    /// Returns the failure domains of this region that are out of service.
    pub fn out_of_service(&self) -> impl Iterator<Item = &DomainId> {
        self.domains()
            .filter(|(_, item)| item.spec.region == self.region && !item.spec.in_service)
            .map(|(name, _)| name)
    }

    /// Returns all jobs by name, including the final ones that are still retained.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobState>)> {
        self.jobs.by_name.iter()
    }

    /// Returns the job with the given name.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&Arc<JobState>> {
        self.jobs.by_name.get(name)
    }

    /// Returns how long ago this reader folded the acceptance of a job that is not final.
    ///
    /// For a job restored from a snapshot the age counts from the time the snapshot was read.
    #[must_use]
    pub fn job_age(&self, name: &str, now: Duration) -> Option<Duration> {
        self.accepted_at
            .get(name)
            .map(|accepted| now.saturating_sub(*accepted))
    }

    /// Returns the current claim.
    #[must_use]
    pub const fn claim(&self) -> Option<&Claim> {
        self.jobs.claim.as_ref()
    }

    /// Returns the epoch of the current claim, or 0 without a claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.jobs.epoch()
    }

    /// Returns how long ago this reader folded the current claim or its last renewal.
    #[must_use]
    pub fn claim_age(&self, now: Duration) -> Option<Duration> {
        self.claim()
            .map(|_| now.saturating_sub(self.claim_renewed_at))
    }
}
