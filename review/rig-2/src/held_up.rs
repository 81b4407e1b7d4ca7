//! A host that is held up between reading its clock and writing, when it sends a keyed request again.

use crate::http::Reader;
use crate::rig::{
    Document, Host, Listed, Numbers, Place, Request, body_for, ok, signal, spawn_small,
};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 6;
/// How long the nodes of a rack remember a key, in milliseconds.
const WINDOW_MS: u64 = 1200;
/// How long before the end of the window the connections end.
const BEFORE_END: Duration = Duration::from_millis(30);
/// For how long the host is held up. The pages allow up to 150 ms.
const HOLD: Duration = Duration::from_millis(140);
/// The platform's rules make every time limit this much longer.
const SLACK: Duration = Duration::from_millis(50);
/// Longest time for which a host may be held up by the pages. A round in which the machine held it up longer does not
/// count.
const LONGEST_HOLD: Duration = Duration::from_millis(150);
/// For how long rounds are played.
const PLAYED: Duration = Duration::from_secs(75);
/// Clients whose reads go on all the time, with a pause between two reads.
const READERS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(100);
const KEYED: &str = "export-releve";

/// What the nodes of a rack have run under each key, and the connections of the requests that wait for their end.
#[derive(Default)]
struct Rack {
    first_runs: HashMap<String, Instant>,
    open: Vec<(String, TcpStream)>,
    /// How many repeats the nodes recognised.
    recognised: usize,
    /// Keys that ran a second time after the window and its slack, with the time since their first run.
    run_again: Vec<(String, Duration)>,
}

