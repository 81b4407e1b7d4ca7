//! Few clients that send small or unsound messages as fast as they can.

use super::SHARDS;
use super::requests::RequestHead;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at};

/// What every answer begins with.
const ANSWER_START: &[u8] = b"HTTP/1.1 ";
/// Messages that are written at once.
const BATCH: usize = 16;

/// A flood of one kind of message.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    pub kind: FloodKind,
    pub connections: usize,
    /// Messages of a connection that may be without an answer; `None`: it does not wait for answers.
    pub in_flight: Option<usize>,
}

/// What the messages of a flood are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    UnknownPath,
    UnknownClass,
    UnknownPlan,
    HealthCheck,
    /// Sound reads of few volumes.
    Sound,
    /// Sound reads whose client waits for an hour.
    PatientReads,
    /// Reads of a shard without a node, whose client waits for an hour.
    PatientUnserved,
    /// One id again and again.
    SameId,
    Garbage,
    /// A new volume each time, in a shard without a node.
    NewVolumesUnserved,
    /// A new volume each time, served.
    NewVolumesServed,
    /// A new volume each time, with a limit.
    NewVolumesLimited,
    /// A new idempotency key and object each time, served.
    NewObjects,
}

impl FloodKind {
    pub const ALL: [FloodKind; 13] = [
        FloodKind::UnknownPath,
        FloodKind::UnknownClass,
        FloodKind::UnknownPlan,
        FloodKind::HealthCheck,
        FloodKind::Sound,
        FloodKind::PatientReads,
        FloodKind::PatientUnserved,
        FloodKind::SameId,
        FloodKind::Garbage,
        FloodKind::NewVolumesUnserved,
        FloodKind::NewVolumesServed,
        FloodKind::NewVolumesLimited,
        FloodKind::NewObjects,
    ];

    fn message(self, id: u64) -> Vec<u8> {
        let new_volume = 1_000_000 + id;
        let sound = RequestHead::read(id, id % 16, id % SHARDS);
        let unserved = RequestHead::read(id, new_volume, SHARDS + id % SHARDS);
        let text_with = |from: &str, to: &str| {
            let text = String::from_utf8(sound.message(0)).unwrap_or_default();
            text.replace(from, to).into_bytes()
        };
        match self {
            FloodKind::UnknownPath => b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
            FloodKind::UnknownClass => text_with("read", &format!("c{id}")),
            FloodKind::UnknownPlan => text_with("free", &format!("p{id}")),
            FloodKind::HealthCheck => b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
            FloodKind::Sound => sound.message(0),
            FloodKind::PatientReads => RequestHead {
                expires_ms: 3_600_000,
                ..sound
            }
            .message(0),
            FloodKind::PatientUnserved => RequestHead {
                class: "once",
                volume: id % 16,
                expires_ms: 3_600_000,
                ..unserved
            }
            .message(1),
            FloodKind::SameId => RequestHead::read(7, 7, 7 % SHARDS).message(0),
            FloodKind::Garbage => b"\x01\x02\x03 noise noise\r\n\r\n".to_vec(),
            FloodKind::NewVolumesUnserved => unserved.message(0),
            FloodKind::NewVolumesServed => {
                RequestHead::read(id, new_volume, id % SHARDS).message(0)
            }
            FloodKind::NewVolumesLimited => RequestHead {
                plan: "held",
                ..unserved
            }
            .message(0),
            FloodKind::NewObjects => RequestHead::write("write", id).message(1),
        }
    }
}

/// Plays a flood until `end`; returns the number of messages that were written.
pub async fn run(host: SocketAddr, flood: Flood, end: Instant) -> u64 {
    let mut tasks = JoinSet::new();
    for number in 0..flood.connections {
        tasks.spawn(run_connection(host, flood, (number as u64 + 1) << 32, end));
    }
    tasks.join_all().await.into_iter().sum()
}

/// Sends on one connection, and on a new one whenever it ends.
async fn run_connection(host: SocketAddr, flood: Flood, first_id: u64, end: Instant) -> u64 {
    let mut sent = 0;
    while Instant::now() < end {
        if let Ok(stream) = TcpStream::connect(host).await {
            let _ = stream.set_nodelay(true);
            let _ = timeout_at(end.into(), send_on(stream, flood, first_id, &mut sent)).await;
        }
        sleep(Duration::from_millis(1)).await;
    }
    sent
}

async fn send_on(
    mut stream: TcpStream,
    flood: Flood,
    first_id: u64,
    sent: &mut u64,
) -> std::io::Result<()> {
    let permits = Arc::new(Semaphore::new(
        flood.in_flight.unwrap_or(Semaphore::MAX_PERMITS / 2),
    ));
    let (mut from, mut to) = stream.split();
    let write = async {
        loop {
            let mut batch = Vec::new();
            for _ in 0..flood.in_flight.map_or(BATCH, |most| most.min(BATCH)) {
                if flood.in_flight.is_some() {
                    match permits.try_acquire() {
                        Ok(permit) => permit.forget(),
                        Err(_) if !batch.is_empty() => break,
                        Err(_) => permits
                            .acquire()
                            .await
                            .map_err(std::io::Error::other)?
                            .forget(),
                    }
                }
                batch.extend(flood.kind.message(first_id + *sent));
                *sent += 1;
            }
            to.write_all(&batch).await?;
        }
    };
    let read = async {
        let mut tail = Vec::new();
        let mut part = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut part).await?;
            if read == 0 {
                return Ok(());
            }
            tail.extend_from_slice(&part[..read]);
            let starts = tail.windows(ANSWER_START.len());
            permits.add_permits(starts.filter(|start| *start == ANSWER_START).count());
            tail.drain(..tail.len().saturating_sub(ANSWER_START.len() - 1));
        }
    };
    tokio::select! {
        written = write => written,
        read = read => read,
    }
}
