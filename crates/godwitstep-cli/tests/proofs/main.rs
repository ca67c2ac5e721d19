//! Proofs of the invariants R1 to R9 with real processes under failure.
//!
//! Entries and agents are processes of their own; the log, targets and workers are stand-ins on
//! threads of the test, so that their ledgers can be read at any time. Each link between any two of
//! them goes through a fault-injecting proxy.

mod rig;
mod thin;
