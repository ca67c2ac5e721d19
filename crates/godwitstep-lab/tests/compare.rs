//! Tests of the comparison of policies.

use godwitstep_lab::compare::{Scenario, compare};

const SCENARIO: &str = include_str!("../../../examples/scenarios/dk-vest.json");

/// Guards against policies that lose or repeat work, and against measures that depend on anything
/// but the scenario and the seed.
#[test]
fn every_policy_finishes_the_same_work() {
    let mut scenario = Scenario::parse(SCENARIO).expect("the example is a valid scenario");
    scenario.duration_s = 3_600;
    scenario.departures[0].at_s = 900;
    scenario.departures[0].back_s = 1_800;
    let results = compare(&scenario, 3, 1);
    let repeated = compare(&scenario, 3, 1);
    // Compared as text, because some measures are NaN, which is not equal to itself.
    assert_eq!(format!("{results:?}"), format!("{repeated:?}"));
    let policies: Vec<&str> = results.iter().map(|result| result.policy).collect();
    assert_eq!(policies, ["first_fit", "backfill", "planner"]);
    for result in &results {
        assert_eq!(result.violations, Vec::new(), "{}", result.policy);
        let measures = &result.measures;
        let faults = [measures.lost, measures.run_twice, measures.refused];
        assert_eq!(
            faults.map(|jobs| jobs > 0.0),
            [false; 3],
            "{}",
            result.policy
        );
        assert!(measures.utilisation > 0.3 && measures.utilisation <= 1.0);
        assert!(measures.completion_p99_s >= measures.completion_p50_s);
    }
}
