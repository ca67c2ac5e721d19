//! The agent's part in jobs, against a fake entry and a small worker.

mod rig;

use godwitstep_core::authority::Standing;
use godwitstep_core::clock::Clock;
use godwitstep_core::planner::End;
use godwitstep_core::reason::Reason;
use godwitstep_wire::{Announce, Frame, Part, Rules};
use rig::worker::{Worker, worker};
use rig::{DOMAIN, Entry, any, rules, run, within};
use serde_json::json;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct Setup {
    worker: Rc<Worker>,
    address: SocketAddr,
    server: godwitstep::http::Shutdown,
    entry: Entry,
    announce: Announce,
    stop: smol::channel::Sender<()>,
    agent: smol::Task<Result<(), godwitstep::agent::Error>>,
}

/// Starts worker, agent and entry, and waits until the worker is announced and may be used.
async fn setup(executor: &LocalExecutor<'_>, state: Worker) -> Setup {
    let state = Rc::new(state);
    let (address, server) = worker(executor, &state, any()).await;
    let beside = json!({"worker": {"address": address, "accelerators": 8}});
    let (entry, stop, agent) = Entry::start(executor, beside).await;
    entry.tell(Some(rules()));
    let announce = entry.announced(|announce| announce.worker.is_some()).await;
    Setup {
        worker: state,
        address,
        server,
        entry,
        announce,
        stop,
        agent,
    }
}

fn part(job: &str) -> Part {
    Part {
        epoch: 5,
        job: job.into(),
        attempt: 1,
        tasks: 2,
        accelerators: 4,
        run: Some(Duration::from_secs(60)),
    }
}

fn pick_held(frame: Frame) -> Option<Part> {
    match frame {
        Frame::Held(part) => Some(part),
        Frame::Denied { part, reason } => panic!("{part:?} was denied: {reason}"),
        _ => None,
    }
}

fn pick_started(frame: Frame) -> Option<Part> {
    match frame {
        Frame::Started(part) => Some(part),
        Frame::Denied { part, reason } => panic!("{part:?} was denied: {reason}"),
        _ => None,
    }
}

fn pick_denied(frame: Frame) -> Option<Reason> {
    match frame {
        Frame::Denied { reason, .. } => Some(reason),
        _ => None,
    }
}

fn pick_ended(frame: Frame) -> Option<(Part, End)> {
    match frame {
        Frame::Ended { part, end } => Some((part, end)),
        _ => None,
    }
}

impl Setup {
    async fn launch(&self, part: &Part) {
        self.entry.link.send(Frame::Reserve(part.clone()));
        assert_eq!(self.entry.next(pick_held).await, *part);
        self.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(self.entry.next(pick_started).await, *part);
        self.entry.link.send(Frame::Settle(part.clone()));
    }

    async fn ended(&self, part: &Part) -> End {
        let (of, end) = self.entry.next(pick_ended).await;
        assert_eq!(of, *part);
        end
    }
}

/// Guards against a part whose end is lost, and against reports that never stop.
#[test]
fn part_runs_and_its_end_is_repeated_until_known() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let part = part("nest-1");
        setup.launch(&part).await;
        let names = ["nest-1~1~0~2~4", "nest-1~1~1~2~4"];
        assert_eq!(*setup.worker.starts.borrow(), names);
        let busy = |frame| match frame {
            Frame::Heartbeat(heartbeat) => heartbeat.busy_accelerators.filter(|busy| *busy == 4),
            _ => None,
        };
        setup.entry.next(busy).await;
        // A repeated commit is answered and starts nothing.
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(setup.entry.next(pick_started).await, part);
        setup.worker.set(names[0], "done");
        setup.worker.set(names[1], "done");
        assert_eq!(setup.ended(&part).await, End::Done);
        assert_eq!(setup.ended(&part).await, End::Done);
        setup.entry.link.send(Frame::EndKnown(part));
        Timer::after(Duration::from_millis(1500)).await;
        while let Ok(event) = setup.entry.events.try_recv() {
            assert!(!format!("{event:?}").contains("Ended"), "{event:?}");
        }
        assert_eq!(setup.worker.starts.borrow().len(), 2);
    });
}

