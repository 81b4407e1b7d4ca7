//! Between hosts, of who belongs to the fleet, what each may use, and servers in maintenance. What they mean
//! is told in `crates/fleet`.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// What a message of the fleet is about.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum FleetMessageKind {
    /// Not a message that this version knows.
    Unknown = 0,
    /// To a voter: promise this ballot.
    Prepare = 1,
    /// From a voter: promised, with the lease that is live there, if one is.
    Promise = 2,
    /// To a voter: accept this process as coordinator by this ballot.
    Propose = 3,
    /// From a voter: accepted.
    Accept = 4,
    /// From a voter: a later ballot is promised.
    Refuse = 5,
    /// To a voter: the lease is handed back before its end.
    Release = 6,
    /// From the coordinator to a host: send a renewal.
    Ask = 7,
    /// From a member: renew its lease; with what it holds and its demand.
    Renew = 8,
    /// From the coordinator: the lease is renewed, with the shares under it.
    Grant = 9,
    /// From a member: it holds nothing any more and leaves.
    Leave = 10,
    /// From the coordinator: the departure is noted.
    Left = 11,
    /// To a process under whose name another process holds a lease.
    Fence = 12,
    /// To the coordinator: an operator's command on servers.
    #[serde(rename = "Word")]
    OperatorCommand = 13,
    /// From the coordinator: the command's result.
    Heard = 14,
}

/// What somebody may use of a budget, or asks of it.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetShare {
    /// The budget.
    #[prost(fixed64, tag = "1")]
    pub budget: u64,
    /// In millionths of the whole.
    #[prost(uint32, tag = "2")]
    pub share: u32,
    /// In the budget's own measure, a second.
    #[serde(rename = "asked")]
    #[prost(float, tag = "3")]
    pub demand: f32,
}

/// One member of the fleet, as the coordinator lists it.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMember {
    /// The host, by number.
    #[prost(uint32, tag = "1")]
    pub host: u32,
    /// The process that holds the lease.
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The member's state, by number.
    #[serde(rename = "standing")]
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// From host to host, about membership and shares; `crates/fleet` explains what it means. All kinds share one message,
/// whose fields are fixed by their protobuf tags.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMessage {
    /// The fleet, as a hash of its name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    /// The version of the rules by which the message is written.
    #[prost(uint32, tag = "2")]
    pub rules: u32,
    /// A [`FleetMessageKind`].
    #[serde(rename = "what")]
    #[prost(enumeration = "FleetMessageKind", tag = "3")]
    pub kind: i32,
    /// The host that wrote it; another one may have passed it on.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    /// The process that wrote it.
    #[serde(rename = "from_life")]
    #[prost(fixed64, tag = "5")]
    pub from_incarnation: u64,
    /// The host that it is for.
    #[prost(uint32, tag = "6")]
    pub to: u32,
    /// The process that it is for; 0: any.
    #[serde(rename = "to_life")]
    #[prost(fixed64, tag = "7")]
    pub to_incarnation: u64,
    /// The round of a ballot.
    #[prost(uint64, tag = "8")]
    pub round: u64,
    /// The host of a ballot, which breaks ties between equal rounds.
    #[prost(uint32, tag = "9")]
    pub by: u32,
    /// The epoch of the membership that the sender knows.
    #[prost(uint64, tag = "10")]
    pub epoch: u64,
    /// Of a request between hosts and of the reply to it.
    #[prost(uint64, tag = "11")]
    pub number: u64,
    /// Of a grant: the coordinator counts them; of a renewal: the one that is held by.
    #[prost(uint64, tag = "12")]
    pub serial: u64,
    /// Shares held or granted, and demand.
    #[serde(rename = "parts")]
    #[prost(message, repeated, tag = "13")]
    pub shares: Vec<FleetShare>,
    /// The members, where the receiver may not know them.
    #[prost(message, repeated, tag = "14")]
    pub members: Vec<FleetMember>,
    /// On servers in maintenance, where there are such orders.
    #[serde(rename = "works")]
    #[prost(message, optional, boxed, tag = "15")]
    #[serde(default)]
    pub maintenance: Option<Box<FleetMaintenance>>,
}

