//! Stand-in for a storage node, by the protocol page. One request at a time travels on a connection.

use crate::delay;
use crate::http::{Conn, Message, Read1, response};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How a node sends its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// With `Content-Length`, and nothing more.
    Plain,
    /// With `Content-Length`; this long afterwards the same again, unless a byte of another request has come by then or
    /// is on its way.
    Twice(Duration),
    /// Turned away, unrun: the queue is full. This long afterwards the same again, on the same terms as [`Answer::Twice`];
    /// `None`: not again.
    TurnedAway(Option<Duration>),
    /// Without a length: the answer ends with the connection, which the node closes in order.
    WithoutLength,
}

/// How often nodes have run each request, by its id.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// The ids of the requests that nodes have answered whole without a length.
pub static WITHOUT_LENGTH: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// How many second answers all nodes have sent.
pub static SECOND_ANSWERS: AtomicU64 = AtomicU64::new(0);

/// What a node does, in the same way at all nodes.
#[derive(Clone)]
pub struct Behaviour {
    pub runs: Runs,
    pub work: Duration,
    /// Chooses the answer to the n-th request that reaches this node, from 0.
    pub answer: Arc<dyn Fn(u64) -> Answer + Send + Sync>,
}

/// The body that a node makes for the request with this id.
pub fn body_for(trace: &str, object: &str) -> String {
    format!("answer made for request {trace}, object {object}\n")
}

pub fn object_of(message: &Message) -> String {
    let target = message.start_line().split(' ').nth(1).unwrap_or_default();
    target.rsplit('/').next().unwrap_or_default().to_string()
}

pub fn start(name: String, shard: usize, behaviour: Behaviour, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("node address");
    let address = listener.local_addr().unwrap();
    let run_count = Arc::new(AtomicU64::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, behaviour, record, run_count) = (
                name.clone(),
                behaviour.clone(),
                record.clone(),
                run_count.clone(),
            );
            std::thread::spawn(move || {
                serve(Conn::new(stream), &name, shard, &behaviour, &record, &run_count);
            });
        }
    });
    address
}

fn serve(
    mut conn: Conn,
    name: &str,
    shard: usize,
    behaviour: &Behaviour,
    record: &Record,
    run_count: &AtomicU64,
) {
    while let Read1::Message(message) = conn.read(None) {
        let trace = message.field("X-Trace-Id").to_string();
        if trace.is_empty() {
            let _ = conn.send(&response("404 Not Found", "", b""));
            continue;
        }
        let extent = message.field("X-Extent").to_string();
        let right_shard = extent
            .split(',')
            .any(|pair| pair == format!("shard={shard}") || pair == "shard=-1");
        if !right_shard {
            record.line(format!("{name} turned away {trace}: {extent}"));
            let _ = conn.send(&response("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""));
            continue;
        }
        let answer = (behaviour.answer)(run_count.fetch_add(1, Ordering::Relaxed));
        if let Answer::TurnedAway(again) = answer {
            record.line(format!("{name} turns {trace} away: 503, never ran"));
            let bytes = response("503 Service Unavailable", "X-Never-Ran: 1\r\n", b"queue full");
            if conn.send(&bytes).is_err() || !send_again(&mut conn, &bytes, again, name, &trace, record) {
                return;
            }
            continue;
        }
        record.line(format!("{name} runs {trace}"));
        *behaviour.runs.lock().unwrap().entry(trace.clone()).or_default() += 1;
        std::thread::sleep(behaviour.work);
        let body = body_for(&trace, &object_of(&message));
        let bytes = response("200 OK", "", body.as_bytes());
        match answer {
            Answer::Plain | Answer::Twice(_) | Answer::TurnedAway(_) => {
                record.line(format!("{name} answers {trace}: 200"));
                let again = match answer {
                    Answer::Twice(after) => Some(after),
                    _ => None,
                };
                if conn.send(&bytes).is_err() || !send_again(&mut conn, &bytes, again, name, &trace, record) {
                    return;
                }
            }
            Answer::WithoutLength => {
                record.line(format!("{name} answers {trace}: 200, no length, whole, then closes"));
                WITHOUT_LENGTH.lock().unwrap().insert(trace.clone());
                let bytes = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                let _ = conn.send(bytes.as_bytes());
                let _ = conn.stream.shutdown(std::net::Shutdown::Write);
                // Reads to the end, so that the close resets nothing.
                conn.has_input_by(Instant::now() + Duration::from_secs(2));
                return;
            }
        }
    }
}

/// Sends an answer a second time, unless something else waits on the connection then. Returns whether the connection is
/// still of use.
fn send_again(
    conn: &mut Conn,
    bytes: &[u8],
    after: Option<Duration>,
    name: &str,
    trace: &str,
    record: &Record,
) -> bool {
    let Some(after) = after else {
        return true;
    };
    // The time limit of a read is too coarse for some milliseconds.
    std::thread::sleep(after);
    let has_come = conn.has_input_now();
    let proxy = conn.stream.peer_addr().expect("the proxy's address");
    if has_come || delay::written_by_host(proxy) != Some(conn.bytes_read) {
        record.line(format!("{name} has more to read, no second answer to {trace}"));
        return true;
    }
    record.line(format!(
        "{name} answers {trace} a second time, nothing waits and nothing is on its way"
    ));
    SECOND_ANSWERS.fetch_add(1, Ordering::Relaxed);
    conn.send(bytes).is_ok()
}
