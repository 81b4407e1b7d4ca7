//! Between hosts, of who belongs to the fleet, what each may use, and servers in maintenance. What they mean
//! is told in `crates/fleet`.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// What a message of the fleet is about.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
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
    /// To the coordinator: an operator's command on servers. Back: what it came to.
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

/// One member of the fleet, as the coordinator lists it.
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

/// From host to host, of who belongs to the fleet and what each may use; what it means is told in
/// `crates/fleet`.
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
    /// Of servers in maintenance, where there are such orders.
    #[serde(rename = "works")]
    #[prost(message, optional, boxed, tag = "15")]
    #[serde(default)]
    pub maintenance: Option<Box<FleetMaintenance>>,
}

/// What hosts tell each other of servers in maintenance.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMaintenance {
    /// All orders, where the other side does not know it.
    #[prost(message, optional, tag = "1")]
    pub line: Option<FleetLine>,
    /// Of a renewal: the orders that are known, by ballot and count (0: none). Of a grant: the newest.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    #[prost(uint32, tag = "3")]
    pub by: u32,
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// Of a renewal: servers that this host sends nothing to any more; for how long this process has been a
    /// member; units a second that it serves.
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

/// One server's maintenance order; what the figures mean is told in `crates/fleet`.
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

/// An operator's command on servers, and what it came to.
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
    /// Of the reply: for which server it is refused, and why; empty: it is taken.
    #[prost(fixed64, tag = "7")]
    pub refused: u64,
    #[prost(string, tag = "8")]
    pub why: String,
}
