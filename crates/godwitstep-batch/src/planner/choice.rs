//! Choice of the workers for waiting tasks among those that have capacity for them.
//!
//! An independent task goes to the worker that it fills best, a gang to the group of workers of which it leaves the
//! least capacity unused. Where workers differ in speed, that comes first ([`super::speed_fit`]).

use super::cluster::{Cluster, Node};
use super::place::{PendingStep, Placement, candidate_groups, place_within};
use super::speed_fit::{self, Candidate, MAX_CLASSES, SpeedClass, SpeedClasses};
use crate::job::Step;
use std::collections::BTreeSet;

/// Workers that may run a gang together, and their capacity for it.
struct Group {
    nodes: Vec<usize>,
    /// Number of members for which there is capacity, by speed class.
    copies: [u64; MAX_CLASSES],
}

impl Group {
    fn new(pending: &PendingStep, cluster: &Cluster, nodes: Vec<usize>) -> Self {
        let mut copies = [0_u64; MAX_CLASSES];
        for node_index in &nodes {
            let node = &cluster.nodes[*node_index];
            let class_copies = &mut copies[node.speed_class];
            *class_copies = class_copies.saturating_add(pending.copies(node, &pending.free(node)));
        }
        Self { nodes, copies }
    }

    /// Returns the number of members for which workers of these classes have capacity.
    fn copies_within(&self, fastest: SpeedClass, slowest: SpeedClass) -> u64 {
        let copies = self.copies[fastest..=slowest].iter();
        copies.fold(0, |sum, copies| sum.saturating_add(*copies))
    }

    /// Returns the fastest class of the most uniform range of classes that ends with `slowest` and has capacity for
    /// all members.
    fn fastest_needed(&self, slowest: SpeedClass, members: u64) -> Option<SpeedClass> {
        let mut classes = (0..=slowest).rev();
        classes.find(|fastest| self.copies_within(*fastest, slowest) >= members)
    }
}

/// Returns the node that one more independent task fills best, if any has capacity.
pub(super) fn best_node(pending: &PendingStep, cluster: &Cluster) -> Option<usize> {
    let ranks = cluster
        .speed_classes(pending.pool)?
        .ranks(&pending.budget, pending.urgent);
    (0..)
        .zip(&cluster.nodes)
        .filter(|(_, node)| pending.allows(node) && pending.joins(node))
        .filter(|(_, node)| pending.copies(node, &pending.free(node)) > 0)
        .min_by(|(_, a), (_, b)| {
            let key = |node: &Node| {
                let endangered = pending.endangered(node);
                let far = far_from_data(pending.step, node);
                (endangered, far, node.suspect, ranks[node.speed_class])
            };
            key(a)
                .cmp(&key(b))
                .then_with(|| free_share_after(pending, a).total_cmp(&free_share_after(pending, b)))
        })
        .map(|(node_index, _)| node_index)
}

/// Returns whether a worker is outside the rack that holds the step's data.
fn far_from_data(step: &Step, node: &Node) -> bool {
    step.data_rack
        .as_ref()
        .is_some_and(|rack| node.rack.as_ref() != Some(rack))
}

/// Returns the share of a worker's capacity that stays free after placing a task.
fn free_share_after(pending: &PendingStep, node: &Node) -> f64 {
    node.free
        .saturating_sub(&pending.step.demand)
        .share_of(&node.capacity)
}

/// Places all tasks of a gang, or none. Suspect workers are avoided if there is capacity elsewhere.
pub(super) fn best_gang_placements(pending: &PendingStep, cluster: &Cluster) -> Vec<Placement> {
    let Some(classes) = cluster.speed_classes(pending.pool) else {
        return Vec::new();
    };
    let groups = |trusted_only: bool| -> Vec<Group> {
        let is_usable = |node: &Node| {
            pending.allows(node) && pending.joins(node) && !(trusted_only && node.suspect)
        };
        candidate_groups(pending, cluster)
            .into_iter()
            .map(|mut nodes| {
                nodes.retain(|node_index| is_usable(&cluster.nodes[*node_index]));
                Group::new(pending, cluster, nodes)
            })
            .collect()
    };
    let best = best_in_groups(pending, cluster, classes, &groups(true));
    best.or_else(|| {
        let suspects = cluster.nodes.iter().any(|node| node.suspect);
        suspects.then(|| best_in_groups(pending, cluster, classes, &groups(false)))?
    })
    .unwrap_or_default()
}

fn best_in_groups(
    pending: &PendingStep,
    cluster: &Cluster,
    classes: &SpeedClasses,
    groups: &[Group],
) -> Option<Vec<Placement>> {
    let members = pending.waiting.len() as u64;
    let candidates = groups
        .iter()
        .flat_map(|group| (0..=classes.slowest()).map(move |slowest| (group, slowest)))
        .filter_map(|(group, slowest)| {
            let fastest = group.fastest_needed(slowest, members)?;
            let nodes = group.nodes.iter().copied().filter(|node_index| {
                (fastest..=slowest).contains(&cluster.nodes[*node_index].speed_class)
            });
            let nodes: Vec<usize> = nodes.collect();
            let placements = place_within(pending, cluster, &nodes, |node| pending.free(node));
            (!placements.is_empty()).then(|| candidate(cluster, classes, placements))
        })
        .collect();
    let gangs_within = |slowest: SpeedClass| {
        let gangs = groups
            .iter()
            .map(|group| group.copies_within(0, slowest) / members.max(1));
        gangs.fold(0, u64::saturating_add)
    };
    let budget = &pending.budget;
    speed_fit::choose(candidates, classes, budget, pending.urgent, gangs_within)
        .map(|candidate| candidate.placements)
}

fn candidate(cluster: &Cluster, classes: &SpeedClasses, placements: Vec<Placement>) -> Candidate {
    let class = |(_, node): &Placement| cluster.nodes[*node].speed_class;
    let members = placements.iter().map(class);
    Candidate {
        slowest: members.clone().max().unwrap_or_default(),
        speed_used: members.map(|class| classes.slowest() - class).sum(),
        unused_share: unused_share(cluster, &placements),
        placements,
    }
}

/// Returns the summed shares of free capacity on the workers that a gang would use.
fn unused_share(cluster: &Cluster, placements: &[Placement]) -> f64 {
    let used: BTreeSet<usize> = placements.iter().map(|(_, node)| *node).collect();
    used.iter()
        .map(|node_index| &cluster.nodes[*node_index])
        .map(|node| node.free.share_of(&node.capacity))
        .sum()
}
