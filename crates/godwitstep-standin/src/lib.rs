//! Stand-ins for the platform that the scheduler runs on, for tests and demonstrations.
//!
//! Each stand-in runs on its own thread and stops when its handle is dropped.
//!
//! ```
//! use godwitstep_standin::log;
//!
//! let service = log::Server::start(log::Settings::default())?;
//! assert_eq!(service.append("config", "{}"), Ok(0));
//! assert_eq!(service.records("config"), [(0, "{}".to_owned())]);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod ledger;
pub mod log;
pub mod proxy;
pub mod serve;
pub mod signal;
pub mod target;
pub mod worker;
