//! The agents' table of reservations and running parts.

use godwitstep_core::Reason;
use godwitstep_core::hold::{Action, Command, Event, Order, Table};
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

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.table.handle(self.now, event, &mut actions);
        actions
    }

    fn order(&mut self, epoch: u64, job: &str, attempt: u32, command: Command) -> Vec<Action> {
        let job = job.into();
        let order = Order {
            epoch,
            job,
            attempt,
        };
        self.event(Event::Command(order, command))
    }

    fn wait(&mut self, millis: u64) -> Vec<Action> {
        self.now += Duration::from_millis(millis);
        self.event(Event::Tick)
    }

    fn launched(&mut self, job: &str, attempt: u32) -> Vec<Action> {
        let job = job.into();
        self.event(Event::Launched { job, attempt })
    }

    fn start(&mut self, job: &str) {
        self.order(1, job, 1, RESERVE);
        self.order(1, job, 1, COMMIT);
        self.launched(job, 1);
    }
}

fn denial(actions: &[Action]) -> Option<&Reason> {
    match actions {
        [Action::Denied { reason, .. }] => Some(reason),
        _ => None,
    }
}

fn starts(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Start { .. }))
}

/// Guards against holds that block accelerators after their decider has gone.
#[test]
fn a_hold_expires_after_five_seconds() {
    let mut agent = Agent::new();
    agent.order(1, "j", 1, RESERVE);
    assert_eq!(agent.table.free(), 5);
    agent.wait(4_999);
    assert_eq!(agent.table.free(), 5);
    agent.wait(1);
    assert_eq!(agent.table.free(), 8);
    let late = agent.order(1, "j", 1, COMMIT);
    assert_eq!(denial(&late), Some(&Reason::HoldExpired));
    agent.order(1, "j", 1, RESERVE);
    agent.wait(4_000);
    agent.order(1, "j", 1, RESERVE);
    agent.wait(4_000);
    assert!(
        starts(&agent.order(1, "j", 1, COMMIT)),
        "the hold was renewed"
    );
}

/// Guards against a second start by a repeated commit.
#[test]
fn a_commit_is_idempotent() {
    let mut agent = Agent::new();
    agent.order(1, "j", 1, RESERVE);
    assert!(starts(&agent.order(1, "j", 1, COMMIT)));
    assert!(agent.order(1, "j", 1, COMMIT).is_empty());
    agent.launched("j", 1);
    let again = agent.order(1, "j", 1, COMMIT);
    assert!(matches!(again[..], [Action::Started { .. }]));
}

/// Guards against over-commitment of a worker's accelerators.
#[test]
fn holds_never_exceed_the_accelerators() {
    let mut agent = Agent::new();
    agent.order(1, "a", 1, RESERVE);
    agent.order(1, "b", 1, RESERVE);
    let third = agent.order(1, "c", 1, RESERVE);
    assert_eq!(
        denial(&third),
        Some(&Reason::WaitingForCapacity { needed: 3, free: 2 })
    );
}

/// Guards against commands of a decider that was replaced.
#[test]
fn older_epochs_are_refused() {
    let mut agent = Agent::new();
    agent.order(4, "j", 1, RESERVE);
    agent.event(Event::Epoch(7));
    for command in [RESERVE, COMMIT, Command::Settle, Command::Release, STOP] {
        let refused = agent.order(4, "j", 1, command);
        assert_eq!(
            denial(&refused),
            Some(&Reason::EpochSuperseded { newest: 7 })
        );
    }
    assert!(starts(&agent.order(7, "j", 1, COMMIT)));
}

/// Guards against starts in a failure domain that is out of service (R3).
#[test]
fn nothing_starts_out_of_service() {
    let mut agent = Agent::new();
    agent.order(1, "held", 1, RESERVE);
    agent.event(Event::Service(false));
    let domain = Reason::DomainOut { domain: "a".into() };
    assert_eq!(denial(&agent.order(1, "held", 1, COMMIT)), Some(&domain));
    assert_eq!(denial(&agent.order(1, "new", 1, RESERVE)), Some(&domain));
}

/// Guards against parts that run on without their gang.
#[test]
fn a_part_that_is_not_settled_stops_itself() {
    let mut agent = Agent::new();
    agent.start("j");
    assert!(agent.wait(9_999).is_empty());
    assert!(matches!(agent.wait(1)[..], [Action::Stop { .. }]));
    agent.order(1, "j", 1, Command::Settle);
    assert!(
        !agent.table.inventory()[0].settled,
        "a settle after the stop has no effect"
    );
    let mut agent = Agent::new();
    agent.start("j");
    agent.order(1, "j", 1, Command::Settle);
    assert!(agent.wait(60_000).is_empty());
}

