//! Amounts in messages and sums at the top of their range.

use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::Task;
use godwitstep_batch::message::{self, Running};

const MAX: Demand = Demand {
    cpu: u64::MAX,
    memory: u64::MAX,
    accelerators: u64::MAX,
};

/// Guards against a decider that ends on a report with a share of work above 100 percent.
#[test]
fn share_of_work_in_a_report_is_at_most_100_percent() {
    let running = |percent| Running {
        task: Task {
            job: 7,
            step: 0,
            index: 0,
        },
        run: 1,
        saved: "".into(),
        percent,
    };
    let received = |percent| message::decode::<Running>(&message::encode(&running(percent)));
    assert_eq!(received(40).unwrap(), running(40));
    assert_eq!(received(255).unwrap(), running(100));
}

/// Guards against a worker that seems to have more capacity than it reports, because a sum of demands overflows.
#[test]
fn sums_saturate_and_never_free_capacity() {
    let capacity = Demand {
        cpu: 64_000,
        memory: 262_144,
        accelerators: 8,
    };
    let used = Demand::sum([&MAX, &MAX, &capacity]);
    assert_eq!(used, MAX);
    assert_eq!(MAX.saturating_mul(u64::MAX), MAX);
    assert_eq!(capacity.saturating_sub(&used), Demand::default());
    assert_eq!(capacity.copies_in(&capacity.saturating_sub(&used)), 0);
    assert!(MAX.cores().is_finite());
    assert!(MAX.share_of(&capacity) > 1.0 && capacity.share_of(&MAX) < 1.0);
}
