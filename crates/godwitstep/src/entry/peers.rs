//! Exchanges evidence of the log's tail, and records, between entries.
//!
//! An entry that can read the log sends the tail to its peers with each heartbeat. A peer that is
//! behind that tail and cannot read the log itself requests the missing records.

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

/// Age of the own evidence above which missing records are requested from peers.
const STALE_EVIDENCE_AGE: Duration = Duration::from_millis(1_200);
/// Maximum total size of the records in one frame, in bytes.
const MAX_RECORDS_BYTES: usize = 256 * 1024;

/// Number of heartbeats from one list of unreachable targets to the next. The first heartbeat of a
/// link carries the list, because an entry that has just started needs it.
const UNREACHABLE_LIST_INTERVAL: u64 = 10;

const STREAMS: [Stream; 2] = [Stream::Config, Stream::Jobs];

/// Sends a peer a heartbeat with the targets linked to this entry, and before it the known tails
/// and, when due, the list of unreachable targets.
pub(super) fn send_heartbeat(state: &State, link: &Link, sequence: u64) {
    for stream in STREAMS {
        if let Some(frame) = evidence_frame(state, stream) {
            link.send(frame);
        }
    }
    let due = sequence.is_multiple_of(UNREACHABLE_LIST_INTERVAL);
    let unreachable = state
        .front()
        .filter(|_| due)
        .map(|front| front.inspect(|router| router.unreachable_targets(state.now())));
    if let Some(unreachable) = unreachable.filter(|targets| !targets.is_empty()) {
        link.send(Frame::Gone(unreachable));
    }
    link.send(Frame::Heartbeat(Heartbeat {
        sequence,
        load: None,
        busy_accelerators: None,
        rules: None,
        targets: state.links.borrow().targets(),
    }));
}

/// Returns a frame with the newest tail and no records, once the stream is ready. An old tail is
/// sent too: a peer that starts while the log is unavailable needs the records before it.
fn evidence_frame(state: &State, stream: Stream) -> Option<Frame> {
    let position = state.registry.borrow().position(stream);
    let stream_state = state.stream(stream);
    let evidence = stream_state.evidence(state.now(), position)?;
    stream_state.is_ready().then(|| {
        Frame::Records(Records {
            stream: stream_state.name.as_str().into(),
            tail: evidence.tail,
            age: evidence.age,
            next: position,
            records: Vec::new(),
        })
    })
}

/// Handles a tail and records from a peer: folds the records and requests more if some are missing.
pub(super) fn handle_records(state: &Rc<State>, id: LinkId, message: &Records) {
    let Some(stream) = stream_by_name(state, &message.stream) else {
        return;
    };
    // Evidence from before the start of this process has no time on its clock. It is too old to
    // use, or is replaced soon.
    let at = state.now().checked_sub(message.age);
    if let Some(peer) = state.links.borrow_mut().peer_by_link(id) {
        peer.evidence[stream as usize] = at;
        if message.records.is_empty() {
            peer.positions[stream as usize] = Some(message.next);
        }
    }
    let stream_state = state.stream(stream);
    if let Some(at) = at {
        stream_state.set_peer_evidence(message.tail, at);
    }
    if let Err(gap) = follow::fold_records(state, stream, &message.records) {
        tracing::debug!(%gap, "records of a peer leave a gap after the folded position");
    }
    let position = state.registry.borrow().position(stream);
    if covers_peers(state, stream, position) {
        stream_state.set_ready(position);
    }
    let own = stream_state.observed_tail.evidence();
    let outdated = own.is_none_or(|evidence| evidence.age > STALE_EVIDENCE_AGE);
    if outdated && position < message.tail {
        let request = Frame::Want {
            stream: message.stream.clone(),
            from: position,
        };
        if let Some(peer) = state.links.borrow_mut().peer_by_link(id) {
            peer.link.send(request);
        }
    }
}

/// Returns whether the folded state covers the positions of all peers that reported one, and these
/// peers and this entry are more than half of the entries. The same majority lets entries continue
/// while the log is unavailable.
fn covers_peers(state: &State, stream: Stream, position: Offset) -> bool {
    let links = state.links.borrow();
    let peer_positions: BTreeMap<_, _> = links
        .peers()
        .filter_map(|peer| Some((&peer.link.peer().name, peer.positions[stream as usize]?)))
        .collect();
    (peer_positions.len() + 1) * 2 > state.settings.peers.len()
        && !peer_positions.is_empty()
        && peer_positions.values().all(|known| *known <= position)
}

/// Sends the records that a peer requested. If they are no longer buffered, nothing is sent and the
/// peer waits until it can read the log.
pub(super) fn send_records(state: &State, id: LinkId, name: &str, from: u64) {
    let Some(stream) = stream_by_name(state, name) else {
        return;
    };
    let stream_state = state.stream(stream);
    let position = state.registry.borrow().position(stream);
    let evidence = stream_state.evidence(state.now(), position);
    let records = stream_state.recent(from, MAX_RECORDS_BYTES);
    if let (Some(evidence), Some(records)) = (evidence, records)
        && let Some(peer) = state.links.borrow_mut().peer_by_link(id)
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

/// Handles the heartbeat of a peer: stores its targets and reports to the router those without a
/// link here.
pub(super) fn handle_heartbeat(state: &State, id: LinkId, heartbeat: Heartbeat) {
    let mut links = state.links.borrow_mut();
    let seen_by_peer: Vec<_> = heartbeat
        .targets
        .iter()
        .filter(|target| {
            let agent = links.agent(&target.id);
            agent.is_none_or(|agent| agent.link.peer().incarnation < target.incarnation)
        })
        .cloned()
        .collect();
    if let Some(peer) = links.peer_by_link(id) {
        peer.targets = heartbeat.targets;
    }
    drop(links);
    for target in seen_by_peer {
        if let Some(front) = state.front() {
            front.handle(router::Event::TargetSeenByPeer(target));
        }
    }
}

/// Reports the unreachable targets of a peer to the router.
pub(super) fn handle_unreachable_targets(state: &State, targets: Vec<UnreachableTarget>) {
    if let Some(front) = state.front() {
        for target in targets {
            front.handle(router::Event::TargetUnreachable(target));
        }
    }
}

fn stream_by_name(state: &State, name: &str) -> Option<Stream> {
    STREAMS
        .into_iter()
        .find(|stream| state.stream(*stream).name == name)
}
