//! Tests of the client, writer and reader of the log, with the log stand-in and its faults.

use godwitstep::log::{AppendError, Batch, Client, Outcome, Reader, Writer};
use godwitstep_core::record::{Envelope, Event};
use godwitstep_standin::log::{Control, Handle, Mode, Server, Settings};
use godwitstep_standin::proxy::{self, DirectionControl, Proxy};
use smol::LocalExecutor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const STREAM: &str = "jobs-dk-vest";
/// Time limit of an append by the writer.
const APPEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit of one exchange with the log service.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);

fn start_log() -> Handle {
    Server::start(Settings::default()).unwrap()
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, EXCHANGE_TIMEOUT)
}

/// Returns the change to a mode. In [`Mode::Down`] requests are accepted but never answered.
fn mode_change(mode: Mode) -> Control {
    Control {
        mode: Some(mode),
        silent: Some(true),
        ..Control::default()
    }
}

/// Runs a test with a writer and the executor of its task.
fn run_with_writer(
    address: SocketAddr,
    test: impl AsyncFnOnce(Writer, Rc<LocalExecutor<'static>>),
) {
    let executor = Rc::new(LocalExecutor::new());
    let (writer, task) = Writer::new(client(address), STREAM, "w", 1);
    executor.spawn(task.run()).detach();
    smol::block_on(executor.run(test(writer, Rc::clone(&executor))));
}

/// Returns the events of a record that cancels a job.
fn cancel(job: &str) -> Vec<Event> {
    vec![Event::Cancel { job: job.into() }]
}

/// Applies the stream as readers do: an envelope counts only if its number is above all earlier ones
/// of the writer. Returns the offsets of the applied cancellations by job.
fn applied_cancellations(log: &Handle) -> BTreeMap<String, Vec<u64>> {
    let mut last_sequence = 0;
    let mut jobs: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (offset, text) in log.records(STREAM) {
        let envelope: Envelope = serde_json::from_str(&text).unwrap();
        if envelope.sequence <= last_sequence {
            continue;
        }
        last_sequence = envelope.sequence;
        for event in envelope.events {
            if let Event::Cancel { job } = event {
                jobs.entry(job.to_string()).or_default().push(offset);
            }
        }
    }
    jobs
}

/// Guards against an append that is reported as failed, or takes effect twice, because its reply was
/// lost.
#[test]
fn an_append_with_a_lost_reply_is_found_in_the_stream_and_applied_once() {
    let log = start_log();
    log.control(&Control {
        lose_reply_every: Some(2),
        ..Control::default()
    });
    run_with_writer(log.address, async |writer, _| {
        for job in 0..10_u64 {
            let outcome = writer
                .append(cancel(&job.to_string()), APPEND_TIMEOUT)
                .await;
            assert_eq!(
                outcome,
                Outcome::Appended {
                    offset: job,
                    index: 0
                }
            );
        }
    });
    let applied = applied_cancellations(&log);
    assert_eq!(applied.len(), 10);
    assert!(
        applied.values().all(|offsets| offsets.len() == 1),
        "{applied:?}"
    );
}

/// Guards against an append that is reported as not appended and takes effect later.
#[test]
fn a_delayed_append_after_not_appended_has_no_effect() {
    let log = start_log();
    run_with_writer(log.address, async |writer, _| {
        writer.append(cancel("first"), APPEND_TIMEOUT).await;
        // The service receives the envelope at once and appends it 1.2 s later. It is up again when
        // the writer reads, so neither the stream nor its tail shows the envelope by then.
        log.control(&Control {
            delay_ms: Some(1200),
            ..mode_change(Mode::Slow)
        });
        let (outcome, ()) =
            smol::future::zip(writer.append(cancel("late"), APPEND_TIMEOUT), async {
                smol::Timer::after(EXCHANGE_TIMEOUT / 2).await;
                log.control(&mode_change(Mode::Up));
            })
            .await;
        assert_eq!(outcome, Outcome::NotAppended);
        assert_eq!(
            log.records(STREAM).len(),
            2,
            "the first envelope and the no-op"
        );
        smol::Timer::after(Duration::from_millis(1500)).await;
        assert!(log.records(STREAM)[2].1.contains("late"));
        let outcome = writer.append(cancel("after"), APPEND_TIMEOUT).await;
        assert_eq!(
            outcome,
            Outcome::Appended {
                offset: 3,
                index: 0
            }
        );
    });
    assert_eq!(
        applied_cancellations(&log).into_keys().collect::<Vec<_>>(),
        ["after", "first"]
    );
}

/// Guards against an append whose outcome stays undetermined after the log is available again.
#[test]
fn an_unknown_append_is_voided_when_the_log_is_available_again() {
    let log = start_log();
    run_with_writer(log.address, async |writer, _| {
        writer.append(cancel("first"), APPEND_TIMEOUT).await;
        log.control(&mode_change(Mode::Down));
        let start = Instant::now();
        // The second append waits in the queue while the outcome of the first is determined, and is
        // withdrawn after its timeout.
        let short_timeout = Duration::from_millis(500);
        let queued = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            let outcome = writer.append(cancel("second"), short_timeout).await;
            (outcome, start.elapsed())
        };
        let outcomes = smol::future::zip(writer.append(cancel("lost"), APPEND_TIMEOUT), queued);
        let (lost, (second, elapsed)) = outcomes.await;
        assert_eq!((lost, second), (Outcome::Unknown, Outcome::NotAppended));
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        assert!(
            start.elapsed() < Duration::from_secs(7),
            "{:?}",
            start.elapsed()
        );
        log.control(&mode_change(Mode::Up));
        smol::Timer::after(Duration::from_secs(2)).await;
        let noop: Envelope = serde_json::from_str(&log.records(STREAM)[1].1).unwrap();
        assert_eq!((noop.sequence, noop.events.len()), (3, 0));
        // The lost envelope has number 2, so readers ignore it after the no-op.
        log.append(
            STREAM,
            &serde_json::to_string(&Envelope::new("w", 1, 2, cancel("lost"))).unwrap(),
        )
        .unwrap();
    });
    assert_eq!(
        applied_cancellations(&log).into_keys().collect::<Vec<_>>(),
        ["first"]
    );
}