/// Guards against late or reordered commands that start a run again.
#[test]
fn a_stopped_or_ended_run_never_starts() {
    let mut agent = Agent::new();
    agent.order(1, "early", 1, STOP);
    agent.order(1, "held", 1, RESERVE);
    agent.order(1, "held", 1, STOP);
    agent.start("done");
    let job = "done".into();
    let end = End::Done;
    agent.event(Event::Ended {
        job,
        attempt: 1,
        end,
    });
    agent.start("stopped");
    agent.order(1, "stopped", 1, STOP);
    for job in ["early", "held", "done", "stopped"] {
        for _ in 0..2 {
            assert!(!starts(&agent.order(1, job, 1, RESERVE)), "{job}");
            assert!(!starts(&agent.order(1, job, 1, COMMIT)), "{job}");
            agent.wait(1_000);
        }
    }
    agent.order(1, "released", 1, RESERVE);
    agent.order(1, "released", 1, Command::Release);
    assert!(!starts(&agent.order(1, "released", 1, COMMIT)));
    // A later run of the same job is another matter.
    agent.order(1, "early", 2, RESERVE);
    assert!(starts(&agent.order(1, "early", 2, COMMIT)));
}

/// Guards against ends that the decider never hears of.
#[test]
fn an_end_is_kept_until_it_is_acknowledged() {
    let mut agent = Agent::new();
    agent.start("j");
    let end = End::Done;
    let job = || "j".into();
    agent.event(Event::Ended {
        job: job(),
        attempt: 1,
        end,
    });
    agent.wait(3_600_000);
    assert_eq!(agent.table.unacknowledged().len(), 1);
    let stopped = agent.order(1, "j", 1, STOP);
    assert!(matches!(
        stopped[..],
        [Action::Ended { end: End::Done, .. }]
    ));
    let event = Event::Acknowledged {
        job: job(),
        attempt: 1,
    };
    agent.event(event);
    assert!(agent.table.unacknowledged().is_empty());
}

/// Guards against tasks of a previous life that are counted as free accelerators.
#[test]
fn parts_of_a_previous_life_are_taken_over_or_gone_with_the_lease() {
    let mut agent = Agent::new();
    let running = Running {
        job: "j".into(),
        attempt: 3,
        tasks: 2,
        accelerators: 4,
        settled: false,
    };
    agent.event(Event::Found { running });
    agent.order(1, "held", 1, RESERVE);
    assert_eq!(agent.table.free(), 1);
    let lapsed = agent.event(Event::Lapsed);
    assert!(matches!(
        lapsed[..],
        [Action::Ended {
            end: End::Stopped,
            ..
        }]
    ));
    assert_eq!(agent.table.free(), 8);
}

/// Guards against a gang that starts with the size of an earlier reservation under the same number,
/// whose release was lost.
#[test]
fn a_repeated_reservation_takes_the_newest_size() {
    let reserve = |accelerators| Command::Reserve {
        tasks: accelerators,
        accelerators,
    };
    let mut agent = Agent::new();
    agent.order(1, "j", 1, reserve(3));
    agent.order(1, "j", 1, reserve(6));
    assert_eq!(agent.table.free(), 2);
    let too_much = agent.order(1, "j", 1, reserve(9));
    assert!(matches!(
        denial(&too_much),
        Some(Reason::WaitingForCapacity { free: 8, .. })
    ));
    assert_eq!(agent.table.free(), 8, "a refused reservation holds nothing");
    agent.order(1, "j", 1, reserve(2));
    let commit = Command::Commit {
        tasks: 2,
        accelerators: 2,
    };
    let started = agent.order(1, "j", 1, commit);
    let tasks = started.iter().find_map(|action| match action {
        Action::Start { tasks, .. } => Some(*tasks),
        _ => None,
    });
    assert_eq!(tasks, Some(2));
}

/// Guards against a part that starts in the size of another placement, whose reservation crossed
/// that of the recorded one under the same number (lab random runs, seed 11).
#[test]
fn a_commit_carries_the_recorded_size() {
    let mut agent = Agent::new();
    agent.order(1, "j", 1, RESERVE);
    let crossed = Command::Reserve {
        tasks: 2,
        accelerators: 5,
    };
    agent.order(1, "j", 1, crossed);
    let started = agent.order(1, "j", 1, COMMIT);
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

/// Guards against over-commitment by a commit that is larger than what is held for it.
#[test]
fn a_commit_that_does_not_fit_is_refused() {
    let mut agent = Agent::new();
    let small = Command::Reserve {
        tasks: 1,
        accelerators: 1,
    };
    agent.order(1, "j", 1, small.clone());
    agent.order(1, "k", 1, RESERVE);
    agent.order(1, "l", 1, RESERVE);
    let late = agent.order(1, "j", 1, COMMIT);
    assert_eq!(denial(&late), Some(&Reason::HoldExpired));
    assert_eq!(agent.table.free(), 2);
}
