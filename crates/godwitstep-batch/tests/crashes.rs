//! Tasks that crash the workers that run them, and tasks that run beside such a task.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::{Incarnation, JobId, Run, Task};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{CrashedRun, EndReason};
use godwitstep_batch::planner::{Decision, Planner};
use godwitstep_batch::progress::{self, Crashes, Outcome, Progress};
use serde::{Deserialize, Serialize};
use simulation::{COMPLETED, Simulation, gang, seconds, step};
use std::collections::BTreeSet;
use std::time::Duration;

const FAILED: Option<Status> = Some(Status::Ended(Outcome::Failed));
/// Job whose tasks run beside deadly ones.
const INNOCENT: JobId = 1;
/// Job whose tasks crash each worker that starts them.
const DEADLY: JobId = 2;

/// Returns the number of the last run of a job's first task.
fn last_run(sim: &Simulation, job: JobId) -> Run {
    let placed = sim.decisions.iter().filter_map(|decision| match decision {
        Decision::Placed { task, run, .. } if task.job == job => Some(*run),
        _ => None,
    });
    placed.max().unwrap_or_default()
}

/// Crashes each worker that runs a task of a job. Returns the number of workers.
fn crash_workers_of(sim: &mut Simulation, job: JobId, age: Duration) -> usize {
    let hosts: BTreeSet<String> = sim.hosts_running(job).into_iter().collect();
    for host in &hosts {
        sim.hosts.get_mut(host).unwrap().crash_worker(age);
    }
    hosts.len()
}

/// Runs rounds in which the deadly job crashes its workers at once. Returns the number of crashes.
fn run_deadly(sim: &mut Simulation, time: Duration) -> usize {
    let end = sim.now + time;
    let mut crashes = 0;
    while sim.now < end {
        sim.round();
        crashes += crash_workers_of(sim, DEADLY, Duration::ZERO);
    }
    crashes
}

/// Returns the hosts that run tasks of both jobs.
fn shared_hosts(sim: &Simulation) -> usize {
    let hosts = |job| sim.hosts_running(job).into_iter().collect::<BTreeSet<_>>();
    hosts(INNOCENT).intersection(&hosts(DEADLY)).count()
}

/// Guards against a task that crashes one worker after another without end.
#[test]
fn a_task_that_crashes_two_workers_alone_is_given_up() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(DEADLY, "normal", "north", vec![step(1, 8, seconds(5))]);
    assert_eq!(run_deadly(&mut sim, seconds(10)), 2);
    assert_eq!(sim.status(DEADLY), FAILED);
    assert!(sim.has_decision(|decision| matches!(
        decision,
        Decision::Crashed { alone: true, prompt: true, given_up: true, crashes, .. }
            if crashes.count == 2 && crashes.hosts.len() == 2
    )));
}

/// Guards against a neighbour of a deadly task that is given up with it, or crashed again by it.
#[test]
fn a_task_beside_the_cause_of_a_crash_completes_without_another_crash() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(3, 1, seconds(5))]);
    sim.run_for(seconds(1));
    sim.submit(DEADLY, "normal", "south", vec![step(1, 1, seconds(5))]);
    assert_eq!(run_deadly(&mut sim, seconds(12)), 3);
    assert_eq!(sim.status(DEADLY), FAILED);
    assert_eq!(sim.status(INNOCENT), COMPLETED);
    assert_eq!(last_run(&sim, INNOCENT), 2, "one crash each");
}

/// Guards against a suspect that starts beside another job's task, or another job's task beside a suspect.
#[test]
fn a_suspect_and_other_jobs_start_on_different_workers() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(DEADLY, "normal", "south", vec![step(2, 1, seconds(8))]);
    sim.round();
    crash_workers_of(&mut sim, DEADLY, seconds(3));
    sim.submit(INNOCENT, "normal", "north", vec![step(4, 1, seconds(8))]);
    for _ in 0..18 {
        sim.round();
        assert_eq!(shared_hosts(&sim), 0);
    }
    assert_eq!(sim.hosts_running(DEADLY).len(), 2);
    assert_eq!(sim.hosts_running(INNOCENT).len(), 4);
    sim.run_for(seconds(12));
    assert_eq!(sim.status(DEADLY), COMPLETED);
}

/// Guards against a count of crashes that a new decider does not know.
#[test]
fn a_new_decider_continues_the_count() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(3, 1, seconds(5))]);
    sim.run_for(seconds(1));
    sim.submit(DEADLY, "normal", "south", vec![step(1, 1, seconds(5))]);
    let mut crashes = 0;
    for epoch in 2..6 {
        crashes += run_deadly(&mut sim, Duration::from_millis(200));
        sim.planner = Planner::new(epoch << 20, sim.now, Bounds::default());
    }
    crashes += run_deadly(&mut sim, seconds(10));
    assert_eq!((crashes, sim.status(DEADLY)), (3, FAILED));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a task that is given up for crashes that have another cause: beside a deadly one, and later on its own.
