//! Feasibility of guarantees: whether a set of guarantees fits a set of workers, and which ones are
//! suspended if it doesn't.
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
//! let shortfalls = guarantee::find_shortfalls([&worker], [(&"council".into(), &workspace)]);
//! assert_eq!(shortfalls[0].needed, 12);
//! assert_eq!(shortfalls[0].available, 6);
//! ```

use crate::fleet::{Index, Location, PlacedPart, Slot};
use crate::id::{Accelerators, WorkspaceId};
use crate::planner::Worker;
use crate::resource::{Job, Shape, Workspace};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Shortfall of a workspace whose guarantees don't all fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// Workspace with the guarantees.
    pub workspace: WorkspaceId,
    /// Accelerators that all its guarantees need.
    pub needed: Accelerators,
    /// Accelerators of the guaranteed shapes that fit.
    pub available: Accelerators,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the guarantee of {} needs {} accelerators in its shapes, {} can be kept",
            self.workspace, self.needed, self.available
        )
    }
}

/// One guaranteed shape to place.
#[derive(Debug, Clone)]
pub(crate) struct GuaranteedShape {
    pub rank: u32,
    pub workspace: WorkspaceId,
    /// Index among the guaranteed shapes of the workspace.
    pub number: usize,
    pub shape: Shape,
}

/// Checks whether the guarantees of all workspaces fit the workers of the failure domains in
/// service. Returns the shortfalls in the order of suspension; empty if all guarantees fit.
#[must_use]
pub fn find_shortfalls<'a>(
    workers: impl IntoIterator<Item = &'a Worker>,
    workspaces: impl IntoIterator<Item = (&'a WorkspaceId, &'a Workspace)>,
) -> Vec<Shortfall> {
    let mut index = index(workers);
    let mut shapes = Vec::new();
    for (id, workspace) in workspaces {
        shapes.extend(expand(id, workspace));
    }
    let placements = pack(&mut index, &shapes, &|_| true);
    let mut sums: BTreeMap<(u32, WorkspaceId), (Accelerators, Accelerators)> = BTreeMap::new();
    for (guaranteed, placement) in shapes.iter().zip(placements) {
        let sum = sums
            .entry((guaranteed.rank, guaranteed.workspace.clone()))
            .or_default();
        sum.0 = sum.0.saturating_add(guaranteed.shape.accelerators());
        if placement.is_some() {
            sum.1 = sum.1.saturating_add(guaranteed.shape.accelerators());
        }
    }
    let shortfalls = sums.into_iter().rev().filter(|(_, sum)| sum.0 > sum.1);
    let listed = shortfalls.map(|((_, workspace), (needed, available))| Shortfall {
        workspace,
        needed,
        available,
    });
    listed.collect()
}

/// Expands the guarantees of a workspace into single shapes.
pub(crate) fn expand(id: &WorkspaceId, workspace: &Workspace) -> Vec<GuaranteedShape> {
    let shapes = workspace.guarantees.iter();
    let shapes = shapes.flat_map(|entry| (0..entry.count).map(|_| entry.shape));
    let numbered = shapes.enumerate().map(|(number, shape)| GuaranteedShape {
        rank: workspace.rank,
        workspace: id.clone(),
        number,
        shape,
    });
    numbered.collect()
}

/// Finds a placement for each shape and returns them in the order of `shapes`. Packs the shapes
/// with the tightest adjacency and largest size first, which wastes the least capacity. If not all
/// fit, packs the shapes by rank, then workspace name.
pub(crate) fn pack(
    index: &mut Index,
    shapes: &[GuaranteedShape],
    usable: &dyn Fn(u32) -> bool,
) -> Vec<Option<Vec<PlacedPart>>> {
    let packing_order = |position: &usize| {
        let shape = shapes[*position].shape;
        let size = std::cmp::Reverse(shape.accelerators());
        (shape.adjacency, size, std::cmp::Reverse(shape.accelerators))
    };
    let rank_order =
        |position: &usize| (shapes[*position].rank, shapes[*position].workspace.clone());
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(packing_order);
    let placements = pack_in_order(&mut index.clone(), shapes, &order, usable);
    if placements.iter().all(Option::is_some) {
        return placements;
    }
    // The sort is stable, so the tightest shapes stay first within a workspace.
    order.sort_by_key(rank_order);
    pack_in_order(index, shapes, &order, usable)
}

fn pack_in_order(
    index: &mut Index,
    shapes: &[GuaranteedShape],
    order: &[usize],
    usable: &dyn Fn(u32) -> bool,
) -> Vec<Option<Vec<PlacedPart>>> {
    let mut placements = vec![None; shapes.len()];
    let mut unplaceable: Vec<Shape> = Vec::new();
    for position in order {
        let shape = shapes[*position].shape;
        // Free capacity only shrinks here, so a shape that didn't fit once never fits later.
        if unplaceable.contains(&shape) {
            continue;
        }
        let Some(placed_parts) = index.place(shape, usable, &[]) else {
            unplaceable.push(shape);
            continue;
        };
        for part in &placed_parts {
            let remaining = index.get(part.slot) - part.tasks * shape.accelerators;
            index.reduce(part.slot, remaining);
        }
        placements[*position] = Some(placed_parts);
    }
    placements
}

/// Returns whether a job can run on the accelerators assigned to a guaranteed shape.
pub(crate) fn covers(shape: &Shape, job: &Job) -> bool {
    let per_worker = match shape.adjacency {
        crate::resource::Adjacency::Worker => shape.accelerators(),
        _ => shape.accelerators,
    };
    let total = job.shape.accelerators();
    job.shape.accelerators <= per_worker
        && (job.shape.adjacency >= shape.adjacency || total <= per_worker)
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
        index.set(Location { slot, rack, domain }, worker.accelerators);
    }
    index
}
