//! What a relay on a socket saw, one entry a line in JSON. Times are of the recorder's one clock, in
//! microseconds since it began, so that entries of all links can be put in order.

use crate::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the proxy had read it.
    pub at: i64,
    /// When the other side was sent it.
    #[serde(rename = "out")]
    pub sent_at: i64,
    /// The connection.
    pub link: u64,
    /// The process that sent it.
    pub from: String,
    /// The process that it was sent to, or that the entry is about.
    pub to: String,
    /// What was seen.
    pub what: What,
    /// Of an answer to a client: how many bytes its host had sent on this connection with its last byte. An earlier
    /// version wrote none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_end: Option<u64>,
    /// Of an attempt: how many bytes of its host had come on each connection of a client by when the attempt was read,
    /// read or unread, as the kernel counts them. A relay reads two connections of a process in any order, and late when
    /// it is held up; what had come on the one when a frame of the other was read is known all the same.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub received: BTreeMap<u64, u64>,
}

impl Entry {
    /// An entry that was passed on as it came, without counts of bytes.
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

/// What a line of a recording tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A frame passed.
    Frame {
        /// The message.
        message: Message,
        /// The length of the body in bytes.
        body: usize,
        /// What the proxy did with it.
        #[serde(rename = "fate")]
        delivery: Delivery,
    },
    /// A connection ended.
    Closed {
        /// Why, for people.
        why: String,
    },
    /// Somebody connects to the process called `to`, whether or not it accepts.
    Came,
    /// The scenario started, stopped or paused the process called `to`.
    Process {
        /// What happened to it.
        #[serde(rename = "life")]
        event: ProcessEvent,
    },
    /// The scenario reloads the host called `to`, or the host now serves by the configuration.
    Document {
        /// The revision of the configuration.
        revision: u64,
        /// The whole document, in the first entry of its revision.
        text: Option<String>,
        /// The host serves by it now; else it is only asked to.
        serves: bool,
    },
    /// The host called `to` reported at its end bytes beyond a cross-zone budget.
    #[serde(rename = "Past")]
    BudgetOverrun {
        /// The budget's name.
        budget: String,
        /// Why bytes crossed, for people.
        cause: String,
        /// How many bytes.
        bytes: u64,
    },
    /// The host called `to` logged its shares of budgets.
    Parts {
        /// The host's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The epoch of the membership that it knew.
        epoch: u64,
        /// How long its lease lasts; -1: it holds none.
        #[serde(rename = "lasts_us")]
        lease_left_us: i64,
        /// Its share of each budget in millionths, by name.
        #[serde(rename = "parts")]
        shares: BTreeMap<String, u32>,
    },
    /// The host called `to` logged the stage of a maintenance order.
    Stage {
        /// The server's name.
        #[serde(rename = "machine")]
        server: String,
        /// The order's number.
        number: u64,
        /// The order's stage.
        stage: String,
    },
    /// The process called `to` waited for a processor, as the kernel counts it. Samples that add no millisecond are left
    /// out.
    Waited {
        /// When the sample before this one was taken.
        since: i64,
        /// How long the waits were that ended since then. One of them may have begun earlier.
        waited_us: i64,
    },
    /// So many bytes of the process called `to` had come on the connection of a client, as the kernel counts them, while
    /// the relay had not yet read all of them.
    Unread {
        /// Since the connection was established.
        received: u64,
    },
    /// For people: the scenario injected a fault, or a process started or stopped.
    #[serde(rename = "Trouble")]
    Fault {
        /// The description.
        text: String,
    },
}

/// What the recording proxy did with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// Passed on as it was.
    Passed,
    /// Lost on purpose.
    Dropped,
    /// Passed on as an error.
    Altered,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessEvent {
    /// It started.
    Started {
        /// Drawn anew at each start.
        incarnation: u64,
    },
    /// It was killed.
    Killed,
    /// It exited by itself.
    Ended,
    /// It is paused and keeps its memory.
    Paused,
    /// It continues.
    Resumed,
}

impl ProcessEvent {
    /// Whether the process is gone after it.
    pub fn is_end(self) -> bool {
        matches!(self, ProcessEvent::Killed | ProcessEvent::Ended)
    }
}