#[test]
fn a_task_whose_worker_crashes_long_after_its_start_is_given_up_at_the_fourth_crash_only() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 8, seconds(6))]);
    for _ in 0..3 {
        sim.run_for(seconds(3));
        assert_eq!(crash_workers_of(&mut sim, INNOCENT, seconds(3)), 1);
    }
    sim.run_for(seconds(9));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a task that is given up because a host crashes whatever runs there.
#[test]
fn a_task_avoids_a_host_whose_worker_crashed() {
    let mut sim = Simulation::new(2, 2);
    // The fuller worker is preferred.
    sim.submit(9, "normal", "south", vec![step(1, 2, seconds(60))]);
    sim.round();
    let host = sim.hosts_running(9)[0].clone();
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 1, seconds(3))]);
    for _ in 0..60 {
        sim.round();
        if sim.hosts_running(INNOCENT).contains(&host) {
            sim.hosts
                .get_mut(&host)
                .unwrap()
                .crash_worker(Duration::ZERO);
        }
    }
    assert_eq!(sim.status(INNOCENT), COMPLETED);
    assert_eq!(last_run(&sim, INNOCENT), 2);
}

/// Guards against a task that can run on one host only and is started there without end.
#[test]
fn a_task_without_another_host_is_given_up_at_the_third_crash() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(DEADLY, "normal", "south", vec![step(1, 1, seconds(5))]);
    assert_eq!(run_deadly(&mut sim, seconds(10)), 3);
    assert_eq!(sim.status(DEADLY), FAILED);
}

/// Guards against a task that is never given up because other jobs' tasks run beside it at each crash.
#[test]
fn a_task_is_given_up_at_the_fourth_crash_whoever_ran_beside_it() {
    let mut sim = Simulation::new(5, 5);
    sim.submit(DEADLY, "normal", "south", vec![step(1, 1, seconds(60))]);
    let task = Task {
        job: INNOCENT,
        step: 0,
        index: 0,
    };
    let neighbour = CrashedRun {
        task,
        run: 1,
        age_ms: 0,
    };
    let mut crashes = 0;
    for _ in 0..40 {
        sim.round();
        crashes += crash_workers_of(&mut sim, DEADLY, Duration::ZERO);
        let reported = sim.hosts.values_mut().flat_map(|host| &mut host.crashed);
        for crash in reported.filter(|crash| crash.runs.len() == 1) {
            crash.runs.push(neighbour);
        }
    }
    assert_eq!((crashes, sim.status(DEADLY)), (4, FAILED));
}

/// Guards against a gang that is given up too early because the crashes under all members are added up.
#[test]
fn crashes_under_a_gang_count_for_each_member() {
    let mut sim = Simulation::new(4, 4);
    sim.submit(DEADLY, "normal", "south", vec![gang(2, 8, seconds(5))]);
    sim.round();
    assert_eq!(crash_workers_of(&mut sim, DEADLY, Duration::ZERO), 2);
    sim.round();
    let state = &sim.ledger.job(DEADLY).unwrap().progress.steps[0];
    let counts: Vec<u32> = state
        .crashes
        .values()
        .map(|crashes| crashes.count)
        .collect();
    assert_eq!(counts, [1, 1]);
    assert_eq!(
        sim.status(DEADLY),
        Some(Status::Queued),
        "no worker has listed a run"
    );
    run_deadly(&mut sim, seconds(5));
    assert_eq!(sim.status(DEADLY), FAILED);
}

/// Guards against a task that is given up although its workers did not crash: they left, or were replaced while their
/// agents could not see why.
#[test]
fn workers_that_end_without_a_crash_do_not_count() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 8, seconds(5))]);
    for _ in 0..8 {
        sim.run_for(seconds(1));
        let host = sim.hosts_running(INNOCENT)[0].clone();
        sim.hosts.get_mut(&host).unwrap().rename_worker();
    }
    sim.run_for(seconds(8));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a task that is blamed for a crash before it began.
#[test]
fn a_run_that_the_crash_did_not_end_does_not_count() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 8, seconds(5))]);
    for _ in 0..4 {
        sim.round();
        let host = sim.hosts_running(INNOCENT)[0].clone();
        let host = sim.hosts.get_mut(&host).unwrap();
        host.worker.running.clear();
        host.crash_worker(Duration::ZERO);
    }
    sim.run_for(seconds(8));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a suspect that waits forever because each worker that becomes free gets other jobs' tasks.
