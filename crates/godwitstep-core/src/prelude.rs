//! Re-exports of the most commonly used types.

pub use crate::authority::{Evidence, OperatingMode};
pub use crate::clock::Clock;
pub use crate::id::{
    Accelerators, Attempt, DomainId, EntryId, Epoch, Incarnation, JobId, Key, KindId, Name, Offset,
    RackId, RegionId, ServiceId, TargetId, Version, WorkerId, WorkspaceId,
};
pub use crate::reason::Reason;
pub use crate::resource::{Adjacency, Guarantee, Job, Kind, Priority, Shape, Workspace};
pub use std::time::Duration;
