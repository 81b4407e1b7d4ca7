//! The messages, by who speaks to whom. Each is a protobuf message by `prost`: a field that a newer version
//! adds is skipped by an older one. Spans travel in microseconds, and only spans: two processes never have
//! to agree on a point in time, but for a demand report's, whose receiver corrects it by what it knows of the clocks.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// Who opens a connection, or answers on one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize)]
#[repr(i32)]
pub enum Role {
    Unknown = 0,
    Client = 1,
    Host = 2,
    Node = 3,
    List = 4,
}

/// The first frame each way on every connection. The incarnation is drawn anew at each start of a process.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Hello {
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// How long the process has been up.
    #[prost(int64, tag = "4")]
    pub age_us: i64,
    /// Of a node: the shard it holds, plus one.
    #[serde(rename = "cell_plus_one")]
    #[prost(int64, tag = "5")]
    pub shard_plus_one: i64,
}

/// Names a written object for good: a later read needs no lookup.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Handle {
    #[serde(rename = "cell")]
    #[prost(int64, tag = "1")]
    pub shard: i64,
    #[prost(fixed64, tag = "2")]
    pub object: u64,
}

/// A client hands a request over; a write's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Submit {
    /// Names it on this connection, until it is answered.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "2")]
    pub request_class: String,
    #[prost(string, tag = "3")]
    pub volume: String,
    #[prost(double, tag = "4")]
    pub units: f64,
    /// Where its data lies; none: a new object.
    #[prost(message, optional, tag = "5")]
    pub handle: Option<Handle>,
    /// Requests of a request class that keeps order take turns by this; empty: by the handle.
    #[prost(string, tag = "6")]
    pub order_key: String,
    /// The same in every try of what a client wants once: a repeat is known by it.
    #[prost(string, tag = "7")]
    pub mark: String,
    /// Which of the client's tries this is, from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    /// How long from now until the client gives up on this try.
    #[serde(rename = "ttl_us")]
    #[prost(int64, tag = "9")]
    pub timeout_us: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize)]
#[repr(i32)]
pub enum Outcome {
    Unknown = 0,
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// It may be sent again without harm.
    #[serde(rename = "Deferred")]
    Rejected = 2,
    /// Promises nothing: it may have run.
    #[serde(rename = "Abandoned")]
    Failed = 3,
}

/// The one final answer; a read's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// Of a write that is done.
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// Of a rejection: when to come back; 0: no advice.
    #[serde(rename = "come_back_us")]
    #[prost(int64, tag = "4")]
    pub retry_after_us: i64,
}

/// The request was not taken: nothing of it ran, and no answer follows.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct NotTaken {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
    /// The host goes away; another may take it.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// The client no longer waits for this one.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Withdraw {
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// One attempt of a request, to a node; a write's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Attempt {
    /// Names it on this connection.
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "2")]
    pub request_class: String,
    #[prost(string, tag = "3")]
    pub volume: String,
    #[prost(double, tag = "4")]
    pub units: f64,
    #[prost(bool, tag = "5")]
    pub write: bool,
    #[prost(message, optional, tag = "6")]
    pub handle: Option<Handle>,
    #[prost(string, tag = "7")]
    pub mark: String,
    /// Which of the client's tries, and which attempt of that one, each from 0.
    #[prost(uint32, tag = "8")]
    pub repeat: u32,
    #[prost(uint32, tag = "9")]
    pub number: u32,
    /// After this long nobody waits for its answer.
    #[prost(int64, tag = "10")]
    pub time_out_us: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize)]
#[repr(i32)]
pub enum AttemptResult {
    Unknown = 0,
    #[serde(rename = "Done")]
    Succeeded = 1,
    /// It may have run.
    Failed = 2,
    /// Turned away unseen: it never ran.
    #[serde(rename = "TurnedAway")]
    Rejected = 3,
}

/// What came of an attempt; a read's bytes follow as the body.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct AttemptAnswer {
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    #[prost(enumeration = "AttemptResult", tag = "2")]
    pub result: i32,
    #[prost(message, optional, tag = "3")]
    pub handle: Option<Handle>,
    /// The volume's use through all hosts in a finished period, in percent of its usual rate, plus one;
    /// 0: not told.
    #[prost(uint32, tag = "4")]
    pub used_plus_one: u32,
    /// It took effect now, and not in an earlier attempt whose mark it bears.
    #[prost(bool, tag = "5")]
    pub ran: bool,
    /// Why it failed, for people.
    #[prost(string, tag = "6")]
    pub reason: String,
}

