//! Messages between hosts about the fleet: its members, their shares of budgets, and servers in maintenance.
//! `crates/fleet` explains and handles them.

use prost::{Enumeration, Message};
use serde::{Deserialize, Serialize};

/// The kind of a [`FleetMessage`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum FleetMessageKind {
    /// The value in the message is not a kind that this version knows.
    Unknown = 0,
    /// From a candidate to a voter: asks it to promise this ballot.
    Prepare = 1,
    /// From a voter: the ballot is promised. If `number` is 1, it is not, because another process holds an unexpired
    /// coordinator lease at that voter.
    Promise = 2,
    /// From a candidate to a voter: asks it to accept the sender as coordinator by this ballot.
    Propose = 3,
    /// From a voter to a candidate: accepts its `Propose`.
    Accept = 4,
    /// Refuses a ballot, because the sender knows a later one.
    Refuse = 5,
    /// From the coordinator to a voter: gives up the coordinator lease before it expires.
    Release = 6,
    /// From the coordinator to a host: asks it to renew its member lease.
    Ask = 7,
    /// From a member: asks for a new member lease. Includes the shares that it holds and its demand.
    Renew = 8,
    /// From the coordinator: renews a member lease and grants the shares under it.
    Grant = 9,
    /// From a member: it leaves the fleet and no longer uses its shares.
    Leave = 10,
    /// From the coordinator to a member: acknowledges its `Leave`.
    Left = 11,
    /// From the coordinator to a process: another process holds the lease of its host.
    Fence = 12,
    /// From a host to the coordinator: an operator's command on servers in maintenance.
    #[serde(rename = "Word")]
    OperatorCommand = 13,
    /// From the coordinator: the result of an operator's command.
    Heard = 14,
}

/// A host's share of a budget, its demand on it, or both.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetShare {
    /// The budget's id.
    #[prost(fixed64, tag = "1")]
    pub budget: u64,
    /// The share that is held or granted, in millionths of the budget.
    #[prost(uint32, tag = "2")]
    pub share: u32,
    /// The host's demand a second, in the unit in which the budget is counted.
    #[serde(rename = "asked")]
    #[prost(float, tag = "3")]
    pub demand: f32,
}

/// One member of the fleet, in the coordinator's list of members.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMember {
    /// The number of the member's host.
    #[prost(uint32, tag = "1")]
    pub host: u32,
    /// The incarnation of the process that holds the member lease.
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The number of the member's state.
    #[serde(rename = "standing")]
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// A message between hosts about the fleet. All kinds share one struct, so which fields are set depends on the kind.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMessage {
    /// The fleet's id, a hash of its name.
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    /// The version of the rules of coordination that the sender follows.
    #[prost(uint32, tag = "2")]
    pub rules: u32,
    /// The kind, a [`FleetMessageKind`].
    #[serde(rename = "what")]
    #[prost(enumeration = "FleetMessageKind", tag = "3")]
    pub kind: i32,
    /// The number of the sending host. Another host may have relayed the message.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    /// The incarnation of the sending process.
    #[serde(rename = "from_life")]
    #[prost(fixed64, tag = "5")]
    pub from_incarnation: u64,
    /// The number of the receiving host.
    #[prost(uint32, tag = "6")]
    pub to: u32,
    /// The incarnation of the receiving process; 0: any process of that host.
    #[serde(rename = "to_life")]
    #[prost(fixed64, tag = "7")]
    pub to_incarnation: u64,
    /// The round of a ballot.
    #[prost(uint64, tag = "8")]
    pub round: u64,
    /// The candidate's host in a ballot, which orders ballots of the same round.
    #[prost(uint32, tag = "9")]
    pub by: u32,
    /// The newest epoch of the membership that the sender knows.
    #[prost(uint64, tag = "10")]
    pub epoch: u64,
    /// The number by which a reply refers to its request.
    #[prost(uint64, tag = "11")]
    pub number: u64,
    /// In a grant: its serial number from the coordinator. In a renewal: the serial number of the grant that the member
    /// holds.
    #[prost(uint64, tag = "12")]
    pub serial: u64,
    /// Shares of budgets that are held or granted, and the demand on the budgets.
    #[serde(rename = "parts")]
    #[prost(message, repeated, tag = "13")]
    pub shares: Vec<FleetShare>,
    /// The members; empty if the receiver knows them.
    #[prost(message, repeated, tag = "14")]
    pub members: Vec<FleetMember>,
    /// The part about servers in maintenance; `None`: the message has no such part.
    #[serde(rename = "works")]
    #[prost(message, optional, boxed, tag = "15")]
    #[serde(default)]
    pub maintenance: Option<Box<FleetMaintenance>>,
}

