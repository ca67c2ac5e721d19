//! Rules from the entries about what may start at this agent.

use godwitstep_core::authority::OperatingMode;
use godwitstep_core::id::{DomainId, Epoch, Version};
use godwitstep_core::reason::Reason;
use godwitstep_wire::Rules as ReceivedRules;
use std::time::Duration;

/// Age of an entry's last heartbeat at which nothing starts on its instruction any more.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(2);

/// Time without contact with the decider after which the agent's parts are checkpointed and
/// stopped.
///
/// A decider stops the rest of the gang after 10 s, and counts the parts of a lost worker as ended
/// after 30 s. Two runs of one job must not overlap, and a part must not run without its gang.
const CHECKPOINT_AFTER: Duration = Duration::from_secs(15);
/// Time without contact with the decider after which parts are stopped without a checkpoint. Leaves
/// 10 s until a decider counts them as ended.
const STOP_AFTER: Duration = Duration::from_secs(20);

/// How parts are stopped after the contact with the decider is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopMode {
    /// Their state is saved first.
    Checkpoint,
    /// Their state since the last checkpoint is lost.
    Immediate,
}

/// Operating mode of an entry according to its last heartbeat.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryStatus {
    operating_mode: OperatingMode,
    /// Local time at which the heartbeat was received.
    received: Duration,
}

/// The newest configuration received from any entry. Survives the loss of all links.
#[derive(Debug, Default)]
pub(super) struct Rules {
    /// Never decreases, so that an entry with an older configuration can't put a domain back in
    /// service.
    version: Option<Version>,
    out_of_service: Vec<DomainId>,
    /// Greatest epoch received from any entry. Never decreases.
    epoch: Epoch,
    /// When a heartbeat last showed that the decider is linked to this agent, or that it can't have
    /// been replaced.
    last_contact: Duration,
}

impl Rules {
    /// Merges the rules of a heartbeat and returns the sender's operating mode.
    pub(super) fn update(&mut self, received: ReceivedRules, now: Duration) -> EntryStatus {
        if self
            .version
            .is_none_or(|version| received.version >= version)
        {
            self.version = Some(received.version);
            self.out_of_service = received.out_of_service;
        }
        self.epoch = self.epoch.max(received.epoch);
        let linked_to_decider =
            received.deciding && received.operating_mode == OperatingMode::Normal;
        // A decider can't be replaced while the log is unavailable.
        if linked_to_decider || received.operating_mode == OperatingMode::Degraded {
            self.last_contact = now;
        }
        EntryStatus {
            operating_mode: received.operating_mode,
            received: now,
        }
    }

    /// Returns the greatest epoch received; 0 if there was none.
    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns how to stop the parts here if the contact with the decider has been lost for so long
    /// that a decider may soon count them as ended. The mode depends on whether there is still time
    /// to save their state.
    pub(super) fn due_stop(&self, now: Duration) -> Option<StopMode> {
        let silence = now.saturating_sub(self.last_contact);
        if silence >= STOP_AFTER {
            Some(StopMode::Immediate)
        } else if silence >= CHECKPOINT_AFTER {
            Some(StopMode::Checkpoint)
        } else {
            None
        }
    }

    /// Returns whether a failure domain is out of service.
    pub(super) fn is_out_of_service(&self, domain: &DomainId) -> bool {
        self.out_of_service.contains(domain)
    }

    /// Returns why nothing may start in `domain` on the instruction of an entry; `None` if it may.
    ///
    /// `status` comes from the entry's last heartbeat. Without one nothing starts, because a new
    /// agent has not yet received which domains are out of service.
    pub(super) fn start_refusal(
        &self,
        domain: &DomainId,
        status: Option<EntryStatus>,
        now: Duration,
    ) -> Option<Reason> {
        if self.is_out_of_service(domain) {
            return Some(Reason::DomainOut {
                domain: domain.clone(),
            });
        }
        let is_current = status.is_some_and(|status| {
            status.operating_mode.may_start()
                && now.saturating_sub(status.received) < MAX_HEARTBEAT_AGE
        });
        (!is_current).then_some(Reason::Halted)
    }
}
