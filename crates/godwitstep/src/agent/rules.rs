//! What may start at this agent, as told by the entries.

use godwitstep_core::authority::Standing;
use godwitstep_core::id::{DomainId, Epoch, Version};
use godwitstep_core::reason::Reason;
use godwitstep_wire::Rules as Told;
use std::time::Duration;

/// Age of an entry's last word after which nothing starts on its instruction.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time without contact to the decider after which the parts of an agent are stopped.
///
/// A decider stops the rest of the gang after 10 s, and counts the parts of a lost worker as gone
/// after 30 s; two runs of one job must not overlap, and a part must not run on alone.
const CONTACT_LIMIT: Duration = Duration::from_secs(15);
/// Time without contact after which parts are stopped without saving their state. Leaves 10 s until
/// a decider counts them as gone.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Whether the state of parts is saved before they are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Save {
    Yes,
    No,
}

/// What one entry said last about itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word {
    standing: Standing,
    heard: Duration,
}

/// The newest configuration that any entry has told. Survives the loss of all links.
#[derive(Debug, Default)]
pub(super) struct Rules {
    /// Never decreases, so that a late entry can't put a domain back in service.
    version: Option<Version>,
    out: Vec<DomainId>,
    /// Greatest epoch that any entry has told. Never decreases.
    epoch: Epoch,
    /// When the agent last heard that its decider is linked to it, or that there can be no other.
    contact: Duration,
}

impl Rules {
    /// Takes in the rules of a heartbeat and returns what the sender said about itself.
    pub(super) fn hear(&mut self, told: Told, now: Duration) -> Word {
        if self.version.is_none_or(|version| told.version >= version) {
            self.version = Some(told.version);
            self.out = told.out;
        }
        self.epoch = self.epoch.max(told.epoch);
        let decider = told.deciding && told.standing == Standing::Fresh;
        // While the log is away nobody can become the decider in place of a lost one.
        if decider || told.standing == Standing::Coasting {
            self.contact = now;
        }
        Word {
            standing: told.standing,
            heard: now,
        }
    }

    /// Returns the greatest epoch that was told; 0 for none.
    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Reports whether a decider may by now count the parts here as gone, and if so, whether there
    /// is still time to save their state.
    pub(super) fn lapsed(&self, now: Duration) -> Option<Save> {
        let silence = now.saturating_sub(self.contact);
        if silence >= STOP_LIMIT {
            Some(Save::No)
        } else if silence >= CONTACT_LIMIT {
            Some(Save::Yes)
        } else {
            None
        }
    }

    /// Reports whether a failure domain is out of service.
    pub(super) fn is_out(&self, domain: &DomainId) -> bool {
        self.out.contains(domain)
    }

    /// Reports why nothing may start in `domain` on the instruction of an entry, if that is so.
    ///
    /// `word` is what the entry said last; an entry that has said nothing yet starts nothing,
    /// because a new agent does not know the domains that are out of service.
    pub(super) fn obstacle(
        &self,
        domain: &DomainId,
        word: Option<Word>,
        now: Duration,
    ) -> Option<Reason> {
        if self.is_out(domain) {
            return Some(Reason::DomainOut {
                domain: domain.clone(),
            });
        }
        let live = word.is_some_and(|word| {
            word.standing.may_start() && now.saturating_sub(word.heard) < SILENCE_LIMIT
        });
        (!live).then_some(Reason::Halted)
    }
}
