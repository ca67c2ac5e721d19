//! Tests of how an agent handles parts of jobs, with a fake entry and a fake worker.

mod fixture;

use fixture::worker::{FakeWorker, start_worker};
use fixture::{DOMAIN, FakeEntry, ephemeral_address, permissive_rules, run_test, with_timeout};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::clock::Clock;
use godwitstep_core::planner::End;
use godwitstep_core::reason::Reason;
use godwitstep_wire::{Announce, Frame, Part, Rules};
use serde_json::json;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct Setup {
    worker: Rc<FakeWorker>,
    worker_address: SocketAddr,
    worker_shutdown: godwitstep::http::Shutdown,
    entry: FakeEntry,
    /// First announcement of the worker.
    announce: Announce,
    /// A message on this channel stops the agent gracefully.
    stop: smol::channel::Sender<()>,
    agent: smol::Task<Result<(), godwitstep::agent::Error>>,
}

/// Starts a worker, an agent and an entry, and waits until the worker is announced.
async fn setup(executor: &LocalExecutor<'_>, state: FakeWorker) -> Setup {
    let state = Rc::new(state);
    let (worker_address, worker_shutdown) =
        start_worker(executor, &state, ephemeral_address()).await;
    let services = json!({"worker": {"address": worker_address, "accelerators": 8}});
    let (entry, stop, agent) = FakeEntry::start(executor, services).await;
    entry.set_rules(Some(permissive_rules()));
    let announce = entry
        .wait_for_announcement(|announce| announce.worker.is_some())
        .await;
    Setup {
        worker: state,
        worker_address,
        worker_shutdown,
        entry,
        announce,
        stop,
        agent,
    }
}

/// Returns a part of the first attempt of a job, with two tasks.
fn part_of(job: &str) -> Part {
    Part {
        epoch: 5,
        job: job.into(),
        attempt: 1,
        tasks: 2,
        accelerators: 4,
        run: Some(Duration::from_secs(60)),
    }
}

fn select_held(frame: Frame) -> Option<Part> {
    match frame {
        Frame::Held(part) => Some(part),
        Frame::Denied { part, reason } => panic!("{part:?} was denied: {reason}"),
        _ => None,
    }
}

fn select_started(frame: Frame) -> Option<Part> {
    match frame {
        Frame::Started(part) => Some(part),
        Frame::Denied { part, reason } => panic!("{part:?} was denied: {reason}"),
        _ => None,
    }
}

fn select_denied(frame: Frame) -> Option<Reason> {
    match frame {
        Frame::Denied { reason, .. } => Some(reason),
        _ => None,
    }
}

fn select_ended(frame: Frame) -> Option<(Part, End)> {
    match frame {
        Frame::Ended { part, end } => Some((part, end)),
        _ => None,
    }
}

impl Setup {
    /// Reserves, commits and settles a part, and checks the agent's replies.
    async fn launch(&self, part: &Part) {
        self.entry.link.send(Frame::Reserve(part.clone()));
        assert_eq!(self.entry.wait_for_frame(select_held).await, *part);
        self.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(self.entry.wait_for_frame(select_started).await, *part);
        self.entry.link.send(Frame::Settle(part.clone()));
    }

    /// Waits for the next report of an ended part, which must be about the given one.
    async fn wait_for_end(&self, part: &Part) -> End {
        let (ended_part, end) = self.entry.wait_for_frame(select_ended).await;
        assert_eq!(ended_part, *part);
        end
    }
}

/// Guards against a part whose end is lost, and against reports that continue after it is
/// acknowledged.
#[test]
fn part_runs_and_its_end_is_reported_until_acknowledged() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let part = part_of("nest-1");
        setup.launch(&part).await;
        let task_names = ["nest-1~1~0~2~4", "nest-1~1~1~2~4"];
        assert_eq!(*setup.worker.started_tasks.borrow(), task_names);
        let busy = |frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.busy_accelerators.filter(|busy| *busy == 4),
            _ => None,
        };
        setup.entry.wait_for_frame(busy).await;
        // A repeated commit is acknowledged but starts no task.
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(setup.entry.wait_for_frame(select_started).await, part);
        setup.worker.set_state(task_names[0], "done");
        setup.worker.set_state(task_names[1], "done");
        assert_eq!(setup.wait_for_end(&part).await, End::Done);
        assert_eq!(setup.wait_for_end(&part).await, End::Done);
        setup.entry.link.send(Frame::EndKnown(part));
        Timer::after(Duration::from_millis(1500)).await;
        while let Ok(event) = setup.entry.events.try_recv() {
            assert!(!format!("{event:?}").contains("Ended"), "{event:?}");
        }
        assert_eq!(setup.worker.started_tasks.borrow().len(), 2);
    });
}