#[test]
fn a_suspect_gets_a_worker_of_a_full_floor() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 1, seconds(3))]);
    sim.round();
    crash_workers_of(&mut sim, INNOCENT, seconds(1));
    // The tasks on the full floor end at different times.
    sim.view_age = seconds(60);
    sim.round();
    sim.view_age = Duration::ZERO;
    for job in 0..6 {
        let estimate = Duration::from_millis(3_000 + 700 * (job % 7));
        sim.submit(100 + job, "urgent", "south", vec![step(2, 2, estimate)]);
    }
    sim.run_for(seconds(2));
    for job in 0..90 {
        let estimate = Duration::from_millis(3_000 + 700 * (job % 7));
        sim.submit(200 + job, "patient", "south", vec![step(2, 2, estimate)]);
    }
    sim.run_for(seconds(20));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Returns the time until a job runs somewhere, in a simulation that goes on for up to 20 s.
fn time_to_run(sim: &mut Simulation, job: JobId) -> Duration {
    let since = sim.now;
    while sim.hosts_running(job).is_empty() && sim.now < since + seconds(20) {
        sim.round();
    }
    sim.now.saturating_sub(since)
}

/// Keeps a task of another job on each worker for a long time.
fn occupy_all_workers(sim: &mut Simulation, workers: u16) {
    let tasks = Step {
        per_worker: 1,
        ..step(workers, 0, seconds(600))
    };
    sim.submit(9, "patient", "south", vec![tasks]);
    sim.round();
    assert_eq!(sim.hosts_running(9).len(), usize::from(workers));
}

/// Guards against a task that waits for an empty worker without end after one crash, on a cluster with room for it.
#[test]
fn a_suspect_joins_others_if_no_worker_becomes_empty() {
    for steps in [step(1, 0, seconds(9)), gang(2, 0, seconds(9))] {
        let mut sim = Simulation::new(4, 4);
        occupy_all_workers(&mut sim, 4);
        sim.submit(INNOCENT, "normal", "north", vec![steps]);
        sim.run_for(seconds(2));
        crash_workers_of(&mut sim, INNOCENT, seconds(2));
        let wait = time_to_run(&mut sim, INNOCENT);
        assert!(wait < seconds(3), "{wait:?}");
        sim.run_for(seconds(12));
        assert_eq!(sim.status(INNOCENT), COMPLETED);
    }
}

/// Guards against waits that grow without end with the crashes under a task.
#[test]
fn the_wait_for_an_empty_worker_is_limited_after_each_crash() {
    let mut sim = Simulation::new(5, 5);
    occupy_all_workers(&mut sim, 5);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 0, seconds(9))]);
    for crashes in 1..4 {
        sim.run_for(seconds(3));
        crash_workers_of(&mut sim, INNOCENT, seconds(3));
        let wait = time_to_run(&mut sim, INNOCENT);
        assert!(wait < seconds(2 * crashes + 1), "{wait:?}");
    }
    sim.run_for(seconds(12));
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a task that waits for other hosts, which are full, while the one on which its worker crashed has room.
#[test]
fn a_suspect_returns_to_its_host_if_no_other_has_room() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 1, seconds(9))]);
    sim.round();
    let host = sim.hosts_running(INNOCENT)[0].clone();
    sim.submit(9, "normal", "south", vec![step(1, 8, seconds(600))]);
    sim.submit(10, "normal", "south", vec![step(1, 1, seconds(600))]);
    sim.run_for(seconds(1));
    crash_workers_of(&mut sim, INNOCENT, seconds(1));
    let wait = time_to_run(&mut sim, INNOCENT);
    assert!(wait < seconds(3), "{wait:?}");
    assert_eq!(sim.hosts_running(INNOCENT), [host]);
}

/// Guards against innocent tasks that are given up because they start again beside the one that crashes their workers.
#[test]
fn a_deadly_task_crashes_no_task_twice_on_a_cluster_without_empty_workers() {
    let mut sim = Simulation::new(6, 6);
    occupy_all_workers(&mut sim, 6);
    let neighbours = 11..13;
    for job in neighbours.clone() {
        sim.submit(job, "normal", "north", vec![step(1, 0, seconds(40))]);
    }
    sim.run_for(seconds(3));
    sim.submit(DEADLY, "normal", "south", vec![step(1, 0, seconds(40))]);
    assert!(run_deadly(&mut sim, seconds(30)) <= 4);
    assert_eq!(sim.status(DEADLY), FAILED);
    sim.run_for(seconds(60));
    for job in neighbours {
        assert_eq!(sim.status(job), COMPLETED);
        assert_eq!(last_run(&sim, job), 2, "one crash each");
    }
}

