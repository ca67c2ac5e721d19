//! Fair shares: which of several workspaces' jobs of one priority comes first while capacity is short.
//!
//! By slack alone, a burst of one workspace's jobs takes all capacity, and the few jobs of the others wait behind it until
//! they are late. While jobs of at least two workspaces of a priority wait, those of the workspace that has used the least
//! come first, among the jobs that can still be on time but not wait much longer. A late result is worth little, so a job
//! that is late anyway does not displace one that is not, and neither does one that can wait. Use is about equal within half
//! an equal share, and then the least slack decides.
//!
//! Use counts by priority, as work of lower priority displaces nothing. At priority 0 only use beyond the guarantee counts.

use super::cluster::Cluster;
use super::draft::Draft;
use super::order::Urgency;
use super::place::ready_steps;
use super::{Planner, Round};
use crate::demand::{CORES_PER_ACCELERATOR, Demand};
use crate::id::{Pool, Workspace};
use crate::job::Job;
use crate::policy::Policy;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time after which past use counts half: a few lengths of an urgent job.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of accounts. Those with the least use are dropped; they count as unused.
const MAX_ACCOUNTS: usize = 1_000;
/// Use below which an account without active runs is dropped. Unit: cores.
const NEGLIGIBLE_CORES: f64 = 0.01;
/// Slack up to which waiting puts a job at risk: about the time that a stop and a start take. Ranking jobs with more slack
/// too made more of them late, as those with less slack then waited. Unit: milliseconds.
const AT_RISK_SLACK: i64 = 1_000;
/// Part of an equal share within which use counts as equal. Rounded to multiples, so that equal use is not at the limit.
const EQUAL_WITHIN: f64 = 0.5;
/// Change of a share that is reported to operators.
const REPORTED_CHANGE: f64 = 0.005;

/// Jobs of one priority in one pool, which compete for the same capacity.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Tier {
    pool: Pool,
    priority: u8,
}

/// Whose use is counted together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Account {
    tier: Tier,
    /// `None` for jobs without a workspace, which share one account.
    workspace: Option<Workspace>,
}

/// Workspaces whose jobs compete in each tier.
type Competitors = HashMap<Tier, HashSet<Option<Workspace>>>;

/// Use of a tier in a round, computed once for all jobs that compete there.
struct TierUse {
    capacity: Demand,
    /// Summed shares of all workspaces.
    total: f64,
    /// Workspaces that compete or have used something.
    workspaces: HashSet<Option<Workspace>>,
}

/// Average use, decayed by [`HALF_LIFE`].
#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    accelerators: f64,
    /// Unit: thousandths of a core.
    cpu: f64,
    /// Share that was last reported.
    reported: f64,
}

/// Position by past use; the smallest comes first. The number of half equal shares that the workspace has used.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UseRank(u8);

impl UseRank {
    /// Position of jobs that can wait, behind all that are at risk.
    const CAN_WAIT: Self = Self(u8::MAX);
}

/// Share of a pool's capacity that a workspace's jobs of one priority have used recently, without what its guarantee
/// covers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceShare {
    /// Pool concerned.
    pub pool: Pool,
    /// Priority of the jobs.
    pub priority: u8,
    /// Workspace concerned; `None` for jobs without one.
    pub workspace: Option<Workspace>,
    /// Decayed average of the dominant share, 0 to 1; 0 once it is no longer tracked.
    pub share: f64,
}

/// Past use by workspace, and where capacity is short.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// At most [`MAX_ACCOUNTS`].
    accounts: HashMap<Account, Usage>,
    recorded_at: Option<Duration>,
    /// Tiers in which jobs were left waiting by the last round.
    short: HashSet<Tier>,
    /// The same for the round in progress.
    waiting: HashSet<Tier>,
}

impl Tier {
    fn of(job: &Job) -> Self {
        Self {
            pool: job.queue.pool.clone(),
            priority: job.queue.priority,
        }
    }

    fn capacity(&self, cluster: &Cluster) -> Demand {
        let nodes = cluster.nodes.iter();
        let nodes = nodes.filter(|node| node.pool == self.pool);
        Demand::sum(nodes.map(|node| &node.full_capacity))
    }
}

