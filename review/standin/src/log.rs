//! Stand-in for the platform's log store, with the limits and the timing that PROTOCOL.md states.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use godwitstep::http::{self, Limits, Shutdown};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time that an append takes, and any other answer (`append_ms` of the settings).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// `max_record_bytes` of the settings.
pub const MAX_RECORD_BYTES: usize = 262_144;
/// `max_call_bytes` of the settings.
pub const MAX_CALL_BYTES: usize = 2_097_152;
/// Largest page of newest records: 500 records or 1 MB.
const MAX_PAGE_RECORDS: usize = 500;
const MAX_PAGE_BYTES: usize = 1024 * 1024;
/// Number of appends of a producer whose repetition gets the first answer again.
const REPEATABLE_APPENDS: usize = 5;

type Reply = Response<http::Body>;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers and answers of the last appends.
    last: VecDeque<(u64, String)>,
    next: Option<u64>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Bytes)>,
    producers: HashMap<String, Producer>,
}

struct State {
    topics: BTreeMap<String, Topic>,
    /// Factor by which answers take longer.
    slowness: u32,
    /// Appends that were rejected because a record or the call is too large.
    oversized: u64,
}

/// Log store that runs on a thread of this process.
#[derive(Clone)]
pub struct LogService {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl LogService {
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = State {
            topics: BTreeMap::new(),
            slowness: 1,
            oversized: 0,
        };
        let service = Self {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let handle = service.clone();
        std::thread::spawn(move || {
            smol::block_on(async move {
                let listener = smol::Async::new(listener).expect("a listener").into();
                // Dropping the handle would shut the server down.
                let (_shutdown, signal) = Shutdown::new();
                // A partition processes its appends one at a time.
                let partition = Rc::new(smol::lock::Mutex::new(()));
                http::serve(listener, Limits::default(), signal, async move |request| {
                    handle.serve(request, &partition).await
                })
                .await;
            });
        });
        service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Sets the factor by which all answers take longer (`platform_slow`).
    pub fn set_slowness(&self, factor: u32) {
        self.lock().slowness = factor;
    }

    /// Returns the number of appends that were rejected because a record or the call is too large.
    pub fn oversized(&self) -> u64 {
        self.lock().oversized
    }

    pub fn append_operator_record(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry("keyed.op".to_owned()).or_default();
        let value = Bytes::from(value.to_owned());
        topic.records.push((key.as_bytes().to_vec(), value));
    }

    async fn take_time(&self) {
        let factor = self.lock().slowness;
        smol::Timer::after(ANSWER_TIME * factor).await;
    }

    async fn serve(&self, request: Request<Incoming>, partition: &smol::lock::Mutex<()>) -> Reply {
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let Ok(body) = http::read(request.into_body(), 1 << 23, Duration::from_secs(2)).await
        else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let reply = match path.as_str() {
            "/log-append" => {
                let _turn = partition.lock().await;
                self.take_time().await;
                self.append(&query, &body)
            }
            "/log-read" => {
                self.take_time().await;
                self.read(&query).await
            }
            "/log-newest" => {
                self.take_time().await;
                self.newest(&query)
            }
            _ => None,
        };
        reply.unwrap_or_else(|| empty_response(StatusCode::BAD_REQUEST))
    }

    /// Appends all records of a call or none; `None` if the call is malformed or exceeds a limit.
    fn append(&self, query: &HashMap<String, String>, body: &Bytes) -> Option<Reply> {
        let mut state = self.lock();
        let records = split_records(body)?;
        let too_long =
            |(key, value): &(Vec<u8>, Bytes)| 1 + key.len() + value.len() > MAX_RECORD_BYTES;
        if body.len() > MAX_CALL_BYTES || records.iter().any(too_long) {
            state.oversized += 1;
            return None;
        }
        let topic = state.topics.entry(query.get("topic")?.clone()).or_default();
        let (first, end) = (topic.records.len(), topic.records.len() + records.len());
        let answer = format!("{{\"offset\":{first},\"end_offset\":{end}}}");
        if let Some(name) = query.get("producer") {
            let epoch: u64 = query.get("epoch")?.parse().ok()?;
            let sequence: u64 = query.get("sequence")?.parse().ok()?;
            let producer = topic.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Some(conflict_response("{\"reason\":\"fenced\"}"));
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, answer)) = producer.last.iter().find(|(known, _)| *known == sequence) {
                return Some(json_response(answer));
            }
            if let Some(expected) = producer.next.filter(|expected| *expected != sequence) {
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                return Some(conflict_response(&body));
            }
            producer.next = Some(sequence + 1);
            producer.last.push_back((sequence, answer.clone()));
            if producer.last.len() > REPEATABLE_APPENDS {
                producer.last.pop_front();
            }
        }
        topic.records.extend(records);
        Some(json_response(&answer))
    }

