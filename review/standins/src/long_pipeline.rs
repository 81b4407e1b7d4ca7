//! A client sends many commands without waiting for the answers, with bodies within the limit of 64 KiB. Each command
//! has to get its final answer. The verdict counts only commands that a node has run: those the host has read and
//! passed on without doubt. One of them is lost if the host ends its connection without an answer, or if none comes in
//! time.

use crate::host::{Host, give_up};
use crate::http::Read1;
use crate::node::{Answer, Behaviour, Runs};
use crate::record::Record;
use crate::{deployments, discovery, node};
use std::sync::Arc;
use std::time::{Duration, Instant};

const NODES: usize = 8;
const ROUNDS: u64 = 5;
/// Commands that a client sends at once.
const COMMANDS: u64 = 30;
const BODY_BYTES: usize = 60 << 10;
const EXPIRES_MS: u64 = 3000;
/// The time from the first command to those behind it. A node works on the first one for longer.
const HEAD_START: Duration = Duration::from_millis(20);
/// A host that reads nothing for this long ends the writing of a round.
const LONGEST_WRITE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> bool {
    let runs = Runs::default();
    let behaviour = Behaviour {
        runs: runs.clone(),
        work: Duration::from_millis(60),
        answer: Arc::new(|_| Answer::Plain),
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|shard| {
            let name = format!("s-{shard:08x}");
            let dial = node::start(name.clone(), shard, behaviour.clone(), record.clone());
            discovery::Listed {
                host: name,
                dial,
                site: if shard % 2 == 0 { "salle-nord" } else { "salle-sud" }.to_string(),
                class: "noeud-2c".to_string(),
                block: shard,
            }
        })
        .collect();
    let known = discovery::page(&nodes);
    let agent = discovery::start(nodes);
    let host = Host::start(record, &deployments::depot_limoilou(NODES), agent, &known);

    let mut unanswered = Vec::new();
    for round in 0..ROUNDS {
        let mut conn = host.connect(record);
        let traces: Vec<_> = (0..COMMANDS)
            .map(|command| format!("{:016x}", (round + 1) << 32 | command))
            .collect();
        if trouble {
            record.line(format!("round {round}: sends a command and {} more behind it", COMMANDS - 1));
            record.line(format!("the client sends {}, then {}", traces[0], traces[1..].join(" ")));
            let _ = conn.send(&command(&traces[0]));
            // A request's time is counted from its last byte.
            let first_limit = Instant::now() + Duration::from_millis(EXPIRES_MS + 550);
            std::thread::sleep(HEAD_START);
            let all: Vec<u8> = traces[1..].iter().flat_map(|trace| command(trace)).collect();
            let mut writer = conn.stream.try_clone().expect("the connection");
            let _ = writer.set_write_timeout(Some(LONGEST_WRITE));
            let writing = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &all));
            if !read(record, &mut conn, &traces[0], first_limit) {
                unanswered.push(traces[0].clone());
            }
            if let Ok(Err(error)) = writing.join() {
                record.line(format!("round {round}: the client could not write all: {error}"));
            }
            let limit = Instant::now() + Duration::from_millis(EXPIRES_MS + 550);
            for trace in &traces[1..] {
                if !read(record, &mut conn, trace, limit) {
                    unanswered.push(trace.clone());
                }
            }
            let _ = conn.stream.shutdown(std::net::Shutdown::Both);
        } else {
            record.line(format!("round {round}: sends {COMMANDS} commands, each after the answer before"));
            for trace in &traces {
                record.line(format!("the client sends {trace}"));
                if conn.send(&command(trace)).is_err() {
                    conn = host.connect(record);
                    let _ = conn.send(&command(trace));
                }
                let limit = Instant::now() + Duration::from_millis(EXPIRES_MS + 550);
                if !read(record, &mut conn, trace, limit) {
                    unanswered.push(trace.clone());
                }
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let running = host.is_running();
    host.end(record);
    let runs = runs.lock().unwrap();
    let lost = unanswered.iter().filter(|trace| runs.contains_key(*trace)).count();
    record.say(format!(
        "commands sent {}, without an answer {}, of these run by a node {lost}, host running {running}",
        ROUNDS * COMMANDS,
        unanswered.len(),
    ));
    if runs.is_empty() {
        give_up(record, "no node ran a command");
    }
    lost > 0
}

/// One command: a new object with a key against repeats.
fn command(trace: &str) -> Vec<u8> {
    let head = format!(
        "PUT /depot-fiche/00000003b4d60021/{trace} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {trace}\r\n\
         X-Qos: depot-fiche\r\nX-Storage-Class: prioritaire\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\n\
         Idempotency-Key: key-{trace}\r\nX-Extent: units=1,shard=-1,hosts=1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    [head.as_bytes(), &vec![b'p'; BODY_BYTES]].concat()
}

/// Reads the answer to a command. Returns whether one came.
fn read(record: &Record, conn: &mut crate::http::Conn, trace: &str, limit: Instant) -> bool {
    match conn.read(Some(limit)) {
        Read1::Message(message) => {
            record.line(format!("the client gets {} to {trace}", message.status()));
            true
        }
        Read1::Ended => {
            record.line(format!("the client gets no answer to {trace}: the host has closed the connection"));
            false
        }
        Read1::TimedOut => {
            record.line(format!("the client gets no answer to {trace} in time"));
            false
        }
    }
}