/// What hosts tell each other of servers in maintenance.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMaintenance {
    /// All orders, where the receiver may not know them.
    #[serde(rename = "line")]
    #[prost(message, optional, tag = "1")]
    pub order_book: Option<FleetOrderBook>,
    /// The version of the order book that the sender knows: the round of its ballot; 0: none.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// The host of that ballot.
    #[prost(uint32, tag = "3")]
    pub by: u32,
    /// The changes under that ballot.
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// Of a renewal: servers to which this host sends nothing any more.
    #[serde(rename = "let_go")]
    #[prost(fixed64, repeated, tag = "5")]
    pub released: Vec<u64>,
    /// Of a renewal: for how long this process has been a member.
    #[prost(uint64, tag = "6")]
    pub member_for_ms: u64,
    /// Of a renewal: units a second that it serves.
    #[prost(float, tag = "7")]
    pub served: f32,
    /// An operator's command, or its result.
    #[serde(rename = "word")]
    #[prost(message, optional, tag = "8")]
    pub command: Option<FleetCommand>,
}

/// One server's maintenance order, field by field as `crates/fleet` keeps it.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetOrder {
    /// The server.
    #[serde(rename = "machine")]
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// The order's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Its stage, by number.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// Counts the changes of this order.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// How long it has been in this stage.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// How long the server may be offline.
    #[prost(uint64, tag = "6")]
    pub longest_ms: u64,
    /// A shard may be left without a node.
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "7")]
    pub shard_away: bool,
    /// The order ends when the server has restarted.
    #[prost(bool, tag = "8")]
    pub returns: bool,
    /// The operator's reason.
    #[prost(string, tag = "9")]
    pub reason: String,
    /// What it waits for, for people.
    #[serde(rename = "waits")]
    #[prost(string, tag = "10")]
    pub waiting_for: String,
    /// Hosts that still use the server, or whose lease was waited out.
    #[prost(uint32, repeated, tag = "11")]
    pub hosts: Vec<u32>,
    /// How many later orders were approved before it.
    #[prost(uint32, tag = "12")]
    pub passed: u32,
    /// The process that is to stop; 0: any.
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "13")]
    pub incarnation: u64,
}

/// All orders, as of one change: by whose ballot, and its count.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetOrderBook {
    /// The round of the ballot under which it was changed last.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The host of that ballot.
    #[prost(uint32, tag = "2")]
    pub by: u32,
    /// The changes under that ballot.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    /// Not 0: it was started without a quorum that remembered an earlier one.
    #[prost(uint64, tag = "4")]
    pub anew: u64,
    /// The orders.
    #[prost(message, repeated, tag = "5")]
    pub orders: Vec<FleetOrder>,
}

/// An operator's command on servers, and what it came to.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetCommand {
    /// 1: out, 2: back, 3: cancel.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The servers.
    #[serde(rename = "machines")]
    #[prost(fixed64, repeated, tag = "2")]
    pub servers: Vec<u64>,
    /// 0: as long as the document says.
    #[prost(uint64, tag = "3")]
    pub longest_ms: u64,
    /// A shard may be left without a node.
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "4")]
    pub shard_away: bool,
    /// The order ends when the server has restarted.
    #[prost(bool, tag = "5")]
    pub returns: bool,
    /// The operator's reason.
    #[prost(string, tag = "6")]
    pub reason: String,
    /// Of a result: the server for which it is refused.
    #[prost(fixed64, tag = "7")]
    pub refused: u64,
    /// Of a result: why it is refused; empty: it is accepted.
    #[serde(rename = "why")]
    #[prost(string, tag = "8")]
    pub refusal: String,
}
