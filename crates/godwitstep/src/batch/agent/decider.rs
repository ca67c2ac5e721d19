//! Finding the decider and talking to it.

use super::Agent;
use crate::batch::log::{Log, Newest, Stream};
use crate::batch::settings::Settings;
use crate::batch::worker::Worker;
use crate::http::{Client, Options};
use godwitstep_batch::id::Epoch;
use godwitstep_batch::message::{self, Directive, Reply, Report};
use godwitstep_batch::record::Record;
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest exchange, of which the decider may wait 500 ms.
const EXCHANGE: Duration = Duration::from_millis(900);
/// Pages of newest records that are searched for a claim. Claims come first in the order of keys.
const CLAIM_PAGES: usize = 2;
/// Path that takes reports.
const PATH: &str = "/report";

/// Where the decider is believed to be.
pub(super) struct Contact {
    decider: Option<(Epoch, SocketAddr)>,
    /// Entries that may know, with the next one to ask.
    entries: Vec<SocketAddr>,
    next: usize,
    /// Questions since the log was last searched for a claim.
    asked: usize,
    clients: BTreeMap<SocketAddr, Rc<Client>>,
    lost: bool,
    /// Epoch of the decider that did not answer. It is not asked again before all entries were.
    failed: Epoch,
}

impl Contact {
    pub fn new(settings: &Settings) -> Self {
        let port = settings.agents.port();
        let entries = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect();
        Self {
            decider: None,
            entries,
            next: 0,
            asked: usize::MAX,
            clients: BTreeMap::new(),
            lost: false,
            failed: 0,
        }
    }

    /// Tells whether a decider is known.
    pub const fn known(&self) -> bool {
        self.decider.is_some()
    }

    pub fn heard(&mut self, address: SocketAddr, directive: &Directive) {
        if self.lost || self.decider.is_none_or(|(_, known)| known != address) {
            tracing::info!(decider = %address, epoch = directive.epoch, "decider answers");
        }
        self.lost = false;
        self.decider = Some((directive.epoch, address));
        self.asked = 0;
        if !directive.entries.is_empty() {
            self.entries.clone_from(&directive.entries);
        }
    }

    pub fn elsewhere(&mut self, address: SocketAddr, decider: Option<(Epoch, SocketAddr)>) {
        let newer = decider.filter(|(epoch, other)| {
            let known = self.decider;
            let newer = known.is_none_or(|(own, at)| *epoch > own || at == address);
            newer && *other != address && *epoch != self.failed
        });
        match newer {
            Some(decider) => self.decider = Some(decider),
            None => self.forget(address),
        }
    }

    pub fn failed(&mut self, address: SocketAddr, error: &str, silence: Option<Duration>) {
        if !self.lost {
            let silence_ms = silence.map(|silence| silence.as_millis());
            tracing::warn!(decider = %address, error, silence_ms, "decider does not answer");
        }
        self.lost = true;
        if let Some((epoch, _)) = self.decider.filter(|(_, known)| *known == address) {
            self.failed = epoch;
        }
        self.clients.remove(&address);
        self.forget(address);
    }

    fn forget(&mut self, address: SocketAddr) {
        if self.decider.is_some_and(|(_, known)| known == address) {
            self.decider = None;
        }
    }

    /// Returns whom to ask next; `None` when the log should be searched.
    fn candidate(&mut self) -> Option<SocketAddr> {
        if let Some((_, address)) = self.decider {
            return Some(address);
        }
        if self.asked >= self.entries.len() {
            return None;
        }
        self.asked += 1;
        self.next += 1;
        self.entries.get(self.next % self.entries.len()).copied()
    }

    fn client(&mut self, address: SocketAddr) -> Rc<Client> {
        let options = Options {
            connections: 4,
            idle: 2,
            ..Options::default()
        };
        self.clients
            .entry(address)
            .or_insert_with(|| Rc::new(Client::new(address).options(options)))
            .clone()
    }
}

/// Sends a report and returns the reply.
pub(super) async fn exchange(
    contact: &RefCell<Contact>,
    address: SocketAddr,
    report: &Report,
) -> Result<Reply, String> {
    let client = contact.borrow_mut().client(address);
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .body(message::encode(report))
        .map_err(|error| error.to_string())?;
    let response = client
        .exchange(request, EXCHANGE)
        .await
        .map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("the answer has status {}", response.status()));
    }
    message::decode(response.body()).map_err(|error| error.to_string())
}

impl<L: Log, W: Worker> Agent<L, W> {
    /// Returns whom to report to.
    pub(super) async fn find_decider(&self) -> Option<SocketAddr> {
        let candidate = self.contact.borrow_mut().candidate();
        if candidate.is_some() {
            return candidate;
        }
        let found = self.search_log().await;
        let mut contact = self.contact.borrow_mut();
        contact.asked = 0;
        contact.failed = 0;
        if found.is_some() {
            contact.decider = found;
        }
        contact.candidate()
    }

    /// Searches the log's newest records for a claim, and for entries on the way.
    async fn search_log(&self) -> Option<(Epoch, SocketAddr)> {
        let mut after: Option<String> = None;
        let mut entries = Vec::new();
        let mut found = None;
        for _ in 0..CLAIM_PAGES {
            let page: Newest = match self.log.newest(Stream::Records, after.as_deref()).await {
                Ok(page) => page,
                Err(error) => {
                    tracing::warn!(%error, "searching the log for the decider failed");
                    break;
                }
            };
            for (_, item) in &page.items {
                match Record::decode(&item.key, &item.value) {
                    Ok(Some(Record::Claimed(claim))) => found = Some((claim.epoch, claim.address)),
                    Ok(Some(Record::Announced(entry))) => entries.push(entry.address),
                    Ok(_) | Err(_) => {}
                }
            }
            after = page.next;
            if after.is_none() || found.is_some() {
                break;
            }
        }
        if !entries.is_empty() {
            self.contact.borrow_mut().entries = entries;
        }
        found
    }
}
