//! What can go wrong in a scenario.

use super::Expect;
use gullsail_scheduler_api::Span;

/// What goes wrong, or what clients do.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A volume, a plan or `*` asks for so many times as much.
    Surge {
        who: String,
        times: f64,
        lasts: Span,
    },
    /// This part of the clients waits only a part of the latency objective.
    Impatient {
        share: f64,
        part: f64,
        lasts: Span,
    },
    /// Volumes' busiest host is another one from now on.
    LeadMoves,
    Stall {
        node: String,
        lasts: Span,
    },
    Slow {
        node: String,
        times: f64,
        lasts: Span,
    },
    Fail {
        node: String,
        share: f64,
        lasts: Span,
    },
    /// This part of a request class's requests costs so many times their usual work, at all nodes.
    Costly {
        request_class: String,
        share: f64,
        times: f64,
        lasts: Span,
    },
    /// Killed; after a while another process has its shard, cold, or the same name comes back.
    Replace {
        node: String,
        by: String,
        after: Span,
    },
    /// Told to drain, ended after a while, and replaced by a cold one.
    Release {
        node: String,
        by: String,
        after: Span,
    },
    ListDown {
        lasts: Span,
    },
    LoseLabels {
        from: String,
        to: String,
        share: f64,
        lasts: Span,
    },
    SwapLabels {
        from: String,
        to: String,
        lasts: Span,
    },
    Delay {
        from: String,
        to: String,
        by: Span,
        lasts: Span,
    },
    /// Each frame breaks its connection with this chance.
    Reset {
        from: String,
        to: String,
        share: f64,
        lasts: Span,
    },
    Errors {
        node: String,
        share: f64,
        lasts: Span,
    },
    /// This part of the frames is lost with no sign.
    Lose {
        from: String,
        to: String,
        share: f64,
        lasts: Span,
    },
    /// Each frame is its direction's last with this chance; the other direction goes on.
    HalfClose {
        from: String,
        to: String,
        share: f64,
        lasts: Span,
    },
    /// No new connection to it comes about, or is answered.
    Refuse {
        to: String,
        lasts: Span,
    },
    Silent {
        to: String,
        lasts: Span,
    },
    /// Its connections break now.
    Cut {
        from: String,
        to: String,
    },
    /// Without `after` it is gone for good.
    KillHost {
        host: String,
        after: Option<Span>,
    },
    /// Asked to leave by its operator.
    StopHost {
        host: String,
        after: Option<Span>,
    },
    /// Not there at the beginning: it starts now.
    StartHost {
        host: String,
    },
    /// A process stands still (SIGSTOP) and then goes on.
    Pause {
        name: String,
        lasts: Span,
    },
    /// Nothing comes through from the one group to the other, and back unless one way alone is meant.
    Part {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
        lasts: Span,
    },
    /// The same, on and off.
    Flap {
        a: Vec<String>,
        b: Vec<String>,
        one_way: bool,
        every: Span,
        lasts: Span,
    },
    /// This part of what hosts tell each other comes twice.
    Repeat {
        from: String,
        to: String,
        share: f64,
        lasts: Span,
    },
    /// An operator has machines taken out for work, through a host; each is switched off when any host says
    /// that it may be, and is there again after a while.
    Out {
        names: Vec<String>,
        via: String,
        after: Span,
        shard_away: bool,
        returns: bool,
        expect: Expect,
    },
    /// And takes that back.
    Cancel {
        names: Vec<String>,
        via: String,
    },
    /// A node that was not there at the beginning starts now, cold.
    StartNode {
        node: String,
    },
    /// Hosts, one after the other, are given the document with these entries in the place of its own of the
    /// same kind and name.
    Reload {
        host: String,
        every: Span,
        insist: bool,
        expect: Expect,
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
