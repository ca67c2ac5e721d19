//! Amounts of accelerators by worker, searchable by form.

use crate::id::Accelerators;
use crate::resource::{Adjacency, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Number of a worker in its fleet.
pub type Slot = u32;

/// Candidates of equal amount that are compared by how full their racks are.
const COMPARED: usize = 16;

/// Where a worker is, as numbers of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// The worker.
    pub slot: Slot,
    /// Its rack, numbered across failure domains.
    pub rack: u32,
    /// Its failure domain.
    pub domain: u32,
}

/// Tasks of a gang on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spot {
    /// The worker.
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
    /// Workers by amount, then rack, so that neighbours are found together.
    by_amount: BTreeMap<Accelerators, BTreeSet<(u32, Slot)>>,
    /// Racks by their total.
    by_total: BTreeSet<(Accelerators, u32)>,
}

/// Amounts by worker. Workers with an amount of 0 take no space.
#[derive(Debug, Clone, Default)]
pub struct Index {
    amounts: BTreeMap<Slot, (Seat, Accelerators)>,
    racks: BTreeMap<u32, Rack>,
    domains: BTreeMap<u32, Domain>,
}

impl Index {
    /// Sets the amount of a worker.
    pub fn set(&mut self, seat: Seat, amount: Accelerators) {
        let known = self.amounts.get(&seat.slot).copied();
        if let Some((old, _)) = known.filter(|(old, _)| *old != seat) {
            self.set(old, 0);
        }
        let before = self.get(seat.slot);
        if before == amount {
            return;
        }
        let rack = self.racks.entry(seat.rack).or_default();
        let domain = self.domains.entry(seat.domain).or_default();
        domain.by_total.remove(&(rack.total, seat.rack));
        if before > 0
            && let Some(equals) = domain.by_amount.get_mut(&before)
        {
            equals.remove(&(seat.rack, seat.slot));
            if equals.is_empty() {
                domain.by_amount.remove(&before);
            }
        }
        rack.total = rack.total + amount - before;
        domain.total = domain.total + u64::from(amount) - u64::from(before);
        if amount > 0 {
            let equals = domain.by_amount.entry(amount).or_default();
            equals.insert((seat.rack, seat.slot));
            rack.workers.insert(seat.slot, amount);
            self.amounts.insert(seat.slot, (seat, amount));
        } else {
            rack.workers.remove(&seat.slot);
            self.amounts.remove(&seat.slot);
        }
        if rack.total > 0 {
            domain.by_total.insert((rack.total, seat.rack));
        }
    }

    /// Returns the amount of a worker.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Accelerators {
        self.amounts.get(&slot).map_or(0, |(_, amount)| *amount)
    }

    /// Changes the amount of a worker that has one.
    pub fn reduce(&mut self, slot: Slot, amount: Accelerators) {
        if let Some((seat, _)) = self.amounts.get(&slot).copied() {
            self.set(seat, amount);
        }
    }

    /// Returns the amounts that are not 0, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Seat, Accelerators)> {
        self.amounts.values().copied()
    }

    /// Returns the number of workers with an amount.
    #[must_use]
    pub fn len(&self) -> usize {
        self.amounts.len()
    }

    /// Reports whether all amounts are 0.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.amounts.is_empty()
    }

    /// Returns the sum over a failure domain.
    #[must_use]
    pub fn total(&self, domain: u32) -> u64 {
        self.domains.get(&domain).map_or(0, |domain| domain.total)
    }

    /// Returns the greatest amount on one worker and in one rack of a failure domain.
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

    /// Finds a place for a shape: the tightest worker, rack or failure domain that holds it, so
    /// that larger ones stay whole. Skips failure domains that `usable` refuses and workers in
    /// `avoid`.
    #[must_use]
    pub fn place(
        &self,
        shape: Shape,
        usable: &dyn Fn(u32) -> bool,
        avoid: &[Slot],
    ) -> Option<Vec<Spot>> {
        let need = shape.accelerators();
        let domains = || {
            let fits = self.domains.iter();
            fits.filter(move |(id, domain)| domain.total > 0 && usable(**id))
        };
        match shape.adjacency {
            Adjacency::Worker => domains()
                .filter_map(|(_, domain)| self.tightest(domain, need, avoid))
                .min()
                .map(|(_, _, slot)| {
                    let tasks = shape.tasks;
                    vec![Spot { slot, tasks }]
                }),
            Adjacency::Rack => domains()
                .filter_map(|(_, domain)| self.rack(domain, shape, avoid))
                .min_by_key(|(total, _)| *total)
                .and_then(|(_, rack)| fill(&[&by_amount(&rack.workers)], shape, avoid)),
            Adjacency::Domain => within_domain(domains(), shape, avoid),
            Adjacency::Any => within_domain(domains(), shape, avoid).or_else(|| {
                let total: u64 = domains().map(|(_, domain)| domain.total).sum();
                if total < u64::from(need) {
                    return None;
                }
                let mut all: Vec<_> = domains().map(|(_, domain)| &domain.by_amount).collect();
                all.sort_by_key(|amounts| std::cmp::Reverse(room(amounts, shape.accelerators)));
                fill(&all, shape, avoid)
            }),
        }
    }

    fn tightest(
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
                let ranked = usable.take(COMPARED).map(|(rack, slot)| {
                    let total = self.racks.get(rack).map_or(0, |rack| rack.total);
                    (*amount, total, *slot)
                });
                ranked.min()
            })
    }

    fn rack(&self, domain: &Domain, shape: Shape, avoid: &[Slot]) -> Option<(Accelerators, &Rack)> {
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

fn room(amounts: &Amounts, accelerators: Accelerators) -> u64 {
    let tasks = amounts.iter().map(|(amount, workers)| {
        u64::from(amount / accelerators) * u64::try_from(workers.len()).unwrap_or(0)
    });
    tasks.sum()
}

fn within_domain<'a>(
    domains: impl Iterator<Item = (&'a u32, &'a Domain)>,
    shape: Shape,
    avoid: &[Slot],
) -> Option<Vec<Spot>> {
    let mut fitting: Vec<_> = domains
        .map(|(_, domain)| (room(&domain.by_amount, shape.accelerators), domain))
        .filter(|(room, _)| *room >= u64::from(shape.tasks))
        .collect();
    fitting.sort_by_key(|(room, _)| *room);
    let mut tried = fitting.into_iter();
    tried.find_map(|(_, domain)| fill(&[&domain.by_amount], shape, avoid))
}

/// Takes the fullest workers first, and for the rest the tightest worker that holds it.
fn fill(sources: &[&Amounts], shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
    let each = shape.accelerators;
    let mut left = shape.tasks;
    let mut spots: Vec<Spot> = Vec::new();
    for amounts in sources {
        let large = amounts
            .iter()
            .rev()
            .take_while(|(amount, _)| **amount >= each);
        for (amount, workers) in large {
            for (_, slot) in workers.iter().filter(|(_, slot)| !avoid.contains(slot)) {
                let slot = *slot;
                if amount / each >= left {
                    let last = tightest_left(amounts, left * each, *amount, avoid).unwrap_or(slot);
                    spots.push(Spot {
                        slot: last,
                        tasks: left,
                    });
                    return Some(spots);
                }
                let tasks = amount / each;
                left -= tasks;
                spots.push(Spot { slot, tasks });
            }
        }
    }
    None
}

fn tightest_left(
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
