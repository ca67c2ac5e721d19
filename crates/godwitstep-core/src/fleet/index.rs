//! Amounts of accelerators by worker, with a search for workers that fit a shape.

use crate::id::Accelerators;
use crate::resource::{Adjacency, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Number of a worker in its fleet, in the order in which workers became known.
pub type Slot = u32;

/// Maximum number of workers with equal amounts that are compared by the total amounts of their
/// racks.
const MAX_COMPARED_WORKERS: usize = 16;

/// Location of a worker, by the numbers that the fleet gave to it, its rack and its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Number of the worker.
    pub slot: Slot,
    /// Number of its rack, unique across failure domains.
    pub rack: u32,
    /// Number of its failure domain.
    pub domain: u32,
}

/// Part of a gang or of a guaranteed shape: its tasks that are placed on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedPart {
    /// Number of the worker.
    pub slot: Slot,
    /// Number of tasks there.
    pub tasks: u32,
}

#[derive(Debug, Clone, Default)]
struct Rack {
    total: Accelerators,
    workers: BTreeMap<Slot, Accelerators>,
}

#[derive(Debug, Clone, Default)]
struct Domain {
    total: u64,
    /// Workers by amount, then by rack, so that workers of one rack are found together.
    by_amount: BTreeMap<Accelerators, BTreeSet<(u32, Slot)>>,
    /// Racks by their total amount.
    by_total: BTreeSet<(Accelerators, u32)>,
}

/// Amounts of accelerators by worker. Workers with an amount of 0 are not stored.
#[derive(Debug, Clone, Default)]
pub struct Index {
    amounts: BTreeMap<Slot, (Location, Accelerators)>,
    racks: BTreeMap<u32, Rack>,
    domains: BTreeMap<u32, Domain>,
}

impl Index {
    /// Sets the amount of a worker and moves it if its location has changed.
    pub fn set(&mut self, location: Location, amount: Accelerators) {
        let known = self.amounts.get(&location.slot).copied();
        if let Some((old, _)) = known.filter(|(old, _)| *old != location) {
            self.set(old, 0);
        }
        let before = self.get(location.slot);
        if before == amount {
            return;
        }
        let rack = self.racks.entry(location.rack).or_default();
        let domain = self.domains.entry(location.domain).or_default();
        domain.by_total.remove(&(rack.total, location.rack));
        if before > 0
            && let Some(workers) = domain.by_amount.get_mut(&before)
        {
            workers.remove(&(location.rack, location.slot));
            if workers.is_empty() {
                domain.by_amount.remove(&before);
            }
        }
        rack.total = rack.total + amount - before;
        domain.total = domain.total + u64::from(amount) - u64::from(before);
        if amount > 0 {
            let workers = domain.by_amount.entry(amount).or_default();
            workers.insert((location.rack, location.slot));
            rack.workers.insert(location.slot, amount);
            self.amounts.insert(location.slot, (location, amount));
        } else {
            rack.workers.remove(&location.slot);
            self.amounts.remove(&location.slot);
        }
        if rack.total > 0 {
            domain.by_total.insert((rack.total, location.rack));
        }
    }

