//! Bad clients ask once, then stop in the middle of their next request and stay. Usual clients have to get their
//! answers all the same, each on a new connection.

use crate::host::{Host, give_up};
use crate::http::{Conn, Read1};
use crate::node::{Answer, Behaviour, Runs};
use crate::record::Record;
use crate::{deployments, discovery, node};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const NODES: usize = 9;
/// Descriptors of the host: the lowest limit of the pages.
const SOCKETS: u32 = 256;
const BAD_CLIENTS: u64 = 160;
/// The time between two of them, so that the queue of the host's listener doesn't overflow.
const PACE: Duration = Duration::from_micros(500);
const USUAL_CLIENTS: u64 = 10;
const EXPIRES_MS: u64 = 1200;
const ROUNDS: u64 = 3;

/// The bad clients are connected within this time, or the run shows nothing: the host gives each an error after 2.2 s.
const LONGEST_START: Duration = Duration::from_millis(400);

pub fn run(record: &Record, trouble: bool) -> bool {
    let behaviour = Behaviour {
        runs: Runs::default(),
        work: Duration::from_millis(15),
        answer: Arc::new(|_| Answer::Plain),
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|shard| {
            let name = format!("s-{shard:08x}");
            let dial = node::start(name.clone(), shard, behaviour.clone(), record.clone());
            discovery::Listed {
                host: name,
                dial,
                site: ["batiment-a", "batiment-b", "batiment-c"][shard % 3].to_string(),
                class: "box-std".to_string(),
                block: shard,
            }
        })
        .collect();
    let known = discovery::page(&nodes);
    let agent = discovery::start(nodes);
    let mut deployment = deployments::vieux_port(NODES);
    deployment.sockets = SOCKETS;
    let host = Host::start(record, &deployment, agent, &known);

    let answered = AtomicU64::new(0);
    let shut = AtomicU64::new(0);
    let lost = AtomicU64::new(0);
    for round in 0..ROUNDS {
        let start = Instant::now();
        // The connections stay open to the end of the round.
        let bad: Vec<_> = (0..if trouble { BAD_CLIENTS } else { 0 })
            .map(|_| {
                std::thread::sleep(PACE);
                ask_once_and_stop(&host, record)
            })
            .collect();
        record.line(format!("round {round}: {} bad clients have sent a health check and half a request each", bad.len()));
        if start.elapsed() > LONGEST_START {
            host.end(record);
            give_up(record, "the bad clients took too long to connect");
        }
        std::thread::sleep(Duration::from_millis(20));
        std::thread::scope(|scope| {
            for client in 0..USUAL_CLIENTS {
                let (host, answered, shut, lost) = (&host, &answered, &shut, &lost);
                scope.spawn(move || {
                    let trace = format!("{:016x}", (round + 1) << 32 | client);
                    let mut conn = host.connect(record);
                    match read_record(record, &mut conn, &trace, client % NODES as u64) {
                        Some(true) => answered.fetch_add(1, Ordering::Relaxed),
                        Some(false) => shut.fetch_add(1, Ordering::Relaxed),
                        None => lost.fetch_add(1, Ordering::Relaxed),
                    };
                });
            }
        });
        drop(bad);
        std::thread::sleep(Duration::from_millis(4000));
    }
    let running = host.is_running();
    host.end(record);
    let lost = lost.load(Ordering::Relaxed);
    record.say(format!(
        "usual requests answered {}, connections shut unread {}, without an answer in time {lost}, host running {running}",
        answered.load(Ordering::Relaxed),
        shut.load(Ordering::Relaxed),
    ));
    if !trouble && answered.load(Ordering::Relaxed) == 0 {
        give_up(record, "no usual request was answered");
    }
    lost > 0
}

/// A valid health check and half of a request behind it.
fn ask_once_and_stop(host: &Host, record: &Record) -> TcpStream {
    let mut conn = host.connect(record);
    let text = "GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n\
                GET /record-read/000000003b4d0021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: serv";
    let _ = conn.stream.write_all(text.as_bytes());
    conn.stream
}

/// `Some(true)`: answered. `Some(false)`: the host closed the connection. `None`: no answer until half a second (and
/// 50 ms) after the client's time.
fn read_record(record: &Record, conn: &mut Conn, trace: &str, shard: u64) -> Option<bool> {
    let text = format!(
        "GET /record-read/000000003b4d0021/{trace} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {trace}\r\n\
         X-Qos: record-read\r\nX-Storage-Class: prioritaire\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\n\
         X-Extent: units=1,shard={shard},hosts=1\r\n\r\n"
    );
    record.line(format!("usual client sends {trace}"));
    if conn.send(text.as_bytes()).is_err() {
        record.line(format!("usual client of {trace}: connection closed"));
        return Some(false);
    }
    // A request's time is counted from its last byte.
    let sent = Instant::now();
    match conn.read(Some(sent + Duration::from_millis(EXPIRES_MS + 550))) {
        Read1::Message(message) => {
            let ms = sent.elapsed().as_millis();
            record.line(format!("usual client gets {} to {trace} after {ms} ms", message.status()));
            Some(true)
        }
        Read1::Ended => {
            record.line(format!("usual client of {trace}: connection closed"));
            Some(false)
        }
        Read1::TimedOut => {
            record.line(format!("usual client gets no answer to {trace} in its time and 550 ms more: LOST"));
            None
        }
    }
}
