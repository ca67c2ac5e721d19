//! Policies are compared on the same work.

use godwitstep_lab::compare::{Scenario, compare};

const TEXT: &str = include_str!("../../../examples/scenarios/dk-vest.json");

/// Guards against policies that lose or repeat work, and against figures that depend on more than
/// the scenario and the seed.
#[test]
fn every_policy_finishes_the_same_work() {
    let mut scenario = Scenario::parse(TEXT).expect("the example is a scenario");
    scenario.duration_s = 3_600;
    scenario.departures[0].at_s = 900;
    scenario.departures[0].back_s = 1_800;
    let lines = compare(&scenario, 3, 1);
    // Measures without an instance are not numbers, which are not equal to themselves.
    let again = compare(&scenario, 3, 1);
    assert_eq!(format!("{lines:?}"), format!("{again:?}"));
    let policies: Vec<&str> = lines.iter().map(|line| line.policy).collect();
    assert_eq!(policies, ["first_fit", "backfill", "planner"]);
    for line in &lines {
        assert_eq!(line.broken, Vec::new(), "{}", line.policy);
        let measures = &line.measures;
        let ends = [measures.lost, measures.run_twice, measures.refused];
        assert_eq!(ends.map(|end| end > 0.0), [false; 3], "{}", line.policy);
        assert!(measures.utilisation > 0.3 && measures.utilisation <= 1.0);
        assert!(measures.completion_p99_s >= measures.completion_p50_s);
    }
}
