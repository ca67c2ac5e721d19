//! Tests of the agent's table of reservations and running parts.

use godwitstep_core::Reason;
use godwitstep_core::hold::{Action, Command, CommandHeader, Event, Table};
use godwitstep_core::planner::{End, Running};
use std::time::Duration;

const RESERVE: Command = Command::Reserve {
    tasks: 1,
    accelerators: 3,
};
const COMMIT: Command = Command::Commit {
    tasks: 1,
    accelerators: 3,
};
const STOP: Command = Command::Stop { checkpoint: false };

/// A table with a manual clock.
struct Agent {
    table: Table,
    now: Duration,
}

impl Agent {
    fn new() -> Self {
        let table = Table::new("a", 8);
        let now = Duration::ZERO;
        Self { table, now }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.table.handle(self.now, event, &mut actions);
        actions
    }

    fn command(&mut self, epoch: u64, job: &str, attempt: u32, command: Command) -> Vec<Action> {
        let job = job.into();
        let header = CommandHeader {
            epoch,
            job,
            attempt,
        };
        self.handle(Event::Command(header, command))
    }

    /// Advances the clock and handles a tick.
    fn advance(&mut self, millis: u64) -> Vec<Action> {
        self.now += Duration::from_millis(millis);
        self.handle(Event::Tick)
    }

    fn launched(&mut self, job: &str, attempt: u32) -> Vec<Action> {
        let job = job.into();
        self.handle(Event::Launched { job, attempt })
    }

    /// Reserves, commits and launches a part.
    fn start_part(&mut self, job: &str) {
        self.command(1, job, 1, RESERVE);
        self.command(1, job, 1, COMMIT);
        self.launched(job, 1);
    }
}

/// Returns the reason if the only action is a refusal.
fn refusal_reason(actions: &[Action]) -> Option<&Reason> {
    match actions {
        [Action::Denied { reason, .. }] => Some(reason),
        _ => None,
    }
}

fn contains_start(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Start { .. }))
}

/// Guards against reservations that block accelerators after their decider has failed.
#[test]
fn a_hold_expires_after_five_seconds() {
    let mut agent = Agent::new();
    agent.command(1, "j", 1, RESERVE);
    assert_eq!(agent.table.free(), 5);
    agent.advance(4_999);
    assert_eq!(agent.table.free(), 5);
    agent.advance(1);
    assert_eq!(agent.table.free(), 8);
    let refused = agent.command(1, "j", 1, COMMIT);
    assert_eq!(refusal_reason(&refused), Some(&Reason::HoldExpired));
    agent.command(1, "j", 1, RESERVE);
    agent.advance(4_000);
    agent.command(1, "j", 1, RESERVE);
    agent.advance(4_000);
    assert!(
        contains_start(&agent.command(1, "j", 1, COMMIT)),
        "the hold was renewed"
    );
}

/// Guards against a repeated commit that starts the part a second time.
#[test]
fn a_commit_is_idempotent() {
    let mut agent = Agent::new();
    agent.command(1, "j", 1, RESERVE);
    assert!(contains_start(&agent.command(1, "j", 1, COMMIT)));
    assert!(agent.command(1, "j", 1, COMMIT).is_empty());
    agent.launched("j", 1);
    let again = agent.command(1, "j", 1, COMMIT);
    assert!(matches!(again[..], [Action::Started { .. }]));
}

/// Guards against reservations that overcommit a worker's accelerators.
#[test]
fn holds_never_exceed_the_accelerators() {
    let mut agent = Agent::new();
    agent.command(1, "a", 1, RESERVE);
    agent.command(1, "b", 1, RESERVE);
    let third = agent.command(1, "c", 1, RESERVE);
    assert_eq!(
        refusal_reason(&third),
        Some(&Reason::WaitingForCapacity { needed: 3, free: 2 })
    );
}

/// Guards against commands of a replaced decider that still take effect.
#[test]
fn older_epochs_are_refused() {
    let mut agent = Agent::new();
    agent.command(4, "j", 1, RESERVE);
    agent.handle(Event::Epoch(7));
    for command in [RESERVE, COMMIT, Command::Settle, Command::Release, STOP] {
        let refused = agent.command(4, "j", 1, command);
        assert_eq!(
            refusal_reason(&refused),
            Some(&Reason::EpochSuperseded { newest: 7 })
        );
    }
    assert!(contains_start(&agent.command(7, "j", 1, COMMIT)));
}

/// Guards against starts in a failure domain that is out of service (R3).
#[test]
fn nothing_starts_in_a_domain_out_of_service() {
    let mut agent = Agent::new();
    agent.command(1, "held", 1, RESERVE);
    agent.handle(Event::InService(false));
    let domain_out = Reason::DomainOut { domain: "a".into() };
    assert_eq!(
        refusal_reason(&agent.command(1, "held", 1, COMMIT)),
        Some(&domain_out)
    );
    assert_eq!(
        refusal_reason(&agent.command(1, "new", 1, RESERVE)),
        Some(&domain_out)
    );
}

/// Guards against parts that keep running without the rest of their gang.
#[test]
fn a_part_that_is_not_settled_in_time_is_stopped() {
    let mut agent = Agent::new();
    agent.start_part("j");
    assert!(agent.advance(9_999).is_empty());
    assert!(matches!(agent.advance(1)[..], [Action::Stop { .. }]));
    agent.command(1, "j", 1, Command::Settle);
    assert!(
        !agent.table.inventory()[0].settled,
        "a settle after the stop has no effect"
    );
    let mut agent = Agent::new();
    agent.start_part("j");
    agent.command(1, "j", 1, Command::Settle);
    assert!(agent.advance(60_000).is_empty());
}

