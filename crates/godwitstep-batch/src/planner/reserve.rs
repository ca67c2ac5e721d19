//! Reservations for jobs that need much capacity at the same time.
//!
//! Without reservations a gang that needs many workers starves behind small jobs, which take each
//! worker as it becomes free. Capacity is reserved where the job can start earliest according to the
//! predicted ends of the current runs. Until then other tasks may backfill it if they end before
//! that start.

use super::cluster::{Cluster, Node, Occupant, Reservation};
use super::draft::Draft;
use super::place::{self, PendingStep};
use super::{Planner, Round};
use crate::demand::Demand;
use std::collections::BTreeMap;
use std::time::Duration;

impl Planner {
    /// Reserves capacity for the waiting tasks of a step. Returns whether a start time could be
    /// predicted.
    pub(super) fn reserve(&self, round: &mut Round, pending: &PendingStep) -> bool {
        let Round {
            now,
            draft,
            cluster,
            ..
        } = round;
        let now = *now;
        let best = place::candidate_groups(pending, cluster)
            .into_iter()
            .filter_map(|nodes| self.earliest_start(now, draft, cluster, pending, &nodes))
            .min_by_key(|(start, _)| *start);
        let Some((start, tasks_by_node)) = best else {
            return false;
        };
        for (node_index, tasks) in tasks_by_node {
            let node = &mut cluster.nodes[node_index];
            let free = node.free_after(|occupant| self.time_left(now, draft, occupant) <= start);
            let spare = if pending.is_isolated() {
                Demand::default()
            } else {
                free.saturating_sub(&pending.step.demand.saturating_mul(tasks))
            };
            node.reservation = Some(Reservation { start, spare });
        }
        true
    }

    /// Returns when all waiting tasks could start within a group of nodes, and how many of them on
    /// each node.
    fn earliest_start(
        &self,
        now: Duration,
        draft: &Draft,
        cluster: &Cluster,
        pending: &PendingStep,
        nodes: &[usize],
    ) -> Option<(Duration, BTreeMap<usize, u64>)> {
        let mut start_times: Vec<(Duration, usize)> = Vec::new();
        for &node_index in nodes {
            let node = &cluster.nodes[node_index];
            if !pending.allows(node) || node.reservation.is_some() {
                continue;
            }
            let wait_times = self.wait_times(now, draft, node, pending);
            start_times.extend(wait_times.into_iter().map(|wait| (wait, node_index)));
        }
        start_times.sort_unstable();
        let needed = pending.waiting.len();
        let (start, _) = *start_times.get(needed.checked_sub(1)?)?;
        let node_indices = start_times
            .into_iter()
            .take(needed)
            .map(|(_, node_index)| node_index);
        Some((start, place::count_by_node(node_indices)))
    }

    /// Returns the times until a node has capacity for one, two and more tasks of a step.
    pub(super) fn wait_times(
        &self,
        now: Duration,
        draft: &Draft,
        node: &Node,
        pending: &PendingStep,
    ) -> Vec<Duration> {
        let time_left = |occupant: &Occupant| self.time_left(now, draft, occupant);
        let mut ends: Vec<(Duration, Demand)> = node
            .occupants
            .iter()
            .map(|occupant| (time_left(occupant), occupant.demand))
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        let mut wait_times = Vec::new();
        let mut free = node.free;
        let mut push_wait_times = |free: &Demand, wait: Duration| {
            if !pending.joins_after(node, |occupant| time_left(occupant) <= wait) {
                return;
            }
            let copies = pending
                .copies(node, &node.available(free))
                .min(pending.waiting.len() as u64);
            while (wait_times.len() as u64) < copies {
                wait_times.push(wait);
            }
        };
        push_wait_times(&free, Duration::ZERO);
        for (end, demand) in ends {
            free = free.saturating_add(&demand);
            push_wait_times(&free, end);
        }
        wait_times
    }
}
