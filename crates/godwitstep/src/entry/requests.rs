//! Connects the callers' front to the links.

use super::State;
use super::links::Agent;
use crate::caller::{Front, Options, Order};
use crate::http::{Body, respond};
use godwitstep_core::id::Name;
use godwitstep_core::reason::Reason;
use godwitstep_core::router::{Event, KeyState, Settings, Target};
use godwitstep_wire::{Announce, Frame, Load, Outcome, Reply, RequestId};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Makes the front, ties its orders to the links and lets its time pass.
pub(super) fn connect(state: &Rc<State>) {
    let me = &state.identity;
    let options = Options {
        entry: me.name.clone(),
        incarnation: me.incarnation,
        settings: Settings::new(me.domain.clone()),
        seed: me.incarnation,
    };
    let weak = Rc::downgrade(state);
    let sink = move |order| {
        if let Some(state) = weak.upgrade() {
            send(&state, order);
        }
    };
    let front = Rc::new(Front::new(options, Arc::clone(&state.clock), sink));
    let ticking = Rc::clone(&front);
    state.spawn(async move { ticking.run().await });
    if state.front.set(front).is_err() {
        tracing::error!("the front was made twice");
    }
}

/// Sends an order to the agent of its target. A request that can't be queued on a link was not
/// started, which is told to the front at once.
fn send(state: &State, order: Order) {
    let links = state.links.borrow();
    match order {
        Order::Send { target, request } => {
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
        Order::Fence { target, id, key } => {
            let sent = links.send(&target, Frame::Fence { id, key });
            drop(links);
            if !sent && let Some(front) = state.front() {
                front.fenced(target, id, KeyState::Unknown);
            }
        }
        Order::Cancel { target, id } => {
            links.send(&target, Frame::Cancel { id });
        }
    }
}

pub(super) fn unavailable() -> Response<Body> {
    respond(StatusCode::SERVICE_UNAVAILABLE, "the entry starts\n")
}

/// Takes in what an agent says about its target.
pub(super) fn announced(state: &State, before: Option<&Announce>, told: &Announce) {
    let Some(front) = state.front() else { return };
    let previous = before.and_then(|before| before.target.as_ref());
    match &told.target {
        Some(target) => {
            front.handle(Event::TargetUp(target.clone()));
            if told.leaving {
                front.handle(Event::TargetLeaving {
                    id: target.id.clone(),
                });
            }
        }
        None => {
            if let Some(target) = previous {
                front.handle(gone(target));
            }
        }
    }
}

/// Takes in that the link to an agent is lost.
pub(super) fn lost(state: &State, agent: &Agent) {
    let announced = agent.announce.as_ref();
    let target = announced.and_then(|told| told.target.as_ref());
    if let (Some(front), Some(target)) = (state.front(), target) {
        front.handle(gone(target));
    }
}

fn gone(target: &Target) -> Event {
    Event::TargetLost {
        id: target.id.clone(),
        incarnation: target.incarnation,
    }
}

pub(super) fn load(state: &State, name: &Name, load: Load) {
    if let Some(front) = state.front() {
        front.handle(Event::Load {
            id: name.clone(),
            busy: load.busy,
            ours: load.ours,
        });
    }
}

pub(super) fn reply(state: &State, agent: &Name, reply: Reply) {
    if let Some(front) = state.front() {
        front.reply(agent.clone(), reply);
    }
}

pub(super) fn fenced(state: &State, agent: &Name, id: RequestId, key: KeyState) {
    if let Some(front) = state.front() {
        front.fenced(agent.clone(), id, key);
    }
}