/// Guards against delayed or reordered commands that restart a run.
#[test]
fn a_stopped_or_ended_run_never_starts() {
    let mut agent = Agent::new();
    agent.command(1, "early", 1, STOP);
    agent.command(1, "held", 1, RESERVE);
    agent.command(1, "held", 1, STOP);
    agent.start_part("done");
    let job = "done".into();
    let end = End::Done;
    agent.handle(Event::Ended {
        job,
        attempt: 1,
        end,
    });
    agent.start_part("stopped");
    agent.command(1, "stopped", 1, STOP);
    for job in ["early", "held", "done", "stopped"] {
        for _ in 0..2 {
            assert!(!contains_start(&agent.command(1, job, 1, RESERVE)), "{job}");
            assert!(!contains_start(&agent.command(1, job, 1, COMMIT)), "{job}");
            agent.advance(1_000);
        }
    }
    agent.command(1, "released", 1, RESERVE);
    agent.command(1, "released", 1, Command::Release);
    assert!(!contains_start(&agent.command(1, "released", 1, COMMIT)));
    // A later run of the same job may start.
    agent.command(1, "early", 2, RESERVE);
    assert!(contains_start(&agent.command(1, "early", 2, COMMIT)));
}

/// Guards against ended parts that are never reported to the decider.
#[test]
fn an_end_is_kept_until_it_is_acknowledged() {
    let mut agent = Agent::new();
    agent.start_part("j");
    let end = End::Done;
    let job = || "j".into();
    agent.handle(Event::Ended {
        job: job(),
        attempt: 1,
        end,
    });
    agent.advance(3_600_000);
    assert_eq!(agent.table.unacknowledged().len(), 1);
    let stopped = agent.command(1, "j", 1, STOP);
    assert!(matches!(
        stopped[..],
        [Action::Ended { end: End::Done, .. }]
    ));
    let event = Event::Acknowledged {
        job: job(),
        attempt: 1,
    };
    agent.handle(event);
    assert!(agent.table.unacknowledged().is_empty());
}

/// Guards against accelerators that count as free although tasks of a previous incarnation of the
/// agent use them.
#[test]
fn parts_of_a_previous_incarnation_are_adopted_and_end_with_the_lease() {
    let mut agent = Agent::new();
    let running = Running {
        job: "j".into(),
        attempt: 3,
        tasks: 2,
        accelerators: 4,
        settled: false,
    };
    agent.handle(Event::Found { running });
    agent.command(1, "held", 1, RESERVE);
    assert_eq!(agent.table.free(), 1);
    let lapsed = agent.handle(Event::Lapsed);
    assert!(matches!(
        lapsed[..],
        [Action::Ended {
            end: End::Stopped,
            ..
        }]
    ));
    assert_eq!(agent.table.free(), 8);
}

/// Guards against a part that starts with the size of an earlier reservation with the same run
/// number, whose release was lost.
#[test]
fn a_repeated_reservation_replaces_the_size() {
    let reserve = |accelerators| Command::Reserve {
        tasks: accelerators,
        accelerators,
    };
    let mut agent = Agent::new();
    agent.command(1, "j", 1, reserve(3));
    agent.command(1, "j", 1, reserve(6));
    assert_eq!(agent.table.free(), 2);
    let too_large = agent.command(1, "j", 1, reserve(9));
    assert!(matches!(
        refusal_reason(&too_large),
        Some(Reason::WaitingForCapacity { free: 8, .. })
    ));
    assert_eq!(agent.table.free(), 8, "a refused reservation holds nothing");
    agent.command(1, "j", 1, reserve(2));
    let commit = Command::Commit {
        tasks: 2,
        accelerators: 2,
    };
    let started = agent.command(1, "j", 1, commit);
    let tasks = started.iter().find_map(|action| match action {
        Action::Start { tasks, .. } => Some(*tasks),
        _ => None,
    });
    assert_eq!(tasks, Some(2));
}

/// Guards against a part that starts with the size of another placement: its reservation had the
/// same run number as the recorded one and arrived after it. Found by a random run of the lab with
/// seed 11.
#[test]
fn a_commit_starts_the_recorded_size() {
    let mut agent = Agent::new();
    agent.command(1, "j", 1, RESERVE);
    let reordered = Command::Reserve {
        tasks: 2,
        accelerators: 5,
    };
    agent.command(1, "j", 1, reordered);
    let started = agent.command(1, "j", 1, COMMIT);
    assert!(
        matches!(
            started[..],
            [Action::Start {
                tasks: 1,
                accelerators: 3,
                ..
            }]
        ),
        "{started:?}"
    );
    assert_eq!(agent.table.free(), 5);
}

/// Guards against overcommitment by a commit that is larger than its reservation.
#[test]
fn a_commit_that_does_not_fit_is_refused() {
    let mut agent = Agent::new();
    let small = Command::Reserve {
        tasks: 1,
        accelerators: 1,
    };
    agent.command(1, "j", 1, small.clone());
    agent.command(1, "k", 1, RESERVE);
    agent.command(1, "l", 1, RESERVE);
    let refused = agent.command(1, "j", 1, COMMIT);
    assert_eq!(refusal_reason(&refused), Some(&Reason::HoldExpired));
    assert_eq!(agent.table.free(), 2);
}
