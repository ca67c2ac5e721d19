//! Stand-ins for the platform that the scheduler runs on, for tests and demonstrations.
//!
//! * [`log`] serves the platform's log.
//! * [`target`] serves requests as a back-end process does.
//! * [`worker`] runs tasks as a machine with accelerators does.
//! * [`proxy`] injects faults into TCP connections.
//! * [`crowd`] sends requests that hold memory and connections of a server, as clients outside its control do.
//!
//! Module [`usage`] reads the memory and descriptors of a process under test.
//!
//! Each stand-in runs on its own thread and stops when its handle is dropped. A [`ledger`] records
//! the work of a target or worker.
//!
//! ```
//! use godwitstep_standin::log;
//!
//! let service = log::Server::start(log::Settings::default())?;
//! assert_eq!(service.append("config", "{}"), Ok(0));
//! assert_eq!(service.records("config"), [(0, "{}".to_owned())]);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod change_notifier;
pub mod crowd;
pub mod ledger;
pub mod log;
pub mod proxy;
pub mod serve;
pub mod target;
pub mod usage;
pub mod worker;
