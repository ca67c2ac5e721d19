//! Finding the decider and talking to it.

use super::Agent;
use crate::batch::log::{Log, Newest, Stream};
use crate::batch::settings::Settings;
use crate::batch::worker::Worker;
use crate::http::{Client, Options};
use godwitstep_batch::agent::Search;
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

/// The way to the decider.
pub(super) struct Contact {
    search: Search,
    clients: BTreeMap<SocketAddr, Rc<Client>>,
    lost: bool,
}

impl Contact {
    pub fn new(settings: &Settings) -> Self {
        let port = settings.agents.port();
        let entries = settings.seeds.iter();
        let entries = entries.map(|seed| SocketAddr::new(seed.ip(), port));
        Self {
            search: Search::new(entries.collect()),
            clients: BTreeMap::new(),
            lost: false,
        }
    }

    /// Tells whether a decider is known.
    pub fn known(&self) -> bool {
        self.search.decider().is_some()
    }

    pub fn heard(&mut self, address: SocketAddr, directive: &Directive) {
        if self.lost || self.search.decider() != Some(address) {
            tracing::info!(decider = %address, epoch = directive.epoch, "decider answers");
        }
        self.lost = false;
        self.search
            .heard(address, directive.epoch, &directive.entries);
    }

    pub fn elsewhere(
        &mut self,
        now: Duration,
        address: SocketAddr,
        decider: Option<(Epoch, SocketAddr)>,
    ) {
        let named = decider.map(|(epoch, _)| epoch);
        let followed = self.search.referred(now, address, decider);
        tracing::info!(entry = %address, named, followed, "referred by an entry that does not decide");
    }

    pub fn failed(
        &mut self,
        now: Duration,
        address: SocketAddr,
        error: &str,
        silence: Option<Duration>,
    ) {
        if !self.lost {
            let silence_ms = silence.map(|silence| silence.as_millis());
            tracing::warn!(decider = %address, error, silence_ms, "decider does not answer");
        }
        self.lost = true;
        self.clients.remove(&address);
        self.search.failed(now, address);
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
        let now = self.clock.now();
        let candidate = self.contact.borrow_mut().search.next(now);
        if candidate.is_some() {
            return candidate;
        }
        let (entries, found) = self.search_log().await;
        let search = &mut self.contact.borrow_mut().search;
        let now = self.clock.now();
        search.found(now, entries, found);
        search.next(now)
    }

    /// Searches the log's newest records for a claim, and for entries on the way.
    async fn search_log(&self) -> (Vec<SocketAddr>, Option<(Epoch, SocketAddr)>) {
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
        (entries, found)
    }
}