/// The part of a fleet message about servers in maintenance.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetMaintenance {
    /// The order book; `None`: the receiver knows it already, or the sender has none.
    #[serde(rename = "line")]
    #[prost(message, optional, tag = "1")]
    pub order_book: Option<FleetOrderBook>,
    /// In the version of the order book that the sender knows, the round of the ballot; 0: the sender knows none.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// The host in that ballot.
    #[prost(uint32, tag = "3")]
    pub by: u32,
    /// The number of changes of the order book under that ballot.
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// In a renewal: the servers to which this host no longer sends.
    #[serde(rename = "let_go")]
    #[prost(fixed64, repeated, tag = "5")]
    pub released: Vec<u64>,
    /// In a renewal: how long this process has been a member, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub member_for_ms: u64,
    /// In a renewal: the rate that the host serves, in units a second.
    #[prost(float, tag = "7")]
    pub served: f32,
    /// An operator's command or its result; `None`: the message has neither.
    #[serde(rename = "word")]
    #[prost(message, optional, tag = "8")]
    pub command: Option<FleetCommand>,
}

/// The maintenance order of one server, with the fields of `Order` in `crates/fleet`.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetOrder {
    /// The id of the server.
    #[serde(rename = "machine")]
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// The order's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The number of the order's stage.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// The count of the order book at which the stage began.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Time in milliseconds since the order entered this stage.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// The longest time in milliseconds that the server may be offline.
    #[prost(uint64, tag = "6")]
    pub longest_ms: u64,
    /// Whether a shard may be without a node while the server is offline.
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "7")]
    pub shard_away: bool,
    /// Whether a restart of the server counts as its return.
    #[prost(bool, tag = "8")]
    pub returns: bool,
    /// The operator's reason.
    #[prost(string, tag = "9")]
    pub reason: String,
    /// A text for operators: what the order waits for. Empty: it does not wait.
    #[serde(rename = "waits")]
    #[prost(string, tag = "10")]
    pub waiting_for: String,
    /// The numbers of the hosts that still use the server while it drains. Once it is offline, the hosts that never
    /// reported its release, so that their lease had to expire first.
    #[prost(uint32, repeated, tag = "11")]
    pub hosts: Vec<u32>,
    /// Number of later orders that were approved before this one.
    #[prost(uint32, tag = "12")]
    pub passed: u32,
    /// The incarnation of the process that is to stop; 0: not known.
    #[serde(rename = "life")]
    #[prost(fixed64, tag = "13")]
    pub incarnation: u64,
}

/// The order book: all orders, and the version of the book.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetOrderBook {
    /// The round of the ballot under which the book was last changed.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The host in that ballot.
    #[prost(uint32, tag = "2")]
    pub by: u32,
    /// The number of changes under that ballot.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    /// The round of the coordinator that started this book without a quorum of hosts that know an earlier one, so
    /// earlier orders may be lost; 0: the book was never started without a quorum.
    #[prost(uint64, tag = "4")]
    pub anew: u64,
    /// The orders, one for each server.
    #[prost(message, repeated, tag = "5")]
    pub orders: Vec<FleetOrder>,
}

/// An operator's command on servers in maintenance, or its result.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct FleetCommand {
    /// 1: take the servers offline, 2: they are back, 3: cancel their orders.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The ids of the servers.
    #[serde(rename = "machines")]
    #[prost(fixed64, repeated, tag = "2")]
    pub servers: Vec<u64>,
    /// The longest time in milliseconds that the servers may be offline; 0: as long as the configuration says.
    #[prost(uint64, tag = "3")]
    pub longest_ms: u64,
    /// Whether a shard may be without a node while the servers are offline.
    #[serde(rename = "cell_away")]
    #[prost(bool, tag = "4")]
    pub shard_away: bool,
    /// Whether a restart of a server counts as its return.
    #[prost(bool, tag = "5")]
    pub returns: bool,
    /// The operator's reason.
    #[prost(string, tag = "6")]
    pub reason: String,
    /// In a result: the server for which the command is refused.
    #[prost(fixed64, tag = "7")]
    pub refused: u64,
    /// In a result: why the command is refused; empty: it is accepted.
    #[serde(rename = "why")]
    #[prost(string, tag = "8")]
    pub refusal: String,
}
