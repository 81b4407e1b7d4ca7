//! Nodes and discovery. The nodes of a play share one manner of answering.

use super::{SHARDS, on_thread};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long a node works on a request.
const WORK: Duration = Duration::from_millis(5);
/// The longest body of an answer, in bytes.
const LARGE_BODY: usize = 64 << 10;
/// The pause between two pieces of an answer that comes slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// How nodes answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeManner {
    /// A short answer after the work.
    Short,
    /// The largest body, after the work.
    Large,
    /// The largest body, whose last byte never comes.
    StallBeforeLastByte,
    /// The largest body in chunks of a byte, whose last chunk never comes.
    ChunksOfAByte,
    /// A head of very many short fields that does not end.
    ManyFields,
    /// A short answer, 20 bytes each 100 ms.
    Drip,
    /// A short answer after 80 ms of work.
    Busy,
}

/// A request that reached a node completely.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub trace_id: u64,
    pub at: Instant,
}

/// What the nodes of a play ran, in order.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// Starts the nodes and a discovery service that lists them; returns discovery's address.
pub fn start(manner: NodeManner, per_shard: u64, runs: RunLog) -> SocketAddr {
    let mut entries = Vec::new();
    for shard in 0..SHARDS {
        for place in 0..per_shard {
            let runs = runs.clone();
            let dial = serve_on_thread(move |stream| serve_node(stream, manner, runs.clone()));
            entries.push(format!(
                r#"{{"host":"s-{shard}-{place}","dial":"{dial}","site":"a","class":"m","block":{shard},"health":"SERVING","share":1.0,"born_ms":0}}"#
            ));
        }
    }
    let entries = entries.join(",");
    serve_on_thread(move |stream| serve_discovery(stream, entries.clone()))
}

/// Accepts connections on a thread of its own and serves each as a task.
pub fn serve_on_thread<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    on_thread(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Reads requests; messages without a length have no body.
pub struct RequestReader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl RequestReader {
    pub fn new(stream: TcpStream) -> RequestReader {
        RequestReader {
            stream,
            bytes: Vec::new(),
        }
    }

    /// The head of the next request, once it is complete; `None` at the end of the connection.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            let head_end = self.bytes.windows(4).position(|end| end == b"\r\n\r\n");
            if let Some(head_end) = head_end {
                let head = String::from_utf8_lossy(&self.bytes[..head_end]).into_owned();
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("Content-Length: "));
                let length: usize = length.map_or(0, |length| length.parse().unwrap_or(0));
                if self.bytes.len() >= head_end + 4 + length {
                    self.bytes.drain(..head_end + 4 + length);
                    return Some(head);
                }
            }
            let mut part = vec![0; 16 << 10];
            match self.stream.read(&mut part).await {
                Ok(0) | Err(_) => return None,
                Ok(read) => self.bytes.extend_from_slice(&part[..read]),
            }
        }
    }
}

/// A complete answer with this body.
pub fn answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The trace id of a request's head.
fn trace_id(head: &str) -> Option<u64> {
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("X-Trace-Id: "));
    u64::from_str_radix(id?, 16).ok()
}

async fn serve_node(stream: TcpStream, manner: NodeManner, runs: RunLog) {
    let mut reader = RequestReader::new(stream);
    while let Some(head) = reader.next().await {
        if let Some(trace_id) = trace_id(&head) {
            let at = Instant::now();
            runs.lock().unwrap().push(Run { trace_id, at });
        }
        sleep(WORK).await;
        if write_answer(&mut reader.stream, manner).await.is_none() {
            return;
        }
    }
}

/// Writes an answer; `None`: the connection has ended, or the rest of the answer never comes.
async fn write_answer(to: &mut TcpStream, manner: NodeManner) -> Option<()> {
    match manner {
        NodeManner::Short => to.write_all(&answer(b"short")).await.ok(),
        NodeManner::Large => to.write_all(&answer(&[b'b'; LARGE_BODY])).await.ok(),
        NodeManner::Busy => {
            sleep(Duration::from_millis(75)).await;
            to.write_all(&answer(b"short")).await.ok()
        }
        NodeManner::Drip => {
            let bytes = answer(&[b'b'; 200]);
            for piece in bytes.chunks(20) {
                to.write_all(piece).await.ok()?;
                sleep(PIECE_PAUSE).await;
            }
            Some(())
        }
        NodeManner::StallBeforeLastByte => {
            let bytes = answer(&[b'b'; LARGE_BODY]);
            stall_after(to, &bytes[..bytes.len() - 1]).await
        }
        NodeManner::ChunksOfAByte => {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let bytes = [&head[..], &b"1\r\nb\r\n".repeat(LARGE_BODY - 1)].concat();
            stall_after(to, &bytes).await
        }
        NodeManner::ManyFields => {
            let bytes = [&b"HTTP/1.1 200 OK\r\n"[..], &b"a:\r\n".repeat(3900)].concat();
            stall_after(to, &bytes).await
        }
    }
}

/// Writes the bytes and waits for the end of the connection.
async fn stall_after(to: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    to.write_all(bytes).await.ok()?;
    while to.read(&mut [0; 1024]).await.ok()? > 0 {}
    None
}

/// Answers a request for the whole list at once, and a watch without changes when its wait is over.
async fn serve_discovery(stream: TcpStream, entries: String) {
    let mut reader = RequestReader::new(stream);
    while let Some(head) = reader.next().await {
        let wait_ms = head.split("wait_ms=").nth(1);
        let wait_ms = wait_ms.and_then(|rest| rest.split(' ').next()?.parse().ok());
        let page = match wait_ms {
            Some(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                r#"{"seq":4,"whole":false,"hosts":[]}"#.to_string()
            }
            None => format!(r#"{{"seq":4,"whole":true,"hosts":[{entries}]}}"#),
        };
        if reader
            .stream
            .write_all(&answer(page.as_bytes()))
            .await
            .is_err()
        {
            return;
        }
    }
}