/// Nobody waits for this attempt any more.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Cancel {
    #[serde(rename = "leg")]
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Probe {
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ProbeAnswer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub running: u32,
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}

/// From host to host: bytes of the decisions' own, at most [`crate::MAX_DEMAND_REPORT_BYTES`].
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct DemandReport {
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
}

/// What is your clock? `asked_us` is the asker's, and comes back as it was.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockQuery {
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
}

#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ClockReply {
    #[prost(int64, tag = "1")]
    pub asked_us: i64,
    /// The clock of the one asked, between the question's arrival and this.
    #[prost(int64, tag = "2")]
    pub clock_us: i64,
}

/// Which hosts are known to hold to a document of this revision or a later one.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Reached {
    /// What the sender holds to.
    #[prost(uint64, tag = "1")]
    pub held: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// One bit for each host, by number.
    #[prost(bytes = "vec", tag = "3")]
    pub hosts: Vec<u8>,
}

/// What a note of the fleet is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize)]
#[repr(i32)]
pub enum FleetWhat {
    Unknown = 0,
    /// To a voter: promise this ballot. Back: promised, with the lease that is live there, if one is.
    Prepare = 1,
    Promise = 2,
    /// To a voter: the lease on deciding, by this ballot. Back: it is given.
    Propose = 3,
    Accept = 4,
    /// From a voter: a later ballot is promised.
    Refuse = 5,
    /// To a voter: the lease is handed back before its end.
    Release = 6,
    /// From the coordinator to all: say what you hold.
    Ask = 7,
    /// From a member: what it holds and asks. Back: what it may use.
    Renew = 8,
    Grant = 9,
    /// From a member: it holds nothing any more and goes. Back: heard.
    Leave = 10,
    Left = 11,
    /// To a process whose name another one holds.
    Fence = 12,
    /// To the coordinator: an operator's word on machines. Back: what it came to.
    #[serde(rename = "Word")]
    OperatorCommand = 13,
    Heard = 14,
}

/// What somebody may use of a budget, or asks of it.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetPart {
    #[prost(fixed64, tag = "1")]
    pub budget: u64,
    /// In millionths of the whole.
    #[prost(uint32, tag = "2")]
    pub share: u32,
    /// In the budget's own measure, a second.
    #[prost(float, tag = "3")]
    pub asked: f32,
}

#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMember {
    #[prost(uint32, tag = "1")]
    pub host: u32,
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[serde(rename = "standing")]
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// From host to host, of who belongs to the fleet and what each may use; what it means is told in `crates/fleet`.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMessage {
    /// Which fleet, and which version of its rules.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    #[prost(uint32, tag = "2")]
    pub rules: u32,
    #[prost(enumeration = "FleetWhat", tag = "3")]
    pub what: i32,
    /// Who wrote it and for whom, by number and incarnation (0: any): a third host may have passed it on.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    #[serde(rename = "from_life")]
    #[prost(fixed64, tag = "5")]
    pub from_incarnation: u64,
    #[prost(uint32, tag = "6")]
    pub to: u32,
    #[serde(rename = "to_life")]
    #[prost(fixed64, tag = "7")]
    pub to_incarnation: u64,
    #[prost(uint64, tag = "8")]
    pub round: u64,
    #[prost(uint32, tag = "9")]
    pub by: u32,
    #[prost(uint64, tag = "10")]
    pub epoch: u64,
    /// Of a question, and of the reply to it.
    #[prost(uint64, tag = "11")]
    pub number: u64,
    /// Of a grant: the coordinator counts them; of a renewal: the one that is held by.
    #[prost(uint64, tag = "12")]
    pub serial: u64,
    #[prost(message, repeated, tag = "13")]
    pub parts: Vec<FleetPart>,
    #[prost(message, repeated, tag = "14")]
    pub members: Vec<FleetMember>,
    /// Of machines out for work, where there are such orders.
    #[serde(rename = "works")]
    #[prost(message, optional, boxed, tag = "15")]
    #[serde(default)]
    pub maintenance: Option<Box<FleetMaintenance>>,
}

