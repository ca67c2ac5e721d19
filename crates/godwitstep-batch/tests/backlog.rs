//! Limit of the memory of accepted jobs.

use godwitstep_batch::backlog::{self, Limit, SMALL_JOB, Usage};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::policy::Queue;
use godwitstep_batch::progress::{Outcome, Progress};
use godwitstep_batch::record::Record;

const MEMORY: usize = 16 << 20;

fn job(id: u64, workspace: &str, tasks: u16) -> Job {
    Job {
        id,
        workspace: Some(workspace.into()),
        queue: Queue::default(),
        spec: "spec".into(),
        steps: vec![Step {
            tasks,
            ..Step::default()
        }],
        accepted: 0,
    }
}

/// Applies submissions of a workspace's jobs until one is refused. Returns how many were accepted.
fn fill(ledger: &mut Ledger, first: u64, workspace: &str, tasks: u16) -> u64 {
    let limit = Limit::new(MEMORY);
    let nobody = Usage::default();
    let mut accepted = 0;
    loop {
        let job = job(first + accepted, workspace, tasks);
        let bytes = backlog::charge(&job);
        if !limit.admits([ledger.usage(), &nobody], job.workspace.as_ref(), bytes) {
            return accepted;
        }
        accepted += 1;
        ledger.apply(first + accepted, Record::Submitted(job));
    }
}

/// Guards against jobs that together take more than the limit, and against a workspace that leaves nothing to those that
/// come after it.
#[test]
fn each_workspace_finds_room_beside_those_that_fill_theirs() {
    let mut ledger = Ledger::default();
    for (number, workspace) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        assert!(
            fill(&mut ledger, number << 32, workspace, 400) > 0,
            "{workspace}"
        );
        assert!(ledger.usage().total() <= MEMORY);
    }
}

/// Guards against large jobs that keep small ones of the same workspace out.
#[test]
fn large_jobs_leave_room_for_small_ones() {
    let mut ledger = Ledger::default();
    fill(&mut ledger, 1, "a", 4_000);
    assert!(backlog::charge(&job(0, "a", 40)) <= SMALL_JOB);
    assert!(fill(&mut ledger, 1 << 32, "a", 40) > 100);
    assert!(ledger.usage().total() <= MEMORY);
}

/// Guards against charges that remain after a job has ended or was dropped, which would keep callers out for good.
#[test]
fn charges_end_with_their_jobs() {
    let mut ledger = Ledger::default();
    ledger.apply(0, Record::Submitted(job(7, "a", 4_000)));
    // A repeated submission is the same job.
    ledger.apply(1, Record::Submitted(job(7, "a", 4_000)));
    let open = ledger.usage().total();
    assert_eq!(open, backlog::charge(&job(7, "a", 4_000)));
    let progress = Progress {
        outcome: Some(Outcome::Cancelled),
        ..Progress::default()
    };
    ledger.apply(2, Record::Progressed { job: 7, progress });
    assert!(ledger.usage().total() < open / 100);
    ledger.apply(3, Record::Dropped { job: 7 });
    assert!(ledger.usage().is_empty());
    assert_eq!(ledger.usage().total(), 0);
}

/// Guards against charges of jobs that the log has deleted before they were read.
#[test]
fn a_reload_without_a_job_ends_its_charge() {
    let mut ledger = Ledger::default();
    ledger.apply(0, Record::Submitted(job(7, "a", 10)));
    ledger.finish_reload(&std::collections::BTreeSet::new(), 1);
    assert!(ledger.usage().is_empty());
}

/// Guards against cancellations of jobs that do not exist without a bound.
#[test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let limit = Limit::new(MEMORY);
    assert!(limit.admits_cancellation(0));
    let most = (0..MEMORY).find(|held| !limit.admits_cancellation(*held));
    assert!(most.is_some_and(|most| most < MEMORY / 8 / 300));
}

/// Guards against entries that together accept far more than the limit before they read each other's jobs.
#[test]
fn all_entries_together_accept_a_quarter_beyond_their_views() {
    let limit = Limit::new(MEMORY);
    let entries = 8;
    let mut unseen = Usage::default();
    for id in 0.. {
        if !limit.admits_unseen(&unseen, entries, 10_000) {
            break;
        }
        unseen.set(id, None, 10_000);
    }
    assert!(unseen.total() * entries <= MEMORY / 4);
    // A single job of any size is accepted.
    assert!(limit.admits_unseen(&Usage::default(), entries, MEMORY / 2));
}

/// Guards against a share that vanishes as hosts are replaced, whose announcements remain.
#[test]
fn entries_that_are_gone_leave_room_for_ordinary_jobs() {
    let limit = Limit::new(MEMORY);
    let mut unseen = Usage::default();
    unseen.set(1, None, 10_000);
    assert!(limit.admits_unseen(&unseen, 100_000, 10_000));
}
