//! Randomized simulation of several entries with routers and several agents with key tables, under
//! message loss, delays, duplicate replies, restarts, pauses, and callers that retry through other
//! entries. The ledgers of the callers and the targets are compared at the end.

mod simulation;

use simulation::Simulation;

/// Guards against second runs of non-idempotent requests, requests that ran although they were
/// answered as not run, answers that belong to other requests, and requests without an answer.
#[test]
fn ledgers_agree_under_faults() {
    let (mut submitted, mut answered, mut repeated, mut not_run) = (0, 0, 0, 0);
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run();
        let summary = simulation.check_ledgers();
        submitted += summary.submitted;
        answered += summary.answered;
        repeated += summary.repeated;
        not_run += summary.not_run;
    }
    // The simulation covers the protocol only if each kind of outcome is common.
    assert!(
        answered * 2 > submitted,
        "{answered} of {submitted} answered"
    );
    assert!(
        repeated * 50 > submitted,
        "{repeated} of {submitted} answered to a repeated key"
    );
    assert!(not_run * 50 > submitted, "{not_run} of {submitted} not run");
}

/// Guards against requests that are refused or aborted in the absence of faults.
#[test]
fn all_requests_are_answered_without_faults() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, false);
        simulation.run();
        let summary = simulation.check_ledgers();
        assert_eq!(summary.answered, summary.submitted, "seed {seed}");
    }
}
