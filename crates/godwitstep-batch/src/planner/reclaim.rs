//! Reclaim: a claim within its workspace's guarantee takes back what others of equal priority have borrowed.
//!
//! Without this, a claim waits until a task of another workspace ends by itself if all workers run urgent tasks of
//! workspaces that are beyond their own guarantees. Runs of lower priority are stopped where they suffice. A claim never
//! takes its own workspace beyond its guarantee, nor another one below, so two claims cannot stop each other in turn.
//!
//! The search is greedy: task by task, on the worker where the least borrowed work is lost. As each workspace has only so
//! much to return, the cheapest stops may use that up; a second search then prefers stops that return few accelerators.

use super::borrowed::{Borrowed, Excess, Loan};
use super::cluster::{Cluster, Node};
use super::order::{self, Urgency};
use super::place::{self, PendingStep, Placement};
use super::preempt::{Losses, commit_capacity};
use super::{Decision, Planner, PreemptionReason, Round};
use crate::demand::Demand;
use crate::id::{Run, Task};
use crate::ledger::JobState;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What a search prefers to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Preference {
    LeastLoss,
    FewestAccelerators,
}

/// What is lost by stopping runs. Borrowed work outweighs any work of lower priority.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    /// Accelerators that are taken back.
    accelerators: u64,
    /// Work of priority 0. Unit: core-seconds.
    borrowed: f64,
    /// Weighted work of lower priorities.
    lower: f64,
}

impl Cost {
    fn add(&mut self, other: &Self) {
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.borrowed += other.borrowed;
        self.lower += other.lower;
    }

    fn compare(&self, other: &Self, preference: Preference) -> Ordering {
        let by_accelerators = self.accelerators.cmp(&other.accelerators);
        let by_loss = self
            .borrowed
            .total_cmp(&other.borrowed)
            .then_with(|| self.lower.total_cmp(&other.lower));
        match preference {
            Preference::LeastLoss => by_loss.then(by_accelerators),
            Preference::FewestAccelerators => by_accelerators.then(by_loss),
        }
    }
}

/// A run, or a set of runs that end together, that may be stopped on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Victim {
    /// A run of lower priority.
    Lower(Task, Run),
    /// Index of a loan.
    Borrowed(usize),
}

/// Runs to stop on one worker for one more task there.
struct Stops {
    node: usize,
    victims: Vec<Victim>,
    cost: Cost,
}

/// Placements for a claim and what is stopped for them.
struct Proposal {
    excess: Excess,
    victims: BTreeSet<Victim>,
    /// Capacity that the stops free, by node.
    freed: BTreeMap<usize, Demand>,
    /// Number of tasks placed on each node.
    placed: BTreeMap<usize, u64>,
    placements: Vec<Placement>,
    cost: Cost,
}

/// What a search considers.
struct Search<'a> {
    planner: &'a Planner,
    cluster: &'a Cluster,
    pending: &'a PendingStep<'a>,
    losses: &'a Losses,
    borrowed: &'a Borrowed,
    /// Indices of the loans that have a run on each node.
    loans_by_node: BTreeMap<usize, Vec<usize>>,
}

impl Planner {
    /// Takes back borrowed capacity for a claim if that places more of its tasks than stopping runs of lower priority,
    /// which places `placeable` of them. Returns how many tasks it places if it does.
    pub(super) fn reclaim(
        &mut self,
        round: &mut Round,
        urgency: Urgency,
        job_state: &JobState,
        pending: &PendingStep,
        losses: &Losses,
        placeable: usize,
    ) -> Option<usize> {
        let progress = round.draft.progress(pending.job, job_state);
        let claims = !urgency.unguaranteed
            && !pending.is_isolated()
            && order::accelerators_needed(job_state, progress) > 0
            && self.stays_within_guarantee(round, job_state, pending);
        if !claims {
            return None;
        }
        let borrowed = self.borrowed(round.now, round.draft, round.cluster, round.policy);
        if borrowed.loans.is_empty() {
            return None;
        }
        let search = Search::new(self, round.cluster, pending, losses, &borrowed);
        let proposal = search.best_proposal(placeable)?;
        let stops_any = self.stop_victims(round, pending, &borrowed, &proposal.victims);
        if stops_any {
            // Until it starts, the claim comes before gangs for which other runs are being stopped.
            self.earmark(round, pending, &proposal.placements);
        }
        commit_capacity(round.cluster, pending, &proposal.placements);
        Some(proposal.placements.len())
    }

