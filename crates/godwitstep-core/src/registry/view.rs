//! What readers of the registry see.

use super::{Claim, Item, JobState, Notice, Registry, Relist, Stream};
use crate::id::{DomainId, Epoch, JobId, Name, Offset, RegionId, Version};
use crate::resource::{Domain, Workspace};
use std::sync::Arc;
use std::time::Duration;

impl Registry {
    /// Returns the region whose jobs are folded.
    #[must_use]
    pub const fn region(&self) -> &RegionId {
        &self.region
    }

    /// Returns the first offset of a stream that is not folded; the version of its lists.
    #[must_use]
    pub fn position(&self, stream: Stream) -> Offset {
        self.cursors[stream as usize].position
    }

    /// Returns the newest folded offset of a stream.
    #[must_use]
    pub fn newest(&self, stream: Stream) -> Option<Offset> {
        self.position(stream).checked_sub(1)
    }

    /// Returns the changes of the records at offsets of at least `from`.
    ///
    /// # Errors
    ///
    /// [`Relist`] if some of them are no longer kept.
    pub fn watch(
        &self,
        stream: Stream,
        from: Version,
    ) -> Result<impl Iterator<Item = Notice<'_>>, Relist> {
        self.cursors[stream as usize].since(from)
    }

    /// Returns all workspaces by name.
    pub fn workspaces(&self) -> impl Iterator<Item = (&Name, &Arc<Item<Workspace>>)> {
        self.config.workspaces.iter()
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Arc<Item<Workspace>>> {
        self.config.workspaces.get(name)
    }

    /// Returns the failure domains of all regions by name.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainId, &Arc<Item<Domain>>)> {
        self.config.domains.iter()
    }

    /// Returns a failure domain.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&Arc<Item<Domain>>> {
        self.config.domains.get(name)
    }

    /// Returns the failure domains of this region that are out of service.
    pub fn out_of_service(&self) -> impl Iterator<Item = &DomainId> {
        self.domains()
            .filter(|(_, item)| item.spec.region == self.region && !item.spec.in_service)
            .map(|(name, _)| name)
    }

    /// Returns all jobs by name, final ones included as long as they are kept.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobState>)> {
        self.jobs.all.iter()
    }

    /// Returns a job.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&Arc<JobState>> {
        self.jobs.all.get(name)
    }

    /// Returns how long ago this reader folded the acceptance of a job that is not final.
    ///
    /// A reader that took the job from a snapshot counts from the time it read the snapshot.
    #[must_use]
    pub fn job_age(&self, name: &str, now: Duration) -> Option<Duration> {
        self.accepted
            .get(name)
            .map(|accepted| now.saturating_sub(*accepted))
    }

    /// Returns the claim in force.
    #[must_use]
    pub const fn claim(&self) -> Option<&Claim> {
        self.jobs.claim.as_ref()
    }

    /// Returns the epoch of the claim in force; 0 for none.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.jobs.epoch()
    }

    /// Returns how long ago this reader folded the claim in force or its last renewal.
    #[must_use]
    pub fn claim_age(&self, now: Duration) -> Option<Duration> {
        self.claim().map(|_| now.saturating_sub(self.claim_heard))
    }
}
