//! Discovery of the decider and the exchange of reports with it.

use super::Agent;
use crate::batch::log::{Log, Newest, ReadError, Stream};
use crate::batch::settings::Settings;
use crate::batch::worker::Worker;
use crate::http::{Client, Options};
use godwitstep_batch::agent::DeciderSearch;
use godwitstep_batch::id::Epoch;
use godwitstep_batch::message::{self, Directive, Reply, Report};
use godwitstep_batch::record::Record;
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of an exchange. The decider may hold its reply back for up to 500 ms of this time.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of pages of newest records to search for a claim. Claims come first in the order of keys.
const CLAIM_PAGES: usize = 2;
/// Path on which entries accept reports.
const REPORT_PATH: &str = "/report";

/// Result of a search of the log: the announced entries, and the epoch and address of the newest claim.
type LogSearch = (Vec<SocketAddr>, Option<(Epoch, SocketAddr)>);

/// Search for the decider, and the clients for the processes that reports are sent to.
pub(super) struct DeciderConnection {
    search: DeciderSearch,
    clients: BTreeMap<SocketAddr, Rc<Client>>,
    /// Whether an exchange has failed since the last directive.
    unreachable: bool,
}

impl DeciderConnection {
    pub fn new(settings: &Settings) -> Self {
        let port = settings.agents.port();
        let entries = settings.seeds.iter();
        let entries = entries.map(|seed| SocketAddr::new(seed.ip(), port));
        Self {
            search: DeciderSearch::new(entries.collect()),
            clients: BTreeMap::new(),
            unreachable: false,
        }
    }

    /// Returns whether the address of a decider is known.
    pub fn is_known(&self) -> bool {
        self.search.decider().is_some()
    }

    /// Handles a directive of the decider at an address.
    pub fn on_directive(&mut self, address: SocketAddr, directive: &Directive) {
        if self.unreachable || self.search.decider() != Some(address) {
            tracing::info!(decider = %address, epoch = directive.epoch, "decider answers");
        }
        self.unreachable = false;
        self.search
            .decider_answered(address, directive.epoch, &directive.entries);
    }

    /// Handles the reply of an entry that is not the decider and may name the decider.
    pub fn on_referral(
        &mut self,
        now: Duration,
        address: SocketAddr,
        decider: Option<(Epoch, SocketAddr)>,
    ) {
        let named = decider.map(|(epoch, _)| epoch);
        let followed = self.search.redirected(now, address, decider);
        tracing::info!(entry = %address, named, followed, "referred by an entry that does not decide");
    }

    /// Handles a failed exchange. `silence` is the time since the last report that a decider answered.
    pub fn on_failure(
        &mut self,
        now: Duration,
        address: SocketAddr,
        error: &str,
        silence: Option<Duration>,
    ) {
        if !self.unreachable {
            let silence_ms = silence.map(|silence| silence.as_millis());
            tracing::warn!(decider = %address, error, silence_ms, "decider does not answer");
        }
        self.unreachable = true;
        self.clients.remove(&address);
        self.search.call_failed(now, address);
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

/// Sends a report to the process at an address and returns its reply.
pub(super) async fn exchange(
    connection: &RefCell<DeciderConnection>,
    address: SocketAddr,
    report: &Report,
) -> Result<Reply, String> {
    let client = connection.borrow_mut().client(address);
    let request = Request::builder()
        .method(Method::POST)
        .uri(REPORT_PATH)
        .body(message::encode(report))
        .map_err(|error| error.to_string())?;
    let response = client
        .exchange(request, EXCHANGE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("the answer has status {}", response.status()));
    }
    message::decode(response.body()).map_err(|error| error.to_string())
}

impl<L: Log, W: Worker> Agent<L, W> {
    /// Returns the address to report to. Searches the log if no candidate is left.
    pub(super) async fn find_decider(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let candidate = self.decider.borrow_mut().search.next_address(now);
        if candidate.is_some() {
            return candidate;
        }
        let found = self.search_log().await;
        let search = &mut self.decider.borrow_mut().search;
        let now = self.clock.now();
        match found {
            Ok((entries, claimed)) => search.log_searched(now, entries, claimed),
            Err(error) => {
                tracing::warn!(%error, "searching the log for the decider failed");
                search.log_search_failed();
            }
        }
        search.next_address(now)
    }

    /// Searches the newest records of the log for a claim, and collects the announced entries on the way.
    async fn search_log(&self) -> Result<LogSearch, ReadError> {
        let mut after: Option<String> = None;
        let mut entries = Vec::new();
        let mut claimed = None;
        for _ in 0..CLAIM_PAGES {
            let page: Newest = self.log.newest(Stream::Records, after.as_deref()).await?;
            for (_, item) in &page.items {
                match Record::decode(&item.key, &item.value) {
                    Ok(Some(Record::Claimed(claim))) => {
                        claimed = Some((claim.epoch, claim.address));
                    }
                    Ok(Some(Record::Announced(entry))) => entries.push(entry.address),
                    Ok(_) | Err(_) => {}
                }
            }
            after = page.next;
            if after.is_none() || claimed.is_some() {
                break;
            }
        }
        tracing::info!(
            entries = entries.len(),
            decider = ?claimed,
            "searched the log for the decider"
        );
        Ok((entries, claimed))
    }
}
