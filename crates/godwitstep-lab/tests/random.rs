//! Random runs are reproducible and pass on fixed seeds, and their checks detect injected bugs.

use godwitstep_core::hold;
use godwitstep_core::planner::{Action, End};
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use godwitstep_lab::InjectedBug;
use godwitstep_lab::random::{Options, simulate};

/// Events of each run, enough for several rounds of faults.
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

/// Guards against regressions that these seeds reproduce.
#[test]
fn fixed_seeds_pass() {
    for seed in [1, 2, 4] {
        let outcome = simulate(&Options::new(seed, EVENTS));
        assert_eq!(outcome.broken, None, "seed {seed}");
        assert!(outcome.ends["done"] > 0, "seed {seed}");
    }
}

/// Guards against a part that starts with a size other than the recorded one. It comes about when the
/// reservation of another placement under the same run number crosses that of the recorded placement.
#[test]
fn crossed_reservations_start_as_recorded() {
    for seed in [11, 16, 274] {
        let outcome = simulate(&Options::new(seed, 200_000));
        assert_eq!(outcome.broken, None, "seed {seed}");
    }
}

/// Checks that an injected bug fails the expected check on at least one of six seeds.
fn assert_detected(injected_bug: InjectedBug, check: &str) {
    let mut violations = Vec::new();
    for seed in 1..=6 {
        let options = Options::new(seed, EVENTS)
            .injected_bug(injected_bug)
            .keep_going(true);
        let outcome = simulate(&options);
        if outcome.violations.contains_key(check) {
            let broken = outcome
                .broken
                .expect("a failed check must be recorded as the first failure");
            return assert!(!broken.last_events.is_empty());
        }
        violations.push(outcome.violations);
    }
    panic!("{check:?} is in none of {violations:?}");
}

/// Guards against a check of settled gangs that never fails.
#[test]
fn a_decider_that_settles_too_early_is_detected() {
    let alter_actions = |actions: &mut Vec<Action>| {
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
    let injected_bug = InjectedBug {
        alter_actions,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "partial_gang");
}

/// Guards against a check of lost jobs that never fails.
#[test]
fn a_decider_that_drops_end_records_is_detected() {
    let alter_actions = |actions: &mut Vec<Action>| {
        actions.retain(|action| !matches!(action, Action::Record(record::Event::End { .. })));
    };
    let injected_bug = InjectedBug {
        alter_actions,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "not_final");
}

/// Guards against a check of recorded part sizes that never fails. The agent reserves and starts all
/// parts with no accelerators, so its table never runs out of them.
#[test]
fn an_agent_that_over_allocates_is_detected() {
    let alter_agent_event = |event| match event {
        hold::Event::Command(header, hold::Command::Reserve { tasks, .. }) => {
            let accelerators = 0;
            let command = hold::Command::Reserve {
                tasks,
                accelerators,
            };
            Some(hold::Event::Command(header, command))
        }
        hold::Event::Command(header, hold::Command::Commit { tasks, .. }) => {
            let accelerators = 0;
            let command = hold::Command::Commit {
                tasks,
                accelerators,
            };
            Some(hold::Event::Command(header, command))
        }
        other => Some(other),
    };
    let injected_bug = InjectedBug {
        alter_agent_event,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "not_as_recorded");
}

/// Guards against a check of failure domains that never fails. The planner starts no work in a domain
/// that it knows to be out of service, so changes of domains are withheld from it too.
#[test]
fn starts_in_a_domain_out_of_service_are_detected() {
    let alter_agent_event = |event| match event {
        hold::Event::InService(_) => None,
        other => Some(other),
    };
    let injected_bug = InjectedBug {
        alter_agent_event,
        hide_domain_events: true,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "domain_out");
}

/// Guards against a check of reclaimed guarantees that never fails.
#[test]
fn an_agent_that_ignores_stop_commands_is_detected() {
    let alter_agent_event = |event| match event {
        hold::Event::Command(_, hold::Command::Stop { .. }) => None,
        other => Some(other),
    };
    let injected_bug = InjectedBug {
        alter_agent_event,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "late_claim");
}

/// Guards against a check of cancelled jobs that never fails.
#[test]
fn a_start_after_cancellation_is_detected() {
    let alter_actions = |actions: &mut Vec<Action>| {
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
    let injected_bug = InjectedBug {
        alter_actions,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "start_after_cancelled");
}

/// Guards against a check of repeated runs that never fails.
#[test]
fn an_agent_that_reports_a_completed_run_as_not_started_is_detected() {
    let alter_agent_event = |event| match event {
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
    let injected_bug = InjectedBug {
        alter_agent_event,
        ..InjectedBug::default()
    };
    assert_detected(injected_bug, "completed_twice");
}
