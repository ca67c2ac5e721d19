//! Proofs of the invariants R1 to R9 with real processes under failure.
//!
//! Entries and agents are processes of their own; the log, targets and workers are stand-ins on
//! threads of the test, so that their ledgers can be read at any time. Each link between any two of
//! them goes through a fault-injecting proxy.

mod outage;
mod r1;
mod r2;
mod r3;
mod r4;
mod r5;
mod r6;
mod r7;
mod r8;
mod r9;
mod rig;
mod thin;
