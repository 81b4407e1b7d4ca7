//! What a relay on a socket saw, one entry a line in JSON. Times are of the recorder's one clock, in
//! microseconds since it began, so that entries of all links can be put in order.

use crate::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the relay had read it, and when the other side was given it.
    pub at: i64,
    pub out: i64,
    /// The connection, by number, and who speaks to whom on it.
    pub link: u64,
    pub from: String,
    pub to: String,
    pub what: What,
}

/// What a line of a recording tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// As it was read; `body` is its length.
    Frame {
        message: Message,
        body: usize,
        #[serde(rename = "fate")]
        delivery: Delivery,
    },
    Closed {
        why: String,
    },
    /// Somebody connects to the process called `to`, whatever becomes of it.
    Came,
    /// By the script: the process called `to` began, was killed or ended.
    Process {
        #[serde(rename = "life")]
        event: ProcessEvent,
    },
    /// By the script: the process called `to` is asked to serve by this document, or does now.
    Document {
        revision: u64,
        /// The whole document, where it is first told of.
        text: Option<String>,
        serves: bool,
    },
    /// By the script: what the host called `to` said at the end of bytes that went past a budget.
    #[serde(rename = "Past")]
    BudgetOverrun {
        budget: String,
        cause: String,
        bytes: u64,
    },
    /// What the host called `to` wrote down at the time: what it may use of budgets from then on, in
    /// millionths of each, and how long its lease lasts; -1: it has none.
    Parts {
        #[serde(rename = "life")]
        incarnation: u64,
        epoch: u64,
        lasts_us: i64,
        parts: BTreeMap<String, u32>,
    },
    /// What the host called `to` wrote down at the time: which stage of a machine's order it knows of.
    Stage {
        #[serde(rename = "machine")]
        server: String,
        number: u64,
        stage: String,
    },
    /// By the script, for people: a fault began or ended, a process started or stopped.
    #[serde(rename = "Trouble")]
    Fault {
        text: String,
    },
}

/// What the recording proxy did with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    Passed,
    Dropped,
    /// Passed on as an error.
    Altered,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessEvent {
    Started {
        incarnation: u64,
    },
    Killed,
    Ended,
    /// It stands still, and goes on as it was.
    Paused,
    Resumed,
}

impl ProcessEvent {
    /// Whether the process is gone after it.
    pub fn is_end(self) -> bool {
        matches!(self, ProcessEvent::Killed | ProcessEvent::Ended)
    }
}
