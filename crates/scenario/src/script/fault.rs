//! The faults, load changes and operator actions of a scenario.

use super::Expect;
use gullsail_scheduler_api::Span;

/// A fault, a change of the clients' load or an operator action. [`Fault::describe`] prints the names of variants and
/// fields, so these stay as they are.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The demand of a volume, a plan or all (`*`) is multiplied.
    Surge {
        /// The name of the volume or plan, or `*` for all volumes.
        who: String,
        /// The factor by which the demand is multiplied.
        times: f64,
        /// How long the change lasts.
        lasts: Span,
    },
    /// Some clients wait only a fraction of the latency objective.
    Impatient {
        /// The fraction of the requests, 0 to 1, that have the shorter timeout.
        share: f64,
        /// The timeout of these requests, as a fraction of the latency objective.
        part: f64,
        /// How long the change lasts.
        lasts: Span,
    },
    /// The busiest host of each volume changes to the next one in the volume's list of hosts.
    LeadMoves,
    /// A node pauses: no request makes progress on it.
    Stall {
        /// The name of the node, or `*` for all nodes.
        node: String,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// The work of a node takes longer.
    Slow {
        /// The name of the node, or `*` for all nodes.
        node: String,
        /// The factor by which the node's work takes longer.
        times: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// A node answers a fraction of its attempts with errors.
    Fail {
        /// The name of the node, or `*` for all nodes.
        node: String,
        /// The fraction of the node's attempts, 0 to 1, that fail.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// A fraction of the requests of one class costs many times the usual work, at all nodes.
    Costly {
        /// The name of the request class.
        request_class: String,
        /// The fraction of the requests, 0 to 1, that cost more.
        share: f64,
        /// The factor by which the work of these requests is multiplied.
        times: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// A node is killed. Later a successor, or the node itself, starts and warms up.
    Replace {
        /// The name of the node.
        node: String,
        /// The name of the successor; the same name as `node`: the node itself starts again.
        by: String,
        /// The time from the end of the node to the start of the successor.
        after: Span,
    },
    /// A node drains and exits. A successor, or the node itself, then starts and warms up.
    Release {
        /// The name of the node.
        node: String,
        /// The name of the successor; the same name as `node`: the node itself starts again.
        by: String,
        /// How long the node drains before it exits.
        after: Span,
    },
    /// The endpoint list service refuses queries and closes the connections of its watchers.
    ListDown {
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Demand reports between two hosts are lost in both directions.
    LoseLabels {
        /// The name of one host, or `*` for any.
        from: String,
        /// The name of the other host, or `*` for any.
        to: String,
        /// The fraction of the demand reports, 0 to 1, that are lost.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Demand reports between hosts arrive out of order.
    SwapLabels {
        /// The name of the sending host, or `*` for any.
        from: String,
        /// The name of the receiving host, or `*` for any.
        to: String,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Frames take longer.
    Delay {
        /// The name of the sending process, or `*` for any.
        from: String,
        /// The name of the receiving process, or `*` for any.
        to: String,
        /// The added delay.
        by: Span,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Each frame may break its connection.
    Reset {
        /// The name of the sending process, or `*` for any.
        from: String,
        /// The name of the receiving process, or `*` for any.
        to: String,
        /// The chance, 0 to 1, that a frame breaks its connection.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Responses of a node are turned into errors on the way.
    Errors {
        /// The name of the node, or `*` for all nodes.
        node: String,
        /// The fraction of the successful responses, 0 to 1, that are turned into errors.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Frames are lost while their connection stays open.
    Lose {
        /// The name of the sending process, or `*` for any.
        from: String,
        /// The name of the receiving process, or `*` for any.
        to: String,
        /// The fraction of the frames, 0 to 1, that are lost.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Each frame may be the last of its direction; the other direction stays open.
    HalfClose {
        /// The name of the sending process, or `*` for any.
        from: String,
        /// The name of the receiving process, or `*` for any.
        to: String,
        /// The chance, 0 to 1, that a frame is the last of its direction.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// New connections to a process end at once.
    Refuse {
        /// The name of the process, or `*` for all.
        to: String,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// New connections to a process are accepted and get no answer.
    Silent {
        /// The name of the process, or `*` for all.
        to: String,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Connections between two processes break.
    Cut {
        /// The name of one process, or `*` for any.
        from: String,
        /// The name of the other process, or `*` for any.
        to: String,
    },
    /// A host is killed, and starts again after a time if `after` is set.
    KillHost {
        /// The name of the host.
        host: String,
        /// The time from the end of the host to its restart; `None`: the host is not restarted.
        after: Option<Span>,
    },
    /// A host gets SIGTERM and shuts down.
    StopHost {
        /// The name of the host.
        host: String,
        /// The time from the end of the host to its restart; `None`: the host is not restarted.
        after: Option<Span>,
    },
    /// A host that does not run from the start of the scenario is started.
    StartHost {
        /// The name of the host.
        host: String,
    },
    /// A process is paused (SIGSTOP) and later resumed (SIGCONT).
    Pause {
        /// The name of the process.
        name: String,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Frames between two groups of processes are lost.
    Part {
        /// The names of the processes of one group.
        a: Vec<String>,
        /// The names of the processes of the other group.
        b: Vec<String>,
        /// Whether only frames from `a` to `b` are lost.
        one_way: bool,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Frames between two groups of processes are lost and pass in turns.
    Flap {
        /// The names of the processes of one group.
        a: Vec<String>,
        /// The names of the processes of the other group.
        b: Vec<String>,
        /// Whether only frames from `a` to `b` are lost.
        one_way: bool,
        /// The length of each period in which frames are lost, and of each in which they pass.
        every: Span,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// Messages between hosts arrive twice.
    Repeat {
        /// The name of the sending host, or `*` for any.
        from: String,
        /// The name of the receiving host, or `*` for any.
        to: String,
        /// The fraction of the messages, 0 to 1, that arrive twice.
        share: f64,
        /// How long the fault lasts.
        lasts: Span,
    },
    /// An operator takes servers offline through a host. Each server is switched off once any host reports it offline,
    /// and on again later.
    Out {
        /// The names of servers, or of zones, which stand for all their running servers.
        names: Vec<String>,
        /// The name of the host that gets the command, or `*` for the first host of the document.
        via: String,
        /// The time from switching a server off to switching it on again.
        after: Span,
        /// Whether the order may leave shards without a node.
        shard_away: bool,
        /// Whether the order ends by itself when the server has restarted; else an operator reports its return.
        returns: bool,
        /// The expected reply to the command.
        expect: Expect,
    },
    /// An operator cancels maintenance orders that were given by [`Fault::Out`].
    Cancel {
        /// The names of servers or zones.
        names: Vec<String>,
        /// The name of the host that gets the command, or `*` for the first host of the document.
        via: String,
    },
    /// A node that does not run from the start of the scenario is started and warms up.
    StartNode {
        /// The name of the node.
        node: String,
    },
    /// Hosts reload a configuration with changed entries, one host after the other.
    Reload {
        /// The name of the host, or `*` for all hosts.
        host: String,
        /// The time between the reloads of two successive hosts.
        every: Span,
        /// Whether changes that are refused as dangerous by default are applied too.
        insist: bool,
        /// The expected result of each reload.
        expect: Expect,
        /// The changed or added entries of the document, as KDL text.
        entries: Vec<String>,
    },
}

impl Fault {
    /// Returns the text of the fault for the report and the recording. Programs read these texts, so they keep their
    /// words when a variant or a field is renamed.
    pub fn describe(&self) -> String {
        let text = format!("{self:?}").replace("Span(", "us(").replace('"', "");
        text.replace("request_class: ", "stream_type: ")
            .replace("shard_away: ", "cell_away: ")
    }
}
