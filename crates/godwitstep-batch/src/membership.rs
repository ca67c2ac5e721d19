//! Which announced entries are gone.
//!
//! An entry announces itself in the log when it starts. A host that is lost for good says nothing more, so the decider
//! probes all announced entries and withdraws the announcements of those that have been silent for [`ENTRY_TIMEOUT`].
//! Only the decider does so, with a record that the log rejects once the decider has been replaced.
//!
//! Silence does not prove that a process has ended: it may be suspended, or cut off from the decider. A withdrawal is
//! therefore no verdict on the process. Nothing that the entry does depends on its announcement, and an entry that reads
//! its own withdrawal announces itself again, which begins a new period.
//!
//! ```
//! use godwitstep_batch::{membership::Membership, record::Announcement};
//! use std::time::Duration;
//!
//! let address = "10.0.0.1:7000".parse().unwrap();
//! let entry = Announcement { host: "host-1".into(), address, job_memory: None };
//! let mut membership = Membership::new("host-0".into());
//! membership.update(Duration::ZERO, [(7, &entry)]);
//! for second in [0, 5, 10] {
//!     membership.record_probe(Duration::from_secs(second), "host-1", false);
//! }
//! assert_eq!(membership.gone(Duration::from_secs(10)), ["host-1".into()]);
//! ```

use crate::id::{Host, Offset};
use crate::record::Announcement;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which the decider probes all entries.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without an answer after which an entry counts as gone. Longer than most interruptions of a host, so that few
/// entries have to announce themselves again.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum number of probes in a row without an answer. A decider that was suspended has only one for all that time.
const MIN_UNANSWERED: u32 = 3;

/// What the decider knows of an announced entry.
#[derive(Debug)]
struct Contact {
    /// Offset of the announcement, which tells it from an earlier one of the same host.
    announced_at: Offset,
    address: SocketAddr,
    /// When this decider first found the announcement.
    known_since: Duration,
    /// When the first probe was not answered since the last answer.
    silent_since: Option<Duration>,
    /// Number of probes since then.
    unanswered: u32,
}

/// The announced entries as the decider knows them.
#[derive(Debug)]
pub struct Membership {
    /// Host of the decider, which neither probes nor withdraws itself.
    own: Host,
    contacts: BTreeMap<Host, Contact>,
}

impl Membership {
    /// Returns the membership as a new decider knows it.
    #[must_use]
    pub const fn new(own: Host) -> Self {
        Self {
            own,
            contacts: BTreeMap::new(),
        }
    }

    /// Takes over the announcements of the ledger, with their offsets. A new announcement of a host shows that it lives.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        announced: impl IntoIterator<Item = (Offset, &'a Announcement)>,
    ) {
        let mut known = std::mem::take(&mut self.contacts);
        for (offset, announcement) in announced {
            let contact = known.remove(&announcement.host);
            let contact = contact.filter(|contact| contact.announced_at == offset);
            let contact = contact.unwrap_or(Contact {
                announced_at: offset,
                address: announcement.address,
                known_since: now,
                silent_since: None,
                unanswered: 0,
            });
            self.contacts.insert(announcement.host.clone(), contact);
        }
    }

    /// Returns the hosts and addresses of the entries to probe.
    pub fn to_probe(&self) -> impl Iterator<Item = (&Host, SocketAddr)> {
        self.others().map(|(host, contact)| (host, contact.address))
    }

    fn others(&self) -> impl Iterator<Item = (&Host, &Contact)> {
        let contacts = self.contacts.iter();
        contacts.filter(|(host, _)| **host != self.own)
    }

    /// Records whether an entry answered a probe.
    pub fn record_probe(&mut self, now: Duration, host: &str, answered: bool) {
        let Some(contact) = self.contacts.get_mut(host) else {
            return;
        };
        if answered {
            contact.silent_since = None;
            contact.unanswered = 0;
        } else {
            contact.silent_since.get_or_insert(now);
            contact.unanswered = contact.unanswered.saturating_add(1);
        }
    }

    /// Returns the hosts of the entries that are gone: those that have been silent, and those whose address another
    /// host has announced since, whose process then answers the probes.
    #[must_use]
    pub fn gone(&self, now: Duration) -> Vec<Host> {
        let mut newest: HashMap<SocketAddr, &Contact> = HashMap::new();
        for contact in self.contacts.values() {
            let known = newest.entry(contact.address).or_insert(contact);
            if contact.announced_at > known.announced_at {
                *known = contact;
            }
        }
        let is_over = |since: Duration| now >= since + ENTRY_TIMEOUT;
        let is_gone = |contact: &Contact| {
            let is_silent = contact.silent_since.is_some_and(is_over);
            let owner = newest[&contact.address];
            (is_silent && contact.unanswered >= MIN_UNANSWERED)
                || (owner.announced_at > contact.announced_at && is_over(owner.known_since))
        };
        let gone = self.others().filter(|(_, contact)| is_gone(contact));
        gone.map(|(host, _)| host.clone()).collect()
    }
}
