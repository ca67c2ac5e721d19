//! Client, writer and reader against the log stand-in and its faults.

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
const LIMIT: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_millis(200);

fn start() -> Handle {
    Server::start(Settings::default()).unwrap()
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, DEADLINE)
}

fn faults(mode: Mode) -> Control {
    Control {
        mode: Some(mode),
        silent: Some(true),
        ..Control::default()
    }
}

fn run(address: SocketAddr, work: impl AsyncFnOnce(Writer, Rc<LocalExecutor<'static>>)) {
    let executor = Rc::new(LocalExecutor::new());
    let (writer, task) = Writer::new(client(address), STREAM, "w", 1);
    executor.spawn(task.run()).detach();
    smol::block_on(executor.run(work(writer, Rc::clone(&executor))));
}

fn cancel(job: &str) -> Vec<Event> {
    vec![Event::Cancel { job: job.into() }]
}

/// Folds the stream as readers do: only numbers above all earlier ones of a writer count. Returns
/// each job that is cancelled with the offsets of its folded events.
fn folded(log: &Handle) -> BTreeMap<String, Vec<u64>> {
    let mut last = 0;
    let mut jobs: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (offset, text) in log.records(STREAM) {
        let envelope: Envelope = serde_json::from_str(&text).unwrap();
        if envelope.sequence <= last {
            continue;
        }
        last = envelope.sequence;
        for event in envelope.events {
            if let Event::Cancel { job } = event {
                jobs.entry(job.to_string()).or_default().push(offset);
            }
        }
    }
    jobs
}

/// Guards against lost replies that are reported as failures or appended twice.
#[test]
fn a_lost_reply_is_found_in_the_stream_and_folds_once() {
    let log = start();
    log.control(&Control {
        lose_reply_every: Some(2),
        ..Control::default()
    });
    run(log.address, async |writer, _| {
        for job in 0..10_u64 {
            let outcome = writer.append(cancel(&job.to_string()), LIMIT).await;
            assert_eq!(
                outcome,
                Outcome::Appended {
                    offset: job,
                    index: 0
                }
            );
        }
    });
    let folded = folded(&log);
    assert_eq!(folded.len(), 10);
    assert!(
        folded.values().all(|offsets| offsets.len() == 1),
        "{folded:?}"
    );
}

/// Guards against an append that is reported as not done and takes effect later.
#[test]
fn a_late_append_after_a_not_appended_has_no_effect() {
    let log = start();
    run(log.address, async |writer, _| {
        writer.append(cancel("first"), LIMIT).await;
        // The envelope arrives at once and takes effect 1.2 s later. The service is up again when
        // the writer reads, so neither the stream nor its tail shows anything of it.
        log.control(&Control {
            delay_ms: Some(1200),
            ..faults(Mode::Slow)
        });
        let (outcome, ()) = smol::future::zip(writer.append(cancel("late"), LIMIT), async {
            smol::Timer::after(DEADLINE / 2).await;
            log.control(&faults(Mode::Up));
        })
        .await;
        assert_eq!(outcome, Outcome::NotAppended);
        assert_eq!(
            log.records(STREAM).len(),
            2,
            "the first envelope and the void"
        );
        smol::Timer::after(Duration::from_millis(1500)).await;
        assert!(log.records(STREAM)[2].1.contains("late"));
        let after = writer.append(cancel("after"), LIMIT).await;
        assert_eq!(
            after,
            Outcome::Appended {
                offset: 3,
                index: 0
            }
        );
    });
    assert_eq!(
        folded(&log).into_keys().collect::<Vec<_>>(),
        ["after", "first"]
    );
}

/// Guards against an unknown outcome that stays open for ever once the log is back.
#[test]
fn an_unknown_append_is_voided_when_the_log_is_back() {
    let log = start();
    run(log.address, async |writer, _| {
        writer.append(cancel("first"), LIMIT).await;
        log.control(&faults(Mode::Down));
        let begin = Instant::now();
        // The second append waits behind the one that is being settled and is withdrawn.
        let soon = Duration::from_millis(500);
        let waiting = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            let outcome = writer.append(cancel("second"), soon).await;
            (outcome, begin.elapsed())
        };
        let both = smol::future::zip(writer.append(cancel("lost"), LIMIT), waiting);
        let (lost, (second, elapsed)) = both.await;
        assert_eq!((lost, second), (Outcome::Unknown, Outcome::NotAppended));
        assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        assert!(
            begin.elapsed() < Duration::from_secs(7),
            "{:?}",
            begin.elapsed()
        );
        log.control(&faults(Mode::Up));
        smol::Timer::after(Duration::from_secs(2)).await;
        let void: Envelope = serde_json::from_str(&log.records(STREAM)[1].1).unwrap();
        assert_eq!((void.sequence, void.events.len()), (3, 0));
        // The lost envelope would have had number 2: it folds to nothing from here on.
        log.append(
            STREAM,
            &serde_json::to_string(&Envelope::new("w", 1, 2, cancel("lost"))).unwrap(),
        )
        .unwrap();
    });
    assert_eq!(folded(&log).into_keys().collect::<Vec<_>>(), ["first"]);
}

