//! Passes evidence of the log's tail, and records, between entries.
//!
//! An entry that can read the log tells its peers the tail with each heartbeat. A peer that is
//! behind that tail and can't read the log itself asks for the records it lacks.

use super::State;
use super::follow;
use crate::link::{Link, LinkId};
use godwitstep_core::id::Offset;
use godwitstep_core::registry::Stream;
use godwitstep_core::router::{self, UnreachableTarget};
use godwitstep_wire::{Frame, Heartbeat, Records};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Age of the own evidence from which records are asked for from peers.
const STALE: Duration = Duration::from_millis(1_200);
/// Records of one frame. Unit: bytes.
const MAX_BYTES: usize = 256 * 1024;

/// Heartbeats between two lists of lost targets. The first one of a link carries it, which is what
/// an entry that has just started needs.
const GONE_BEATS: u64 = 10;

const STREAMS: [Stream; 2] = [Stream::Config, Stream::Jobs];

/// Tells a peer the tails that this entry knows and the targets that are linked to it.
pub(super) fn beat(state: &State, link: &Link, sequence: u64) {
    for stream in STREAMS {
        if let Some(frame) = evidence(state, stream) {
            link.send(frame);
        }
    }
    let due = sequence.is_multiple_of(GONE_BEATS);
    let gone = state
        .front()
        .filter(|_| due)
        .map(|front| front.inspect(|router| router.unreachable_targets(state.now())));
    if let Some(gone) = gone.filter(|gone| !gone.is_empty()) {
        link.send(Frame::Gone(gone));
    }
    link.send(Frame::Heartbeat(Heartbeat {
        sequence,
        load: None,
        busy_accelerators: None,
        rules: None,
        targets: state.links.borrow().targets(),
    }));
}

/// Returns a frame with the newest tail and no records, once the state is complete up to a tail.
/// An old one is passed on too: a peer that starts while the log is away needs the records before
/// it.
fn evidence(state: &State, stream: Stream) -> Option<Frame> {
    let position = state.registry.borrow().position(stream);
    let known = state.stream(stream);
    let evidence = known.evidence(state.now(), position)?;
    known.is_ready().then(|| {
        Frame::Records(Records {
            stream: known.name.as_str().into(),
            tail: evidence.tail,
            age: evidence.age,
            next: position,
            records: Vec::new(),
        })
    })
}

/// Takes in a tail and records that a peer passed on.
pub(super) fn take(state: &Rc<State>, id: LinkId, told: &Records) {
    let Some(stream) = stream_of(state, &told.stream) else {
        return;
    };
    // Evidence from before the start of this process has no time on its clock; it is too old, or
    // soon replaced.
    let at = state.now().checked_sub(told.age);
    if let Some(peer) = state.links.borrow_mut().peer_of(id) {
        peer.evidence[stream as usize] = at;
        if told.records.is_empty() {
            peer.positions[stream as usize] = Some(told.next);
        }
    }
    let known = state.stream(stream);
    if let Some(at) = at {
        known.pass(told.tail, at);
    }
    if let Err(gap) = follow::take_all(state, stream, &told.records) {
        tracing::debug!(%gap, "records of a peer do not follow the position");
    }
    let position = state.registry.borrow().position(stream);
    if covers_peers(state, stream, position) {
        known.set_ready(position);
    }
    let own = known.tip.evidence();
    let unread = own.is_none_or(|evidence| evidence.age > STALE);
    if unread && position < told.tail {
        let want = Frame::Want {
            stream: told.stream.clone(),
            from: position,
        };
        if let Some(peer) = state.links.borrow_mut().peer_of(id) {
            peer.link.send(want);
        }
    }
}

/// Reports whether the folded state holds all that the peers know, and they, with this entry, are
/// more than half of the entries: the same that lets them go on while the log is away.
fn covers_peers(state: &State, stream: Stream, position: Offset) -> bool {
    let links = state.links.borrow();
    let told: BTreeMap<_, _> = links
        .peers()
        .filter_map(|peer| Some((&peer.link.peer().name, peer.positions[stream as usize]?)))
        .collect();
    (told.len() + 1) * 2 > state.settings.peers.len()
        && !told.is_empty()
        && told.values().all(|known| *known <= position)
}

/// Answers a peer that lacks records. What is not kept any more can't be passed on; the peer then
/// waits until it can read the log.
pub(super) fn pass(state: &State, id: LinkId, name: &str, from: u64) {
    let Some(stream) = stream_of(state, name) else {
        return;
    };
    let known = state.stream(stream);
    let position = state.registry.borrow().position(stream);
    let evidence = known.evidence(state.now(), position);
    let records = known.recent(from, MAX_BYTES);
    if let (Some(evidence), Some(records)) = (evidence, records)
        && let Some(peer) = state.links.borrow_mut().peer_of(id)
    {
        let next = records.last().map_or(from, |(offset, _)| offset + 1);
        peer.link.send(Frame::Records(Records {
            stream: name.into(),
            tail: evidence.tail,
            age: evidence.age,
            next,
            records,
        }));
    }
}

/// Takes in which targets are linked to a peer.
pub(super) fn hear(state: &State, id: LinkId, told: Heartbeat) {
    let mut links = state.links.borrow_mut();
    let elsewhere: Vec<_> = told
        .targets
        .iter()
        .filter(|target| {
            let agent = links.agent(&target.id);
            agent.is_none_or(|agent| agent.link.peer().incarnation < target.incarnation)
        })
        .cloned()
        .collect();
    if let Some(peer) = links.peer_of(id) {
        peer.targets = told.targets;
    }
    drop(links);
    for target in elsewhere {
        if let Some(front) = state.front() {
            front.handle(router::Event::TargetSeenByPeer(target));
        }
    }
}

/// Takes in which targets a peer has lost.
pub(super) fn lose(state: &State, gone: Vec<UnreachableTarget>) {
    if let Some(front) = state.front() {
        for gone in gone {
            front.handle(router::Event::TargetUnreachable(gone));
        }
    }
}

fn stream_of(state: &State, name: &str) -> Option<Stream> {
    STREAMS
        .into_iter()
        .find(|stream| state.stream(*stream).name == name)
}
