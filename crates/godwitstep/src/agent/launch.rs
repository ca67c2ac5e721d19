//! Starts and stops the tasks of a part on the worker.

use super::lease;
use super::parts::{Beside, Id, Job, Parts, apply};
use super::state::Agent;
use super::task::Task;
use super::worker::{Failure, Start};
use godwitstep_core::hold::Event;
use godwitstep_core::planner::End;
use std::rc::Rc;
use std::time::Duration;

/// Calls for the start of one task before its part is given up.
const ATTEMPTS: u32 = 3;
/// Run time that is handed to the worker if the job declares none.
const DEFAULT_RUN: Duration = Duration::from_secs(60);

/// Why the tasks of a part do not all run.
enum Abort {
    /// None of them can have started.
    Clean,
    /// Some run, or may.
    Partial,
}

/// Does what is to be done on the worker.
pub(super) async fn perform(agent: Rc<Agent>, job: Job) {
    let Some(beside) = &agent.worker else { return };
    match job {
        Job::Launch(id) => launch(&agent, beside, id).await,
        Job::Stop(id) => stop(&agent, beside, &id).await,
    }
}

async fn launch(agent: &Agent, beside: &Beside, id: Id) {
    let result = start_all(agent, beside, &id).await;
    let (job, attempt) = id.clone();
    if matches!(result, Err(Abort::Clean)) {
        let end = End::NotStarted;
        return apply(agent, Event::Ended { job, attempt, end });
    }
    beside.parts.borrow_mut().launched(&id, result.is_ok());
    if result.is_ok() {
        apply(agent, Event::Launched { job, attempt });
    }
    // A part that did not start as a whole ends when the task list shows that none of its tasks
    // runs any more. An order to stop that came during the launch has not reached the worker yet.
    let to_stop = |parts: &Parts| {
        parts
            .driven
            .get(&id)
            .is_some_and(|part| part.stop.is_some())
    };
    if to_stop(&beside.parts.borrow()) {
        stop(agent, beside, &id).await;
    }
}

async fn start_all(agent: &Agent, beside: &Beside, id: &Id) -> Result<(), Abort> {
    let pauses = agent.pauses.get();
    let Some(size) = size(beside, id) else {
        return Err(Abort::Clean);
    };
    for task in tasks(id, size) {
        let abort = |failure: Option<Failure>| {
            if let Some(error) = failure {
                tracing::warn!(%task, %error, "task does not start");
            }
            if task.index == 0 {
                Abort::Clean
            } else {
                Abort::Partial
            }
        };
        let mut attempt = 1;
        loop {
            let lease = lease::current(agent, beside)
                .await
                .map_err(|failure| abort(Some(failure)))?;
            // Nothing may be awaited between this check and the call.
            agent.touch();
            if agent.pauses.get() != pauses || !is_wanted(agent, beside, id) {
                return Err(abort(None));
            }
            let name = task.to_string();
            let run = beside.parts.borrow().run(id).unwrap_or(DEFAULT_RUN);
            let start = Start {
                lease: &lease,
                task: &name,
                accelerators: task.share(),
                run_ms: u64::try_from(run.as_millis()).unwrap_or(u64::MAX),
            };
            let Err(failure) = beside.client.start(&start).await else {
                break;
            };
            // The reply to an earlier call may have been lost after its effect.
            if is_listed(beside, &name).await {
                break;
            }
            if attempt == ATTEMPTS {
                let clean = failure.is_without_effect();
                let abort = abort(Some(failure));
                return Err(if clean { abort } else { Abort::Partial });
            }
            // The worker may not know the lease any more.
            beside.parts.borrow_mut().lease = None;
            attempt += 1;
        }
    }
    Ok(())
}

/// Reports whether a part may still start: it is not to stop, and its domain is in service.
fn is_wanted(agent: &Agent, beside: &Beside, id: &Id) -> bool {
    let parts = beside.parts.borrow();
    let wanted = parts.driven.get(id).is_some_and(|part| part.stop.is_none());
    wanted && !agent.rules.borrow().is_out(&agent.settings.domain)
}

async fn is_listed(beside: &Beside, name: &str) -> bool {
    let list = beside.client.list(None, Duration::ZERO).await;
    list.is_ok_and(|list| list.tasks.iter().any(|listed| listed.task == name))
}

/// Tells the worker to stop the tasks of a part.
pub(super) async fn stop(agent: &Agent, beside: &Beside, id: &Id) {
    let checkpoint = {
        let mut parts = beside.parts.borrow_mut();
        match parts.driven.get_mut(id) {
            Some(driven) if !driven.launching => {
                driven.told = Some(agent.now());
                driven.stop.unwrap_or(false)
            }
            // The launch sees the stop before its next task.
            _ => return,
        }
    };
    let Some(size) = size(beside, id) else { return };
    for task in tasks(id, size) {
        if let Err(error) = beside.client.stop(&task.to_string(), checkpoint).await {
            // Mostly a task that has ended already; the task list tells, and the call is repeated.
            tracing::debug!(%task, %error, "task was not stopped");
        }
    }
}

fn size(beside: &Beside, id: &Id) -> Option<(u32, u32)> {
    let parts = beside.parts.borrow();
    let driven = parts.driven.get(id)?;
    Some((driven.tasks, driven.accelerators))
}

fn tasks(id: &Id, (tasks, accelerators): (u32, u32)) -> impl Iterator<Item = Task> {
    let (job, attempt) = id.clone();
    (0..tasks).map(move |index| Task {
        job: job.clone(),
        attempt,
        index,
        tasks,
        accelerators,
    })
}