    async fn read(&self, query: &HashMap<String, String>) -> Option<Reply> {
        let topic = query.get("topic")?;
        let from: usize = query.get("from")?.parse().ok()?;
        let wait: u64 = query
            .get("wait_ms")
            .map_or(Some(0), |wait| wait.parse().ok())?;
        let max_kb: usize = query
            .get("max_kb")
            .map_or(Some(1_024), |size| size.parse().ok())?;
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            if let Some(reply) = self.page(topic, from, max_kb * 1024, Instant::now() >= deadline) {
                return Some(reply);
            }
            smol::Timer::after(Duration::from_millis(2)).await;
        }
    }

    fn page(&self, topic: &str, from: usize, max_bytes: usize, allow_empty: bool) -> Option<Reply> {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let records = topic.records.get(from..).unwrap_or_default();
        if records.is_empty() && !allow_empty {
            return None;
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.records.len() as u64);
        body.put_u64(0);
        for (key, value) in records {
            let length = 1 + key.len() + value.len();
            if body.len() > 16 && body.len() + 4 + length > max_bytes {
                break;
            }
            body.put_u32(u32::try_from(length).ok()?);
            body.put_u8(u8::try_from(key.len()).ok()?);
            body.put_slice(key);
            body.put_slice(value);
        }
        Some(Response::new(http::full(body.freeze())))
    }

    fn newest(&self, query: &HashMap<String, String>) -> Option<Reply> {
        let name = query.get("topic")?;
        let after = query.get("depends_on").cloned().unwrap_or_default();
        let state = self.lock();
        let Some(topic) = state.topics.get(name) else {
            return Some(empty_response(StatusCode::NOT_FOUND));
        };
        let mut newest: BTreeMap<String, (usize, &Bytes)> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let mut rows = newest
            .into_iter()
            .filter(|(key, (_, value))| !value.is_empty() && *key > after)
            .peekable();
        let (mut items, mut size) = (Vec::new(), 0);
        while items.len() < MAX_PAGE_RECORDS && size < MAX_PAGE_BYTES {
            let Some((key, (offset, value))) = rows.next() else {
                break;
            };
            size += value.len();
            let value = STANDARD.encode(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        Some(json_response(&format!(
            "{{\"items\":[{}],\"has_more\":{},\"end_offset\":{}}}",
            items.join(","),
            rows.peek().is_some(),
            topic.records.len()
        )))
    }
}

/// Splits a call into keys and values; `None` if it is malformed.
fn split_records(body: &Bytes) -> Option<Vec<(Vec<u8>, Bytes)>> {
    let mut rest = body.clone();
    let mut records = Vec::new();
    while !rest.is_empty() {
        let length = usize::try_from(u32::from_be_bytes(*rest.first_chunk()?)).ok()?;
        let record = (rest.len() >= 4 + length).then(|| rest.slice(4..4 + length))?;
        let key_length = usize::from(*record.first()?);
        let key = record.get(1..=key_length)?.to_vec();
        records.push((key, record.slice(1 + key_length..)));
        rest = rest.slice(4 + length..);
    }
    Some(records)
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
        .collect()
}

pub fn json_response(body: &str) -> Reply {
    Response::new(http::full(Bytes::from(body.to_owned())))
}

pub fn empty_response(status: StatusCode) -> Reply {
    http::respond(status, "")
}

pub fn conflict_response(body: &str) -> Reply {
    http::respond(StatusCode::CONFLICT, body.to_owned())
}
