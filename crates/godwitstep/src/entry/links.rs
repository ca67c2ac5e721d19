//! Which agents and peer entries are linked, and what they said last.

use crate::link::{Link, LinkId};
use godwitstep_core::id::{Name, Offset};
use godwitstep_core::router::Target;
use godwitstep_wire::{Announce, Frame, Role};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// An agent with an open link.
pub(crate) struct Agent {
    pub(crate) link: Link,
    /// What it stands beside; `None` until it has announced itself.
    pub(crate) announce: Option<Announce>,
}

/// A peer entry with an open link.
pub(super) struct Peer {
    pub(super) link: Link,
    /// When it last showed evidence for each stream, on this entry's clock, with the evidence's
    /// age taken off.
    pub(super) evidence: [Option<Duration>; 2],
    /// Its last position in each stream, once it was ready.
    pub(super) positions: [Option<Offset>; 2],
    /// Targets that are linked to it.
    pub(super) targets: Vec<Target>,
}

/// All open links. An agent has one link; a pair of entries may have two, one dialled by each.
#[derive(Default)]
pub(crate) struct Links {
    agents: BTreeMap<Name, Agent>,
    peers: HashMap<LinkId, Peer>,
    names: HashMap<LinkId, (Role, Name)>,
}

impl Links {
    pub(super) fn up(&mut self, link: Link) {
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

    /// Forgets a link and returns the agent that was linked by it, if there was one.
    pub(super) fn down(&mut self, id: LinkId) -> Option<Agent> {
        self.peers.remove(&id);
        let (_, name) = self.names.remove(&id)?;
        let current = self.agents.get(&name)?;
        if current.link.id() == id {
            self.agents.remove(&name)
        } else {
            None
        }
    }

    /// Returns what is at the other end of a link.
    pub(super) fn name_of(&self, id: LinkId) -> Option<(Role, Name)> {
        self.names.get(&id).cloned()
    }

    /// Returns the agent at the other end of a link.
    pub(super) fn agent_of(&mut self, id: LinkId) -> Option<&mut Agent> {
        let (_, name) = self.names.get(&id)?;
        let agent = self.agents.get_mut(name)?;
        (agent.link.id() == id).then_some(agent)
    }

    /// Returns the peer entry at the other end of a link.
    pub(super) fn peer_of(&mut self, id: LinkId) -> Option<&mut Peer> {
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

    /// Sends a frame to an agent and reports whether it has an open link.
    pub(crate) fn send(&self, agent: &str, frame: Frame) -> bool {
        self.agents
            .get(agent)
            .is_some_and(|agent| agent.link.send(frame))
    }

    /// Returns the targets that are linked to this entry.
    pub(super) fn targets(&self) -> Vec<Target> {
        let announced = self.agents().filter_map(|agent| agent.announce.as_ref());
        announced.filter_map(|told| told.target.clone()).collect()
    }

    pub(super) fn close_all(&self) {
        let agents = self.agents.values().map(|agent| &agent.link);
        for link in agents.chain(self.peers.values().map(|peer| &peer.link)) {
            link.close();
        }
    }
}
