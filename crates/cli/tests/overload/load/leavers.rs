//! Clients that leave before they have their answers, and clients that come back with the id of a request that they did
//! not wait for.

use super::nodes::{NodeManner, RunLog};
use super::requests::RequestHead;
use super::{Limits, SHARDS, nodes, on_thread, start_host};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Connections of one play that leave.
const LEAVING: u64 = 12;
/// Requests of one play that come again.
const REPEATED: u64 = 20;
/// How long after the last client has left the nodes are watched.
const WATCHED: Duration = Duration::from_millis(1200);
/// How long a client that comes back waits for its answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// It reads what comes, and closes in order.
    InOrder,
    /// It reads what comes, and resets the connection.
    Reset,
    /// It reads nothing, so its answers are unread when it closes.
    Unread,
}

/// What was seen of clients that left.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaveReport {
    /// Requests that were written before the clients left.
    pub requests: usize,
    /// Requests that reached a node at all.
    pub begun: usize,
    /// The latest first attempt, counted from the close of its client's connection.
    pub latest: Duration,
}

impl LeaveReport {
    /// The report in one line.
    pub fn line(&self) -> String {
        format!(
            "{} of {} requests reached a node, the latest {} ms after the close",
            self.begun,
            self.requests,
            self.latest.as_millis()
        )
    }
}

/// Clients that send this many requests in one write and leave `stay` later.
pub fn play_leaving(
    limits: Limits,
    manner: NodeManner,
    requests: u64,
    stay: Duration,
    leave: Leave,
) -> LeaveReport {
    let runs = RunLog::default();
    let host = start_host(limits, nodes::start(manner, 1, runs.clone()));
    let address = host.address;
    let closed = on_thread(async move {
        let mut clients = JoinSet::new();
        for number in 0..LEAVING {
            clients.spawn(leave_after(address, number, requests, stay, leave));
        }
        let closed = clients.join_all().await;
        sleep(WATCHED).await;
        closed
    });
    let closed: BTreeMap<u64, Instant> = closed.join().unwrap().into_iter().flatten().collect();
    let first_runs = first_runs(&runs);
    let begun = first_runs.iter().filter_map(|(id, runs)| {
        let closed_at = closed.get(id)?;
        Some(runs[0].saturating_duration_since(*closed_at))
    });
    let begun: Vec<Duration> = begun.collect();
    LeaveReport {
        requests: (requests * LEAVING) as usize,
        begun: begun.len(),
        latest: begun.into_iter().max().unwrap_or_default(),
    }
}

/// The times at which each id ran, in order.
fn first_runs(runs: &RunLog) -> BTreeMap<u64, Vec<Instant>> {
    let mut by_id: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter() {
        by_id.entry(run.trace_id).or_default().push(run.at);
    }
    by_id
}

/// Plays one connection that leaves; returns its ids with the time of the close.
async fn leave_after(
    host: SocketAddr,
    number: u64,
    requests: u64,
    stay: Duration,
    leave: Leave,
) -> Vec<(u64, Instant)> {
    let first = (number + 1) << 20;
    let ids: Vec<u64> = (first..first + requests).collect();
    let messages = ids
        .iter()
        .flat_map(|id| RequestHead::read(*id, id % 16, id % SHARDS).message(0));
    let messages: Vec<u8> = messages.collect();
    let mut stream = TcpStream::connect(host).await.unwrap();
    stream.write_all(&messages).await.unwrap();
    match leave {
        Leave::Unread => sleep(stay).await,
        Leave::InOrder | Leave::Reset => {
            let read =
                async { while !matches!(stream.read(&mut [0; 4096]).await, Ok(0) | Err(_)) {} };
            let _ = timeout(stay, read).await;
        }
    }
    if leave == Leave::Reset {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    let closed_at = Instant::now();
    drop(stream);
    ids.into_iter().map(|id| (id, closed_at)).collect()
}

/// What was seen of requests that came again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepeatReport {
    /// Requests that ran more than once.
    pub run_twice: usize,
    /// Requests that ran at all.
    pub run: usize,
    /// Repeats that were answered with 200.
    pub repeats_served: usize,
    /// Repeats that were answered with 409.
    pub repeats_refused: usize,
}

impl RepeatReport {
    /// The report in one line.
    pub fn line(&self) -> String {
        format!(
            "{} of {} ran twice; repeats: {} answered with 200, {} with 409",
            self.run_twice, self.run, self.repeats_served, self.repeats_refused
        )
    }
}

/// Whether a client waits for the first answer before it sends the same id again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstAnswer {
    NotWaitedFor,
    Read,
}

/// Clients that send a request of this class, leave once a node has it or after its answer, and send the same id again
/// on a new connection `again_after` later.
pub fn play_repeats(
    limits: Limits,
    class: &'static str,
    first_answer: FirstAnswer,
    again_after: Duration,
) -> RepeatReport {
    let runs = RunLog::default();
    let host = start_host(limits, nodes::start(NodeManner::Busy, 1, runs.clone()));
    let address = host.address;
    let log = runs.clone();
    let statuses = on_thread(async move {
        let mut clients = JoinSet::new();
        for id in 1..=REPEATED {
            let log = log.clone();
            clients.spawn(async move {
                let message = RequestHead::write(class, id).message(10);
                let first = ask(address, &message);
                match first_answer {
                    FirstAnswer::Read => _ = first.await,
                    FirstAnswer::NotWaitedFor => tokio::select! {
                        _ = first => {}
                        () = has_run(&log, id) => {}
                    },
                }
                sleep(again_after).await;
                ask(address, &message).await
            });
            sleep(Duration::from_millis(30)).await;
        }
        clients.join_all().await
    });
    let statuses = statuses.join().unwrap();
    std::thread::sleep(WATCHED);
    let runs = first_runs(&runs);
    let answered = |code: &str| {
        let is_code = |status: &&Option<String>| status.as_deref() == Some(code);
        statuses.iter().filter(is_code).count()
    };
    RepeatReport {
        run_twice: runs.values().filter(|runs| runs.len() > 1).count(),
        run: runs.len(),
        repeats_served: answered("200"),
        repeats_refused: answered("409"),
    }
}

/// Waits until a node has a request with this id.
async fn has_run(runs: &RunLog, id: u64) {
    while !runs.lock().unwrap().iter().any(|run| run.trace_id == id) {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a message on a new connection and closes it after the answer. Returns the status of the answer.
async fn ask(host: SocketAddr, message: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(host).await.ok()?;
    stream.write_all(message).await.ok()?;
    let mut answer = [0; 4096];
    let read = timeout(PATIENCE, stream.read(&mut answer)).await;
    let read = read.ok()?.ok()?;
    let text = std::str::from_utf8(&answer[..read]).ok()?;
    Some(text.get(9..12)?.to_string())
}
