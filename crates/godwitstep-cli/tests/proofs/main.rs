//! Integration tests of the invariants R1 to R9 with real processes under failure.
//!
//! Entries and agents run as separate processes. The log, targets and workers are stand-ins on
//! threads of the test, so that tests can read their ledgers at any time. Fault-injecting proxies
//! sit on the connections between all of them, and can sit between callers and entries.

mod crowds;
mod end_to_end;
mod fixture;
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
