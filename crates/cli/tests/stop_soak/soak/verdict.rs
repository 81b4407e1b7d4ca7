//! The verdict on each request, from what its client and the kernel at the client's end observed.

use std::fmt::Write;
use std::net::TcpStream;
use std::time::Duration;

/// An answer that comes up to this long after its deadline is useless but does not count as lost. The platform sets
/// this value.
const LATE_IS_NOT_LOST: Duration = Duration::from_millis(500);
/// A request that is unanswered when the host is killed may be lost if it was sent later than this after SIGTERM. The
/// platform sets this value.
const OWED_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// The close of an idle connection and a request cross if they are at most this far apart. The platform adds as much to
/// every time limit on sockets.
const CROSSING: Duration = Duration::from_millis(50);
/// The maximum number of failures that are printed for a seed.
const SHOWN_FAILURES: usize = 3;

/// What waits to be read at the client's end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Look {
    /// Nothing has arrived.
    Nothing,
    /// Bytes have arrived.
    Bytes,
    /// The end of the connection has arrived, in order or as a reset.
    End,
}

/// Peeks at the connection without blocking or consuming input.
pub fn look(stream: &TcpStream) -> Look {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let socket = socket2::SockRef::from(stream);
    // `MSG_DONTWAIT` applies to this call only: other reads of the socket still block.
    let peeked = socket.recv_with_flags(&mut byte, nix::libc::MSG_PEEK | nix::libc::MSG_DONTWAIT);
    match peeked {
        Ok(0) => Look::End,
        Ok(_) => Look::Bytes,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Look::Nothing,
        Err(_) => Look::End,
    }
}

/// A request that was completely written. Times are since the start of the load.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: u64,
    pub client: usize,
    /// The number of the connection among those of the client.
    pub connection: u32,
    /// The position among the requests sent at once, from 0.
    pub place: usize,
    pub at: Duration,
    pub deadline: Duration,
    /// When the request had been written, the end of the connection had arrived with nothing before it: the request
    /// crossed a close.
    pub crossed: bool,
    /// The host had announced on this connection that it closes.
    pub announced: bool,
    /// When the complete answer arrived, and its status or outcome.
    pub answer: Option<(Duration, String)>,
    /// When the client saw the end of the connection or stopped waiting; `None`: neither happened while it waited.
    pub ended: Option<Duration>,
    /// The connection was idle before the request, nothing arrived on it afterwards, and it did not end with a reset.
    pub unanswered_in_order: bool,
}

impl Sent {
    /// Whether the request crossed the host's close of an idle connection. The platform allows such a loss if the host
    /// has not read the request, and its clients send the request once more. `strace` of the host shows the order: the
    /// host finds nothing to read, closes its direction within 0.8 ms, and then the request arrives. A reset is no such
    /// close.
    fn crossed_idle_close(&self) -> bool {
        let ended = self.ended.unwrap_or(Duration::MAX);
        self.crossed || (self.unanswered_in_order && ended.saturating_sub(self.at) <= CROSSING)
    }
}

/// How the host's process ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exit {
    /// The process exited with this code, or a signal ended it: 128 plus the number of the signal.
    Code(i32),
    /// The run killed the process.
    Killed,
}

/// Counts of one run, or of all runs together.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub requests: usize,
    pub answered: usize,
    /// Unanswered requests that crossed the close of an idle connection, which the platform allows.
    pub crossed: usize,
    /// Unanswered requests that were sent in spite of an announced close.
    pub ignored_announcement: usize,
    /// Requests sent late and unanswered at the kill, which the platform allows.
    pub killed: usize,
    /// Operators' commands that got a complete reply.
    pub commands: usize,
    /// The least time between an answer and the latest time allowed for it; `None`: there was no answer.
    pub worst_margin: Option<Duration>,
}

impl Sums {
    pub fn add(&mut self, other: &Sums) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.crossed += other.crossed;
        self.killed += other.killed;
        self.commands += other.commands;
        self.ignored_announcement += other.ignored_announcement;
        self.worst_margin = match (self.worst_margin, other.worst_margin) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }
}

/// The verdict on one run.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub sums: Sums,
    pub failures: Vec<String>,
}

/// When the host got its first SIGTERM, and how it ended.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When the first SIGTERM was sent, since the start of the load.
    pub signalled: Duration,
    pub exit: Exit,
    /// When the process had ended, since the start of the load.
    pub ended: Duration,
}

/// Checks all requests of a run and the host's exit.
pub fn judge(requests: &[Sent], extra_answers: &[String], stop: &Stop) -> Verdict {
    let mut verdict = Verdict {
        sums: Sums::default(),
        failures: extra_answers.to_vec(),
    };
    verdict.sums.requests = requests.len();
    for sent in requests {
        judge_request(&mut verdict, sent, stop);
    }
    if !matches!(stop.exit, Exit::Code(0) | Exit::Killed) {
        let failure = format!("the host ended with {:?}", stop.exit);
        verdict.failures.push(failure);
    }
    verdict
}

fn judge_request(verdict: &mut Verdict, sent: &Sent, stop: &Stop) {
    let bound = sent.at + sent.deadline + LATE_IS_NOT_LOST;
    let sums = &mut verdict.sums;
    match &sent.answer {
        Some((at, _)) if *at <= bound => {
            sums.answered += 1;
            let margin = bound - *at;
            sums.worst_margin = Some(sums.worst_margin.map_or(margin, |worst| worst.min(margin)));
        }
        Some(_) => verdict
            .failures
            .push(timeline("answered too late", sent, stop)),
        None if sent.crossed_idle_close() => sums.crossed += 1,
        None if sent.announced => sums.ignored_announcement += 1,
        None if stop.exit == Exit::Killed && sent.at > stop.signalled + OWED_AFTER_SIGTERM => {
            sums.killed += 1;
        }
        None => verdict.failures.push(timeline("no answer", sent, stop)),
    }
}

/// The timeline of a failed request; times are relative to the first SIGTERM.
fn timeline(what: &str, sent: &Sent, stop: &Stop) -> String {
    let after = |at: Duration| (at.as_secs_f64() - stop.signalled.as_secs_f64()) * 1e3;
    let mut text = format!(
        "{what}: request {:016x}, client {}, connection {}, place {}: sent {:+.1} ms, deadline {:+.1} ms",
        sent.id,
        sent.client,
        sent.connection,
        sent.place,
        after(sent.at),
        after(sent.at + sent.deadline),
    );
    if let Some((at, answer)) = &sent.answer {
        let _ = write!(text, ", {answer} {:+.1} ms", after(*at));
    }
    if let Some(ended) = sent.ended {
        let _ = write!(text, ", end seen {:+.1} ms", after(ended));
    }
    let _ = write!(
        text,
        ", host gone {:+.1} ms ({:?})",
        after(stop.ended),
        stop.exit
    );
    text
}

/// The first [`SHOWN_FAILURES`] failures of a run, one a line.
pub fn shown(failures: &[String]) -> String {
    let first: Vec<&str> = failures
        .iter()
        .take(SHOWN_FAILURES)
        .map(String::as_str)
        .collect();
    first.join("\n  ")
}
