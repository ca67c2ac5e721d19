//! Randomized simulation of several entries with routers and several agents with key tables, under
//! message loss, delays, duplicate replies, restarts, pauses, and callers that retry through other
//! entries. At the end, the results that callers received are compared with the ledger of the
//! targets.

mod router_simulation;

use router_simulation::Simulation;

/// Guards against second runs of non-idempotent requests, requests that ran although they were
/// answered as not run, answers that belong to other requests, and requests without an answer.
#[test]
fn callers_and_targets_agree_under_faults() {
    let (mut submitted, mut answered, mut answered_after_retry, mut not_run) = (0, 0, 0, 0);
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run();
        let summary = simulation.check_results();
        submitted += summary.submitted;
        answered += summary.answered;
        answered_after_retry += summary.answered_after_retry;
        not_run += summary.not_run;
    }
    // The simulation covers the protocol only if each of these outcomes is common.
    assert!(
        answered * 2 > submitted,
        "{answered} of {submitted} answered"
    );
    assert!(
        answered_after_retry * 50 > submitted,
        "{answered_after_retry} of {submitted} answered after a retry"
    );
    assert!(not_run * 50 > submitted, "{not_run} of {submitted} not run");
}

/// Guards against requests that are refused or aborted in the absence of faults.
#[test]
fn all_requests_are_answered_without_faults() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, false);
        simulation.run();
        let summary = simulation.check_results();
        assert_eq!(summary.answered, summary.submitted, "seed {seed}");
    }
}
