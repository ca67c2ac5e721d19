//! Search for the stops that place a claim at the least loss, see [`super::reclaim`].
//!
//! The search is greedy: task by task, on the worker where the least borrowed work is lost. As each workspace has only so
//! much to return, the cheapest stops may use that up; a second search then prefers stops that return few accelerators.
//!
//! A blocked claim is searched for again and again while its round is due every 200 ms. So a gang is rejected first if
//! the capacity that could be freed is too small in total, and what is to be stopped on a worker is determined again only
//! if a choice before has changed it.

use super::Planner;
use super::borrowed::{Borrowed, Excess, Loan};
use super::cluster::{Cluster, Node};
use super::place::{self, PendingStep, Placement};
use super::preempt::Losses;
use super::reclaim_cost::{Cost, Preference, Returned};
use crate::demand::Demand;
use crate::id::{Run, Task};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A run, or a set of runs that end together, that may be stopped on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Victim {
    /// A run of lower priority.
    Lower(Task, Run),
    /// Index of a loan.
    Borrowed(usize),
}

/// Runs to stop on one worker for one more task there.
#[derive(Clone)]
struct Stops {
    node: usize,
    victims: Vec<Victim>,
    cost: Cost,
}

/// Placements for a claim and what is stopped for them.
pub(super) struct Proposal {
    excess: Excess,
    pub victims: BTreeSet<Victim>,
    /// Capacity that the stops free, by node.
    freed: BTreeMap<usize, Demand>,
    /// Number of tasks placed on each node.
    placed: BTreeMap<usize, u64>,
    pub placements: Vec<Placement>,
    cost: Cost,
}

/// What a search considers.
pub(super) struct Search<'a> {
    planner: &'a Planner,
    cluster: &'a Cluster,
    pending: &'a PendingStep<'a>,
    losses: &'a Losses,
    borrowed: &'a Borrowed,
    /// The loans that have a run on each node, those with the least loss first.
    loans_by_node: BTreeMap<usize, Vec<LoanPart>>,
}

/// The part of a loan that occupies one worker.
#[derive(Clone, Copy)]
struct LoanPart {
    /// Index of the loan.
    loan: usize,
    /// Capacity that its stop frees on the worker.
    freed: Demand,
}

/// The cheapest stops on each worker that could take one more task.
type Candidates = BTreeMap<usize, Stops>;

