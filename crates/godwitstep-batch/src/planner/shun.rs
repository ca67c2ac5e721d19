//! Workers that a job does not go back to after it failed there.
//!
//! The pattern: a worker that fails everything at once has room again at once, so it is the first one that
//! the job's next run finds. The job uses up its attempts there, and is given up although others could do
//! it. So a job shuns the workers on which it failed at once, as long as others can take it; and such a worker
//! comes after the others for everybody, until a run ends well there.

use super::floor::{Floor, Slot};
use super::place::{Want, one_rack};
use crate::id::{JobId, Life};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Workers by whose fault jobs failed.
#[derive(Debug, Default)]
pub(super) struct Failures {
    jobs: HashMap<JobId, BTreeSet<Life>>,
}

impl Failures {
    /// Notes that a run of a job failed by the fault of a worker.
    pub fn note(&mut self, job: JobId, life: &Life) {
        self.jobs.entry(job).or_default().insert(life.clone());
    }

    /// Forgets the jobs for which `open` does not hold.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.jobs.retain(|job, _| open(*job));
    }

    /// Returns the workers that a step does not go to; none if the others can't take it.
    pub fn shunned(&self, want: &Want, floor: &Floor) -> BTreeSet<Life> {
        let Some(lives) = self.jobs.get(&want.job) else {
            return BTreeSet::new();
        };
        if others_can_take(want, floor, lives) {
            lives.clone()
        } else {
            BTreeSet::new()
        }
    }
}

/// Tells whether the workers beside some could take a step if they were empty: all of a gang, or one
/// independent task.
fn others_can_take(want: &Want, floor: &Floor, lives: &BTreeSet<Life>) -> bool {
    let needed = if want.step.gang {
        want.waiting.len() as u64
    } else {
        1
    };
    let by_rack = one_rack(want, floor);
    let mut copies = BTreeMap::new();
    let other = |slot: &&Slot| want.allows(slot) && !lives.contains(&slot.life);
    for slot in floor.slots.iter().filter(other) {
        let group = slot.rack.as_ref().filter(|_| by_rack);
        let group: &mut u64 = copies.entry(group).or_default();
        *group = group.saturating_add(want.copies(slot, &slot.room));
    }
    copies.values().any(|copies| *copies >= needed)
}
