//! Regular clients: each sends a request, waits for its answer and rests.

use super::requests::RequestHead;
use super::{SHARDS, Stop};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const CLIENTS: u64 = 20;
/// The pause of a client between an answer and its next request.
const REST: Duration = Duration::from_millis(300);
/// How long a request may go without an answer, the half second after its time included.
const LATEST_ANSWER: Duration = Duration::from_millis(2000);
/// Trace ids of regular clients begin here.
const FIRST_ID: u64 = 1 << 48;

/// How the requests of the regular clients ended.
#[derive(Debug, Default)]
pub struct RegularReport {
    /// The times to each answer, in order of length.
    times: Vec<Duration>,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// The connection ended before the answer on its first request, which is allowed while a crowd connects.
    pub closed_when_new: usize,
    /// The connection ended before the answer on a later request.
    pub closed: usize,
    /// No answer came in time and half a second.
    pub unanswered: usize,
}

impl RegularReport {
    /// The longest time to an answer.
    pub fn slowest(&self) -> Duration {
        self.times.last().copied().unwrap_or_default()
    }

    fn percentile(&self, percent: usize) -> Duration {
        let index = self.times.len() * percent / 100;
        self.times.get(index).copied().unwrap_or_default()
    }

    /// The report in one line.
    pub fn line(&self) -> String {
        format!(
            "regular: {} served, {} refused, {} failed, {} closed when new, {} closed, {} unanswered; \
             median {} ms, 99% within {} ms, slowest {} ms",
            self.served,
            self.refused,
            self.failed,
            self.closed_when_new,
            self.closed,
            self.unanswered,
            self.percentile(50).as_millis(),
            self.percentile(99).as_millis(),
            self.slowest().as_millis()
        )
    }

    fn add(&mut self, other: RegularReport) {
        self.times.extend(other.times);
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.closed_when_new += other.closed_when_new;
        self.closed += other.closed;
        self.unanswered += other.unanswered;
    }
}

/// The regular clients of a play.
pub struct Regular;

impl Regular {
    /// Plays all regular clients until `stop` is set.
    pub async fn run(host: SocketAddr, stop: Stop) -> RegularReport {
        let mut clients = JoinSet::new();
        for number in 0..CLIENTS {
            clients.spawn(run_client(host, number, stop.clone()));
        }
        let mut report = RegularReport::default();
        while let Some(client) = clients.join_next().await {
            report.add(client.unwrap());
        }
        report.times.sort();
        report
    }
}

async fn run_client(host: SocketAddr, number: u64, stop: Stop) -> RegularReport {
    let mut report = RegularReport::default();
    let mut id = FIRST_ID + (number << 32);
    sleep(REST.mul_f64(number as f64 / CLIENTS as f64)).await;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(host).await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut is_new = true;
        while !stop.load(Ordering::Relaxed) {
            id += 1;
            let head = match id % 3 {
                0 => RequestHead::write("write", id),
                _ => RequestHead::read(id, id % 16, id % SHARDS),
            };
            if !request(&mut stream, &head.message(100), is_new, &mut report).await {
                break;
            }
            is_new = false;
            sleep(REST).await;
        }
    }
    report
}

/// Sends a request and waits for its answer. Returns whether the connection may carry another one.
async fn request(
    stream: &mut TcpStream,
    message: &[u8],
    is_new: bool,
    report: &mut RegularReport,
) -> bool {
    // A connection that was closed while it rested carries nothing more.
    let mut probe = [0; 1];
    if matches!(stream.try_read(&mut probe), Ok(0)) || stream.write_all(message).await.is_err() {
        return false;
    }
    let sent = Instant::now();
    let Ok(head) = timeout(LATEST_ANSWER, read_answer(stream)).await else {
        report.unanswered += 1;
        return false;
    };
    let Some(head) = head else {
        if is_new {
            report.closed_when_new += 1;
        } else {
            report.closed += 1;
        }
        return false;
    };
    report.times.push(sent.elapsed());
    match head.get(9..12) {
        Some("200") => report.served += 1,
        Some("503") => report.refused += 1,
        _ => report.failed += 1,
    }
    !head.contains("Connection: close")
}

/// Reads an answer with a length; returns its head, or `None` if the connection ends first.
async fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let head_end = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: "));
            let length: usize = length.and_then(|length| length.parse().ok())?;
            if bytes.len() >= head_end + 4 + length {
                return Some(head);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&part[..read]),
        }
    }
}