/// Guards against starts that the rules forbid, now or when an order is repeated later (R3).
#[test]
fn nothing_starts_against_the_rules() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let part = part("nest-1");
        setup.entry.link.send(Frame::Reserve(part.clone()));
        setup.entry.next(pick_held).await;
        let halted = Rules {
            standing: Standing::Halted,
            ..rules()
        };
        setup.entry.tell(Some(halted));
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(setup.entry.next(pick_denied).await, Reason::Halted);
        setup.entry.tell(Some(rules()));
        setup.entry.link.send(Frame::Commit(part.clone()));
        assert_eq!(setup.entry.next(pick_denied).await, Reason::HoldExpired);
        let out = Rules {
            version: 11,
            out: vec![DOMAIN.into()],
            ..rules()
        };
        setup.entry.tell(Some(out));
        setup.entry.link.send(Frame::Reserve(part.clone()));
        let denied = setup.entry.next(pick_denied).await;
        assert!(matches!(denied, Reason::DomainOut { .. }), "{denied}");
        setup.entry.tell(Some(Rules {
            version: 12,
            epoch: 6,
            ..rules()
        }));
        setup.entry.link.send(Frame::Reserve(part));
        let denied = setup.entry.next(pick_denied).await;
        assert_eq!(denied, Reason::EpochSuperseded { newest: 6 });
        assert!(setup.worker.starts.borrow().is_empty());
    });
}

/// Guards against a part of a gang that goes on after one of its tasks failed (R2).
#[test]
fn failed_task_ends_its_part() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let part = part("nest-1");
        setup.launch(&part).await;
        setup.worker.set("nest-1~1~1~2~4", "failed");
        assert_eq!(setup.ended(&part).await, End::Failed);
        let other = setup.worker.state("nest-1~1~0~2~4");
        assert_eq!(other.as_deref(), Some("stopped"));
    });
}

/// Guards against a task that starts twice, or a part that is given up, because a reply was lost.
#[test]
fn lost_reply_does_not_start_a_task_twice() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        setup.worker.lost_replies.set(1);
        setup.launch(&part("nest-1")).await;
        assert_eq!(setup.worker.starts.borrow().len(), 2);
    });
}

/// Guards against a start under a lease that lapsed.
#[test]
fn lease_is_taken_anew_after_it_lapsed() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        setup.worker.lease.set(9);
        setup.launch(&part("nest-1")).await;
        assert_eq!(setup.worker.starts.borrow().len(), 2);
    });
}

/// Guards against tasks that are lost or run unknown when the agent starts again.
#[test]
fn tasks_of_an_earlier_life_are_adopted_and_strange_ones_stopped() {
    run(async |executor| {
        let state = Worker::default();
        state.set("nest-1~1~0~1~4", "failed");
        state.set("nest-1~2~0~1~4", "running");
        state.set("nest-2~1~0~1~2", "done");
        state.set("somebody-elses", "running");
        let setup = setup(executor, state).await;
        let inventory: Vec<_> = setup
            .announce
            .inventory
            .iter()
            .map(|running| (&*running.job, running.attempt, running.accelerators))
            .collect();
        assert!(inventory.contains(&("nest-1", 2, 4)), "{inventory:?}");
        assert!(!inventory.contains(&("nest-1", 1, 4)), "{inventory:?}");
        let (part, end) = setup.entry.next(pick_ended).await;
        assert_eq!((&*part.job, part.attempt, end), ("nest-2", 1, End::Done));
        let adopted = Part {
            attempt: 2,
            tasks: 1,
            ..self::part("nest-1")
        };
        let checkpoint = true;
        let part = adopted.clone();
        setup.entry.link.send(Frame::Stop { part, checkpoint });
        let (part, end) = setup
            .entry
            .next(|frame| pick_ended(frame).filter(|(part, _)| &*part.job == "nest-1"))
            .await;
        assert_eq!((part, end), (adopted, End::Checkpointed));
        let strange = setup.worker.state("somebody-elses");
        assert_eq!(strange.as_deref(), Some("stopped"));
    });
}

