//! What the ends of runs mean, seen and unseen.

mod scene;

use godwitstep_batch::bounds::{Bounds, COAST};
use godwitstep_batch::id::Task;
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{Contact, How};
use godwitstep_batch::progress::{Outcome, State};
use scene::{DONE, STEP, Scene, gang, seconds, step};
use std::time::Duration;

/// Guards against a task that is started again after as many failures as its queue allows.
#[test]
fn a_task_that_always_fails_ends_its_job() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(2))]);
    for _ in 0..30 {
        scene.round();
        for number in 0..3 {
            let rows = scene.host(number).worker.running.clone();
            for row in rows {
                assert!(row.run <= 3, "run {} of 3 allowed", row.run);
                scene.host(number).end(row.task, row.run, How::Failed);
            }
        }
    }
    assert_eq!(scene.status(1), Some(Status::Ended(Outcome::Failed)));
}

/// Guards against a gang whose failed run is counted once for each of its members.
#[test]
fn a_failed_run_of_a_gang_counts_once() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![gang(3, 8, seconds(2))]);
    scene.round();
    for number in 0..3 {
        let rows = scene.host(number).worker.running.clone();
        for row in rows {
            scene.host(number).end(row.task, row.run, How::Failed);
        }
    }
    scene.round();
    let tasks = &scene.ledger.job(1).unwrap().progress.steps[0].tasks;
    let failures: u32 = tasks.iter().map(|task| task.failures).sum();
    assert_eq!(failures, 1);
}

/// Guards against a second run while the agent that had the first one may still keep it alive.
#[test]
fn work_of_a_silent_agent_is_started_again_only_after_the_longest_lease() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    scene.hosts.get_mut(&host).unwrap().heard = false;
    let silence = Bounds::default().silence();
    assert!(silence > COAST + Bounds::default().hold);
    // The last report was sent one step before.
    scene.run(silence.saturating_sub(STEP * 2));
    assert_eq!(
        scene.places(1),
        std::slice::from_ref(&host),
        "started again too early"
    );
    scene.run(seconds(1));
    assert_eq!(scene.places(1).len(), 2, "not started again elsewhere");
}

/// Guards against the end of independent tasks being taken for that of a silent one beside them.
#[test]
fn the_end_of_one_independent_task_tells_nothing_of_another() {
    let mut scene = Scene::new(2, 2);
    let saving = Step {
        saves: true,
        ..step(2, 8, seconds(60))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(2));
    scene.host(0).heard = false;
    let row = scene.host(1).worker.running[0].clone();
    scene.host(1).end(row.task, row.run, How::Failed);
    scene.run(seconds(4));
    let lost = scene.host(0).worker.running[0].task;
    let state = &scene.ledger.job(1).unwrap().progress.steps[0].tasks[usize::from(lost.index)];
    assert!(matches!(state.state, State::Placed(_)));
}

/// Guards against a gang that waits for the longest lease of a silent agent, although its other
/// members have ended and so it has ended as a whole.
#[test]
fn a_gang_whose_members_have_ended_is_over_on_a_silent_agent_too() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    scene.run(seconds(1));
    let hosts = scene.places(1);
    scene.hosts.get_mut(&hosts[0]).unwrap().heard = false;
    let other = scene.hosts.get_mut(&hosts[1]).unwrap();
    let row = other.worker.running[0].clone();
    other.end(row.task, row.run, How::Broken);
    scene.run(seconds(3));
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the gang was not started again");
}

/// Guards against tasks that wait for leases of a worker that has started again.
#[test]
fn a_new_life_of_a_worker_ends_what_ran_in_the_old_one() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(3))]);
    scene.run(seconds(1));
    scene.host(0).reborn();
    scene.run(STEP * 3);
    let rows = &scene.host(0).worker.running;
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].run, 2);
}

