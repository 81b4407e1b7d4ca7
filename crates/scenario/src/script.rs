//! The script of a day, as the document's `day` entry has it.

use gullsail_configuration::{Deployment, Loader, Memory, Names, Problems, Reader, deployment};
use gullsail_scheduler_api::Span;
use kdl::{KdlDocument, KdlNode};

/// What goes wrong, or what clients do.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
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
    /// An operator has machines taken out for work, through a host; each is switched off when any host says that it may be,
    /// and is there again after a while.
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
    /// Hosts, one after the other, are given the document with these entries in the place of its own of the same
    /// kind and name.
    Reload {
        host: String,
        every: Span,
        insist: bool,
        expect: Expect,
        entries: Vec<String>,
    },
}

/// What must come of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    Taken,
    TurnedDown,
    Broken,
}

#[derive(Clone, Debug, Default)]
pub struct Script {
    pub name: String,
    pub lasts: Span,
    /// Rules that this day must put to the test.
    pub tests: Vec<u8>,
    /// Requests a second by request class.
    pub rates: Vec<f64>,
    pub bytes: usize,
    pub fresh: f64,
    pub tries: u32,
    /// Hosts that no document names at first: one that hosts are given later does.
    pub newcomers: Vec<String>,
    /// Hosts whose clocks are ahead, by so much; behind where it is negative.
    pub clocks: Vec<(String, Span)>,
    /// Hosts whose clocks run fast, by this part; slow where it is negative.
    pub drifts: Vec<(String, f64)>,
    pub troubles: Vec<(Span, Trouble)>,
}

/// Reads the deployment and the script of one text.
///
/// # Errors
/// All that is wrong with either.
pub fn read(name: &str, text: &str) -> Result<(Deployment, Script), Problems> {
    let loader = Memory([(name.to_string(), text.to_string())].into());
    load(&loader, name).map(|(_, deployment, script)| (deployment, script))
}

/// Reads the deployment and the script of a file and all that it includes; the text that comes back says the same
/// in one piece, with ranges and templates in place.
///
/// # Errors
/// All that is wrong with either.
pub fn load(loader: &dyn Loader, name: &str) -> Result<(String, Deployment, Script), Problems> {
    let (document, mut r) = Reader::open(loader, name);
    let d = deployment::build(&document, &mut r);
    let script = script(&document, &mut r, &d);
    let text = document.nodes().iter().map(|n| n.to_string().trim().to_string() + "\n").collect();
    r.close((text, d, script)).map(|(all, _)| all)
}