/// Guards against callers that wait, or receive the outcome "unknown", while the log refuses appends.
#[test]
fn a_refused_append_is_reported_at_once_and_uses_no_number() {
    let log = start_log();
    run_with_writer(log.address, async |writer, _| {
        writer.append(cancel("first"), APPEND_TIMEOUT).await;
        log.control(&Control {
            silent: Some(false),
            ..mode_change(Mode::Down)
        });
        let start = Instant::now();
        assert_eq!(
            writer.append(cancel("x"), APPEND_TIMEOUT).await,
            Outcome::NotAppended
        );
        assert!(start.elapsed() < Duration::from_secs(1));
        log.control(&mode_change(Mode::Up));
        let outcome = writer.append(cancel("second"), APPEND_TIMEOUT).await;
        assert_eq!(
            outcome,
            Outcome::Appended {
                offset: 1,
                index: 0
            }
        );
    });
    assert!(log.records(STREAM)[1].1.contains("\"sequence\":2"));
}

/// Guards against one append for each event, and against outcomes with a wrong offset or index.
#[test]
fn queued_events_share_an_envelope() {
    let log = start_log();
    log.control(&Control {
        delay_ms: Some(50),
        ..mode_change(Mode::Slow)
    });
    run_with_writer(log.address, async |writer, executor| {
        let appends = (0..100).map(|job| {
            let writer = writer.clone();
            let append = async move {
                (
                    job,
                    writer
                        .append(cancel(&job.to_string()), APPEND_TIMEOUT)
                        .await,
                )
            };
            executor.spawn(append)
        });
        for task in appends.collect::<Vec<_>>() {
            let (job, outcome) = task.await;
            let Outcome::Appended { offset, index } = outcome else {
                panic!("{job}: {outcome:?}");
            };
            let record = &log.records(STREAM)[usize::try_from(offset).unwrap()].1;
            let envelope: Envelope = serde_json::from_str(record).unwrap();
            assert_eq!(envelope.events[index..=index], cancel(&job.to_string()));
        }
    });
    assert!(
        log.records(STREAM).len() <= 3,
        "{}",
        log.records(STREAM).len()
    );
}

/// Guards against a truncated reply that is mistaken for a refusal.
#[test]
fn an_append_with_a_truncated_reply_is_indeterminate_and_found_by_the_writer() {
    let log = start_log();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    let reset = |bytes| proxy::Control {
        backward: DirectionControl {
            reset_after: Some(bytes),
            ..DirectionControl::default()
        },
        ..proxy::Control::default()
    };
    proxy.control(&reset(30));
    let log_client = client(proxy.address);
    let result = smol::block_on(log_client.append(STREAM, "{\"n\":1}"));
    assert!(
        matches!(result, Err(AppendError::Indeterminate(_))),
        "{result:?}"
    );
    proxy.control(&proxy::Control {
        cut: Some(true),
        ..proxy::Control::default()
    });
    let result = smol::block_on(log_client.append(STREAM, "{\"n\":2}"));
    assert!(
        matches!(result, Err(AppendError::NotAppended(_))),
        "{result:?}"
    );
    proxy.control(&proxy::Control::heal());
    run_with_writer(proxy.address, async |writer, _| {
        writer.append(cancel("first"), APPEND_TIMEOUT).await;
        proxy.control(&reset(1));
        let heal = async {
            smol::Timer::after(Duration::from_millis(300)).await;
            proxy.control(&proxy::Control::heal());
        };
        let (outcome, ()) =
            smol::future::zip(writer.append(cancel("b"), APPEND_TIMEOUT), heal).await;
        assert_eq!(
            outcome,
            Outcome::Appended {
                offset: 2,
                index: 0
            }
        );
    });
}