/// Guards against starts that the rules forbid, and against a denied command that starts the part
/// when it is repeated later (R3).
#[test]
fn parts_that_the_rules_forbid_do_not_start() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let part = part_of("nest-1");
        setup.entry.link.send(Frame::Reserve(part.clone()));
        setup.entry.wait_for_frame(select_held).await;
        let halted = Rules {
            operating_mode: OperatingMode::Halted,
            ..permissive_rules()
        };
        setup.entry.set_rules(Some(halted));
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(
            setup.entry.wait_for_frame(select_denied).await,
            Reason::Halted
        );
        setup.entry.set_rules(Some(permissive_rules()));
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(
            setup.entry.wait_for_frame(select_denied).await,
            Reason::HoldExpired
        );
        let out_of_service = Rules {
            version: 11,
            out_of_service: vec![DOMAIN.into()],
            ..permissive_rules()
        };
        setup.entry.set_rules(Some(out_of_service));
        setup.entry.link.send(Frame::Reserve(part.clone()));
        let denied = setup.entry.wait_for_frame(select_denied).await;
        assert!(matches!(denied, Reason::DomainOut { .. }), "{denied}");
        setup.entry.set_rules(Some(Rules {
            version: 12,
            epoch: 6,
            ..permissive_rules()
        }));
        setup.entry.link.send(Frame::Reserve(part));
        let denied = setup.entry.wait_for_frame(select_denied).await;
        assert_eq!(denied, Reason::EpochSuperseded { newest: 6 });
        assert!(setup.worker.started_tasks.borrow().is_empty());
    });
}

/// Guards against a part of a gang that continues after one of its tasks has failed (R2).
#[test]
fn failed_task_ends_its_part() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let part = part_of("nest-1");
        setup.launch(&part).await;
        setup.worker.set_state("nest-1~1~1~2~4", "failed");
        assert_eq!(setup.wait_for_end(&part).await, End::Failed);
        let other_task = setup.worker.state("nest-1~1~0~2~4");
        assert_eq!(other_task.as_deref(), Some("stopped"));
    });
}

/// Guards against a task that is started twice, or a launch that is aborted, because the worker's
/// response was lost.
#[test]
fn lost_response_does_not_start_a_task_twice() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        setup.worker.responses_to_lose.set(1);
        setup.launch(&part_of("nest-1")).await;
        assert_eq!(setup.worker.started_tasks.borrow().len(), 2);
    });
}

/// Guards against a task that is started under an expired lease.
#[test]
fn new_lease_is_acquired_after_the_old_one_expired() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        setup.worker.lease.set(9);
        setup.launch(&part_of("nest-1")).await;
        assert_eq!(setup.worker.started_tasks.borrow().len(), 2);
    });
}

/// Guards against tasks of an earlier incarnation of the agent that are not reported, and against
/// tasks of unknown origin that keep running.
#[test]
fn tasks_of_an_earlier_incarnation_are_adopted_and_foreign_ones_stopped() {
    run_test(async |executor| {
        let state = FakeWorker::default();
        state.set_state("nest-1~1~0~1~4", "failed");
        state.set_state("nest-1~2~0~1~4", "running");
        state.set_state("nest-2~1~0~1~2", "done");
        state.set_state("somebody-elses", "running");
        let setup = setup(executor, state).await;
        let inventory: Vec<_> = setup
            .announce
            .inventory
            .iter()
            .map(|running| (&*running.job, running.attempt, running.accelerators))
            .collect();
        assert!(inventory.contains(&("nest-1", 2, 4)), "{inventory:?}");
        assert!(!inventory.contains(&("nest-1", 1, 4)), "{inventory:?}");
        let (part, end) = setup.entry.wait_for_frame(select_ended).await;
        assert_eq!((&*part.job, part.attempt, end), ("nest-2", 1, End::Done));
        let adopted = Part {
            attempt: 2,
            tasks: 1,
            ..part_of("nest-1")
        };
        let checkpoint = true;
        let part = adopted.clone();
        setup.entry.link.send(Frame::Stop { part, checkpoint });
        let (part, end) = setup
            .entry
            .wait_for_frame(|frame| select_ended(frame).filter(|(part, _)| &*part.job == "nest-1"))
            .await;
        assert_eq!((part, end), (adopted, End::Checkpointed));
        let foreign_task = setup.worker.state("somebody-elses");
        assert_eq!(foreign_task.as_deref(), Some("stopped"));
    });
}