/// Guards against a worker that stays announced while it is away, or whose parts are lost with it.
#[test]
fn lost_worker_is_announced_and_its_parts_end_on_return() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let part = part("nest-1");
        setup.launch(&part).await;
        let since = Instant::now();
        setup.server.start();
        let gone = |announce: &Announce| announce.worker.is_none();
        setup.entry.announced(gone).await;
        assert!(since.elapsed() < Duration::from_secs(2));
        let empty = Rc::new(Worker::default());
        let _server = worker(executor, &empty, setup.address).await;
        let (of, end) = setup.entry.next(pick_ended).await;
        assert_eq!((of, end), (part, End::Stopped));
    });
}

/// Guards against a planned stop that leaves a part that was about to end (R8).
#[test]
fn stop_waits_for_parts() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let mut part = part("nest-1");
        part.tasks = 1;
        setup.launch(&part).await;
        setup.stop.send(()).await.expect("runs");
        setup.entry.announced(|announce| announce.leaving).await;
        setup.entry.link.send(Frame::Reserve(self::part("nest-2")));
        assert_eq!(setup.entry.next(pick_denied).await, Reason::Stopping);
        Timer::after(Duration::from_millis(300)).await;
        setup.worker.set("nest-1~1~0~1~4", "done");
        assert_eq!(setup.ended(&part).await, End::Done);
        within(setup.agent).await.expect("stops");
    });
}

/// Guards against a new decider that plans with an inventory of the time when the link came up.
#[test]
fn new_epoch_brings_a_new_inventory() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        setup.launch(&part("nest-1")).await;
        setup.entry.tell(Some(Rules {
            epoch: 6,
            ..rules()
        }));
        let announce = setup
            .entry
            .announced(|announce| !announce.inventory.is_empty())
            .await;
        assert_eq!(&*announce.inventory[0].job, "nest-1");
        assert!(announce.inventory[0].settled);
    });
}

/// Lets 17 s pass for the agent, five times as fast as it does, while the entry tells `rules`.
/// The agent looks at its clock every 100 ms, which must not look like a pause to it.
async fn pass_the_contact_limit(setup: &Setup, rules: Rules) {
    const PAUSE: Duration = Duration::from_millis(20);
    const STEP: Duration = Duration::from_millis(80);
    setup.entry.tell(Some(rules));
    let end = setup.entry.clock.now() + Duration::from_secs(17);
    while setup.entry.clock.now() < end {
        Timer::after(PAUSE).await;
        setup.entry.clock.forward(STEP);
    }
}

/// Guards against two overlapping runs of a job: a decider that has lost an agent starts the job
/// again after 30 s, so the agent stops its parts before.
#[test]
fn parts_stop_without_contact_to_the_decider() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        let part = part("nest-1");
        setup.launch(&part).await;
        // An entry is linked, but it is not the decider.
        let other = Rules {
            deciding: false,
            ..rules()
        };
        pass_the_contact_limit(&setup, other).await;
        assert_eq!(setup.ended(&part).await, End::Checkpointed);
    });
}

/// Guards against parts that stop in a log outage, in which no other decider can start their jobs.
#[test]
fn parts_run_on_without_a_decider_while_the_log_is_away() {
    run(async |executor| {
        let setup = setup(executor, Worker::default()).await;
        setup.launch(&part("nest-1")).await;
        let coasting = Rules {
            standing: Standing::Coasting,
            deciding: false,
            ..rules()
        };
        pass_the_contact_limit(&setup, coasting).await;
        let state = setup.worker.state("nest-1~1~0~2~4");
        assert_eq!(state.as_deref(), Some("running"));
    });
}
