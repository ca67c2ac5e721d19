//! Re-exports of the most common types.
//!
//! ```
//! use godwitstep_batch::prelude::*;
//!
//! let job: JobId = 7;
//! assert!(Ledger::default().job(job).is_none());
//! ```

pub use crate::bounds::Bounds;
pub use crate::demand::Demand;
pub use crate::id::{Domain, Epoch, Host, Incarnation, JobId, Offset, Run, Task};
pub use crate::job::Job;
pub use crate::ledger::{Ledger, Status};
pub use crate::policy::Policy;
pub use crate::progress::{Outcome, Progress};
pub use crate::record::Record;
