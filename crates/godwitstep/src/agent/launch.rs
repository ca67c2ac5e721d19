//! Starts and stops the tasks of a part on the worker.

use super::lease;
use super::parts::{PartId, Parts, WorkerAction, WorkerHandle, apply};
use super::state::Agent;
use super::task::Task;
use super::worker::{CallError, StartRequest};
use godwitstep_core::hold::Event;
use godwitstep_core::planner::End;
use std::rc::Rc;
use std::time::Duration;

/// Calls to start one task before the launch of its part is aborted.
const MAX_START_CALLS: u32 = 3;
/// Run time passed to the worker if the job declares none.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(60);

/// How a launch failed in which not all tasks of a part were started.
enum LaunchFailure {
    /// No task can have started.
    NoneStarted,
    /// Some tasks run or may run.
    Partial,
}

/// Executes an action on the worker.
pub(super) async fn execute(agent: Rc<Agent>, action: WorkerAction) {
    let Some(worker) = &agent.worker else { return };
    match action {
        WorkerAction::Launch(id) => launch(&agent, worker, id).await,
        WorkerAction::Stop(id) => stop(&agent, worker, &id).await,
    }
}

async fn launch(agent: &Agent, worker: &WorkerHandle, id: PartId) {
    let result = start_all(agent, worker, &id).await;
    let (job, attempt) = id.clone();
    if matches!(result, Err(LaunchFailure::NoneStarted)) {
        let end = End::NotStarted;
        return apply(agent, Event::Ended { job, attempt, end });
    }
    worker.parts.borrow_mut().finish_launch(&id, result.is_ok());
    if result.is_ok() {
        apply(agent, Event::Launched { job, attempt });
    }
    // A partially started part ends when the task list shows that none of its tasks runs any more.
    // A stop command received during the launch has not been sent to the worker yet.
    let stop_requested = |parts: &Parts| {
        parts
            .active
            .get(&id)
            .is_some_and(|part| part.stop.is_some())
    };
    if stop_requested(&worker.parts.borrow()) {
        stop(agent, worker, &id).await;
    }
}

async fn start_all(agent: &Agent, worker: &WorkerHandle, id: &PartId) -> Result<(), LaunchFailure> {
    let pauses = agent.pauses.get();
    let Some(size) = part_size(worker, id) else {
        return Err(LaunchFailure::NoneStarted);
    };
    for task in part_tasks(id, size) {
        let launch_failure = |failure: Option<CallError>| {
            if let Some(error) = failure {
                tracing::warn!(%task, %error, "can't start the task");
            }
            if task.index == 0 {
                LaunchFailure::NoneStarted
            } else {
                LaunchFailure::Partial
            }
        };
        let mut attempt = 1;
        loop {
            let lease = lease::ensure_valid(agent, worker)
                .await
                .map_err(|failure| launch_failure(Some(failure)))?;
            // There must be no await between this check and the call.
            agent.detect_pause();
            if agent.pauses.get() != pauses || !may_start(agent, worker, id) {
                return Err(launch_failure(None));
            }
            let name = task.to_string();
            let run = worker
                .parts
                .borrow()
                .run_time(id)
                .unwrap_or(DEFAULT_RUN_TIME);
            let start = StartRequest {
                lease: &lease,
                task: &name,
                accelerators: task.accelerator_share(),
                run_ms: u64::try_from(run.as_millis()).unwrap_or(u64::MAX),
            };
            let Err(failure) = worker.client.start(&start).await else {
                break;
            };
            // An earlier call may have started the task although its response was lost.
            if is_listed(worker, &name).await {
                break;
            }
            if attempt == MAX_START_CALLS {
                let without_effect = failure.is_without_effect();
                let launch_failure = launch_failure(Some(failure));
                return Err(if without_effect {
                    launch_failure
                } else {
                    LaunchFailure::Partial
                });
            }
            // The worker may have dropped the lease, for example after a restart.
            worker.parts.borrow_mut().lease = None;
            attempt += 1;
        }
    }
    Ok(())
}

/// Returns whether a part may still start: no stop was requested, and its domain is in service.
fn may_start(agent: &Agent, worker: &WorkerHandle, id: &PartId) -> bool {
    let parts = worker.parts.borrow();
    let stop_not_requested = parts.active.get(id).is_some_and(|part| part.stop.is_none());
    stop_not_requested
        && !agent
            .rules
            .borrow()
            .is_out_of_service(&agent.settings.domain)
}

async fn is_listed(worker: &WorkerHandle, name: &str) -> bool {
    let list = worker.client.list(None, Duration::ZERO).await;
    list.is_ok_and(|list| list.tasks.iter().any(|listed| listed.task == name))
}

/// Requests that the worker stop the tasks of a part.
pub(super) async fn stop(agent: &Agent, worker: &WorkerHandle, id: &PartId) {
    let checkpoint = {
        let mut parts = worker.parts.borrow_mut();
        match parts.active.get_mut(id) {
            Some(active) if !active.launching => {
                active.stop_sent = Some(agent.now());
                active.stop.unwrap_or(false)
            }
            // The launch checks for a stop before it starts its next task.
            _ => return,
        }
    };
    let Some(size) = part_size(worker, id) else {
        return;
    };
    for task in part_tasks(id, size) {
        if let Err(error) = worker.client.stop(&task.to_string(), checkpoint).await {
            // Usually the task has already ended. Otherwise the task list still shows it as
            // running, and the call is repeated.
            tracing::debug!(%task, %error, "can't stop the task");
        }
    }
}

fn part_size(worker: &WorkerHandle, id: &PartId) -> Option<(u32, u32)> {
    let parts = worker.parts.borrow();
    let active = parts.active.get(id)?;
    Some((active.tasks, active.accelerators))
}

fn part_tasks(id: &PartId, (tasks, accelerators): (u32, u32)) -> impl Iterator<Item = Task> {
    let (job, attempt) = id.clone();
    (0..tasks).map(move |index| Task {
        job: job.clone(),
        attempt,
        index,
        tasks,
        accelerators,
    })
}