    /// Returns whether a workspace uses no more than its guarantee once the waiting tasks of a step run too. Whether its
    /// jobs are within the guarantee does not show that, as parallel steps of one job count by the largest.
    fn stays_within_guarantee(
        &self,
        round: &Round,
        job_state: &JobState,
        pending: &PendingStep,
    ) -> bool {
        let Some(workspace) = &job_state.job.workspace else {
            return false;
        };
        let pledged = round.pledged.get(workspace).copied().unwrap_or(0);
        let waiting = pending
            .step
            .demand
            .saturating_mul(pending.waiting.len() as u64);
        let used = self
            .accelerators_kept(round.draft, workspace)
            .saturating_add(pledged)
            .saturating_add(waiting.accelerators);
        used <= round.policy.guaranteed(workspace)
    }

    /// Stops the victims. Returns whether there are any.
    fn stop_victims(
        &mut self,
        round: &mut Round,
        pending: &PendingStep,
        borrowed: &Borrowed,
        victims: &BTreeSet<Victim>,
    ) -> bool {
        let mut stops_any = false;
        let mut stop = |task: Task, run: Run, reason: PreemptionReason| {
            stops_any |= self.stopping.insert((task, run));
            round.plan.decisions.push(Decision::Preempted {
                task,
                run,
                by: pending.job,
                reason,
            });
        };
        for victim in victims {
            match victim {
                Victim::Lower(task, run) => stop(*task, *run, PreemptionReason::Priority),
                Victim::Borrowed(loan) => {
                    for run in &borrowed.loans[*loan].runs {
                        stop(run.task, run.run, PreemptionReason::Guarantee);
                    }
                }
            }
        }
        stops_any
    }
}

impl<'a> Search<'a> {
    fn new(
        planner: &'a Planner,
        cluster: &'a Cluster,
        pending: &'a PendingStep,
        losses: &'a Losses,
        borrowed: &'a Borrowed,
    ) -> Self {
        let mut loans_by_node: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (index, loan) in borrowed.loans.iter().enumerate() {
            let nodes: BTreeSet<usize> = loan.runs.iter().map(|run| run.node).collect();
            for node in nodes {
                loans_by_node.entry(node).or_default().push(index);
            }
        }
        Self {
            planner,
            cluster,
            pending,
            losses,
            borrowed,
            loans_by_node,
        }
    }

    /// Returns the cheapest proposal that places all tasks or, for independent tasks, the most of them; `None` if it
    /// places no more than `placeable` tasks.
    fn best_proposal(&self, placeable: usize) -> Option<Proposal> {
        let groups = place::candidate_groups(self.pending, self.cluster);
        let needed = self.pending.waiting.len();
        let mut best: Option<Proposal> = None;
        for preference in [Preference::LeastLoss, Preference::FewestAccelerators] {
            for nodes in &groups {
                let proposal = self.propose(nodes, preference);
                let count = proposal.placements.len();
                let is_possible = count > placeable && (!self.pending.step.gang || count == needed);
                let is_better = best.as_ref().is_none_or(|best| {
                    let fewer = best.placements.len().cmp(&count);
                    let cheaper = proposal.cost.compare(&best.cost, Preference::LeastLoss);
                    fewer.reverse().then(cheaper) == Ordering::Less
                });
                if is_possible && is_better {
                    best = Some(proposal);
                }
            }
            if best
                .as_ref()
                .is_some_and(|best| best.placements.len() == needed)
            {
                break;
            }
        }
        best
    }