/// Guards against a result that is dropped because its run was taken for lost, and against its
/// confirmation before it is recorded.
#[test]
fn a_late_result_is_recorded_before_it_is_confirmed() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    scene.hosts.get_mut(&host).unwrap().heard = false;
    scene.run(Bounds::default().silence() + seconds(1));
    let task = Task {
        job: 1,
        step: 0,
        index: 0,
    };
    let back = scene.hosts.get_mut(&host).unwrap();
    back.heard = true;
    back.end(task, 1, How::Done);
    scene.report();
    scene.decide();
    assert_eq!(scene.status(1), DONE);
    scene.round();
    assert!(scene.hosts[&host].worker.ended.is_empty(), "not confirmed");
}

/// Guards against new tasks on a worker that its agent does not reach, and against a wait beyond the
/// end of its lease.
#[test]
fn work_on_an_unreachable_worker_moves_when_its_lease_has_ended() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    let worker = &mut scene.hosts.get_mut(&host).unwrap().worker;
    worker.contact = Contact::Silent;
    scene.run(seconds(2));
    assert_eq!(scene.places(1), std::slice::from_ref(&host));
    let worker = &mut scene.hosts.get_mut(&host).unwrap().worker;
    worker.contact = Contact::Lapsed;
    worker.running.clear();
    scene.run(seconds(1));
    assert_ne!(scene.places(1), [host]);
}

/// Guards against a second run of a gang whose other members are about to break, where no agent was
/// heard of for a while: the log was away, and the first report after it shows an end.
#[test]
fn a_gang_is_not_over_the_moment_one_member_has_ended() {
    let mut scene = Scene::new(4, 4);
    scene.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    scene.run(seconds(1));
    let hosts = scene.places(1);
    for host in scene.hosts.values_mut() {
        host.heard = false;
    }
    scene.run(seconds(2));
    for (name, host) in &mut scene.hosts {
        host.heard = *name != hosts[1];
    }
    let first = scene.hosts.get_mut(&hosts[0]).unwrap();
    let row = first.worker.running[0].clone();
    first.end(row.task, row.run, How::Stopped);
    scene.run(Duration::from_millis(500));
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 1, "started again while a member may run");
}

/// Guards against a second run of a task whose start was taken by the next life of the worker, which
/// came up under the same name before its agent knew (soak, seeds 1209 and 1308).
#[test]
fn a_start_that_the_next_life_took_is_stopped_before_the_task_starts_elsewhere() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    let worker = scene.hosts.get_mut(&host).unwrap();
    let rows = worker.worker.running.clone();
    worker.reborn();
    worker.worker.running = rows;
    for _ in 0..10 {
        scene.report();
        scene.decide();
        let started = scene.directives.values().any(|own| !own.start.is_empty());
        assert!(
            !started || scene.places(1).is_empty(),
            "{:?}",
            scene.places(1)
        );
        scene.obey();
        scene.pass(STEP);
    }
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the task was not started again");
}

/// Guards against room that is given away while a second run is about to begin there, because the first one,
/// which was taken for lost, turns out to be done (large, scale-2 seed 1: LIMIT).
#[test]
fn a_late_result_does_not_free_the_room_of_a_run_that_has_just_begun() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let first = scene.places(1)[0].clone();
    scene.hosts.get_mut(&first).unwrap().heard = false;
    for _ in 0..200 {
        scene.report();
        scene.decide();
        scene.obey();
        if scene.places(1).len() == 2 {
            break;
        }
        scene.pass(STEP);
    }
    let second = scene.places(1).into_iter().find(|host| *host != first);
    let second = second.expect("the task is started again");
    let host = scene.hosts.get_mut(&first).unwrap();
    host.heard = true;
    let row = host.worker.running[0].clone();
    host.end(row.task, row.run, How::Done);
    // It shows where its tasks run, and its room is gone for others.
    scene.hosts.get_mut(&first).unwrap().worker.about.draining = true;
    scene.submit(2, "normal", "north", vec![step(1, 8, seconds(60))]);
    // The report that shows the second run is late.
    scene.hosts.get_mut(&second).unwrap().heard = false;
    scene.report();
    scene.decide();
    scene.hosts.get_mut(&second).unwrap().heard = true;
    scene.obey();
    scene.check_room();
    for _ in 0..20 {
        scene.round();
        scene.check_room();
    }
    assert_eq!(scene.status(1), DONE);
    assert!(scene.started(2));
}
