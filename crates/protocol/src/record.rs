//! The format of recordings: what the recording proxies and the scenario runner saw, one entry a line in JSON. All
//! times are in microseconds of one clock since the recording began, so that entries of all connections can be put
//! in order.

use crate::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One entry of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event happened; for a frame, when the proxy read it.
    pub at: i64,
    /// For a frame, when the proxy sent it on; otherwise the same as `at`.
    #[serde(rename = "out")]
    pub sent_at: i64,
    /// The number of the connection.
    pub link: u64,
    /// The name of the process that sent the frame, or that reports the event.
    pub from: String,
    /// The name of the process that the frame was sent to, or that the entry is about.
    pub to: String,
    /// The event.
    pub what: What,
    /// For an answer to a client: the number of bytes that its host had sent on this connection, up to and including
    /// the answer's last byte. Earlier versions did not record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_end: Option<u64>,
    /// For an attempt: the number of bytes received from its host on each client connection, by connection, when the
    /// attempt was read. The kernel counts them, so bytes that the proxy had not read yet are included. The proxy reads
    /// two connections of a process in any order, and late when it is delayed. These counts still tell what had been
    /// received on one connection when a frame of the other was read.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub received: BTreeMap<u64, u64>,
}

impl Entry {
    /// An entry whose `sent_at` is `at`, without counts of bytes.
    pub fn new(at: i64, link: u64, from: &str, to: &str, what: What) -> Entry {
        Entry {
            at,
            sent_at: at,
            link,
            from: from.into(),
            to: to.into(),
            what,
            stream_end: None,
            received: BTreeMap::new(),
        }
    }
}

/// An event in a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// The proxy received a frame.
    Frame {
        /// The message of the frame.
        message: Message,
        /// The length of the frame's body in bytes.
        body: usize,
        /// What the proxy did with the frame.
        #[serde(rename = "fate")]
        delivery: Delivery,
    },
    /// A connection ended.
    Closed {
        /// The reason why the connection ended, as a text for readers of the recording.
        why: String,
    },
    /// A connection to the process `to` is opened, whether or not the process accepts it.
    Came,
    /// The scenario started, stopped or paused the process `to`.
    Process {
        /// Whether the process started, ended, was paused or resumed.
        #[serde(rename = "life")]
        event: ProcessEvent,
    },
    /// The scenario reloads the configuration of the host `to`, or the host has put it in force.
    Document {
        /// The revision of the configuration.
        revision: u64,
        /// The text of the configuration, in the first entry of its revision only.
        text: Option<String>,
        /// Whether the host serves by this configuration from now on. Otherwise it is only asked to reload.
        serves: bool,
    },
    /// At its end, the host `to` reported bytes that overran a cross-zone budget.
    #[serde(rename = "Past")]
    BudgetOverrun {
        /// The budget's name.
        budget: String,
        /// The reason why the bytes overran the budget, as a text for readers of the recording.
        cause: String,
        /// The number of bytes over the budget.
        bytes: u64,
    },
    /// The host `to` logged its shares of budgets.
    Parts {
        /// The host's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The newest epoch of the membership that the host knew.
        epoch: u64,
        /// Time in microseconds until the host's member lease expires; -1: it holds none.
        #[serde(rename = "lasts_us")]
        lease_us: i64,
        /// The host's share of each budget, in millionths of the budget, by the budget's name.
        #[serde(rename = "parts")]
        shares: BTreeMap<String, u32>,
    },
    /// The host `to` logged the stage of a maintenance order.
    Stage {
        /// The server's name.
        #[serde(rename = "machine")]
        server: String,
        /// The order's number.
        number: u64,
        /// The order's stage.
        stage: String,
    },
    /// The main thread of the process `to` waited for a processor, by the kernel's count. Recorded when a sample finds
    /// that the waits since the previous such entry add up to a millisecond or more.
    Waited {
        /// When the previous sample was taken.
        since: i64,
        /// Total length in microseconds of the waits that ended since the previous such entry. It includes waits of
        /// earlier samples that were too short to be recorded, and waits that began before `since`.
        waited_us: i64,
    },
    /// The proxy had not yet read all bytes that the kernel had received from the process `to` on the connection of a
    /// client.
    Unread {
        /// The number of bytes that the kernel had received since the connection was established.
        received: u64,
    },
    /// A note for readers of the recording: the scenario injected a fault, or a process started or stopped.
    #[serde(rename = "Trouble")]
    Fault {
        /// The text of the note.
        text: String,
    },
}

/// What the recording proxy did with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// The proxy passed the frame on unchanged.
    Passed,
    /// The proxy dropped the frame, as an injected fault.
    Dropped,
    /// The proxy turned the answer into an error and passed that on, as an injected fault.
    Altered,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessEvent {
    /// The process started.
    Started {
        /// The incarnation of the process, a random number drawn at each start.
        incarnation: u64,
    },
    /// The process was killed.
    Killed,
    /// The process exited by itself.
    Ended,
    /// The process was paused. It keeps its memory.
    Paused,
    /// The process was resumed after a pause.
    Resumed,
}

impl ProcessEvent {
    /// Whether the process has ended with this event.
    pub fn is_end(self) -> bool {
        matches!(self, ProcessEvent::Killed | ProcessEvent::Ended)
    }
}
