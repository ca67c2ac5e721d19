//! Serves HTTP and the frames of links.

use super::{State, peers, requests};
use crate::decider;
use crate::http::{self, Limits, Signal};
use crate::link::LinkId;
use crate::resources;
use godwitstep_core::id::Name;
use godwitstep_wire::{Announce, Frame, Heartbeat, Role};
use smol::channel::Receiver;
use smol::net::TcpListener;
use std::rc::Rc;

/// Serves callers and operators until the signal comes and the requests in progress have been
/// answered.
pub(super) fn servers(
    state: &Rc<State>,
    callers: TcpListener,
    operators: TcpListener,
    signal: &Signal,
) -> impl Future<Output = ()> + use<> {
    let front = state.front().cloned();
    let for_callers = async move |request| match &front {
        Some(front) => front.serve(request).await,
        None => requests::unavailable(),
    };
    let store = Rc::clone(state);
    let for_operators = async move |request| resources::handle(&store, request).await;
    let limits = Limits::default();
    let callers = http::serve(callers, limits, signal.clone(), for_callers);
    let operators = http::serve(operators, limits, signal.clone(), for_operators);
    let callers = spawned(state, callers);
    let operators = spawned(state, operators);
    async move {
        callers.wait().await;
        operators.wait().await;
    }
}

/// Runs a server from now on.
fn spawned(state: &State, server: impl Future<Output = ()> + 'static) -> End {
    let (done, end) = smol::channel::bounded::<()>(1);
    state.spawn(async move {
        server.await;
        drop(done);
    });
    End(end)
}

/// Tells when a server has ended.
struct End(Receiver<()>);

impl End {
    async fn wait(&self) {
        // Closed when the server has ended.
        let _ = self.0.recv().await;
    }
}

/// Takes in a frame of an agent or peer.
pub(super) fn frame(state: &Rc<State>, id: LinkId, frame: Frame) {
    let Some((role, name)) = state.links.borrow().name_of(id) else {
        // The link was replaced, and what is left of it is out of date.
        return;
    };
    match (role, frame) {
        (Role::Agent, Frame::Announce(told)) => announce(state, id, &name, &told),
        (Role::Agent, Frame::Heartbeat(told)) => beat(state, &name, &told),
        (Role::Agent, Frame::Reply(reply)) => requests::reply(state, &name, reply),
        (Role::Agent, Frame::Fenced { id, state: key }) => requests::fenced(state, &name, id, key),
        (Role::Agent, frame @ Frame::Ended { .. }) => decider::handle_end(state, &name, frame),
        (Role::Agent, frame @ (Frame::Held(_) | Frame::Denied { .. } | Frame::Started(_))) => {
            decider::handle_part_answer(state, &name, frame);
        }
        (Role::Entry, Frame::Heartbeat(told)) => peers::hear(state, id, told),
        (Role::Entry, Frame::Gone(gone)) => peers::lose(state, gone),
        (Role::Entry, Frame::Records(told)) => peers::take(state, id, &told),
        (Role::Entry, Frame::Want { stream, from }) => peers::pass(state, id, &stream, from),
        (role, frame) => tracing::debug!(peer = %name, ?role, ?frame, "frame is not for an entry"),
    }
}

fn announce(state: &Rc<State>, id: LinkId, name: &Name, told: &Announce) {
    let target = told.target.as_ref().is_none_or(|target| target.id == *name);
    let worker = told.worker.as_ref().is_none_or(|worker| worker.id == *name);
    if !(target && worker) {
        tracing::warn!(peer = %name, "announcement names another process; passed over");
        return;
    }
    let before = {
        let mut links = state.links.borrow_mut();
        let Some(agent) = links.agent_of(id) else {
            return;
        };
        agent.announce.replace(told.clone())
    };
    requests::announced(state, before.as_ref(), told);
    decider::handle_announcement(state, name, told);
}

fn beat(state: &Rc<State>, name: &Name, told: &Heartbeat) {
    if let Some(load) = told.load {
        requests::load(state, name, load);
    }
    if let Some(busy) = told.busy_accelerators {
        decider::handle_usage(state, name, busy);
    }
}
