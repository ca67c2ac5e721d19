//! Starts the HTTP servers and dispatches frames from links.

use super::{State, peers, requests};
use crate::decider;
use crate::http::budget::Part;
use crate::http::{self, Limits, Signal};
use crate::link::LinkId;
use crate::resources;
use godwitstep_core::id::Name;
use godwitstep_wire::{Announce, Frame, Heartbeat, Role};
use smol::channel::Receiver;
use smol::net::TcpListener;
use std::rc::Rc;

/// Maximum number of operators' connections, including those that watch resources.
const OPERATOR_CONNECTIONS: usize = 256;

/// Starts the servers for callers and operators. The returned future ends once the shutdown has
/// started and the requests in progress have been answered.
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
    let caller_share = state.budget.server("callers", Part::Callers);
    let operator_share = state
        .budget
        .server("operators", Part::Reserved)
        .at_most(OPERATOR_CONNECTIONS);
    let callers = http::serve_within(callers, limits, caller_share, signal.clone(), for_callers);
    let operators = http::serve_within(
        operators,
        limits,
        operator_share,
        signal.clone(),
        for_operators,
    );
    let callers = spawn_server(state, callers);
    let operators = spawn_server(state, operators);
    async move {
        callers.wait().await;
        operators.wait().await;
    }
}

/// Starts a server as a task and returns a handle that waits for its end.
fn spawn_server(state: &State, server: impl Future<Output = ()> + 'static) -> ServerHandle {
    let (done, end) = smol::channel::bounded::<()>(1);
    state.spawn(async move {
        server.await;
        drop(done);
    });
    ServerHandle(end)
}

/// Handle that waits until a server task has ended.
struct ServerHandle(Receiver<()>);

impl ServerHandle {
    async fn wait(&self) {
        // The channel is closed when the server has ended.
        let _ = self.0.recv().await;
    }
}

/// Dispatches a frame from an agent or a peer entry by its type.
pub(super) fn handle_frame(state: &Rc<State>, id: LinkId, frame: Frame) {
    let Some((role, name)) = state.links.borrow().role_and_name(id) else {
        // The link was closed or replaced; its remaining frames are out of date.
        return;
    };
    match (role, frame) {
        (Role::Agent, Frame::Announce(announce)) => {
            handle_announcement(state, id, &name, &announce);
        }
        (Role::Agent, Frame::Heartbeat(heartbeat)) => handle_heartbeat(state, &name, &heartbeat),
        (Role::Agent, Frame::Reply(reply)) => requests::handle_reply(state, &name, reply),
        (Role::Agent, Frame::Fenced { id, state: key }) => {
            requests::handle_fence_result(state, &name, id, key);
        }
        (Role::Agent, frame @ Frame::Ended { .. }) => decider::handle_end(state, &name, frame),
        (Role::Agent, frame @ (Frame::Held(_) | Frame::Denied { .. } | Frame::Started(_))) => {
            decider::handle_part_answer(state, &name, frame);
        }
        (Role::Entry, Frame::Heartbeat(heartbeat)) => peers::handle_heartbeat(state, id, heartbeat),
        (Role::Entry, Frame::Gone(targets)) => peers::handle_unreachable_targets(state, targets),
        (Role::Entry, Frame::Records(records)) => peers::handle_records(state, id, &records),
        (Role::Entry, Frame::Want { stream, from }) => {
            peers::send_records(state, id, &stream, from);
        }
        (role, frame) => {
            tracing::debug!(peer = %name, ?role, ?frame, "unexpected frame for an entry; ignored");
        }
    }
}

fn handle_announcement(state: &Rc<State>, id: LinkId, name: &Name, announce: &Announce) {
    let target = announce
        .target
        .as_ref()
        .is_none_or(|target| target.id == *name);
    let worker = announce
        .worker
        .as_ref()
        .is_none_or(|worker| worker.id == *name);
    if !(target && worker) {
        tracing::warn!(peer = %name, "announcement names another process; ignored");
        return;
    }
    let before = {
        let mut links = state.links.borrow_mut();
        let Some(agent) = links.agent_by_link(id) else {
            return;
        };
        agent.announce.replace(announce.clone())
    };
    requests::handle_announcement(state, before.as_ref(), announce);
    decider::handle_announcement(state, name, announce);
}

fn handle_heartbeat(state: &Rc<State>, name: &Name, heartbeat: &Heartbeat) {
    if let Some(load) = heartbeat.load {
        requests::handle_load(state, name, load);
    }
    if let Some(busy) = heartbeat.busy_accelerators {
        decider::handle_usage(state, name, busy);
    }
}
