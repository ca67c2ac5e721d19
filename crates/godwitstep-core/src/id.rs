//! Type aliases for identifiers.
//!
//! Names are reference-counted strings: a name is stored many times (in queues, indexes and
//! reports) and cloned on hot paths, where copying the bytes would dominate the cost.
//!
//! ```
//! use godwitstep_core::id::WorkspaceId;
//!
//! let id: WorkspaceId = "cutting-room".into();
//! assert_eq!(&*id, "cutting-room");
//! ```

use std::sync::Arc;

/// Name of a declared resource or of a machine.
pub type Name = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Name;
/// Name of a failure domain.
pub type DomainId = Name;
/// Name of a region, which holds one or more failure domains.
pub type RegionId = Name;
/// Name of a rack, unique within its failure domain.
pub type RackId = Name;
/// Name of a worker.
pub type WorkerId = Name;
/// Name of a target.
pub type TargetId = Name;
/// Name of a service that targets provide.
pub type ServiceId = Name;
/// Name of a kind of work, unique within its workspace.
pub type KindId = Name;
/// Name of an entry.
pub type EntryId = Name;
/// Name of a job.
pub type JobId = Name;
/// Idempotency key that a caller chose for a request.
pub type Key = Name;
/// Identifies one start of a process: greater for a later start under the same name.
///
/// Unit: microseconds of wall-clock time at the start of the process.
pub type Incarnation = u64;
/// Fencing token of a region's decider: the log offset of its claim record.
pub type Epoch = u64;
/// Number of a run of a job, counted from 1.
pub type Attempt = u32;
/// Position of a record in a stream of the log.
pub type Offset = u64;
/// Version of a declared resource: the log offset of its last change.
pub type Version = u64;
/// Number of accelerators.
pub type Accelerators = u32;
