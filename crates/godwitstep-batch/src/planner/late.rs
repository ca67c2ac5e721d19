//! Late runs: runs that a report lists although the ledger does not place them there.
//!
//! A run that was taken for over may have been started late, and is being stopped. Until its end shows, its task must not
//! be placed again. A report that does not name its worker, or the silence of its agent, is no such evidence.

use super::draft::Draft;
use super::reports::AgentReports;
use crate::id::{Incarnation, Run, Task};
use crate::message::Reachability;
use std::collections::HashMap;
use std::time::Duration;

/// Late runs that may still be active, with the incarnation of the worker that listed them.
#[derive(Debug, Default)]
pub(super) struct LateRuns(HashMap<(Task, Run), Incarnation>);

impl LateRuns {
    /// Adds the late runs in recent reports and drops those that are over.
    pub fn update(&mut self, now: Duration, reports: &AgentReports, draft: &Draft) {
        self.0.retain(|(task, run), incarnation| {
            reports.may_be_active(now, incarnation, *task, *run)
        });
        for (age, worker) in reports.workers(now) {
            // The lists of a worker whose lease has expired are those of its last answer; nothing runs there any more.
            if !AgentReports::is_fresh(age) || worker.reachability == Reachability::LeaseExpired {
                continue;
            }
            let incarnation = &worker.info.incarnation;
            for listed_run in &worker.running {
                let (task, run) = (listed_run.task, listed_run.run);
                if !draft.places(incarnation, task, run) {
                    self.0.insert((task, run), incarnation.clone());
                }
            }
        }
    }

    /// Returns the tasks of all late runs.
    pub fn tasks(&self) -> impl Iterator<Item = Task> {
        self.0.keys().map(|(task, _)| *task)
    }
}