    /// Places tasks one by one within a group of nodes, as far as possible.
    fn propose(&self, nodes: &[usize], preference: Preference) -> Proposal {
        let mut proposal = Proposal {
            excess: self.borrowed.excess.clone(),
            victims: BTreeSet::new(),
            freed: BTreeMap::new(),
            placed: BTreeMap::new(),
            placements: Vec::new(),
            cost: Cost::default(),
        };
        for index in &self.pending.waiting {
            let best = nodes
                .iter()
                .filter_map(|node| self.cheapest_stops(&proposal, *node))
                .min_by(|a, b| a.cost.compare(&b.cost, preference));
            let Some(stops) = best else {
                break;
            };
            self.apply(&mut proposal, *index, stops);
        }
        proposal
    }

    /// Returns the runs to stop on a worker so that it has capacity for one more task, if that is possible.
    fn cheapest_stops(&self, proposal: &Proposal, node_index: usize) -> Option<Stops> {
        let node = &self.cluster.nodes[node_index];
        if !self.pending.allows(node) {
            return None;
        }
        let placed = proposal.placed.get(&node_index).copied().unwrap_or(0);
        let per_worker = u64::from(self.pending.step.per_worker);
        let present = node.count_runs(self.pending.job, self.pending.step_number);
        if placed >= node.unused_runs() || (per_worker > 0 && present + placed >= per_worker) {
            return None;
        }
        let needed = self.pending.step.demand.saturating_mul(placed + 1);
        let needed = needed.saturating_add(&node.excess);
        let free = self.free(proposal, node_index, node);
        let mut by_loss = self.loans_on(proposal, node_index);
        by_loss.sort_by(|a, b| self.loan(*a).loss.total_cmp(&self.loan(*b).loss));
        // Where the smallest losses use up what a workspace can return, large runs may still suffice.
        let mut by_size = by_loss.clone();
        by_size
            .sort_by_key(|loan| std::cmp::Reverse(self.freed_by(*loan, node_index).accelerators));
        [by_loss, by_size]
            .into_iter()
            .filter_map(|loans| self.victims(proposal, node_index, free, &needed, &loans))
            .map(|victims| Stops {
                node: node_index,
                cost: self.cost(&victims),
                victims,
            })
            .min_by(|a, b| a.cost.compare(&b.cost, Preference::LeastLoss))
    }

    /// Returns the capacity of a worker for the tasks that are already placed there and further ones.
    fn free(&self, proposal: &Proposal, node_index: usize, node: &Node) -> Demand {
        let stopping = node
            .occupants
            .iter()
            .filter(|occupant| self.planner.is_stopping(occupant));
        let stopping = Demand::sum(stopping.map(|occupant| &occupant.demand));
        let freed = proposal.freed.get(&node_index).copied();
        node.free
            .saturating_add(&stopping)
            .saturating_add(&freed.unwrap_or_default())
            .saturating_sub(&node.committed)
    }

    /// Returns the loans with runs on a worker that are not stopped yet.
    fn loans_on(&self, proposal: &Proposal, node_index: usize) -> Vec<usize> {
        let loans = self.loans_by_node.get(&node_index);
        let loans = loans.map_or(&[][..], Vec::as_slice).iter().copied();
        loans
            .filter(|loan| !proposal.victims.contains(&Victim::Borrowed(*loan)))
            .collect()
    }