    /// Returns the amount of a worker, 0 if it is not stored.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Accelerators {
        self.amounts.get(&slot).map_or(0, |(_, amount)| *amount)
    }

    /// Changes the amount of a worker that is stored; does nothing for any other worker.
    pub fn reduce(&mut self, slot: Slot, amount: Accelerators) {
        if let Some((location, _)) = self.amounts.get(&slot).copied() {
            self.set(location, amount);
        }
    }

    /// Returns the amounts that are not 0, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Location, Accelerators)> {
        self.amounts.values().copied()
    }

    /// Returns the number of workers whose amount is not 0.
    #[must_use]
    pub fn len(&self) -> usize {
        self.amounts.len()
    }

    /// Reports whether all amounts are 0.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.amounts.is_empty()
    }

    /// Returns the sum of the amounts in a failure domain.
    #[must_use]
    pub fn total(&self, domain: u32) -> u64 {
        self.domains.get(&domain).map_or(0, |domain| domain.total)
    }

    /// Returns the greatest amount on one worker, and in one rack, of a failure domain.
    #[must_use]
    pub fn largest(&self, domain: u32) -> (Accelerators, Accelerators) {
        let Some(domain) = self.domains.get(&domain) else {
            return (0, 0);
        };
        let worker = domain
            .by_amount
            .last_key_value()
            .map_or(0, |(amount, _)| *amount);
        let rack = domain.by_total.last().map_or(0, |(total, _)| *total);
        (worker, rack)
    }

    /// Finds workers for a shape by best fit: the worker, rack or failure domain with the least
    /// amount that fits it, so that larger amounts stay available for larger shapes. Skips failure
    /// domains for which `usable` returns `false`, and workers in `avoid`.
    #[must_use]
    pub fn place(
        &self,
        shape: Shape,
        usable: &dyn Fn(u32) -> bool,
        avoid: &[Slot],
    ) -> Option<Vec<PlacedPart>> {
        let need = shape.accelerators();
        let domains = || {
            let all = self.domains.iter();
            all.filter(move |(id, domain)| domain.total > 0 && usable(**id))
        };
        match shape.adjacency {
            Adjacency::Worker => domains()
                .filter_map(|(_, domain)| self.tightest_worker(domain, need, avoid))
                .min()
                .map(|(_, _, slot)| {
                    let tasks = shape.tasks;
                    vec![PlacedPart { slot, tasks }]
                }),
            Adjacency::Rack => domains()
                .filter_map(|(_, domain)| self.tightest_rack(domain, shape, avoid))
                .min_by_key(|(total, _)| *total)
                .and_then(|(_, rack)| fill(&[&by_amount(&rack.workers)], shape, avoid)),
            Adjacency::Domain => within_domain(domains(), shape, avoid),
            Adjacency::Any => within_domain(domains(), shape, avoid).or_else(|| {
                let total: u64 = domains().map(|(_, domain)| domain.total).sum();
                if total < u64::from(need) {
                    return None;
                }
                let mut all: Vec<_> = domains().map(|(_, domain)| &domain.by_amount).collect();
                all.sort_by_key(|amounts| {
                    std::cmp::Reverse(task_capacity(amounts, shape.accelerators))
                });
                fill(&all, shape, avoid)
            }),
        }
    }

    fn tightest_worker(
        &self,
        domain: &Domain,
        need: Accelerators,
        avoid: &[Slot],
    ) -> Option<(Accelerators, Accelerators, Slot)> {
        domain
            .by_amount
            .range(need..)
            .find_map(|(amount, workers)| {
                let usable = workers.iter().filter(|(_, slot)| !avoid.contains(slot));
                let ranked = usable.take(MAX_COMPARED_WORKERS).map(|(rack, slot)| {
                    let total = self.racks.get(rack).map_or(0, |rack| rack.total);
                    (*amount, total, *slot)
                });
                ranked.min()
            })
    }

    fn tightest_rack(
        &self,
        domain: &Domain,
        shape: Shape,
        avoid: &[Slot],
    ) -> Option<(Accelerators, &Rack)> {
        let from = (shape.accelerators(), 0);
        domain.by_total.range(from..).find_map(|(total, id)| {
            let rack = self.racks.get(id)?;
            let usable = rack
                .workers
                .iter()
                .filter(|(slot, _)| !avoid.contains(slot));
            let tasks: u32 = usable.map(|(_, amount)| amount / shape.accelerators).sum();
            (tasks >= shape.tasks).then_some((*total, rack))
        })
    }
}

type Amounts = BTreeMap<Accelerators, BTreeSet<(u32, Slot)>>;

fn by_amount(workers: &BTreeMap<Slot, Accelerators>) -> Amounts {
    let mut amounts = Amounts::new();
    for (slot, amount) in workers {
        amounts.entry(*amount).or_default().insert((0, *slot));
    }
    amounts
}

fn task_capacity(amounts: &Amounts, accelerators: Accelerators) -> u64 {
    let tasks = amounts.iter().map(|(amount, workers)| {
        u64::from(amount / accelerators) * u64::try_from(workers.len()).unwrap_or(0)
    });
    tasks.sum()
}

fn within_domain<'a>(
    domains: impl Iterator<Item = (&'a u32, &'a Domain)>,
    shape: Shape,
    avoid: &[Slot],
) -> Option<Vec<PlacedPart>> {
    let mut fitting: Vec<_> = domains
        .map(|(_, domain)| (task_capacity(&domain.by_amount, shape.accelerators), domain))
        .filter(|(tasks, _)| *tasks >= u64::from(shape.tasks))
        .collect();
    fitting.sort_by_key(|(tasks, _)| *tasks);
    let mut candidates = fitting.into_iter();
    candidates.find_map(|(_, domain)| fill(&[&domain.by_amount], shape, avoid))
}

/// Fills the workers with the greatest amounts first, and places the remaining tasks on the worker
/// with the least amount that fits them.
fn fill(sources: &[&Amounts], shape: Shape, avoid: &[Slot]) -> Option<Vec<PlacedPart>> {
    let each = shape.accelerators;
    let mut remaining = shape.tasks;
    let mut placed_parts: Vec<PlacedPart> = Vec::new();
    for amounts in sources {
        let large = amounts
            .iter()
            .rev()
            .take_while(|(amount, _)| **amount >= each);
        for (amount, workers) in large {
            for (_, slot) in workers.iter().filter(|(_, slot)| !avoid.contains(slot)) {
                let slot = *slot;
                if amount / each >= remaining {
                    let last =
                        tightest_below(amounts, remaining * each, *amount, avoid).unwrap_or(slot);
                    placed_parts.push(PlacedPart {
                        slot: last,
                        tasks: remaining,
                    });
                    return Some(placed_parts);
                }
                let tasks = amount / each;
                remaining -= tasks;
                placed_parts.push(PlacedPart { slot, tasks });
            }
        }
    }
    None
}

fn tightest_below(
    amounts: &Amounts,
    need: Accelerators,
    below: Accelerators,
    avoid: &[Slot],
) -> Option<Slot> {
    amounts.range(need..below).find_map(|(_, workers)| {
        let mut usable = workers.iter().map(|(_, slot)| *slot);
        usable.find(|slot| !avoid.contains(slot))
    })
}
