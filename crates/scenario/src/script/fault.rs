//! What can go wrong in a scenario.

use super::Expect;
use gullsail_scheduler_api::Span;

/// What goes wrong, or what clients do.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The demand of a volume, a plan or all (`*`) is multiplied.
    Surge {
        /// The volume, plan or `*`.
        who: String,
        /// The factor.
        times: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Some clients wait only a fraction of the latency objective.
    Impatient {
        /// The fraction that is affected.
        share: f64,
        /// The fraction of the latency objective.
        part: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Each volume's busiest host changes.
    LeadMoves,
    /// A node does no work for a while.
    Stall {
        /// The node.
        node: String,
        /// How long it lasts.
        lasts: Span,
    },
    /// A node takes so many times as long.
    Slow {
        /// The node.
        node: String,
        /// The factor.
        times: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// A node answers a fraction of its attempts with errors.
    Fail {
        /// The node.
        node: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// A fraction of the requests of one class costs many times the usual work, at all nodes.
    Costly {
        /// The request class.
        request_class: String,
        /// The fraction that is affected.
        share: f64,
        /// The factor.
        times: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// A node is killed; later a successor, or the node itself, starts and warms up.
    Replace {
        /// The node.
        node: String,
        /// The successor; the same name: the node itself returns.
        by: String,
        /// When the successor starts, or the server is switched on.
        after: Span,
    },
    /// A node drains, exits, and is replaced by a successor that warms up.
    Release {
        /// The node.
        node: String,
        /// The successor; the same name: the node itself returns.
        by: String,
        /// When the successor starts, or the server is switched on.
        after: Span,
    },
    /// The endpoint list service answers no queries.
    ListDown {
        /// How long it lasts.
        lasts: Span,
    },
    /// Demand reports between hosts are lost.
    LoseLabels {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Demand reports between hosts arrive out of order.
    SwapLabels {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// How long it lasts.
        lasts: Span,
    },
    /// Frames take longer.
    Delay {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The added delay.
        by: Span,
        /// How long it lasts.
        lasts: Span,
    },
    /// Each frame may break its connection.
    Reset {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Responses of a node are turned into errors on the way.
    Errors {
        /// The node.
        node: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Frames are lost without a sign.
    Lose {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// Each frame may be the last of its direction; the other direction stays open.
    HalfClose {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// New connections to a process end at once.
    Refuse {
        /// The process.
        to: String,
        /// How long it lasts.
        lasts: Span,
    },
    /// New connections to a process are accepted and get no answer.
    Silent {
        /// The process.
        to: String,
        /// How long it lasts.
        lasts: Span,
    },
    /// Connections between two processes break.
    Cut {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
    },
    /// A host is killed; without `after` for good.
    KillHost {
        /// The host.
        host: String,
        /// When it starts again; `None`: never.
        after: Option<Span>,
    },
    /// A host gets SIGTERM and shuts down.
    StopHost {
        /// The host.
        host: String,
        /// When it starts again; `None`: never.
        after: Option<Span>,
    },
    /// A host that did not run at the beginning starts.
    StartHost {
        /// The host.
        host: String,
    },
    /// A process is paused (SIGSTOP) and continued.
    Pause {
        /// The process.
        name: String,
        /// How long it lasts.
        lasts: Span,
    },
    /// Frames between two groups are lost.
    Part {
        /// One group of processes.
        a: Vec<String>,
        /// The other group.
        b: Vec<String>,
        /// Only frames from `a` to `b` are lost.
        one_way: bool,
        /// How long it lasts.
        lasts: Span,
    },
    /// Frames between two groups are lost, on and off.
    Flap {
        /// One group of processes.
        a: Vec<String>,
        /// The other group.
        b: Vec<String>,
        /// Only frames from `a` to `b` are lost.
        one_way: bool,
        /// For how long frames are lost, and then pass.
        every: Span,
        /// How long it lasts.
        lasts: Span,
    },
    /// Messages between hosts arrive twice.
    Repeat {
        /// The sender, or `*`.
        from: String,
        /// The receiver, or `*`.
        to: String,
        /// The fraction that is affected.
        share: f64,
        /// How long it lasts.
        lasts: Span,
    },
    /// An operator takes servers offline through a host: each is switched off once any host shows it offline, and on again
    /// later.
    Out {
        /// Servers or zones.
        names: Vec<String>,
        /// The host that gets the command; `*`: any.
        via: String,
        /// When the successor starts, or the server is switched on.
        after: Span,
        /// Shards may be left without a node.
        shard_away: bool,
        /// The order ends when the server has restarted.
        returns: bool,
        /// The expected result.
        expect: Expect,
    },
    /// An operator cancels such an order.
    Cancel {
        /// Servers or zones.
        names: Vec<String>,
        /// The host that gets the command; `*`: any.
        via: String,
    },
    /// A node that did not run at the beginning starts and warms up.
    StartNode {
        /// The node.
        node: String,
    },
    /// Hosts, one after the other, reload a configuration with other entries.
    Reload {
        /// The host.
        host: String,
        /// The time between two hosts.
        every: Span,
        /// Dangerous changes are applied too.
        insist: bool,
        /// The expected result.
        expect: Expect,
        /// The entries that change.
        entries: Vec<String>,
    },
}

impl Fault {
    /// As the report and the recording have it. These texts are read by programs: they stay when a variant or
    /// a field of the program gets another name.
    pub fn describe(&self) -> String {
        let text = format!("{self:?}").replace("Span(", "us(").replace('"', "");
        text.replace("request_class: ", "stream_type: ")
            .replace("shard_away: ", "cell_away: ")
    }
}
