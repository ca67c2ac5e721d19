//! Whether a set of guarantees fits a set of workers, and which give way if it does not.
//!
//! ```
//! use godwitstep_core::guarantee;
//! use godwitstep_core::planner::Worker;
//! use godwitstep_core::resource::{Guarantee, Shape, Workspace};
//!
//! let worker = Worker {
//!     id: "w1".into(),
//!     incarnation: 1,
//!     domain: "dk-vest-a".into(),
//!     rack: "r1".into(),
//!     accelerators: 8,
//! };
//! let mut workspace = Workspace::new(Vec::new());
//! workspace.guarantees = vec![Guarantee { shape: Shape::new(6, 1), count: 2 }];
//! let lacking = guarantee::check([&worker], [(&"council".into(), &workspace)]);
//! assert_eq!(lacking[0].needed, 12);
//! assert_eq!(lacking[0].available, 6);
//! ```

use crate::fleet::{Index, Seat, Slot, Spot};
use crate::id::{Accelerators, WorkspaceId};
use crate::planner::Worker;
use crate::resource::{Job, Shape, Workspace};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// A workspace whose guarantee does not fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lack {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Accelerators that its guarantee needs.
    pub needed: Accelerators,
    /// Accelerators of it that can be kept.
    pub available: Accelerators,
}

impl fmt::Display for Lack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the guarantee of {} needs {} accelerators in its shapes, {} can be kept",
            self.workspace, self.needed, self.available
        )
    }
}

/// One shape that is to be kept available.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub rank: u32,
    pub workspace: WorkspaceId,
    /// Place among the shapes of the workspace.
    pub number: usize,
    pub shape: Shape,
}

/// Checks whether the guarantees of all workspaces fit the workers of the failure domains in
/// service. Returns what does not fit, in the order in which it gives way; empty means all fits.
#[must_use]
pub fn check<'a>(
    workers: impl IntoIterator<Item = &'a Worker>,
    workspaces: impl IntoIterator<Item = (&'a WorkspaceId, &'a Workspace)>,
) -> Vec<Lack> {
    let mut index = index(workers);
    let mut claims = Vec::new();
    for (id, workspace) in workspaces {
        claims.extend(expand(id, workspace));
    }
    let places = pack(&mut index, &claims, &|_| true);
    let mut sums: BTreeMap<(u32, WorkspaceId), (Accelerators, Accelerators)> = BTreeMap::new();
    for (claim, place) in claims.iter().zip(places) {
        let sum = sums
            .entry((claim.rank, claim.workspace.clone()))
            .or_default();
        sum.0 = sum.0.saturating_add(claim.shape.accelerators());
        if place.is_some() {
            sum.1 = sum.1.saturating_add(claim.shape.accelerators());
        }
    }
    let lacking = sums.into_iter().rev().filter(|(_, sum)| sum.0 > sum.1);
    let listed = lacking.map(|((_, workspace), (needed, available))| Lack {
        workspace,
        needed,
        available,
    });
    listed.collect()
}

/// Lists the single shapes of a workspace's guarantees.
pub(crate) fn expand(id: &WorkspaceId, workspace: &Workspace) -> Vec<Claim> {
    let shapes = workspace.guarantees.iter();
    let shapes = shapes.flat_map(|entry| (0..entry.count).map(|_| entry.shape));
    let numbered = shapes.enumerate().map(|(number, shape)| Claim {
        rank: workspace.rank,
        workspace: id.clone(),
        number,
        shape,
    });
    numbered.collect()
}

/// Finds a place for each claim, in the order given. Tries the tightest and largest shapes first,
/// which wastes least; if not all fit that way, keeps claims in order of rank, then name.
pub(crate) fn pack(
    index: &mut Index,
    claims: &[Claim],
    usable: &dyn Fn(u32) -> bool,
) -> Vec<Option<Vec<Spot>>> {
    let tightness = |at: &usize| {
        let shape = claims[*at].shape;
        let size = std::cmp::Reverse(shape.accelerators());
        (shape.adjacency, size, std::cmp::Reverse(shape.accelerators))
    };
    let importance = |at: &usize| (claims[*at].rank, claims[*at].workspace.clone());
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(tightness);
    let places = pack_in_order(&mut index.clone(), claims, &order, usable);
    if places.iter().all(Option::is_some) {
        return places;
    }
    // A stable sort keeps the tightest shapes first within a workspace.
    order.sort_by_key(importance);
    pack_in_order(index, claims, &order, usable)
}

fn pack_in_order(
    index: &mut Index,
    claims: &[Claim],
    order: &[usize],
    usable: &dyn Fn(u32) -> bool,
) -> Vec<Option<Vec<Spot>>> {
    let mut places = vec![None; claims.len()];
    let mut refused: Vec<Shape> = Vec::new();
    for at in order {
        let shape = claims[*at].shape;
        // Room only shrinks here, so a shape that did not fit once does not fit again.
        if refused.contains(&shape) {
            continue;
        }
        let Some(spots) = index.place(shape, usable, &[]) else {
            refused.push(shape);
            continue;
        };
        for spot in &spots {
            let left = index.get(spot.slot) - spot.tasks * shape.accelerators;
            index.reduce(spot.slot, left);
        }
        places[*at] = Some(spots);
    }
    places
}

/// Reports whether a job can run in accelerators that were set aside for a shape.
pub(crate) fn covers(shape: &Shape, job: &Job) -> bool {
    let on_one = match shape.adjacency {
        crate::resource::Adjacency::Worker => shape.accelerators(),
        _ => shape.accelerators,
    };
    let whole = job.shape.accelerators();
    job.shape.accelerators <= on_one && (job.shape.adjacency >= shape.adjacency || whole <= on_one)
}

fn index<'a>(workers: impl IntoIterator<Item = &'a Worker>) -> Index {
    let mut index = Index::default();
    let mut racks = HashMap::new();
    let mut domains = HashMap::new();
    for (slot, worker) in (0 as Slot..).zip(workers) {
        let next = u32::try_from(domains.len()).unwrap_or(u32::MAX);
        let domain = *domains.entry(&worker.domain).or_insert(next);
        let next = u32::try_from(racks.len()).unwrap_or(u32::MAX);
        let rack = *racks.entry((domain, &worker.rack)).or_insert(next);
        index.set(Seat { slot, rack, domain }, worker.accelerators);
    }
    index
}
