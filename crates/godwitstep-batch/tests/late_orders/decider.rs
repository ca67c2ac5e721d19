//! Deciders that follow one another: the former one goes on answering agents until its lease ends.

use super::simulation::Simulation;
use godwitstep_batch::bounds::{Bounds, DECIDER_LEASE};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::message::{Directive, Report};
use godwitstep_batch::planner::{OperatorView, Planner};
use godwitstep_batch::record::Record;
use std::time::Duration;

/// An entry with the decider role, as far as it knows.
pub struct Decider {
    pub planner: Planner,
    pub ledger: Ledger,
    /// Whether an append is under way. That of a decider without the log never ends.
    pub recording: bool,
    pub next_round: Duration,
    /// When the log ceased to answer it, if it did.
    stalled_at: Option<Duration>,
    offset: u64,
}

impl Decider {
    /// Returns the first decider, of a simulation whose jobs are submitted.
    pub fn new(sim: Simulation, jobs: u64) -> Self {
        Self {
            planner: sim.planner,
            ledger: sim.ledger,
            recording: false,
            next_round: sim.now,
            stalled_at: None,
            offset: jobs,
        }
    }

    /// Returns the decider that takes over after this one, with all records of the log.
    pub fn successor(&self, now: Duration, sim: Simulation, jobs: u64, log: &[Record]) -> Self {
        let epoch = self.planner.epoch() + (1 << 20);
        let mut next = Self::new(sim, jobs);
        next.planner = Planner::new(epoch, now, Bounds::default());
        next.next_round = now;
        next.apply(log);
        next
    }

    /// Applies records that the log has stored.
    pub fn apply(&mut self, records: &[Record]) {
        for record in records {
            self.offset += 1;
            self.ledger.apply(self.offset, record.clone());
        }
        self.planner.refresh_assignments(&self.ledger);
    }

    /// Lets the log answer this decider no more.
    pub fn stall(&mut self, now: Duration) {
        self.stalled_at = Some(now);
        self.recording = true;
    }

    pub const fn is_stalled(&self) -> bool {
        self.stalled_at.is_some()
    }

    /// Processes a report and returns the reply; `None` once the lease has ended.
    pub fn reply(
        &mut self,
        now: Duration,
        report: &Report,
        view: &OperatorView,
    ) -> Option<Directive> {
        if self.stalled_at.is_some_and(|at| now >= at + DECIDER_LEASE) {
            return None;
        }
        self.planner.report(now, report.clone());
        let directive = self
            .planner
            .directive(report, &self.ledger, view, Vec::new());
        Some(directive)
    }
}