impl<'a> Search<'a> {
    pub fn new(
        planner: &'a Planner,
        cluster: &'a Cluster,
        pending: &'a PendingStep,
        losses: &'a Losses,
        borrowed: &'a Borrowed,
    ) -> Self {
        let mut loans_by_node: BTreeMap<usize, Vec<LoanPart>> = BTreeMap::new();
        for (index, loan) in borrowed.loans.iter().enumerate() {
            let mut freed_by_node: BTreeMap<usize, Demand> = BTreeMap::new();
            for run in &loan.runs {
                let freed = freed_by_node.entry(run.node).or_default();
                *freed = freed.saturating_add(&run.demand);
            }
            for (node, freed) in freed_by_node {
                let parts = loans_by_node.entry(node).or_default();
                parts.push(LoanPart { loan: index, freed });
            }
        }
        let loss = |part: &LoanPart| borrowed.loans[part.loan].loss;
        for parts in loans_by_node.values_mut() {
            parts.sort_by(|a, b| loss(a).total_cmp(&loss(b)));
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
    pub fn best_proposal(&self, placeable: usize) -> Option<Proposal> {
        let mut groups = place::candidate_groups(self.pending, self.cluster);
        if self.pending.step.gang {
            groups.retain(|nodes| self.may_hold_gang(nodes));
        }
        let candidates: Vec<Candidates> = groups
            .iter()
            .map(|nodes| self.first_candidates(nodes))
            .collect();
        let needed = self.pending.waiting.len();
        let mut best: Option<Proposal> = None;
        for preference in [Preference::LeastLoss, Preference::FewestAccelerators] {
            for (nodes, candidates) in groups.iter().zip(&candidates) {
                let proposal = self.propose(nodes, candidates.clone(), preference);
                let count = proposal.placements.len();
                let is_possible = count > placeable && (!self.pending.step.gang || count == needed);
                let is_better = best.as_ref().is_none_or(|best| {
                    let fewer = best.placements.len().cmp(&count);
                    let cheaper = proposal.cost.compare(&best.cost, Preference::LeastLoss);
                    fewer.then(cheaper) == Ordering::Less
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

    /// Returns whether the members of a gang do not exceed what could be freed on a group of nodes: by workers, and in
    /// accelerators with no more than each workspace can return. Says nothing about whether the search succeeds.
    fn may_hold_gang(&self, nodes: &[usize]) -> bool {
        let empty = Proposal::new(&self.borrowed.excess);
        let mut copies: u64 = 0;
        let mut without_loans: u64 = 0;
        let allowed = nodes.iter().filter(|node_index| {
            let node = &self.cluster.nodes[**node_index];
            self.pending.allows(node)
        });
        for &node_index in allowed {
            let node = &self.cluster.nodes[node_index];
            let lower = self.lower_on(&empty, node_index);
            let lower = Demand::sum(lower.iter().map(|(_, freed)| freed));
            let loans = self.loans_by_node.get(&node_index).into_iter().flatten();
            let loans = Demand::sum(loans.map(|part| &part.freed));
            let free = self.free(&empty, node_index, node).saturating_add(&lower);
            without_loans = without_loans.saturating_add(free.accelerators);
            let free = free.saturating_add(&loans).saturating_sub(&node.excess);
            copies = copies.saturating_add(self.pending.copies(node, &free));
        }
        let members = self.pending.waiting.len() as u64;
        let loanable = self.borrowed.excess.values().copied();
        let accelerators = loanable.fold(without_loans, u64::saturating_add);
        let needed = self.pending.step.demand.saturating_mul(members);
        copies >= members && needed.accelerators <= accelerators
    }

    /// Returns the cheapest stops on each worker before any are chosen.
    fn first_candidates(&self, nodes: &[usize]) -> Candidates {
        let empty = Proposal::new(&self.borrowed.excess);
        nodes
            .iter()
            .filter_map(|node| Some((*node, self.cheapest_stops(&empty, *node)?)))
            .collect()
    }

    /// Places tasks one by one within a group of nodes, as far as possible.
    fn propose(
        &self,
        nodes: &[usize],
        mut candidates: Candidates,
        preference: Preference,
    ) -> Proposal {
        let mut proposal = Proposal::new(&self.borrowed.excess);
        for index in &self.pending.waiting {
            let Some(stops) = self.take_best(&proposal, &mut candidates, preference) else {
                break;
            };
            let changed = self.apply(&mut proposal, *index, stops);
            // Nodes are in ascending order.
            let changed = changed
                .into_iter()
                .filter(|node| nodes.binary_search(node).is_ok());
            for node in changed {
                self.renew(&proposal, &mut candidates, node);
            }
        }
        proposal
    }

    /// Removes and returns the cheapest stops. Stops that return more than is left of an excess are determined again;
    /// all others stay the cheapest on their workers when an excess shrinks.
    fn take_best(
        &self,
        proposal: &Proposal,
        candidates: &mut Candidates,
        preference: Preference,
    ) -> Option<Stops> {
        loop {
            let best = candidates
                .values()
                .min_by(|a, b| a.cost.compare(&b.cost, preference))?;
            let node = best.node;
            let stops = candidates.remove(&node)?;
            if self.is_possible(proposal, &stops) {
                return Some(stops);
            }
            // All at once, as the search for the best would otherwise be repeated for each of them.
            let impossible = candidates
                .values()
                .filter(|stops| !self.is_possible(proposal, stops));
            let impossible: Vec<usize> = impossible.map(|stops| stops.node).collect();
            for other in impossible.into_iter().chain([node]) {
                self.renew(proposal, candidates, other);
            }
        }
    }

    /// Determines the cheapest stops on a worker again.
    fn renew(&self, proposal: &Proposal, candidates: &mut Candidates, node: usize) {
        match self.cheapest_stops(proposal, node) {
            Some(stops) => candidates.insert(node, stops),
            None => candidates.remove(&node),
        };
    }

    /// Returns whether workspaces can still return what stops take back.
    fn is_possible(&self, proposal: &Proposal, stops: &Stops) -> bool {
        let mut returned = Returned::default();
        stops.victims.iter().all(|victim| match victim {
            Victim::Lower(..) => true,
            Victim::Borrowed(index) => returned.add(self.loan(*index), &proposal.excess),
        })
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
        let stops = |victims: Vec<Victim>| Stops {
            node: node_index,
            cost: self.cost(&victims),
            victims,
        };
        if needed.fits(&free) {
            return Some(stops(Vec::new()));
        }
        let lower = self.lower_on(proposal, node_index);
        let by_loss = self.loans_on(proposal, node_index);
        let freed = lower.iter().map(|(_, freed)| freed);
        let freed = Demand::sum(freed.chain(by_loss.iter().map(|part| &part.freed)));
        if !needed.fits(&free.saturating_add(&freed)) {
            return None;
        }
        let victims = |loans: &[LoanPart]| self.victims(proposal, free, &needed, &lower, loans);
        let least_loss = victims(&by_loss).map(stops);
        if by_loss.len() < 2 {
            return least_loss;
        }
        // Where the smallest losses use up what a workspace can return, large runs may still suffice.
        let mut by_size = by_loss;
        by_size.sort_by_key(|part| std::cmp::Reverse(part.freed.accelerators));
        least_loss
            .into_iter()
            .chain(victims(&by_size).map(stops))
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

    /// Returns the loans with runs on a worker that are not stopped yet, those with the least loss first.
    fn loans_on(&self, proposal: &Proposal, node_index: usize) -> Vec<LoanPart> {
        let parts = self.loans_by_node.get(&node_index).into_iter().flatten();
        parts
            .filter(|part| !proposal.victims.contains(&Victim::Borrowed(part.loan)))
            .copied()
            .collect()
    }

    fn loan(&self, index: usize) -> &'a Loan {
        &self.borrowed.loans[index]
    }

    /// Chooses runs of lower priority first, then loans in the given order, until the demand fits.
    fn victims(
        &self,
        proposal: &Proposal,
        mut free: Demand,
        needed: &Demand,
        lower: &[(Victim, Demand)],
        loans: &[LoanPart],
    ) -> Option<Vec<Victim>> {
        let mut returned = Returned::default();
        let mut chosen: Vec<(Victim, Demand)> = Vec::new();
        for &(victim, freed) in lower {
            if needed.fits(&free) {
                break;
            }
            free = free.saturating_add(&freed);
            chosen.push((victim, freed));
        }
        for part in loans {
            if needed.fits(&free) {
                break;
            }
            if returned.add(self.loan(part.loan), &proposal.excess) {
                free = free.saturating_add(&part.freed);
                chosen.push((Victim::Borrowed(part.loan), part.freed));
            }
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

    /// Adds a task and what is stopped for it to a proposal. Returns the nodes on which that changes something.
    fn apply(&self, proposal: &mut Proposal, index: u16, stops: Stops) -> BTreeSet<usize> {
        let mut changed = BTreeSet::from([stops.node]);
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
                        changed.insert(run.node);
                        add_freed(proposal, run.node, &run.demand);
                    }
                }
            }
            proposal.victims.insert(victim);
        }
        changed
    }
}

fn add_freed(proposal: &mut Proposal, node: usize, demand: &Demand) {
    let freed = proposal.freed.entry(node).or_default();
    *freed = freed.saturating_add(demand);
}

impl Proposal {
    /// Returns the proposal without placements.
    fn new(excess: &Excess) -> Self {
        Self {
            excess: excess.clone(),
            victims: BTreeSet::new(),
            freed: BTreeMap::new(),
            placed: BTreeMap::new(),
            placements: Vec::new(),
            cost: Cost::default(),
        }
    }
}
