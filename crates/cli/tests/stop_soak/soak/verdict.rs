//! What became of each request, told by its client and by the kernel at the client's end.

use std::fmt::Write;
use std::net::TcpStream;
use std::time::Duration;

/// An answer may come this long after its deadline: it is worth nothing, but not lost. The platform states it.
const LATE_IS_NOT_LOST: Duration = Duration::from_millis(500);
/// What the host finds unanswered when it is killed may be lost if it was sent this long after SIGTERM. The platform
/// states it.
const OWED_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// A close of an idle connection and a request cross if they are no further apart. The platform adds as much to every
/// time limit on sockets.
const CROSSING: Duration = Duration::from_millis(50);
/// Failures that are told of one seed.
const SHOWN_FAILURES: usize = 3;

/// What a look at the client's end of a connection shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Look {
    /// Nothing waits to be read.
    Nothing,
    /// Bytes wait.
    Bytes,
    /// The host's end has come, in order or as a reset.
    End,
}

/// Looks without waiting.
pub fn look(stream: &TcpStream) -> Look {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let socket = socket2::SockRef::from(stream);
    // The flag is of the call alone: other reads of the socket still wait.
    let peeked = socket.recv_with_flags(&mut byte, nix::libc::MSG_PEEK | nix::libc::MSG_DONTWAIT);
    match peeked {
        Ok(0) => Look::End,
        Ok(_) => Look::Bytes,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Look::Nothing,
        Err(_) => Look::End,
    }
}

/// A request that was written whole. Times are since the load began.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: u64,
    pub client: usize,
    /// Numbers the connections of the client.
    pub connection: u32,
    /// Its place among the requests sent at once.
    pub place: usize,
    pub at: Duration,
    pub deadline: Duration,
    /// The host's end had come, with nothing before it, when the request was written: it crossed a close.
    pub crossed: bool,
    /// The host had told the client to go away on this connection.
    pub announced: bool,
    /// When its whole answer came, and what it was.
    pub answer: Option<(Duration, String)>,
    /// When the client saw the end of the connection, or gave up.
    pub ended: Option<Duration>,
    /// The connection was idle before, nothing came on it after, and its end was no reset.
    pub unanswered_in_order: bool,
}

impl Sent {
    /// It crossed the host's close of an idle connection. The platform allows that of a request that the host has not read,
    /// and its clients send it once more. A trace of such runs (`strace` of the host) shows the order: nothing to read,
    /// this side's direction closed within 0.8 ms, and then the request. A reset is no such close.
    fn crossed_idle_close(&self) -> bool {
        let ended = self.ended.unwrap_or(Duration::MAX);
        self.crossed || (self.unanswered_in_order && ended.saturating_sub(self.at) <= CROSSING)
    }
}

/// How the host's process ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exit {
    /// By itself, with this code.
    Code(i32),
    /// By the kill.
    Killed,
}

/// The sums of one run.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub requests: usize,
    pub answered: usize,
    /// Crossed the close of an idle connection, which the platform allows.
    pub crossed: usize,
    /// Sent in spite of an announced close, and unanswered at the end.
    pub ignored_announcement: usize,
    /// Unanswered at the kill, which the platform allows of late ones.
    pub killed: usize,
    /// Operators' commands that had a whole reply.
    pub commands: usize,
    /// The least time that was left of any answer's bound.
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

/// When the host was told to stop, and how it ended.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub signalled: Duration,
    pub exit: Exit,
    /// When the process was gone.
    pub ended: Duration,
}

/// Judges all requests of a run.
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
            .push(story("answered too late", sent, stop)),
        None if sent.crossed_idle_close() => sums.crossed += 1,
        None if sent.announced => sums.ignored_announcement += 1,
        None if stop.exit == Exit::Killed && sent.at > stop.signalled + OWED_AFTER_SIGTERM => {
            sums.killed += 1;
        }
        None => verdict.failures.push(story("no answer", sent, stop)),
    }
}

/// A request's story, in order of time; times after the first SIGTERM.
fn story(what: &str, sent: &Sent, stop: &Stop) -> String {
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

/// The first failures of a run, one a line.
pub fn shown(failures: &[String]) -> String {
    let first: Vec<&str> = failures
        .iter()
        .take(SHOWN_FAILURES)
        .map(String::as_str)
        .collect();
    first.join("\n  ")
}