impl Account {
    fn of(job: &Job) -> Self {
        Self {
            tier: Tier::of(job),
            workspace: job.workspace.clone(),
        }
    }
}

impl Usage {
    #[allow(clippy::cast_precision_loss)] // Capacities are far below the precision of a double.
    fn of(demand: &Demand) -> Self {
        Self {
            accelerators: demand.accelerators as f64,
            cpu: demand.cpu as f64,
            reported: 0.0,
        }
    }

    fn blend(&mut self, current: &Self, weight: f64) {
        self.accelerators += (current.accelerators - self.accelerators) * weight;
        self.cpu += (current.cpu - self.cpu) * weight;
    }

    /// Returns the dominant share of a capacity.
    fn share_of(&self, capacity: &Demand) -> f64 {
        let capacity = Self::of(capacity);
        let share = |used: f64, total: f64| if total > 0.0 { used / total } else { 0.0 };
        share(self.accelerators, capacity.accelerators).max(share(self.cpu, capacity.cpu))
    }

    #[allow(clippy::cast_precision_loss)] // The constant is small.
    fn cores(&self) -> f64 {
        self.cpu / 1_000.0 + self.accelerators * CORES_PER_ACCELERATOR as f64
    }
}

impl TierUse {
    /// Returns the position of a workspace by its own use.
    fn rank(&self, usage: &Usage) -> UseRank {
        let count = u32::try_from(self.workspaces.len()).unwrap_or(u32::MAX);
        let equal = self.total / f64::from(count);
        if equal <= 0.0 {
            return UseRank::default();
        }
        let steps = (usage.share_of(&self.capacity) / (equal * EQUAL_WITHIN))
            .round()
            .clamp(0.0, f64::from(u8::MAX - 1));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped just before.
        UseRank(steps as u8)
    }
}

impl Shares {
    /// Records what runs now. A new decider takes the use that the ledger shows for that of the past.
    pub fn record(&mut self, now: Duration, draft: &Draft, policy: &Policy) {
        let elapsed = self
            .recorded_at
            .map(|recorded| now.saturating_sub(recorded));
        let weight = elapsed.map_or(1.0, |elapsed| {
            1.0 - 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
        });
        self.recorded_at = Some(now);
        self.short = std::mem::take(&mut self.waiting);
        let mut current = current_use(draft, policy);
        for (account, usage) in &mut self.accounts {
            usage.blend(&current.remove(account).unwrap_or_default(), weight);
        }
        for (account, used) in current {
            self.accounts
                .entry(account)
                .or_default()
                .blend(&used, weight);
        }
    }

    /// Records that a job was left waiting for capacity that some worker has.
    pub fn note_waiting(&mut self, job: &Job) {
        self.waiting.insert(Tier::of(job));
    }

    /// Returns the use of each tier in which workspaces compete.
    fn tier_use(&self, cluster: &Cluster, competitors: Competitors) -> HashMap<Tier, TierUse> {
        let mut uses: HashMap<Tier, TierUse> = competitors
            .into_iter()
            .map(|(tier, workspaces)| {
                let tier_use = TierUse {
                    capacity: tier.capacity(cluster),
                    total: 0.0,
                    workspaces,
                };
                (tier, tier_use)
            })
            .collect();
        for (account, usage) in &self.accounts {
            if let Some(tier_use) = uses.get_mut(&account.tier) {
                tier_use.total += usage.share_of(&tier_use.capacity);
                tier_use.workspaces.insert(account.workspace.clone());
            }
        }
        uses
    }

    /// Returns the shares that have changed since they were last returned, and drops accounts beyond the bound and those
    /// without use.
    fn take_changes(&mut self, cluster: &Cluster) -> Vec<WorkspaceShare> {
        let mut capacities: HashMap<Tier, Demand> = HashMap::new();
        let mut changes = Vec::new();
        let threshold = self.least_tracked_use();
        self.accounts.retain(|account, usage| {
            let kept = usage.cores() >= threshold;
            let capacity = capacities
                .entry(account.tier.clone())
                .or_insert_with(|| account.tier.capacity(cluster));
            let share = if kept { usage.share_of(capacity) } else { 0.0 };
            let dropped = !kept && usage.reported > 0.0;
            if dropped || (share - usage.reported).abs() >= REPORTED_CHANGE {
                usage.reported = share;
                changes.push(WorkspaceShare {
                    pool: account.tier.pool.clone(),
                    priority: account.tier.priority,
                    workspace: account.workspace.clone(),
                    share,
                });
            }
            kept
        });
        changes
    }

