//! Random runs are reproducible, pass on fixed seeds, and their checks can fail.

use godwitstep_core::hold;
use godwitstep_core::planner::{Action, End};
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use godwitstep_lab::Breakage;
use godwitstep_lab::random::{Options, simulate};

/// Events of each run; the faults of several storms fall into them.
const EVENTS: u64 = 20_000;

/// Guards against decisions that depend on more than the events and the seed.
#[test]
fn the_same_seed_gives_the_same_trace() {
    let options = Options::new(7, EVENTS);
    let (first, second) = (simulate(&options), simulate(&options));
    assert_eq!(first, second);
    assert_ne!(
        first.trace_hash,
        simulate(&Options::new(8, EVENTS)).trace_hash
    );
}

/// Guards against faults that these seeds would show again.
#[test]
fn fixed_seeds_pass() {
    for seed in [1, 2, 4] {
        let outcome = simulate(&Options::new(seed, EVENTS));
        assert_eq!(outcome.broken, None, "seed {seed}");
        assert!(outcome.ends["done"] > 0, "seed {seed}");
    }
}

/// Guards against a part that starts in the size of another placement under the same number, whose
/// reservation crossed that of the recorded one.
#[test]
fn crossed_reservations_start_as_recorded() {
    for seed in [11, 16, 274] {
        let outcome = simulate(&Options::new(seed, 200_000));
        assert_eq!(outcome.broken, None, "seed {seed}");
    }
}

/// Checks that a breakage fails the expected check on one of a few seeds.
fn assert_caught(breakage: Breakage, check: &str) {
    let mut seen = Vec::new();
    for seed in 1..=6 {
        let options = Options::new(seed, EVENTS)
            .breakage(breakage)
            .keep_going(true);
        let outcome = simulate(&options);
        if outcome.violations.contains_key(check) {
            let broken = outcome.broken.expect("the first failure is kept");
            return assert!(!broken.last_events.is_empty());
        }
        seen.push(outcome.violations);
    }
    panic!("{check:?} is in none of {seen:?}");
}

/// Guards against a check of settled gangs that can't fail.
#[test]
fn a_decider_that_settles_too_early_is_caught() {
    let act = |actions: &mut Vec<Action>| {
        for action in &mut *actions {
            if let Action::Commit {
                worker,
                job,
                attempt,
                ..
            } = action.clone()
            {
                *action = Action::Settle {
                    worker,
                    job,
                    attempt,
                };
            }
        }
    };
    let breakage = Breakage {
        act,
        ..Breakage::default()
    };
    assert_caught(breakage, "partial_gang");
}

/// Guards against a check of lost jobs that can't fail.
#[test]
fn a_decider_that_forgets_ends_is_caught() {
    let act = |actions: &mut Vec<Action>| {
        actions.retain(|action| !matches!(action, Action::Record(record::Event::End { .. })));
    };
    let breakage = Breakage {
        act,
        ..Breakage::default()
    };
    assert_caught(breakage, "not_final");
}

/// Guards against a check of accelerators in use that can't fail.
#[test]
fn an_agent_that_gives_out_too_much_is_caught() {
    let hear = |event| match event {
        hold::Event::Command(order, hold::Command::Reserve { tasks, .. }) => {
            let accelerators = 0;
            let command = hold::Command::Reserve {
                tasks,
                accelerators,
            };
            Some(hold::Event::Command(order, command))
        }
        hold::Event::Command(order, hold::Command::Commit { tasks, .. }) => {
            let accelerators = 0;
            let command = hold::Command::Commit {
                tasks,
                accelerators,
            };
            Some(hold::Event::Command(order, command))
        }
        other => Some(other),
    };
    let breakage = Breakage {
        hear,
        ..Breakage::default()
    };
    assert_caught(breakage, "not_as_recorded");
}

/// Guards against a check of failure domains that can't fail. The planner does not start work in a
/// domain that it knows to be out of service, so it must not hear of it either.
#[test]
fn starts_in_a_domain_out_of_service_are_caught() {
    let hear = |event| match event {
        hold::Event::InService(_) => None,
        other => Some(other),
    };
    let breakage = Breakage {
        hear,
        deaf: true,
        ..Breakage::default()
    };
    assert_caught(breakage, "domain_out");
}

/// Guards against a check of reclaimed guarantees that can't fail.
#[test]
fn an_agent_that_does_not_stop_is_caught() {
    let hear = |event| match event {
        hold::Event::Command(_, hold::Command::Stop { .. }) => None,
        other => Some(other),
    };
    let breakage = Breakage {
        hear,
        ..Breakage::default()
    };
    assert_caught(breakage, "late_claim");
}

/// Guards against a check of cancelled jobs that can't fail.
#[test]
fn a_start_after_the_end_is_caught() {
    let act = |actions: &mut Vec<Action>| {
        let started = actions.iter().find_map(|action| match action {
            Action::Record(record::Event::Start {
                job,
                attempt,
                epoch,
                reason,
                ..
            }) => Some((job.clone(), *attempt, *epoch, reason.clone())),
            _ => None,
        });
        if let Some((job, attempt, epoch, reason)) = started {
            actions.push(Action::Record(record::Event::End {
                job,
                attempt,
                epoch,
                phase: Phase::Cancelled,
                reason,
            }));
        }
    };
    let breakage = Breakage {
        act,
        ..Breakage::default()
    };
    assert_caught(breakage, "start_after_cancelled");
}

/// Guards against a check of repeated runs that can't fail.
#[test]
fn an_agent_that_denies_what_it_ran_is_caught() {
    let hear = |event| match event {
        hold::Event::Ended {
            job,
            attempt,
            end: End::Done,
        } => Some(hold::Event::Ended {
            job,
            attempt,
            end: End::NotStarted,
        }),
        other => Some(other),
    };
    let breakage = Breakage {
        hear,
        ..Breakage::default()
    };
    assert_caught(breakage, "completed_twice");
}
