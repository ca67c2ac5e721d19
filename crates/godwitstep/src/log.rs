//! Reads and writes streams of the platform's log.
//!
//! * [`Client`] sends single requests to the log service.
//! * [`Writer`] numbers the envelopes of one stream, batches events and determines the outcome of an
//!   append whose reply was lost.
//! * [`Reader`] follows one stream and records the newest tail that it has reached.
//!
//! ```
//! use godwitstep::log::{Client, Outcome, Writer};
//! use godwitstep_core::record::Event;
//! use godwitstep_standin::log::{Server, Settings};
//! use std::time::Duration;
//!
//! let service = Server::start(Settings::default())?;
//! let client = Client::new(service.address, Duration::from_secs(1));
//! let executor = smol::LocalExecutor::new();
//! let (writer, task) = Writer::new(client, "jobs-dk-vest", "entry-1", 7);
//! executor.spawn(task.run()).detach();
//! let cancel = Event::Cancel { job: "j".into() };
//! let outcome = executor.run(writer.append(vec![cancel], Duration::from_secs(5)));
//! assert_eq!(smol::block_on(outcome), Outcome::Appended { offset: 0, index: 0 });
//! # Ok::<(), std::io::Error>(())
//! ```

mod backoff;
mod client;
mod error;
mod page;
mod reader;
mod writer;

pub use client::Client;
pub use error::{AppendError, Cause, ExchangeError, Operation};
pub use page::{Page, Read};
pub use reader::{Batch, ObservedTail, Reader};
pub use writer::{Outcome, Task, Writer};