/// Guards against the outcome "not appended" for an envelope that took effect and has expired since.
#[test]
fn an_envelope_that_may_have_expired_is_unknown() {
    let log = start_log();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    run_with_writer(proxy.address, async |writer, _| {
        writer.append(cancel("first"), APPEND_TIMEOUT).await;
        proxy.control(&proxy::Control {
            backward: DirectionControl {
                stalled: Some(true),
                ..DirectionControl::default()
            },
            ..proxy::Control::default()
        });
        let expire = async {
            smol::Timer::after(EXCHANGE_TIMEOUT / 2).await;
            assert!(applied_cancellations(&log).contains_key("expired"));
            log.control(&Control {
                retention_records: Some(1),
                ..Control::default()
            });
            log.append(STREAM, "{}").unwrap();
            // The proxy still holds back the reply when it resets the connection.
            proxy.control(&proxy::Control {
                reset: true,
                ..proxy::Control::default()
            });
            smol::Timer::after(EXCHANGE_TIMEOUT / 4).await;
            proxy.control(&proxy::Control::heal());
        };
        let (outcome, ()) =
            smol::future::zip(writer.append(cancel("expired"), APPEND_TIMEOUT), expire).await;
        assert_eq!(outcome, Outcome::Unknown);
        let outcome = writer.append(cancel("next"), APPEND_TIMEOUT).await;
        assert!(matches!(outcome, Outcome::Appended { .. }), "{outcome:?}");
    });
}

/// Guards against gaps that a reader does not report, and against a wrong order.
#[test]
fn a_reader_yields_records_in_order_and_reports_trimming() {
    let log = start_log();
    for n in 0..600 {
        log.append(STREAM, &n.to_string()).unwrap();
    }
    let mut reader = Reader::new(client(log.address), STREAM, 0);
    let mut yielded = Vec::new();
    while yielded.len() < 600 {
        let Batch::Records { records, tail } = smol::block_on(reader.next()) else {
            panic!("trimmed");
        };
        assert_eq!(tail, 600);
        yielded.extend(records);
        // A tail counts as evidence only if all records up to it were yielded.
        assert_eq!(
            reader.observed_tail().evidence().is_some(),
            yielded.len() == 600
        );
    }
    assert!(
        yielded
            .iter()
            .zip(0..)
            .all(|(record, n)| *record == (n, n.to_string()))
    );
    log.control(&Control {
        retention_records: Some(3),
        ..Control::default()
    });
    for n in 600..610 {
        log.append(STREAM, &n.to_string()).unwrap();
    }
    assert_eq!(smol::block_on(reader.next()), Batch::Trimmed { start: 607 });
    let Batch::Records { records, .. } = smol::block_on(reader.next()) else {
        panic!("trimmed twice");
    };
    assert_eq!(records[0], (607, "607".to_owned()));
}

/// Guards against evidence whose age does not grow during an outage or is not reset after it.
#[test]
fn evidence_ages_during_an_outage_and_is_renewed_after_it() {
    let log = start_log();
    let mut reader = Reader::new(client(log.address), STREAM, 0);
    let observed_tail = reader.observed_tail();
    smol::block_on(async {
        reader.next().await;
        assert!(observed_tail.evidence().unwrap().age < Duration::from_secs(1));
        log.control(&mode_change(Mode::Down));
        let outage = Duration::from_millis(1500);
        let heal = async {
            smol::Timer::after(outage).await;
            assert!(observed_tail.evidence().unwrap().age >= outage);
            log.control(&mode_change(Mode::Up));
        };
        smol::future::zip(reader.next(), heal).await;
        assert!(observed_tail.evidence().unwrap().age < Duration::from_secs(1));
    });
}

/// Guards against a reader that waits forever on an unresponsive connection while new ones work.
#[test]
fn a_reader_replaces_unresponsive_connections() {
    let log = start_log();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    let mut reader = Reader::new(client(proxy.address), STREAM, 0);
    smol::block_on(reader.next());
    proxy.control(&proxy::Control {
        silence: true,
        ..proxy::Control::default()
    });
    log.append(STREAM, "1").unwrap();
    let start = Instant::now();
    let batch = smol::block_on(reader.next());
    assert!(matches!(batch, Batch::Records { tail: 1, .. }), "{batch:?}");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
}