pub fn play(place: &Place) -> crate::Verdict {
    let rack = Arc::new(Mutex::new(Rack::default()));
    let nodes: Vec<Listed> = (0..NODES)
        .map(|shard| Listed {
            name: format!("s-{shard}"),
            address: keyed_node(place, rack.clone()),
            shard,
            health: "SERVING",
        })
        .collect();
    let mut document = Document::new(&nodes);
    for class in &mut document.classes {
        if class.name == KEYED {
            (class.effect, class.window) = ("token", WINDOW_MS as u32);
        }
    }
    let host = Host::start(&place.root, &place.temporary, &document)?;
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..READERS)
        .map(|reader| read_on(place, &host, reader, stop.clone()))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut numbers = Numbers::new(11);
    let start = Instant::now();
    let mut round = 0;
    let mut broken = Vec::new();
    while start.elapsed() < PLAYED && broken.is_empty() {
        round += 1;
        let held = play_round(place, &host, &rack, &mut numbers, offset(round))?;
        let run_again = std::mem::take(&mut rack.lock().unwrap().run_again);
        for (key, after) in run_again {
            let text = format!(
                "round {round}: {key} ran again {:.1} ms after its first run",
                ms(after)
            );
            if held <= LONGEST_HOLD {
                place.record.say(&text);
                broken.push(text);
            } else {
                place.record.line(format!(
                    "{text}, not counted: the host was held up for {:.1} ms",
                    ms(held)
                ));
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|reader| _ = reader.join());
    let recognised = rack.lock().unwrap().recognised;
    place.record.say(format!(
        "{round} rounds, {recognised} repeats recognised, {} requests ran twice",
        broken.len()
    ));
    if recognised == 0 && !place.trouble {
        return Err("no request was sent again, so nothing was shown".into());
    }
    Ok(broken.is_empty())
}

/// When the host is held up, after the connections have ended. A host takes some tenths of a millisecond from then to
/// its next attempt, so the times of the rounds differ and lie evenly within 1.3 ms.
fn offset(round: u64) -> Duration {
    Duration::from_micros(60 + round * 370 % 1250)
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Sends one keyed request to each node, ends their connections shortly before the end of the window, and holds the
/// host up `offset` later. Returns for how long it was held up.
fn play_round(
    place: &Place,
    host: &Host,
    rack: &Arc<Mutex<Rack>>,
    numbers: &mut Numbers,
    offset: Duration,
) -> Result<Duration, String> {
    let clients: Vec<_> = (0..NODES)
        .map(|shard| {
            let request = Request {
                class: KEYED,
                write: false,
                keyed: true,
                volume: 1 + shard as u64,
                object: numbers.next(),
                id: numbers.next(),
                shard: shard as i64,
                units: 1,
                expires_ms: 5000,
                body: Vec::new(),
            };
            let (address, record) = (host.address, place.record.clone());
            spawn_small(move || {
                let Ok(mut stream) = TcpStream::connect(address) else {
                    return;
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                let _ = stream.write_all(&request.bytes());
                record.line(format!("client sent k{:016x}", request.id));
                let answer = Reader::new(stream).message();
                let status = answer.ok().flatten().and_then(|answer| answer.status());
                record.line(format!("client of k{:016x} got {status:?}", request.id));
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(300);
    while rack.lock().unwrap().open.len() < NODES && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    let open = std::mem::take(&mut rack.lock().unwrap().open);
    let first = open
        .iter()
        .filter_map(|(key, _)| rack.lock().unwrap().first_runs.get(key).copied())
        .min();
    let mut held = Duration::ZERO;
    if let Some(first) = first {
        let end = first + Duration::from_millis(WINDOW_MS) - BEFORE_END;
        thread::sleep(end.saturating_duration_since(Instant::now()));
        for (_, stream) in &open {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if place.trouble {
            let ended = Instant::now();
            while ended.elapsed() < offset {
                std::hint::spin_loop();
            }
            signal(host, "STOP")?;
            let stopped = Instant::now();
            thread::sleep(HOLD);
            signal(host, "CONT")?;
            held = stopped.elapsed();
        }
        place.record.line(format!(
            "{} connections ended, host held up for {:.1} ms",
            open.len(),
            ms(held)
        ));
    }
    clients.into_iter().for_each(|client| _ = client.join());
    Ok(held)
}

/// A node that runs a keyed request and keeps its connection until the round ends it. A repeat within the window is
/// recognised and answered; a later one runs.
fn keyed_node(place: &Place, rack: Arc<Mutex<Rack>>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = place.record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (rack, record) = (rack.clone(), record.clone());
            spawn_small(move || {
                let _ = stream.set_nodelay(true);
                let mut to = stream.try_clone().unwrap();
                let mut from = Reader::new(stream);
                while let Ok(Some(request)) = from.message() {
                    let answers = match request.field("idempotency-key") {
                        Some(key) => keyed_request(key, &to, &rack, &record),
                        None => {
                            let id = request.field("x-trace-id").unwrap_or_default();
                            record.line(format!("node ran {id}"));
                            thread::sleep(Duration::from_millis(20));
                            true
                        }
                    };
                    if answers && to.write_all(&ok(&body_for(&request))).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Runs or recognises a keyed request. Returns whether it is answered.
fn keyed_request(
    key: &str,
    to: &TcpStream,
    rack: &Mutex<Rack>,
    record: &crate::rig::Record,
) -> bool {
    let mut rack = rack.lock().unwrap();
    let Some(first) = rack.first_runs.get(key).copied() else {
        rack.first_runs.insert(key.into(), Instant::now());
        rack.open.push((key.into(), to.try_clone().unwrap()));
        record.line(format!("node ran {key}"));
        return false;
    };
    let after = first.elapsed();
    if after < Duration::from_millis(WINDOW_MS) {
        rack.recognised += 1;
        record.line(format!("node recognised {key} after {:.1} ms", ms(after)));
    } else {
        record.line(format!("node RAN {key} AGAIN after {:.1} ms", ms(after)));
        if after > Duration::from_millis(WINDOW_MS) + SLACK {
            rack.run_again.push((key.into(), after));
        }
    }
    true
}

/// A client that reads again and again, on a connection that it keeps.
fn read_on(
    place: &Place,
    host: &Host,
    reader: u64,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (address, record) = (host.address, place.record.clone());
    spawn_small(move || {
        let mut numbers = Numbers::new(100 + reader);
        let mut connection: Option<Reader> = None;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(PAUSE);
            let request = Request {
                class: "lecture-fiche",
                write: false,
                keyed: false,
                volume: 20 + reader,
                object: numbers.next(),
                id: numbers.next(),
                shard: numbers.below(NODES as u64) as i64,
                units: 1,
                expires_ms: 1500,
                body: Vec::new(),
            };
            if connection.is_none() {
                connection = TcpStream::connect(address).ok().map(Reader::new);
            }
            let Some(mut open) = connection.take() else {
                continue;
            };
            let _ = open.stream.set_read_timeout(Some(Duration::from_secs(3)));
            record.line(format!("reader sent {:016x}", request.id));
            let _ = open.stream.write_all(&request.bytes());
            let answer = open.message().ok().flatten();
            let status = answer.as_ref().and_then(|answer| answer.status());
            record.line(format!("reader of {:016x} got {status:?}", request.id));
            if answer.is_some_and(|answer| !answer.closes()) {
                connection = Some(open);
            }
        }
    })
}
