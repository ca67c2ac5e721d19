//! Urgent jobs that keep coming to a floor with a backlog of patient work.

mod scene;

use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Step;
use godwitstep_batch::planner::Decision;
use scene::{ROOM, Scene, gang, seconds, step};
use std::time::Duration;

const WORKERS: usize = 8;

/// Patient jobs: work for the whole floor for a minute.
const PATIENT: std::ops::RangeInclusive<JobId> = 1..=80;

fn fill(scene: &mut Scene) {
    for job in PATIENT {
        scene.submit(job, "patient", "south", vec![step(12, 1, seconds(4))]);
    }
}

fn used(scene: &Scene) -> u64 {
    PATIENT.map(|id| scene.places(id).len() as u64).sum()
}

/// Returns how long the job waited for its first placement.
fn waited(scene: &Scene, job: JobId) -> Option<Duration> {
    scene.decisions.iter().find_map(|decision| match decision {
        Decision::Placed { task, age, .. } if task.job == job => Some(*age),
        _ => None,
    })
}

/// Hands in an urgent gang each 1.5 s. Returns those that started at once.
fn urgent(scene: &mut Scene, jobs: std::ops::Range<JobId>) -> usize {
    for job in jobs.clone() {
        scene.submit(job, "urgent", "north", vec![gang(4, 2, seconds(1))]);
        scene.run(Duration::from_millis(1_500));
    }
    jobs.filter(|job| waited(scene, *job) == Some(Duration::ZERO))
        .count()
}

/// Guards against urgent jobs that each wait until patient tasks were stopped for them.
#[test]
fn urgent_jobs_that_keep_coming_find_room() {
    let mut scene = Scene::new(WORKERS, 4);
    fill(&mut scene);
    scene.run(seconds(1));
    urgent(&mut scene, 100..106);
    let at_once = urgent(&mut scene, 106..126);
    assert!(at_once >= 16, "{at_once} of 20 started at once");
    let accelerators = ROOM.accelerators * WORKERS as u64;
    assert!(
        used(&scene) >= accelerators / 2,
        "patient work keeps {} of {accelerators} accelerators",
        used(&scene)
    );
}

/// Guards against small patient tasks on every worker, so that urgent jobs whose tasks each take a whole worker have
/// others stopped first.
#[test]
fn urgent_jobs_that_take_whole_workers_find_them_empty() {
    let mut scene = Scene::new(WORKERS, 4);
    let mut patient = 1;
    let mut at_once = 0;
    for urgent in 100..120 {
        // Work for two thirds of the floor, of uneven lengths.
        for _ in 0..4 {
            let length = seconds(4 + patient * 3 % 7);
            scene.submit(patient, "patient", "south", vec![step(4, 1, length)]);
            patient += 1;
        }
        scene.run(Duration::from_millis(1_200));
        scene.submit(urgent, "urgent", "north", vec![step(2, 8, seconds(1))]);
        scene.run(Duration::from_millis(1_200));
        let now = |decision: &&Decision| matches!(decision, Decision::Placed { task, age, .. } if task.job == urgent && age.is_zero());
        let placed = scene.decisions.iter().filter(now).count();
        // The first ones show what is to be expected.
        at_once += usize::from(urgent >= 104 && placed == 2);
    }
    assert!(at_once >= 14, "{at_once} of 16 started at once");
    let stopped = scene.decisions.iter();
    let stopped = stopped.filter(|decision| matches!(decision, Decision::Preempted { .. }));
    assert!(stopped.count() <= 4, "patient tasks are stopped for them");
}

/// Guards against accepted work that waits beside idle workers because urgent jobs might come.
#[test]
fn patient_work_does_not_wait_long_beside_idle_workers() {
    let mut scene = Scene::new(4, 4);
    for job in 100..104 {
        scene.submit(job, "urgent", "north", vec![step(4, 8, seconds(1))]);
        scene.run(seconds(2));
    }
    scene.submit(1, "patient", "south", vec![gang(4, 8, seconds(30))]);
    scene.run(seconds(3));
    assert_eq!(scene.places(1).len(), 4);
}

/// Guards against room that stays empty although no urgent job comes any more.
#[test]
fn patient_work_takes_the_whole_floor_when_no_urgent_jobs_come() {
    let mut scene = Scene::new(WORKERS, 4);
    fill(&mut scene);
    scene.run(seconds(1));
    assert_eq!(used(&scene), ROOM.accelerators * WORKERS as u64);
    urgent(&mut scene, 100..106);
    scene.run(seconds(25));
    assert_eq!(used(&scene), ROOM.accelerators * WORKERS as u64);
}

/// Guards against a patient gang that never starts, because small tasks take all room but that which is
/// left for urgent jobs.
#[test]
fn a_patient_gang_starts_between_small_tasks_and_urgent_jobs() {
    let mut scene = Scene::new(WORKERS, 4);
    for job in PATIENT {
        scene.submit(job, "patient", "south", vec![step(4, 1, seconds(1))]);
    }
    urgent(&mut scene, 100..104);
    scene.submit(99, "patient", "south", vec![gang(24, 1, seconds(1))]);
    for job in 201..=300 {
        scene.submit(job, "patient", "south", vec![step(4, 1, seconds(1))]);
    }
    urgent(&mut scene, 104..112);
    assert!(scene.started(99), "the gang waits still");
}

/// Guards against patient jobs that wait although less than half of the floor is in use.
#[test]
fn patient_work_starts_while_half_of_the_floor_is_free() {
    let mut scene = Scene::new(WORKERS, 4);
    urgent(&mut scene, 100..110);
    for number in 0..4 {
        scene.host(number).worker.about.draining = true;
    }
    for job in PATIENT {
        scene.submit(job, "patient", "south", vec![step(2, 1, seconds(30))]);
    }
    scene.run(seconds(1));
    let open = ROOM.accelerators * WORKERS as u64 / 2;
    assert!(used(&scene) >= open / 2, "{} of {open}", used(&scene));
}

/// Guards against a caller whose sizes are beyond any number that fits, which took the decider down or made room that
/// is not there.
#[test]
fn absurd_sizes_take_no_room_and_stop_nobody() {
    let mut scene = Scene::new(WORKERS, 4);
    scene.submit(1, "patient", "south", vec![step(8, 8, seconds(4))]);
    scene.run(seconds(1));
    let absurd = Demand {
        cpu: u64::MAX,
        memory: u64::MAX / 2 + 1,
        accelerators: u64::MAX,
    };
    for (job, queue) in [(100, "urgent"), (101, "normal"), (102, "patient")] {
        let one = Step {
            demand: absurd,
            ..step(2, 0, seconds(1))
        };
        let whole = Step {
            gang: true,
            ..one.clone()
        };
        scene.submit(job, queue, "north", vec![one, whole]);
    }
    scene.run(seconds(2));
    assert_eq!(scene.places(1).len(), 8, "others were stopped for it");
    assert!((100..103).all(|job| scene.places(job).is_empty()));
    scene.submit(103, "urgent", "north", vec![step(1, 8, seconds(1))]);
    scene.run(seconds(8));
    assert_eq!(scene.status(103), scene::DONE);
}