fn script(document: &KdlDocument, r: &mut Reader, d: &Deployment) -> Script {
    let Some(day) = document.nodes().iter().find(|n| n.name().value() == "day") else {
        let help = Some("day \"quiet\" lasts=\"10s\" { ask \"read\" rate=50; }".into());
        r.note("missing", "no `day` to play".into(), (document.span().offset(), 0).into(), help);
        return Script::default();
    };
    r.only(day, 1, &["lasts", "bytes", "fresh", "tries"], &["ask", "at", "clock", "newcomer", "tests"]);
    let mut s = Script {
        name: r.text(day, 0, "a name"),
        lasts: r.span(day, "lasts"),
        tests: Vec::new(),
        rates: vec![0.0; d.request_classes.len()],
        bytes: r.whole(day, "bytes", 0, 512) as usize,
        fresh: r.number_at(day, "fresh", 0.0).unwrap_or(0.3),
        tries: r.whole(day, "tries", 1, 2),
        newcomers: Vec::new(),
        clocks: Vec::new(),
        drifts: Vec::new(),
        troubles: Vec::new(),
    };
    let request_classes: Names = d.request_classes.iter().map(|t| t.name.clone()).collect();
    let hosts: Names = d.hosts.iter().map(|h| h.name.clone()).collect();
    for n in day.iter_children().filter(|n| n.name().value() == "newcomer") {
        r.only(n, 1, &[], &[]);
        let name = r.text(n, 0, "a host that a later document names");
        if hosts.list().contains(&name) {
            r.note("twice", format!("host \"{name}\" is in the document already"), n.span(), None);
        }
        s.newcomers.push(name);
    }
    for n in day.iter_children() {
        let first = n.entries().iter().find(|e| e.name().is_none());
        match n.name().value() {
            "ask" => {
                r.only(n, 1, &["rate"], &[]);
                let place = first.and_then(|e| r.refer(e, "stream type", &request_classes));
                if let Some(place) = place {
                    s.rates[place] = r.number(n, "rate", 0.0);
                }
            }
            "clock" => {
                r.only(n, 1, &["ahead", "behind", "fast", "slow"], &[]);
                let place = first.and_then(|e| r.refer(e, "host", &hosts));
                let drift = r.number_at(n, "fast", 0.0).unwrap_or_default()
                    - r.number_at(n, "slow", 0.0).unwrap_or_default();
                s.drifts.extend(place.filter(|_| drift != 0.0).map(|p| (hosts.list()[p].clone(), drift)));
                let ahead =
                    r.span_at(n, "ahead").unwrap_or_default() - r.span_at(n, "behind").unwrap_or_default();
                s.clocks.extend(place.map(|p| (hosts.list()[p].clone(), ahead)));
            }
            "tests" => {
                r.only(n, usize::MAX, &[], &[]);
                for e in n.entries() {
                    match e.value().as_integer().filter(|rule| (1..=14).contains(rule)) {
                        Some(rule) => s.tests.push(rule as u8),
                        None => r.note("wrong-kind", "rules have numbers 1 to 14".into(), e.span(), None),
                    }
                }
            }
            "at" => {
                r.only(n, 1, &[], &KINDS);
                let text = r.text(n, 0, "a span since the day began");
                let at = Reader::as_span(&text);
                if at.is_none() {
                    let help = Some("at \"4s\" { ... }".into());
                    r.note("wrong-kind", format!("\"{text}\" is not a span"), n.span(), help);
                }
                for t in n.iter_children() {
                    let trouble = trouble(r, t, d, &s.newcomers);
                    s.troubles.extend(trouble.map(|t| (at.unwrap_or_default(), t)));
                }
            }
            _ => {}
        }
    }
    s.troubles.sort_by_key(|t| t.0);
    s
}

const KINDS: [&str; 31] = [
    "out",
    "cancel",
    "start-node",
    "surge",
    "impatient",
    "lead-moves",
    "stall",
    "slow",
    "fail",
    "costly",
    "replace",
    "release",
    "list-down",
    "lose-labels",
    "swap-labels",
    "delay",
    "reset",
    "errors",
    "lose",
    "half-close",
    "refuse",
    "silent",
    "cut",
    "kill-host",
    "reload",
    "stop-host",
    "start-host",
    "pause-host",
    "pause-node",
    "flap",
    "repeat",
];

fn expected(r: &mut Reader, n: &KdlNode) -> Expect {
    let words = [("taken", Expect::Taken), ("turned-down", Expect::TurnedDown), ("broken", Expect::Broken)];
    n.entry("expect").and_then(|_| r.word(n, "expect", &words)).unwrap_or(Expect::Taken)
}

/// Names of processes, or of zones: all that is in them.
fn group(r: &mut Reader, n: &KdlNode, key: &str, d: &Deployment) -> Option<Vec<String>> {
    let text = r.text_at(n, key).unwrap_or_default();
    let places = || d.hosts.iter().chain(d.nodes.iter().map(|n| &n.place));
    let mut all = Vec::new();
    for word in text.split_whitespace() {
        let of_zone = |zone: &str| d.zones.iter().position(|z| z == zone);
        if let Some(zone) = of_zone(word) {
            all.extend(places().filter(|p| p.zone.0 == zone).map(|p| p.name.clone()));
        } else if word == "list" || places().any(|p| p.name == word) {
            all.push(word.into());
        } else {
            r.note("unknown-name", format!("no process or zone is called \"{word}\""), n.span(), None);
        }
    }
    if all.is_empty() {
        let help = Some("cut between=\"h1 h2\" and=\"h3 h4\" ways=\"one\" for=\"5s\"".into());
        r.note("missing", format!("`{key}` names nobody"), n.span(), help);
    }
    Some(all).filter(|a| !a.is_empty())
}

