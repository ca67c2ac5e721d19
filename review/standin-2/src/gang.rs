//! What the members of gangs know of one another. Members on runners that are cut off from each other know nothing new.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// A member of one run of a gang.
pub struct Member {
    /// Job, occurrence and step, and the attempt.
    gang: (String, u64),
    task: String,
    runner: String,
}

impl Member {
    pub fn new(task: &str, attempt: u64, runner: &str) -> Self {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        Self {
            gang: (step.to_owned(), attempt),
            task: task.to_owned(),
            runner: runner.to_owned(),
        }
    }
}

#[derive(Default)]
struct Gang {
    /// Members that have begun, with their runners and their ends.
    members: BTreeMap<String, (String, Option<&'static str>)>,
}

#[derive(Default)]
struct State {
    gangs: BTreeMap<(String, u64), Gang>,
    /// Runners that are cut off from all others.
    cut: BTreeSet<String>,
}

impl State {
    fn reach(&self, one: &str, other: &str) -> bool {
        one == other || !(self.cut.contains(one) || self.cut.contains(other))
    }
}

/// All gangs.
#[derive(Clone, Default)]
pub struct Gangs {
    state: Arc<Mutex<State>>,
}

impl Gangs {
    /// Cuts a runner off from all others, or ends the cut.
    pub fn cut(&self, runner: &str, cut: bool) {
        let mut state = self.state.lock().unwrap();
        if cut {
            state.cut.insert(runner.to_owned());
        } else {
            state.cut.remove(runner);
        }
    }

    /// Adds a member that has begun.
    pub fn join(&self, member: &Member) {
        let mut state = self.state.lock().unwrap();
        let gang = state.gangs.entry(member.gang.clone()).or_default();
        gang.members
            .insert(member.task.clone(), (member.runner.clone(), None));
    }

    /// Records the end of a member.
    pub fn end(&self, member: &Member, how: &'static str) {
        let mut state = self.state.lock().unwrap();
        let gang = state.gangs.entry(member.gang.clone()).or_default();
        if let Some((_, end)) = gang.members.get_mut(&member.task) {
            end.get_or_insert(how);
        }
    }

    /// Returns whether the gang works: all members are present and reach one another.
    pub fn works(&self, member: &Member, size: usize) -> bool {
        let state = self.state.lock().unwrap();
        state.gangs.get(&member.gang).is_some_and(|gang| {
            let present = |(runner, end): &(String, Option<&str>)| {
                end.is_none() && state.reach(&member.runner, runner)
            };
            gang.members.len() == size && gang.members.values().all(present)
        })
    }

    /// Returns whether all members were present at some time.
    pub fn was_complete(&self, member: &Member, size: usize) -> bool {
        let state = self.state.lock().unwrap();
        state
            .gangs
            .get(&member.gang)
            .is_some_and(|gang| gang.members.len() == size)
    }

    /// Returns whether the member knows of another one that has ended done, or otherwise.
    pub fn knows_end(&self, member: &Member, done: bool) -> bool {
        let state = self.state.lock().unwrap();
        state.gangs.get(&member.gang).is_some_and(|gang| {
            let others = gang
                .members
                .iter()
                .filter(|(task, _)| **task != member.task);
            let mut ends = others.filter_map(|(_, (runner, end))| Some((runner, (*end)?)));
            ends.any(|(runner, end)| state.reach(&member.runner, runner) && (end == "done") == done)
        })
    }
}
