//! Stand-in for the platform's store, in the form of a log.

use crate::http::{self, Request, Response};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Duration of an append, as in the settings of the small deployments.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Number of records on a page of newest records.
const NEWEST_PAGE: usize = 500;
/// Number of appends of a producer whose repetition gets the first response again.
const REMEMBERED_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers and responses of the last appends.
    last: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

/// The store. It loses nothing and answers in order.
#[derive(Clone, Default)]
pub struct Log {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
    /// Whether it answers all calls with 503.
    busy: Arc<AtomicBool>,
}

impl Log {
    /// Serves the store at an address.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let log = self.clone();
        http::serve(address, move |request| log.handle(&request))
    }

    /// Writes a record of the operator.
    pub fn write_operator_record(&self, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry("keyed.op".to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// Sets whether the store answers all calls with 503.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
    }

    fn handle(&self, request: &Request) -> Response {
        if self.busy.load(Ordering::SeqCst) {
            return Response::new(503, "");
        }
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| query(name).parse::<u64>().unwrap_or(0);
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(
                &query("topic"),
                number("from"),
                number("wait_ms"),
                number("max_kb"),
            ),
            "/log-newest" => self.newest(&query("topic"), &query("depends_on")),
            _ => Response::new(400, ""),
        }
    }

    fn append(&self, request: &Request) -> Response {
        std::thread::sleep(APPEND_TIME);
        let Some(records) = split_records(&request.body) else {
            return Response::new(400, "");
        };
        let mut topics = self.topics.lock().unwrap();
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let topic = topics.entry(name).or_default();
        let offset = topic.records.len();
        let end = offset + records.len();
        let answer = json!({"offset": offset, "end_offset": end}).to_string();
        if let Some(name) = request.query.get("producer") {
            let number = |name: &str| {
                request
                    .query
                    .get(name)
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let (epoch, sequence) = (
                number("epoch").unwrap_or(0),
                number("sequence").unwrap_or(0),
            );
            let producer = topic.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Response::new(409, json!({"reason": "fenced"}).to_string());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    last: VecDeque::new(),
                };
            }
            if let Some((_, first)) = producer.last.iter().find(|(known, _)| *known == sequence) {
                return Response::new(200, first.clone());
            }
            let expected = producer.last.back().map(|(last, _)| last + 1);
            if let Some(expected) = expected.filter(|expected| *expected != sequence) {
                return Response::new(
                    409,
                    json!({"reason": "seq", "sequence": expected}).to_string(),
                );
            }
            producer.last.push_back((sequence, answer.clone()));
            if producer.last.len() > REMEMBERED_APPENDS {
                producer.last.pop_front();
            }
        }
        topic.records.extend(records);
        Response::new(200, answer)
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64, max_kb: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let limit = usize::try_from(max_kb.max(1) * 1024).unwrap_or(usize::MAX);
        loop {
            {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(topic.to_owned()).or_default();
                let start = usize::try_from(from)
                    .unwrap_or(usize::MAX)
                    .min(topic.records.len());
                let records = &topic.records[start..];
                if !records.is_empty() || Instant::now() >= deadline {
                    let mut body = Vec::new();
                    body.extend((topic.records.len() as u64).to_be_bytes());
                    body.extend(0_u64.to_be_bytes());
                    for (key, value) in records {
                        if body.len() + key.len() + value.len() > limit && body.len() > 16 {
                            break;
                        }
                        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value);
                    }
                    return Response::new(200, body);
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn newest(&self, topic: &str, after: &str) -> Response {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| !value.is_empty() && *key > after);
        let more = newest.len() > NEWEST_PAGE;
        let items: Vec<_> = newest
            .iter()
            .take(NEWEST_PAGE)
            .map(|(key, (offset, value))| json!({"key": key, "value": base64(value), "offset": offset}))
            .collect();
        let body = json!({"items": items, "has_more": more, "end_offset": topic.records.len()});
        Response::new(200, body.to_string())
    }
}

fn split_records(body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut rest = body;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_be_bytes(*rest.first_chunk::<4>()?) as usize;
        let record = rest.get(4..4 + length)?;
        let key_length = usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..=key_length)?.to_vec()).ok()?;
        records.push((key, record[1 + key_length..].to_vec()));
        rest = &rest[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (group >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