fn trouble(r: &mut Reader, n: &KdlNode, d: &Deployment, newcomers: &[String]) -> Option<Trouble> {
    let nodes: Vec<_> = d.nodes.iter().map(|n| n.place.name.clone()).collect();
    let hosts: Vec<_> = d.hosts.iter().map(|h| h.name.clone()).chain(newcomers.iter().cloned()).collect();
    let any = |names: &[String]| [names, &["*".to_string()][..]].concat();
    let all = any(&[&hosts[..], &nodes[..], &["list".to_string()][..]].concat());
    let name = |r: &mut Reader, what: &str, names: &[String]| -> Option<String> {
        match n.entries().iter().find(|e| e.name().is_none()) {
            Some(e) => r.refer(e, what, &names.iter().cloned().collect()).map(|p| names[p].clone()),
            None => {
                r.note("missing", format!("`{}` needs a {what}", n.name().value()), n.span(), None);
                None
            }
        }
    };
    let key = |r: &mut Reader, key: &str, names: &[String]| {
        if n.entry(key).is_none() {
            return Some("*".to_string());
        }
        r.refer_at(n, key, "process", &names.iter().cloned().collect()).map(|p| names[p].clone())
    };
    let kind = n.name().value();
    let known: &[&str] = match kind {
        "surge" => &["times", "for"],
        "impatient" => &["share", "part", "for"],
        "stall" => &["for"],
        "slow" => &["times", "for"],
        "costly" => &["share", "times", "for"],
        "fail" | "errors" => &["share", "for"],
        "replace" | "release" => &["by", "after"],
        "list-down" | "refuse" | "silent" => &["for"],
        "lose-labels" | "reset" | "lose" | "half-close" | "repeat" => &["from", "to", "share", "for"],
        "swap-labels" => &["from", "to", "for"],
        "delay" => &["from", "to", "by", "for"],
        "cut" if n.entry("between").is_some() => &["between", "and", "ways", "for"],
        "cut" => &["from", "to"],
        "flap" => &["between", "and", "ways", "every", "for"],
        "kill-host" | "stop-host" => &["after"],
        "out" => &["via", "after", "cell-away", "returns", "expect"],
        "cancel" => &["via"],
        "pause-host" | "pause-node" => &["for"],
        "reload" => &["host", "every", "insist", "expect"],
        _ => &[],
    };
    if kind == "reload" {
        // What stands in it is a document's, and may be wrong on purpose.
        let mut own = n.clone();
        own.clear_children();
        r.only(&own, 0, known, &[]);
    } else {
        let names = if ["out", "cancel"].contains(&kind) { usize::MAX } else { 1 };
        r.only(n, names, known, &[]);
    }
    let lasts = if known.contains(&"for") { r.span(n, "for") } else { Span::ZERO };
    // Of hosts: none, and it does not come back.
    let back = r.span_at(n, "after");
    let after = match kind {
        "replace" | "release" if back.is_none() => r.span(n, "after"),
        _ => back.unwrap_or_default(),
    };
    let share = if known.contains(&"share") { r.number_at(n, "share", 0.0).unwrap_or(1.0) } else { 1.0 };
    Some(match kind {
        "surge" => {
            let volumes = d.volumes.iter().map(|v| v.name.clone());
            let names: Vec<_> = volumes.chain(d.plans.iter().map(|p| p.name.clone())).collect();
            let who = name(r, "volume or plan", &any(&names))?;
            Trouble::Surge { who, times: r.number(n, "times", 0.0), lasts }
        }
        "impatient" => Trouble::Impatient { share, part: r.number(n, "part", 0.0), lasts },
        "lead-moves" => Trouble::LeadMoves,
        "stall" => Trouble::Stall { node: name(r, "node", &any(&nodes))?, lasts },
        "slow" => {
            Trouble::Slow { node: name(r, "node", &any(&nodes))?, times: r.number(n, "times", 0.0), lasts }
        }
        "fail" => Trouble::Fail { node: name(r, "node", &any(&nodes))?, share, lasts },
        "costly" => {
            let names: Vec<_> = d.request_classes.iter().map(|s| s.name.clone()).collect();
            let request_class = name(r, "stream type", &names)?;
            Trouble::Costly { request_class, share, times: r.number(n, "times", 1.0), lasts }
        }
        "errors" => Trouble::Errors { node: name(r, "node", &any(&nodes))?, share, lasts },
        "replace" | "release" => {
            let node = name(r, "node", &nodes)?;
            let by = if n.entry("by").is_some() { key(r, "by", &nodes)? } else { node.clone() };
            if kind == "replace" {
                Trouble::Replace { node, by, after }
            } else {
                Trouble::Release { node, by, after }
            }
        }
        "list-down" => Trouble::ListDown { lasts },
        "refuse" => Trouble::Refuse { to: name(r, "process", &all)?, lasts },
        "silent" => Trouble::Silent { to: name(r, "process", &all)?, lasts },
        "lose-labels" => Trouble::LoseLabels {
            from: key(r, "from", &any(&hosts))?,
            to: key(r, "to", &any(&hosts))?,
            share,
            lasts,
        },
        "swap-labels" => Trouble::SwapLabels {
            from: key(r, "from", &any(&hosts))?,
            to: key(r, "to", &any(&hosts))?,
            lasts,
        },
        "delay" => {
            let by = r.span(n, "by");
            Trouble::Delay { from: key(r, "from", &all)?, to: key(r, "to", &all)?, by, lasts }
        }
        "reset" => Trouble::Reset { from: key(r, "from", &all)?, to: key(r, "to", &all)?, share, lasts },
        "lose" => Trouble::Lose { from: key(r, "from", &all)?, to: key(r, "to", &all)?, share, lasts },
        "half-close" => {
            Trouble::HalfClose { from: key(r, "from", &all)?, to: key(r, "to", &all)?, share, lasts }
        }
        "cut" | "flap" if n.entry("between").is_some() => {
            let (a, b) = (group(r, n, "between", d)?, group(r, n, "and", d)?);
            let ways = r.text_at(n, "ways").unwrap_or_else(|| "both".into());
            if !["one", "both"].contains(&ways.as_str()) {
                r.note("wrong-kind", format!("ways=\"{ways}\": \"one\" or \"both\""), n.span(), None);
            }
            let one_way = ways == "one";
            if kind == "cut" {
                Trouble::Part { a, b, one_way, lasts }
            } else {
                Trouble::Flap { a, b, one_way, every: r.span(n, "every"), lasts }
            }
        }
        "cut" => Trouble::Cut { from: key(r, "from", &all)?, to: key(r, "to", &all)? },
        "reload" => {
            let expect = expected(r, n);
            let every = r.span_at(n, "every").unwrap_or_default();
            let entries = n.iter_children().map(|c| c.to_string().trim().to_string()).collect();
            Trouble::Reload {
                host: key(r, "host", &any(&hosts))?,
                every,
                insist: r.flag(n, "insist"),
                expect,
                entries,
            }
        }
        "kill-host" => Trouble::KillHost { host: name(r, "host", &hosts)?, after: back },
        "stop-host" => Trouble::StopHost { host: name(r, "host", &hosts)?, after: back },
        "out" | "cancel" => {
            let names = n.entries().iter().filter(|e| e.name().is_none());
            let names = names.filter_map(|e| e.value().as_string().map(str::to_string)).collect();
            let via = key(r, "via", &any(&hosts))?;
            if kind == "cancel" {
                Trouble::Cancel { names, via }
            } else {
                let (shard_away, returns) = (r.flag(n, "cell-away"), r.flag(n, "returns"));
                Trouble::Out { names, via, after, shard_away, returns, expect: expected(r, n) }
            }
        }
        "start-node" => Trouble::StartNode { node: name(r, "node", &nodes)? },
        "start-host" => Trouble::StartHost { host: name(r, "host", &hosts)? },
        "pause-host" => Trouble::Pause { name: name(r, "host", &hosts)?, lasts },
        "pause-node" => Trouble::Pause { name: name(r, "node", &nodes)?, lasts },
        "repeat" => Trouble::Repeat {
            from: key(r, "from", &any(&hosts))?,
            to: key(r, "to", &any(&hosts))?,
            share,
            lasts,
        },
        _ => return None,
    })
}