/// Guards against callers that wait, or hear "unknown", while the log refuses.
#[test]
fn a_refusal_is_not_appended_at_once_and_uses_no_number() {
    let log = start();
    run(log.address, async |writer, _| {
        writer.append(cancel("first"), LIMIT).await;
        log.control(&Control {
            silent: Some(false),
            ..faults(Mode::Down)
        });
        let begin = Instant::now();
        assert_eq!(
            writer.append(cancel("x"), LIMIT).await,
            Outcome::NotAppended
        );
        assert!(begin.elapsed() < Duration::from_secs(1));
        log.control(&faults(Mode::Up));
        let outcome = writer.append(cancel("second"), LIMIT).await;
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

/// Guards against one append for each event, and against callers that are told a wrong place.
#[test]
fn events_that_wait_share_an_envelope() {
    let log = start();
    log.control(&Control {
        delay_ms: Some(50),
        ..faults(Mode::Slow)
    });
    run(log.address, async |writer, executor| {
        let jobs = (0..100).map(|job| {
            let writer = writer.clone();
            let append = async move { (job, writer.append(cancel(&job.to_string()), LIMIT).await) };
            executor.spawn(append)
        });
        for task in jobs.collect::<Vec<_>>() {
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

/// Guards against a reply that breaks off in its middle and is taken for a refusal.
#[test]
fn a_reply_that_breaks_off_is_unsure_and_then_found() {
    let log = start();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    let reset = |after| proxy::Control {
        backward: DirectionControl {
            reset_after: Some(after),
            ..DirectionControl::default()
        },
        ..proxy::Control::default()
    };
    proxy.control(&reset(30));
    let append = client(proxy.address);
    let result = smol::block_on(append.append(STREAM, "{\"n\":1}"));
    assert!(
        matches!(result, Err(AppendError::Indeterminate(_))),
        "{result:?}"
    );
    proxy.control(&proxy::Control {
        cut: Some(true),
        ..proxy::Control::default()
    });
    let result = smol::block_on(append.append(STREAM, "{\"n\":2}"));
    assert!(
        matches!(result, Err(AppendError::NotAppended(_))),
        "{result:?}"
    );
    proxy.control(&proxy::Control::heal());
    run(proxy.address, async |writer, _| {
        writer.append(cancel("first"), LIMIT).await;
        proxy.control(&reset(1));
        let heal = async {
            smol::Timer::after(Duration::from_millis(300)).await;
            proxy.control(&proxy::Control::heal());
        };
        let (outcome, ()) = smol::future::zip(writer.append(cancel("b"), LIMIT), heal).await;
        assert_eq!(
            outcome,
            Outcome::Appended {
                offset: 2,
                index: 0
            }
        );
    });
}

/// Guards against "not appended" about an envelope that took effect and has expired since.
#[test]
fn an_envelope_that_may_have_expired_is_unknown() {
    let log = start();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    run(proxy.address, async |writer, _| {
        writer.append(cancel("first"), LIMIT).await;
        proxy.control(&proxy::Control {
            backward: DirectionControl {
                stalled: Some(true),
                ..DirectionControl::default()
            },
            ..proxy::Control::default()
        });
        let expire = async {
            smol::Timer::after(DEADLINE / 2).await;
            assert!(folded(&log).contains_key("expired"));
            log.control(&Control {
                retention_records: Some(1),
                ..Control::default()
            });
            log.append(STREAM, "{}").unwrap();
            // The reply is still held back when the connection is reset.
            proxy.control(&proxy::Control {
                reset: true,
                ..proxy::Control::default()
            });
            smol::Timer::after(DEADLINE / 4).await;
            proxy.control(&proxy::Control::heal());
        };
        let (outcome, ()) =
            smol::future::zip(writer.append(cancel("expired"), LIMIT), expire).await;
        assert_eq!(outcome, Outcome::Unknown);
        let next = writer.append(cancel("next"), LIMIT).await;
        assert!(matches!(next, Outcome::Appended { .. }), "{next:?}");
    });
}

/// Guards against gaps that a reader does not notice, and against a wrong order.
#[test]
fn a_reader_yields_in_order_and_notices_trimming() {
    let log = start();
    for n in 0..600 {
        log.append(STREAM, &n.to_string()).unwrap();
    }
    let mut reader = Reader::new(client(log.address), STREAM, 0);
    let mut seen = Vec::new();
    while seen.len() < 600 {
        let Batch::Records { records, tail } = smol::block_on(reader.next()) else {
            panic!("trimmed");
        };
        assert_eq!(tail, 600);
        seen.extend(records);
        // Evidence stands only for a tail up to which everything was yielded.
        assert_eq!(
            reader.observed_tail().evidence().is_some(),
            seen.len() == 600
        );
    }
    assert!(
        seen.iter()
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

/// Guards against evidence that stays young in an outage or old after it.
#[test]
fn evidence_ages_in_an_outage_and_is_young_again_after_it() {
    let log = start();
    let mut reader = Reader::new(client(log.address), STREAM, 0);
    let observed_tail = reader.observed_tail();
    smol::block_on(async {
        reader.next().await;
        assert!(observed_tail.evidence().unwrap().age < Duration::from_secs(1));
        log.control(&faults(Mode::Down));
        let outage = Duration::from_millis(1500);
        let heal = async {
            smol::Timer::after(outage).await;
            assert!(observed_tail.evidence().unwrap().age >= outage);
            log.control(&faults(Mode::Up));
        };
        smol::future::zip(reader.next(), heal).await;
        assert!(observed_tail.evidence().unwrap().age < Duration::from_secs(1));
    });
}

/// Guards against a reader that waits on a silent connection for good while new ones work.
#[test]
fn a_reader_leaves_connections_that_went_silent() {
    let log = start();
    let proxy = Proxy::start(proxy::Settings::new(log.address)).unwrap();
    let mut reader = Reader::new(client(proxy.address), STREAM, 0);
    smol::block_on(reader.next());
    proxy.control(&proxy::Control {
        silence: true,
        ..proxy::Control::default()
    });
    log.append(STREAM, "1").unwrap();
    let begin = Instant::now();
    let batch = smol::block_on(reader.next());
    assert!(matches!(batch, Batch::Records { tail: 1, .. }), "{batch:?}");
    assert!(
        begin.elapsed() < Duration::from_secs(2),
        "{:?}",
        begin.elapsed()
    );
}
