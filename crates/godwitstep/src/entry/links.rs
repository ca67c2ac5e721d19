//! Open links to agents and peer entries, with the last state that each reported.

use crate::link::{Link, LinkId};
use godwitstep_core::id::{Name, Offset};
use godwitstep_core::router::Target;
use godwitstep_wire::{Announce, Frame, Role};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// An agent with an open link.
pub(crate) struct Agent {
    pub(crate) link: Link,
    /// The announced target and worker of the agent; `None` until the agent has announced itself.
    pub(crate) announce: Option<Announce>,
}

/// A peer entry with an open link.
pub(super) struct Peer {
    pub(super) link: Link,
    /// Time of its last evidence for each stream: when it arrived, on this entry's clock, minus
    /// the age of the evidence.
    pub(super) evidence: [Option<Duration>; 2],
    /// Its last position in each stream; `None` until it has reported that it is ready.
    pub(super) positions: [Option<Offset>; 2],
    /// Targets linked to the peer, from its last heartbeat.
    pub(super) targets: Vec<Target>,
}

/// All open links. An agent has one link; a pair of entries may have two, one dialed by each.
#[derive(Default)]
pub(crate) struct Links {
    agents: BTreeMap<Name, Agent>,
    peers: HashMap<LinkId, Peer>,
    names: HashMap<LinkId, (Role, Name)>,
}

impl Links {
    pub(super) fn insert(&mut self, link: Link) {
        let (id, peer) = (link.id(), link.peer());
        let (role, name) = (peer.role, peer.name.clone());
        self.names.insert(id, (role, name.clone()));
        match role {
            Role::Agent => {
                let announce = None;
                self.agents.insert(name, Agent { link, announce });
            }
            Role::Entry => {
                let peer = Peer {
                    link,
                    evidence: [None, None],
                    positions: [None, None],
                    targets: Vec::new(),
                };
                self.peers.insert(id, peer);
            }
        }
    }

    /// Removes a closed link. Returns its agent, unless a newer link of the agent has replaced it.
    pub(super) fn remove(&mut self, id: LinkId) -> Option<Agent> {
        self.peers.remove(&id);
        let (_, name) = self.names.remove(&id)?;
        let current = self.agents.get(&name)?;
        if current.link.id() == id {
            self.agents.remove(&name)
        } else {
            None
        }
    }

    /// Returns the role and name of the process at the other end of a link.
    pub(super) fn role_and_name(&self, id: LinkId) -> Option<(Role, Name)> {
        self.names.get(&id).cloned()
    }

    /// Returns the agent at the other end of a link, unless a newer link has replaced it.
    pub(super) fn agent_by_link(&mut self, id: LinkId) -> Option<&mut Agent> {
        let (_, name) = self.names.get(&id)?;
        let agent = self.agents.get_mut(name)?;
        (agent.link.id() == id).then_some(agent)
    }

    /// Returns the peer entry at the other end of a link.
    pub(super) fn peer_by_link(&mut self, id: LinkId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    pub(crate) fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    pub(crate) fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Sends a frame to an agent; returns `false` if it was not queued on an open link.
    pub(crate) fn send(&self, agent: &str, frame: Frame) -> bool {
        self.agents
            .get(agent)
            .is_some_and(|agent| agent.link.send(frame))
    }

    /// Returns the targets that linked agents have announced.
    pub(super) fn targets(&self) -> Vec<Target> {
        let announced = self.agents().filter_map(|agent| agent.announce.as_ref());
        announced
            .filter_map(|announce| announce.target.clone())
            .collect()
    }

    pub(super) fn close_all(&self) {
        let agents = self.agents.values().map(|agent| &agent.link);
        for link in agents.chain(self.peers.values().map(|peer| &peer.link)) {
            link.close();
        }
    }
}