    /// Returns the use from which accounts are kept.
    fn least_tracked_use(&self) -> f64 {
        if self.accounts.len() <= MAX_ACCOUNTS {
            return NEGLIGIBLE_CORES;
        }
        let mut cores: Vec<f64> = self.accounts.values().map(Usage::cores).collect();
        cores.sort_unstable_by(|a, b| b.total_cmp(a));
        // Accounts with exactly the use of the first one beyond the bound are dropped with it.
        cores[MAX_ACCOUNTS].next_up().max(NEGLIGIBLE_CORES)
    }
}

/// Returns what runs now beyond guarantees, by account.
fn current_use(draft: &Draft, policy: &Policy) -> HashMap<Account, Usage> {
    let mut used: HashMap<Account, Demand> = HashMap::new();
    for (_, job_state, progress) in draft.open() {
        let steps = &job_state.job.steps;
        let placed = progress.placed();
        let demand = Demand::sum(placed.map(|(step, ..)| &steps[usize::from(step)].demand));
        if demand != Demand::default() {
            let total = used.entry(Account::of(&job_state.job)).or_default();
            *total = total.saturating_add(&demand);
        }
    }
    used.into_iter()
        .map(|(account, demand)| {
            let mut usage = Usage::of(&demand);
            let beyond = share_beyond_guarantee(&account, &demand, policy);
            usage.accelerators *= beyond;
            usage.cpu *= beyond;
            (account, usage)
        })
        .collect()
}

/// Returns the part of an account's use that its workspace's guarantee does not cover.
fn share_beyond_guarantee(account: &Account, used: &Demand, policy: &Policy) -> f64 {
    let guaranteed = match &account.workspace {
        Some(workspace) if account.tier.priority == 0 => policy.guaranteed(workspace),
        _ => 0,
    };
    if guaranteed == 0 || used.accelerators == 0 {
        return 1.0;
    }
    let beyond = used.accelerators.saturating_sub(guaranteed);
    #[allow(clippy::cast_precision_loss)] // Capacities are far below the precision of a double.
    let share = beyond as f64 / used.accelerators as f64;
    share
}

impl Planner {
    /// Records the use of all workspaces and ranks the jobs in the queue that compete for scarce capacity.
    pub(super) fn rank_by_use(&mut self, round: &mut Round, queue: &mut [Urgency]) {
        self.shares.record(round.now, round.draft, round.policy);
        if !self.shares.short.is_empty() {
            self.rank_competitors(round, queue);
        }
        let changes = self.shares.take_changes(round.cluster);
        round.plan.shares.extend(changes);
    }

    fn rank_competitors(&self, round: &Round, queue: &mut [Urgency]) {
        let ledger = round.draft.ledger();
        let mut competitors = Competitors::new();
        let mut competing = Vec::new();
        for urgency in queue.iter_mut().filter(|urgency| !urgency.late) {
            let Some(job_state) = ledger.job(urgency.job) else {
                continue;
            };
            let account = Account::of(&job_state.job);
            let progress = round.draft.progress(urgency.job, job_state);
            if self.shares.short.contains(&account.tier)
                && !ready_steps(job_state, progress).is_empty()
            {
                let workspaces = competitors.entry(account.tier.clone()).or_default();
                workspaces.insert(account.workspace.clone());
                competing.push((urgency, account));
            }
        }
        competitors.retain(|_, workspaces| workspaces.len() > 1);
        let uses = self.shares.tier_use(round.cluster, competitors);
        for (urgency, account) in competing {
            let Some(tier_use) = uses.get(&account.tier) else {
                continue;
            };
            urgency.use_rank = if urgency.slack > AT_RISK_SLACK {
                UseRank::CAN_WAIT
            } else {
                let usage = self.shares.accounts.get(&account);
                tier_use.rank(&usage.copied().unwrap_or_default())
            };
        }
    }
}
