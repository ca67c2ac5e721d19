//! Connects the caller front end to the links.

use super::State;
use super::links::Agent;
use crate::caller::{AgentCommand, Frontend, Options};
use crate::http::{Body, respond};
use godwitstep_core::id::Name;
use godwitstep_core::reason::Reason;
use godwitstep_core::router::{Event, KeyState, Settings, Target};
use godwitstep_wire::{Announce, Frame, Load, Outcome, Reply, RequestId};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Creates the caller front end, routes its commands to the links and starts its timer task.
pub(super) fn connect(state: &Rc<State>) {
    let identity = &state.identity;
    let options = Options {
        entry: identity.name.clone(),
        incarnation: identity.incarnation,
        settings: Settings::new(identity.domain.clone()),
        seed: identity.incarnation,
    };
    let weak = Rc::downgrade(state);
    let sink = move |command| {
        if let Some(state) = weak.upgrade() {
            dispatch(&state, command);
        }
    };
    let front = Rc::new(Frontend::new(options, Arc::clone(&state.clock), sink));
    let timer = Rc::clone(&front);
    state.spawn(async move { timer.run().await });
    if state.front.set(front).is_err() {
        tracing::error!("the caller front end was created twice");
    }
}

/// Sends a command to the agent of its target. If a request or a fence cannot be queued on a link,
/// the front end gets a reply at once: the request was not started, or the key's state is unknown.
fn dispatch(state: &State, command: AgentCommand) {
    let links = state.links.borrow();
    match command {
        AgentCommand::Send { target, request } => {
            let id = request.id;
            let sent = links.send(&target, Frame::Request(request));
            drop(links);
            if !sent && let Some(front) = state.front() {
                let reason = Reason::TargetLost;
                let outcome = Outcome::NotStarted { reason };
                let served = Duration::ZERO;
                front.reply(
                    target,
                    Reply {
                        id,
                        outcome,
                        served,
                    },
                );
            }
        }
        AgentCommand::Fence { target, id, key } => {
            let sent = links.send(&target, Frame::Fence { id, key });
            drop(links);
            if !sent && let Some(front) = state.front() {
                front.fenced(target, id, KeyState::Unknown);
            }
        }
        AgentCommand::Cancel { target, id } => {
            links.send(&target, Frame::Cancel { id });
        }
    }
}

pub(super) fn unavailable() -> Response<Body> {
    respond(StatusCode::SERVICE_UNAVAILABLE, "the entry starts\n")
}

/// Reports the target in an agent's announcement to the router.
pub(super) fn handle_announcement(state: &State, before: Option<&Announce>, announce: &Announce) {
    let Some(front) = state.front() else { return };
    let previous = before.and_then(|before| before.target.as_ref());
    match &announce.target {
        Some(target) => {
            front.handle(Event::TargetUp(target.clone()));
            if announce.leaving {
                front.handle(Event::TargetLeaving {
                    id: target.id.clone(),
                });
            }
        }
        None => {
            if let Some(target) = previous {
                front.handle(target_lost(target));
            }
        }
    }
}

/// Reports the target of an agent whose link is lost to the router.
pub(super) fn handle_link_loss(state: &State, agent: &Agent) {
    let announced = agent.announce.as_ref();
    let target = announced.and_then(|announce| announce.target.as_ref());
    if let (Some(front), Some(target)) = (state.front(), target) {
        front.handle(target_lost(target));
    }
}

fn target_lost(target: &Target) -> Event {
    Event::TargetLost {
        id: target.id.clone(),
        incarnation: target.incarnation,
    }
}

pub(super) fn handle_load(state: &State, name: &Name, load: Load) {
    if let Some(front) = state.front() {
        front.handle(Event::Load {
            id: name.clone(),
            busy: load.busy,
            ours: load.from_receiver,
        });
    }
}

pub(super) fn handle_reply(state: &State, agent: &Name, reply: Reply) {
    if let Some(front) = state.front() {
        front.reply(agent.clone(), reply);
    }
}

pub(super) fn handle_fence_result(state: &State, agent: &Name, id: RequestId, key: KeyState) {
    if let Some(front) = state.front() {
        front.fenced(agent.clone(), id, key);
    }
}