/// Guards against a worker that stays announced while it is unreachable, and against parts whose end
/// is not reported when it comes back without them.
#[test]
fn lost_worker_is_announced_and_its_parts_end_after_its_restart() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let part = part_of("nest-1");
        setup.launch(&part).await;
        let shutdown_time = Instant::now();
        setup.worker_shutdown.start();
        let lost = |announce: &Announce| announce.worker.is_none();
        setup.entry.wait_for_announcement(lost).await;
        assert!(shutdown_time.elapsed() < Duration::from_secs(2));
        let restarted = Rc::new(FakeWorker::default());
        let _shutdown = start_worker(executor, &restarted, setup.worker_address).await;
        let (ended_part, end) = setup.entry.wait_for_frame(select_ended).await;
        assert_eq!((ended_part, end), (part, End::Stopped));
    });
}

/// Guards against a graceful stop that does not wait for a part that is about to end (R8).
#[test]
fn graceful_stop_waits_for_running_parts() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let mut part = part_of("nest-1");
        part.tasks = 1;
        setup.launch(&part).await;
        setup.stop.send(()).await.expect("runs");
        setup
            .entry
            .wait_for_announcement(|announce| announce.leaving)
            .await;
        setup.entry.link.send(Frame::Reserve(part_of("nest-2")));
        assert_eq!(
            setup.entry.wait_for_frame(select_denied).await,
            Reason::Stopping
        );
        Timer::after(Duration::from_millis(300)).await;
        setup.worker.set_state("nest-1~1~0~1~4", "done");
        assert_eq!(setup.wait_for_end(&part).await, End::Done);
        with_timeout(setup.agent).await.expect("stops");
    });
}

/// Guards against a new decider that plans with an outdated inventory, sent when the link was opened.
#[test]
fn new_epoch_triggers_a_new_inventory() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        setup.launch(&part_of("nest-1")).await;
        setup.entry.set_rules(Some(Rules {
            epoch: 6,
            ..permissive_rules()
        }));
        let announce = setup
            .entry
            .wait_for_announcement(|announce| !announce.inventory.is_empty())
            .await;
        assert_eq!(&*announce.inventory[0].job, "nest-1");
        assert!(announce.inventory[0].settled);
    });
}

/// Advances the agent's clock by 17 s, at five times the speed of real time, while the entry sends
/// `rules`. That exceeds the 15 s without contact to the decider after which parts are stopped.
///
/// The agent checks for pauses of its process at each heartbeat, every 100 ms of real time. The
/// 0.5 s that pass on its clock meanwhile are not enough to count as a pause.
async fn exceed_contact_timeout(setup: &Setup, rules: Rules) {
    const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);
    const ADVANCE: Duration = Duration::from_millis(80);
    setup.entry.set_rules(Some(rules));
    let end = setup.entry.clock.now() + Duration::from_secs(17);
    while setup.entry.clock.now() < end {
        Timer::after(ADVANCE_INTERVAL).await;
        setup.entry.clock.advance(ADVANCE);
    }
}

/// Guards against two overlapping runs of a job: a decider that has lost the contact to an agent
/// starts the job again after 30 s, so the agent must have stopped its parts before.
#[test]
fn parts_stop_without_contact_to_the_decider() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        let part = part_of("nest-1");
        setup.launch(&part).await;
        // An entry is linked, but it is not the decider.
        let not_deciding = Rules {
            deciding: false,
            ..permissive_rules()
        };
        exceed_contact_timeout(&setup, not_deciding).await;
        assert_eq!(setup.wait_for_end(&part).await, End::Checkpointed);
    });
}

/// Guards against parts that are stopped during an outage of the log, when no other decider can take
/// over and start their jobs again.
#[test]
fn parts_keep_running_without_a_decider_while_the_log_is_unavailable() {
    run_test(async |executor| {
        let setup = setup(executor, FakeWorker::default()).await;
        setup.launch(&part_of("nest-1")).await;
        let degraded = Rules {
            operating_mode: OperatingMode::Degraded,
            deciding: false,
            ..permissive_rules()
        };
        exceed_contact_timeout(&setup, degraded).await;
        let state = setup.worker.state("nest-1~1~0~2~4");
        assert_eq!(state.as_deref(), Some("running"));
    });
}