/// Guards against a worker that stands idle until a suspect can start there.
#[test]
fn short_tasks_run_on_a_worker_that_a_suspect_waits_for() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(INNOCENT, "normal", "north", vec![step(1, 1, seconds(3))]);
    sim.round();
    let host = sim.hosts_running(INNOCENT)[0].clone();
    crash_workers_of(&mut sim, INNOCENT, seconds(1));
    sim.hosts.get_mut(&host).unwrap().worker.info.draining = true;
    sim.submit(9, "urgent", "south", vec![step(1, 1, seconds(20))]);
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(9).len(), 1);
    assert!(sim.hosts_running(INNOCENT).is_empty());
    sim.submit(10, "patient", "south", vec![step(1, 1, seconds(2))]);
    sim.submit(11, "patient", "south", vec![step(1, 1, seconds(40))]);
    sim.run_for(seconds(1));
    assert_eq!(
        sim.hosts_running(10).len(),
        1,
        "ends before the suspect starts"
    );
    assert!(
        sim.hosts_running(11).is_empty(),
        "would be beside the suspect"
    );
}

/// Guards against an urgent suspect that stops work on a worker bit by bit, and waits for the rest of it.
#[test]
fn an_urgent_suspect_stops_all_patient_work_on_one_worker() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(INNOCENT, "urgent", "north", vec![step(1, 1, seconds(3))]);
    sim.round();
    let host = sim.hosts_running(INNOCENT)[0].clone();
    let domain = sim.hosts[&host].worker.info.domain.clone();
    sim.domains_out.insert(domain);
    sim.submit(9, "patient", "south", vec![step(8, 1, seconds(60))]);
    sim.round();
    assert_eq!(sim.hosts_running(9).len(), 8);
    crash_workers_of(&mut sim, INNOCENT, seconds(1));
    let stopped = |sim: &Simulation| {
        let decisions = sim.decisions.iter();
        let preempted = |decision: &&Decision| matches!(decision, Decision::Preempted { .. });
        decisions.filter(preempted).count()
    };
    while stopped(&sim) == 0 && sim.now < seconds(110) {
        sim.round();
    }
    assert_eq!(stopped(&sim), 8, "all work on one worker");
    sim.run_for(seconds(5));
    assert_eq!(stopped(&sim), 8);
    assert_eq!(sim.status(INNOCENT), COMPLETED);
}

/// Guards against a task that stays isolated after it has shown that it does not crash its worker.
#[test]
fn a_task_that_is_done_is_cleared() {
    let mut sim = Simulation::new(2, 2);
    let steps = vec![
        step(1, 1, seconds(1)),
        Step {
            depends_on: vec![0],
            ..step(1, 1, seconds(9))
        },
    ];
    sim.submit(INNOCENT, "normal", "north", steps);
    sim.round();
    crash_workers_of(&mut sim, INNOCENT, seconds(1));
    sim.run_for(seconds(3));
    let state = &sim.ledger.job(INNOCENT).unwrap().progress.steps[0];
    assert!(state.done() && state.crashes.is_empty());
}

/// Guards against a count that a failed run resets, so that a task crashes more workers than it may.
#[test]
fn a_failed_run_does_not_clear_a_task() {
    let mut sim = Simulation::new(4, 2);
    sim.submit(DEADLY, "normal", "south", vec![step(1, 8, seconds(5))]);
    sim.round();
    crash_workers_of(&mut sim, DEADLY, Duration::ZERO);
    sim.round();
    let task = Task {
        job: DEADLY,
        step: 0,
        index: 0,
    };
    let host = sim.hosts_running(DEADLY)[0].clone();
    assert!(
        sim.hosts
            .get_mut(&host)
            .unwrap()
            .end_run(task, 2, EndReason::Failed)
    );
    assert_eq!(run_deadly(&mut sim, seconds(10)), 1);
    assert_eq!(sim.status(DEADLY), FAILED);
}

/// A step as processes of the version before read it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierStep {
    tasks: Vec<progress::Task>,
    failed_run: Run,
}

/// Guards against records that processes of the version before can't read, or that this version can't read of them.
#[test]
fn processes_of_the_version_before_read_the_record() {
    let mut progress = Progress::new(&[step(2, 1, seconds(1))]);
    let mut bytes = Vec::new();
    let earlier = EarlierStep {
        tasks: progress.steps[0].tasks.clone(),
        failed_run: 0,
    };
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let step: progress::Step = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(step, progress.steps[0]);
    let crashes = Crashes {
        count: 1,
        hosts: ["host-1".into()].into(),
        ..Crashes::default()
    };
    progress.steps[0].crashes.insert(1, crashes);
    progress.steps[0].broken_run = 3;
    progress.steps[0].unexplained.push(progress::End {
        index: 1,
        run: 2,
        incarnation: Incarnation {
            host: "host-1".into(),
            worker: "worker-1".into(),
            started_ms: 1,
        },
    });
    bytes.clear();
    ciborium::into_writer(&progress.steps[0], &mut bytes).unwrap();
    let read: EarlierStep = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, earlier);
    let step: progress::Step = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(step, progress.steps[0]);
}
