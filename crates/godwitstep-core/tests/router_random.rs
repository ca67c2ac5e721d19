//! Routers of several entries and the key tables of several agents under losses, delays,
//! duplicate replies, restarts, pauses, and callers who retry elsewhere. The ledgers of callers
//! and targets are compared.

mod world;

use world::World;

/// Guards against second runs of non-idempotent requests, requests that are told not to have run
/// and ran, answers of other requests, and requests without an answer.
#[test]
fn ledgers_agree_under_faults() {
    let (mut asked, mut answered, mut repeated, mut unrun) = (0, 0, 0, 0);
    for seed in 0..30 {
        let mut world = World::new(seed, true);
        world.run();
        let tally = world.check();
        asked += tally.asked;
        answered += tally.answered;
        repeated += tally.repeated;
        unrun += tally.unrun;
    }
    // The run is worth something only if each kind of outcome is common.
    assert!(answered * 2 > asked, "{answered} of {asked} answered");
    assert!(
        repeated * 50 > asked,
        "{repeated} of {asked} answered to a repeated key"
    );
    assert!(unrun * 50 > asked, "{unrun} of {asked} not run");
}

/// Guards against requests that are refused or given up although nothing is wrong.
#[test]
fn all_requests_are_answered_without_faults() {
    for seed in 0..5 {
        let mut world = World::new(seed, false);
        world.run();
        let tally = world.check();
        assert_eq!(tally.answered, tally.asked, "seed {seed}");
    }
}