/// What hosts tell each other of machines out for work.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMaintenance {
    /// The whole line, where the other side does not know it.
    #[prost(message, optional, tag = "1")]
    pub line: Option<FleetLine>,
    /// Of a renewal: the line that is known, by ballot and count (0: none). Of a grant: the newest.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    #[prost(uint32, tag = "3")]
    pub by: u32,
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// Of a renewal: machines that this host let go of; for how long this process has been a member; units a second that it
    /// serves.
    #[prost(fixed64, repeated, tag = "5")]
    pub let_go: Vec<u64>,
    #[prost(uint64, tag = "6")]
    pub member_for_ms: u64,
    #[prost(float, tag = "7")]
    pub served: f32,
    #[serde(rename = "word")]
    #[prost(message, optional, tag = "8")]
    pub command: Option<FleetCommand>,
}

/// One machine's order; what the figures mean is told in `crates/fleet`.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetOrder {
    #[serde(rename = "machine")]
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    #[prost(uint64, tag = "4")]
    pub version: u64,
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    #[prost(uint64, tag = "6")]
    pub longest_ms: u64,
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "7")]
    pub shard_away: bool,
    #[prost(bool, tag = "8")]
    pub returns: bool,
    #[prost(string, tag = "9")]
    pub reason: String,
    #[prost(string, tag = "10")]
    pub waits: String,
    #[prost(uint32, repeated, tag = "11")]
    pub hosts: Vec<u32>,
    #[prost(uint32, tag = "12")]
    pub passed: u32,
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "13")]
    pub incarnation: u64,
}

/// All orders, as of one change: by whose ballot, and its count.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetLine {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint32, tag = "2")]
    pub by: u32,
    #[prost(uint64, tag = "3")]
    pub count: u64,
    #[prost(uint64, tag = "4")]
    pub anew: u64,
    #[prost(message, repeated, tag = "5")]
    pub orders: Vec<FleetOrder>,
}

/// An operator's word on machines, and what it came to.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetCommand {
    /// 1: out, 2: back, 3: cancel.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[serde(rename = "machines")]
    #[prost(fixed64, repeated, tag = "2")]
    pub servers: Vec<u64>,
    /// 0: as long as the document says.
    #[prost(uint64, tag = "3")]
    pub longest_ms: u64,
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "4")]
    pub shard_away: bool,
    #[prost(bool, tag = "5")]
    pub returns: bool,
    #[prost(string, tag = "6")]
    pub reason: String,
    /// Of the reply: for which machine it is refused, and why; empty: it is taken.
    #[prost(fixed64, tag = "7")]
    pub refused: u64,
    #[prost(string, tag = "8")]
    pub why: String,
}

/// Asks for the whole node list, and with `watch` for all changes from then on.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListQuery {
    #[prost(bool, tag = "1")]
    pub watch: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize)]
#[repr(i32)]
pub enum ListedState {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The node's name, the same for all its incarnation and never used again for another shard.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[serde(rename = "cell")]
    #[prost(int64, tag = "3")]
    pub shard: i64,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[serde(rename = "standing")]
    #[prost(enumeration = "ListedState", tag = "5")]
    pub state: i32,
    /// How long ago it last started, and the incarnation that this brought; 0: not known.
    #[prost(int64, tag = "6")]
    pub age_us: i64,
    #[prost(fixed64, tag = "7")]
    pub incarnation: u64,
    /// What sort of node it is, for the pools of a document; empty: none.
    #[prost(string, tag = "8")]
    #[serde(default)]
    pub kind: String,
}

#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole list: who is not in it is gone. Else the entries that changed.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<ListedEndpoint>,
}

/// The list service cannot answer now.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct EndpointListRefused {
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// To a stand-in alone, from the script of a day: what goes wrong with it, or what the list is to say.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Order {
    /// Of a node: `stall`, `slow`, `fail`, `costly`. Of the list: `late`, `refuse`.
    #[prost(string, tag = "1")]
    pub what: String,
    #[prost(double, tag = "2")]
    pub size: f64,
    #[prost(int64, tag = "3")]
    pub lasts_us: i64,
    /// Of the list: these entries are so from now on.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<ListedEndpoint>,
    /// Which part of the requests is meant, and of which request class; empty: all types.
    #[prost(double, tag = "5")]
    pub share: f64,
    #[serde(rename = "stream_type")]
    #[prost(string, tag = "6")]
    pub request_class: String,
}
