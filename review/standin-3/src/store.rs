//! Stand-in for the platform's metadata store: a log with keyed topics, one partition each.

use crate::http::{Request, Response, Server};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of an append.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Number of appends of a producer whose repetition gets its first response again.
const REMEMBERED_APPENDS: usize = 5;
const MAX_NEWEST: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    appends: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

/// The store. Nothing is deleted: a run is shorter than the history that it keeps.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Topic>>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Self, Server)> {
        let store = Self::default();
        let copy = store.clone();
        let server = Server::start(address, move |request| copy.serve(&request))?;
        Ok((store, server))
    }

    /// Writes a record of the operator.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let (topics, changed) = &*self.0;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().records.push(record);
        changed.notify_all();
    }

    /// Returns which of these hosts the newest record of the system's claim names: the one that leads.
    pub fn leader(&self, hosts: &[String]) -> Option<usize> {
        let topics = self.0.0.lock().unwrap();
        let claims = topics.get("keyed.godwitstep")?.records.iter().rev();
        let claim = claims.into_iter().find(|record| record.starts_with(b"\x05claim"))?;
        let names = |host: &str| claim.windows(host.len()).any(|part| part == host.as_bytes());
        let named = hosts.iter().enumerate().filter(|(_, host)| names(host));
        // The name of one host may be the beginning of that of another.
        named.max_by_key(|(_, host)| host.len()).map(|(index, _)| index)
    }

    fn serve(&self, request: &Request) -> Response {
        let bad = || Response::new(400, "");
        let Some(topic) = request.query("topic") else {
            return bad();
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") if topic != "keyed.op" && topic != "keyed.servers" => {
                self.append(topic, request).unwrap_or_else(bad)
            }
            ("POST", "/log-append") => Response::new(403, ""),
            ("GET", "/log-read") => self.read(topic, request).unwrap_or_else(bad),
            ("GET", "/log-newest") => self.newest(topic, request.query("depends_on")),
            _ => bad(),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> Option<Response> {
        thread::sleep(APPEND_TIME);
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while !rest.is_empty() {
            let (length, content) = rest.split_first_chunk::<4>()?;
            let length = u32::from_be_bytes(*length) as usize;
            records.push(content.get(..length)?.to_vec());
            rest = &content[length..];
        }
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (topics, changed) = &*self.0;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        if number("as_of").is_some_and(|expected| expected != offset) {
            return Some(Response::new(412, json!({ "end_offset": offset }).to_string()));
        }
        if let Some(name) = request.query("producer") {
            let (epoch, sequence) = (number("epoch")?, number("sequence")?);
            let producer = topic.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return Some(Response::new(409, json!({ "reason": "fenced" }).to_string()));
            }
            if epoch > producer.epoch {
                producer.epoch = epoch;
                producer.appends.clear();
            } else if let Some((_, from, end)) =
                producer.appends.iter().find(|known| known.0 == sequence)
            {
                let body = json!({ "offset": from, "end_offset": end });
                return Some(Response::new(200, body.to_string()));
            } else if let Some((last, _, _)) = producer.appends.back()
                && sequence != last + 1
            {
                let body = json!({ "reason": "seq", "sequence": last + 1 });
                return Some(Response::new(409, body.to_string()));
            }
            let end = offset + records.len() as u64;
            producer.appends.push_back((sequence, offset, end));
            if producer.appends.len() > REMEMBERED_APPENDS {
                producer.appends.pop_front();
            }
        }
        topic.records.extend(records);
        let body = json!({ "offset": offset, "end_offset": topic.end() });
        changed.notify_all();
        Some(Response::new(200, body.to_string()))
    }

    fn read(&self, topic: &str, request: &Request) -> Option<Response> {
        let from: usize = request.query("from")?.parse().ok()?;
        let wait: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let limit: usize = request.query("max_kb").and_then(|text| text.parse().ok()).unwrap_or(1024);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (topics, changed) = &*self.0;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |topic| &topic.records[..]);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + record.len() > limit * 1024 {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Some(Response::new(200, body));
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Response {
        let topics = self.0.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |topic| &topic.records[..]);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            if record.len() == length + 1 {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, &record[length + 1..]));
            }
        }
        let mut listed = newest.into_iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items: Vec<_> = listed
            .by_ref()
            .take(MAX_NEWEST)
            .map(|(key, (offset, value))| json!({ "key": key, "value": base64(value), "offset": offset }))
            .collect();
        let has_more = listed.next().is_some();
        let body = json!({ "items": items, "has_more": has_more, "end_offset": records.len() });
        Response::new(200, body.to_string())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(group >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
