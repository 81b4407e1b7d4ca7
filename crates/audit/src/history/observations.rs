//! The observations that a history consists of. Times are microseconds since the recording began; lines are counted
//! from 0.

use gullsail_protocol::record::ProcessEvent;
use gullsail_protocol::{Answer, Attempt, AttemptResult, ListedState, Submit};
use std::collections::BTreeMap;
use std::fmt;

/// A request that a client submitted to a host. A client's repeat of a request is a `RequestSeen` too.
#[derive(Clone, Debug)]
pub struct RequestSeen {
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// When it reached the host.
    pub at: i64,
    /// The name of the host that received the request.
    pub host: String,
    /// The number of the connection between client and host.
    pub link: u64,
    /// The submitted message.
    pub submit: Submit,
    /// All answers, in order of time.
    pub answers: Vec<AnswerSeen>,
    /// When the host replied that it does not accept the request; `None`: it did not.
    pub not_taken_at: Option<i64>,
    /// When the client cancelled the request; `None`: it did not.
    pub withdrawn_at: Option<i64>,
    /// When the connection closed, whichever side closed it; `None`: it stayed open.
    pub link_closed_at: Option<i64>,
    /// Indices into the history's attempts, in the order in which these reached their nodes.
    pub attempts: Vec<usize>,
}

/// A sample of how long a process waited for a processor, by the kernel's count.
#[derive(Clone, Copy, Debug)]
pub struct WaitSeen {
    /// When the previous sample was taken.
    pub since: i64,
    /// When this sample was taken.
    pub at: i64,
    /// The total length, in microseconds, of the waits that ended since the previous sample.
    pub waited: i64,
}

/// A host's answer to a client.
#[derive(Clone, Debug)]
pub struct AnswerSeen {
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// The latest time at which the host can have sent the answer: that of the first sample that shows it
    /// received, or `read_at` if that is earlier or no sample does.
    pub at: i64,
    /// When the proxy read the answer. A delayed proxy reads it later than it was received.
    pub read_at: i64,
    /// The answer's message.
    pub answer: Answer,
    /// The number of bytes that the host had sent on the connection up to the end of the answer; `None`: not
    /// recorded.
    pub stream_end: Option<u64>,
}

/// An attempt of a host at a node.
#[derive(Clone, Debug)]
pub struct AttemptSeen {
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// When the proxy read the attempt from its host.
    pub at: i64,
    /// When the proxy sent the attempt on to the node.
    pub arrived_at: i64,
    /// The name of the host that sent the attempt.
    pub host: String,
    /// The name of the node that it was sent to.
    pub node: String,
    /// The number of the connection between host and node.
    pub link: u64,
    /// The attempt's message.
    pub attempt: Attempt,
    /// The node's answer; `None`: there was none.
    pub answer: Option<AttemptAnswerSeen>,
    /// When the connection closed with the attempt unanswered; `None`: it did not.
    pub broken_at: Option<i64>,
    /// For each client connection, the number of bytes that the kernel had received from the host when the attempt
    /// was read.
    pub sent_to_clients: BTreeMap<u64, u64>,
}

impl AttemptSeen {
    /// Whether the host had received by `by` that the node rejected the attempt, so that it never ran.
    pub fn never_ran(&self, by: i64) -> bool {
        self.answer
            .is_some_and(|answer| answer.result == AttemptResult::Rejected && answer.at <= by)
    }

    /// When the attempt's timeout ends, counted from when the host sent it.
    pub fn times_out_at(&self) -> i64 {
        self.at + self.attempt.time_out_us
    }

    /// The line of the attempt, and that of its answer if there is one.
    pub fn lines(&self) -> impl Iterator<Item = usize> + use<> {
        std::iter::once(self.line).chain(self.answer.map(|answer| answer.line))
    }
}

/// A node's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptAnswerSeen {
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// When the answer reached the host; `i64::MAX` while only the node's original of an altered answer is known.
    pub at: i64,
    /// The result that the host received, which a script may have altered.
    pub result: AttemptResult,
    /// Whether the request took effect, by the node's unaltered answer.
    pub ran: bool,
}

/// A node in the endpoint list of one host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedNode {
    /// The host that received the list.
    pub host: String,
    /// The node's name.
    pub node: String,
}

/// An endpoint list's report on a node, as a host received it.
#[derive(Clone, Debug)]
pub struct EndpointReport {
    /// When it reached the host.
    pub at: i64,
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// The reported state of the node.
    pub state: ListedState,
    /// The reported incarnation of the node's process.
    pub incarnation: u64,
}

/// A process started, ended, was paused or resumed.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEventSeen {
    /// When the event happened.
    pub at: i64,
    /// The kind of event.
    pub event: ProcessEvent,
}

/// A host was asked to load a revision of the configuration, or reported that it uses one.
#[derive(Clone, Copy, Debug)]
pub struct RevisionSeen {
    /// When the host was asked, or reported that it uses the revision.
    pub at: i64,
    /// The number of the revision.
    pub revision: u64,
    /// `true`: the host uses the revision from now on. `false`: it was asked to load it.
    pub serves: bool,
}

/// The size on the wire of an attempt or of a node's answer.
#[derive(Clone, Debug)]
pub struct FrameSeen {
    /// When the proxy read the frame.
    pub at: i64,
    /// The name of the sender.
    pub from: String,
    /// The name of the receiver.
    pub to: String,
    /// The length of the encoded message and its body.
    pub bytes: usize,
}

/// A connection to a process was established.
#[derive(Clone, Debug)]
pub struct ConnectionSeen {
    /// When the connection was established.
    pub at: i64,
    /// The name of the process that was connected to.
    pub to: String,
}

/// The budget shares that a host may use from the time of logging on.
#[derive(Clone, Debug)]
pub struct SharesSeen {
    /// When the host logged the shares.
    pub at: i64,
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// The length of the lease, in microseconds; negative: the host has no lease and the shares do not expire.
    pub lasts_us: i64,
    /// The share of each budget by its name, in millionths of the budget.
    pub shares: BTreeMap<String, u32>,
}

/// A host logged the stage of a server's maintenance order.
#[derive(Clone, Debug)]
pub struct StageSeen {
    /// When the host logged the stage.
    pub at: i64,
    /// The name of the server in maintenance.
    pub server: String,
    /// The number of the maintenance order.
    pub number: u64,
    /// The stage as logged, such as `out` or `done`.
    pub stage: String,
    /// The line of the recording, counted from 0.
    pub line: usize,
}

/// A grant, seen on a connection from the coordinator that issued it.
#[derive(Clone, Debug)]
pub struct GrantSeen {
    /// When the proxy read the grant.
    pub at: i64,
    /// The line of the recording, counted from 0.
    pub line: usize,
    /// The name of the host that is the coordinator.
    pub by: String,
    /// The ballot that the coordinator was elected with.
    pub ballot: BallotSeen,
}

/// The ballot that a coordinator was elected with; a later one compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BallotSeen {
    /// The round of the election.
    pub round: u64,
    /// The number of the host that stood for election; it orders ballots of the same round.
    pub by: u32,
}

impl fmt::Display for BallotSeen {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "({}, {})", self.round, self.by)
    }
}

/// A span of time, in microseconds since the recording began.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// When it begins; `i64::MIN`: before the recording.
    pub from: i64,
    /// When it ends; `i64::MAX`: after the recording.
    pub to: i64,
}