    fn loan(&self, index: usize) -> &'a Loan {
        &self.borrowed.loans[index]
    }

    /// Returns the capacity that the stop of a loan frees on a worker.
    fn freed_by(&self, loan: usize, node_index: usize) -> Demand {
        let runs = self.loan(loan).runs.iter();
        let here = runs.filter(|run| run.node == node_index);
        Demand::sum(here.map(|run| &run.demand))
    }

    /// Chooses runs of lower priority first, then loans in the given order, until the demand fits.
    fn victims(
        &self,
        proposal: &Proposal,
        node_index: usize,
        mut free: Demand,
        needed: &Demand,
        loans: &[usize],
    ) -> Option<Vec<Victim>> {
        let mut excess = proposal.excess.clone();
        let mut chosen: Vec<(Victim, Demand)> = Vec::new();
        for (victim, freed) in self.lower_on(proposal, node_index) {
            if needed.fits(&free) {
                break;
            }
            free = free.saturating_add(&freed);
            chosen.push((victim, freed));
        }
        for &index in loans {
            if needed.fits(&free) {
                break;
            }
            let loan = self.loan(index);
            let left = excess.get_mut(&loan.workspace);
            let Some(left) = left.filter(|left| loan.accelerators <= **left) else {
                continue;
            };
            *left -= loan.accelerators;
            let freed = self.freed_by(index, node_index);
            free = free.saturating_add(&freed);
            chosen.push((Victim::Borrowed(index), freed));
        }
        if !needed.fits(&free) {
            return None;
        }
        // A larger run that was chosen later may make it unnecessary to stop an earlier one. Loans are spared first.
        let mut victims = Vec::new();
        for (victim, freed) in chosen.into_iter().rev() {
            let without = free.saturating_sub(&freed);
            if needed.fits(&without) {
                free = without;
            } else {
                victims.push(victim);
            }
        }
        Some(victims)
    }

    /// Returns the runs of lower priority on a worker that are not stopped yet, those with the least loss first.
    fn lower_on(&self, proposal: &Proposal, node_index: usize) -> Vec<(Victim, Demand)> {
        let occupants = self.cluster.nodes[node_index].occupants.iter();
        let mut lower: Vec<(f64, Victim, Demand)> = occupants
            .filter_map(|occupant| {
                let victim = Victim::Lower(occupant.task, occupant.run);
                let loss = self.losses.get(&(occupant.task, occupant.run))?;
                let is_stopped = proposal.victims.contains(&victim);
                (!is_stopped).then_some((*loss, victim, occupant.demand))
            })
            .collect();
        lower.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
        lower
            .into_iter()
            .map(|(_, victim, demand)| (victim, demand))
            .collect()
    }

    fn cost(&self, victims: &[Victim]) -> Cost {
        let mut cost = Cost::default();
        for victim in victims {
            cost.add(&match victim {
                Victim::Lower(task, run) => Cost {
                    lower: self.losses[&(*task, *run)],
                    ..Cost::default()
                },
                Victim::Borrowed(index) => Cost {
                    accelerators: self.loan(*index).accelerators,
                    borrowed: self.loan(*index).loss,
                    ..Cost::default()
                },
            });
        }
        cost
    }

    /// Adds a task and what is stopped for it to a proposal.
    fn apply(&self, proposal: &mut Proposal, index: u16, stops: Stops) {
        proposal.cost.add(&stops.cost);
        proposal.placements.push((index, stops.node));
        *proposal.placed.entry(stops.node).or_default() += 1;
        for victim in stops.victims {
            match victim {
                Victim::Lower(task, run) => {
                    let occupants = self.cluster.nodes[stops.node].occupants.iter();
                    let freed =
                        occupants.filter(|occupant| (occupant.task, occupant.run) == (task, run));
                    for occupant in freed {
                        add_freed(proposal, stops.node, &occupant.demand);
                    }
                }
                Victim::Borrowed(loan) => {
                    let loan = self.loan(loan);
                    if let Some(left) = proposal.excess.get_mut(&loan.workspace) {
                        *left = left.saturating_sub(loan.accelerators);
                    }
                    for run in &loan.runs {
                        add_freed(proposal, run.node, &run.demand);
                    }
                }
            }
            proposal.victims.insert(victim);
        }
    }
}

fn add_freed(proposal: &mut Proposal, node: usize, demand: &Demand) {
    let freed = proposal.freed.entry(node).or_default();
    *freed = freed.saturating_add(demand);
}
