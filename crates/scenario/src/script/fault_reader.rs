//! Reads one fault of a script from its entry in the document.

use super::{Expect, Fault};
use gullsail_configuration::{Deployment, Reader};
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// The entries that a fault may be.
pub(super) const KINDS: [&str; 31] = [
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

pub(super) fn expected(reader: &mut Reader, entry: &KdlNode) -> Expect {
    let keywords = [
        ("taken", Expect::Taken),
        ("turned-down", Expect::TurnedDown),
        ("broken", Expect::Broken),
    ];
    entry
        .entry("expect")
        .and_then(|_| reader.keyword(entry, "expect", &keywords))
        .unwrap_or(Expect::Taken)
}

/// Names of processes, or of zones: all that is in them.
fn group(
    reader: &mut Reader,
    entry: &KdlNode,
    key: &str,
    deployment: &Deployment,
) -> Option<Vec<String>> {
    let text = reader.text_at(entry, key).unwrap_or_default();
    let places = || {
        deployment
            .hosts
            .iter()
            .chain(deployment.nodes.iter().map(|entry| &entry.place))
    };
    let mut all = Vec::new();
    for keyword in text.split_whitespace() {
        let of_zone = |zone: &str| deployment.zones.iter().position(|z| z == zone);
        if let Some(zone) = of_zone(keyword) {
            all.extend(
                places()
                    .filter(|p| p.zone.0 == zone)
                    .map(|p| p.name.clone()),
            );
        } else if keyword == "list" || places().any(|p| p.name == keyword) {
            all.push(keyword.into());
        } else {
            reader.report(
                "unknown-name",
                format!("no process or zone is called \"{keyword}\""),
                entry.span(),
                None,
            );
        }
    }
    if all.is_empty() {
        let help = Some("cut between=\"h1 h2\" and=\"h3 h4\" ways=\"one\" for=\"5s\"".into());
        reader.report(
            "missing",
            format!("`{key}` names nobody"),
            entry.span(),
            help,
        );
    }
    Some(all).filter(|a| !a.is_empty())
}

/// The keys that the entry of one kind of fault may have.
fn known_keys(kind: &str, between_groups: bool) -> &'static [&'static str] {
    match kind {
        "surge" => &["times", "for"],
        "impatient" => &["share", "part", "for"],
        "stall" => &["for"],
        "slow" => &["times", "for"],
        "costly" => &["share", "times", "for"],
        "fail" | "errors" => &["share", "for"],
        "replace" | "release" => &["by", "after"],
        "list-down" | "refuse" | "silent" => &["for"],
        "lose-labels" | "reset" | "lose" | "half-close" | "repeat" => {
            &["from", "to", "share", "for"]
        }
        "swap-labels" => &["from", "to", "for"],
        "delay" => &["from", "to", "by", "for"],
        "cut" if between_groups => &["between", "and", "ways", "for"],
        "cut" => &["from", "to"],
        "flap" => &["between", "and", "ways", "every", "for"],
        "kill-host" | "stop-host" => &["after"],
        "out" => &["via", "after", "cell-away", "returns", "expect"],
        "cancel" => &["via"],
        "pause-host" | "pause-node" => &["for"],
        "reload" => &["host", "every", "insist", "expect"],
        _ => &[],
    }
}

/// One entry on its way to a [`Fault`].
struct FaultReader<'a> {
    reader: &'a mut Reader,
    entry: &'a KdlNode,
    deployment: &'a Deployment,
    nodes: Vec<String>,
    hosts: Vec<String>,
    lasts: Span,
    share: f64,
    /// When what was stopped comes back; of a host: none, and it does not.
    back: Option<Span>,
    after: Span,
}

fn or_any(names: &[String]) -> Vec<String> {
    [names, &["*".to_string()][..]].concat()
}

impl FaultReader<'_> {
    /// The process or other thing that the entry names first.
    fn name(&mut self, what: &str, names: &[String]) -> Option<String> {
        match self.entry.entries().iter().find(|e| e.name().is_none()) {
            Some(e) => self
                .reader
                .refer(e, what, &names.iter().cloned().collect())
                .map(|p| names[p].clone()),
            None => {
                let text = format!("`{}` needs a {what}", self.entry.name().value());
                self.reader.report("missing", text, self.entry.span(), None);
                None
            }
        }
    }

    /// The process named under this key; all of them where the key is not there.
    fn key(&mut self, key: &str, names: &[String]) -> Option<String> {
        if self.entry.entry(key).is_none() {
            return Some("*".to_string());
        }
        let place =
            self.reader
                .refer_at(self.entry, key, "process", &names.iter().cloned().collect());
        place.map(|p| names[p].clone())
    }

    fn node_or_any(&mut self) -> Option<String> {
        let names = or_any(&self.nodes);
        self.name("node", &names)
    }

    fn node(&mut self) -> Option<String> {
        let names = self.nodes.clone();
        self.name("node", &names)
    }

    fn host(&mut self) -> Option<String> {
        let names = self.hosts.clone();
        self.name("host", &names)
    }

    fn all_processes(&self) -> Vec<String> {
        or_any(&[&self.hosts[..], &self.nodes[..], &["list".to_string()][..]].concat())
    }

    fn check_keys(&mut self, kind: &str, known: &[&str]) {
        if kind == "reload" {
            // What stands in it is a document's, and may be wrong on purpose.
            let mut own = self.entry.clone();
            own.clear_children();
            self.reader.only(&own, 0, known, &[]);
        } else {
            let names = if ["out", "cancel"].contains(&kind) {
                usize::MAX
            } else {
                1
            };
            self.reader.only(self.entry, names, known, &[]);
        }
    }

    /// What all kinds share: how long it lasts, when it is over, of what part.
    fn read_common(&mut self, kind: &str, known: &[&str]) {
        if known.contains(&"for") {
            self.lasts = self.reader.span(self.entry, "for");
        }
        self.back = self.reader.span_at(self.entry, "after");
        self.after = match kind {
            "replace" | "release" if self.back.is_none() => self.reader.span(self.entry, "after"),
            _ => self.back.unwrap_or_default(),
        };
        if known.contains(&"share") {
            self.share = self
                .reader
                .number_at(self.entry, "share", 0.0)
                .unwrap_or(1.0);
        }
    }

    fn load(&mut self, kind: &str) -> Option<Fault> {
        let (lasts, share) = (self.lasts, self.share);
        match kind {
            "surge" => {
                let volumes = self.deployment.volumes.iter().map(|v| v.name.clone());
                let names: Vec<_> = volumes
                    .chain(self.deployment.plans.iter().map(|p| p.name.clone()))
                    .collect();
                let who = self.name("volume or plan", &or_any(&names))?;
                Some(Fault::Surge {
                    who,
                    times: self.reader.number(self.entry, "times", 0.0),
                    lasts,
                })
            }
            "impatient" => Some(Fault::Impatient {
                share,
                part: self.reader.number(self.entry, "part", 0.0),
                lasts,
            }),
            "lead-moves" => Some(Fault::LeadMoves),
            _ => None,
        }
    }

    fn node_fault(&mut self, kind: &str) -> Option<Fault> {
        let (lasts, share, after) = (self.lasts, self.share, self.after);
        match kind {
            "stall" => Some(Fault::Stall {
                node: self.node_or_any()?,
                lasts,
            }),
            "slow" => {
                let node = self.node_or_any()?;
                Some(Fault::Slow {
                    node,
                    times: self.reader.number(self.entry, "times", 0.0),
                    lasts,
                })
            }
            "fail" => Some(Fault::Fail {
                node: self.node_or_any()?,
                share,
                lasts,
            }),
            "costly" => {
                let names: Vec<_> = self
                    .deployment
                    .request_classes
                    .iter()
                    .map(|s| s.name.clone())
                    .collect();
                let request_class = self.name("stream type", &names)?;
                Some(Fault::Costly {
                    request_class,
                    share,
                    times: self.reader.number(self.entry, "times", 1.0),
                    lasts,
                })
            }
            "errors" => Some(Fault::Errors {
                node: self.node_or_any()?,
                share,
                lasts,
            }),
            "replace" | "release" => {
                let node = self.node()?;
                let nodes = self.nodes.clone();
                let by = if self.entry.entry("by").is_some() {
                    self.key("by", &nodes)?
                } else {
                    node.clone()
                };
                Some(match kind {
                    "replace" => Fault::Replace { node, by, after },
                    _ => Fault::Release { node, by, after },
                })
            }
            "start-node" => Some(Fault::StartNode { node: self.node()? }),
            "pause-node" => Some(Fault::Pause {
                name: self.node()?,
                lasts,
            }),
            _ => None,
        }
    }

    fn connection_fault(&mut self, kind: &str) -> Option<Fault> {
        let lasts = self.lasts;
        match kind {
            "list-down" => Some(Fault::ListDown { lasts }),
            "refuse" | "silent" => {
                let all = self.all_processes();
                let to = self.name("process", &all)?;
                Some(match kind {
                    "refuse" => Fault::Refuse { to, lasts },
                    _ => Fault::Silent { to, lasts },
                })
            }
            "lose-labels" | "swap-labels" | "repeat" => self.peer_fault(kind),
            "cut" | "flap" if self.entry.entry("between").is_some() => self.partition(kind),
            "delay" | "reset" | "lose" | "half-close" | "cut" => self.link_fault(kind),
            _ => None,
        }
    }

    /// What is done to messages between hosts.
    fn peer_fault(&mut self, kind: &str) -> Option<Fault> {
        let hosts = or_any(&self.hosts);
        let from = self.key("from", &hosts)?;
        let to = self.key("to", &hosts)?;
        let share = self.share;
        let lasts = self.lasts;
        Some(match kind {
            "lose-labels" => Fault::LoseLabels {
                from,
                to,
                share,
                lasts,
            },
            "swap-labels" => Fault::SwapLabels { from, to, lasts },
            _ => Fault::Repeat {
                from,
                to,
                share,
                lasts,
            },
        })
    }

    /// What is done to the frames or connections between two processes.
    fn link_fault(&mut self, kind: &str) -> Option<Fault> {
        let by = if kind == "delay" {
            self.reader.span(self.entry, "by")
        } else {
            Span::ZERO
        };
        let all = self.all_processes();
        let from = self.key("from", &all)?;
        let to = self.key("to", &all)?;
        let share = self.share;
        let lasts = self.lasts;
        Some(match kind {
            "delay" => Fault::Delay {
                from,
                to,
                by,
                lasts,
            },
            "reset" => Fault::Reset {
                from,
                to,
                share,
                lasts,
            },
            "lose" => Fault::Lose {
                from,
                to,
                share,
                lasts,
            },
            "half-close" => Fault::HalfClose {
                from,
                to,
                share,
                lasts,
            },
            _ => Fault::Cut { from, to },
        })
    }

    /// Two groups that do not reach each other.
    fn partition(&mut self, kind: &str) -> Option<Fault> {
        let a = group(self.reader, self.entry, "between", self.deployment)?;
        let b = group(self.reader, self.entry, "and", self.deployment)?;
        let ways = self
            .reader
            .text_at(self.entry, "ways")
            .unwrap_or_else(|| "both".into());
        if !["one", "both"].contains(&ways.as_str()) {
            let text = format!("ways=\"{ways}\": \"one\" or \"both\"");
            self.reader
                .report("wrong-kind", text, self.entry.span(), None);
        }
        let one_way = ways == "one";
        let lasts = self.lasts;
        Some(match kind {
            "cut" => Fault::Part {
                a,
                b,
                one_way,
                lasts,
            },
            _ => Fault::Flap {
                a,
                b,
                one_way,
                every: self.reader.span(self.entry, "every"),
                lasts,
            },
        })
    }

    fn host_fault(&mut self, kind: &str) -> Option<Fault> {
        match kind {
            "kill-host" => Some(Fault::KillHost {
                host: self.host()?,
                after: self.back,
            }),
            "stop-host" => Some(Fault::StopHost {
                host: self.host()?,
                after: self.back,
            }),
            "start-host" => Some(Fault::StartHost { host: self.host()? }),
            "pause-host" => Some(Fault::Pause {
                name: self.host()?,
                lasts: self.lasts,
            }),
            _ => None,
        }
    }

    fn operator_action(&mut self, kind: &str) -> Option<Fault> {
        let hosts = or_any(&self.hosts);
        if kind == "reload" {
            let expect = expected(self.reader, self.entry);
            let every = self.reader.span_at(self.entry, "every").unwrap_or_default();
            let entries = self
                .entry
                .iter_children()
                .map(|c| c.to_string().trim().to_string())
                .collect();
            let host = self.key("host", &hosts)?;
            return Some(Fault::Reload {
                host,
                every,
                insist: self.reader.flag(self.entry, "insist"),
                expect,
                entries,
            });
        }
        let names = self.entry.entries().iter().filter(|e| e.name().is_none());
        let names = names
            .filter_map(|e| e.value().as_string().map(str::to_string))
            .collect();
        let via = self.key("via", &hosts)?;
        if kind == "cancel" {
            return Some(Fault::Cancel { names, via });
        }
        let shard_away = self.reader.flag(self.entry, "cell-away");
        let returns = self.reader.flag(self.entry, "returns");
        let expect = expected(self.reader, self.entry);
        Some(Fault::Out {
            names,
            via,
            after: self.after,
            shard_away,
            returns,
            expect,
        })
    }
}

/// The fault that an entry names; what is wrong with it goes to the reader.
pub(super) fn fault(
    reader: &mut Reader,
    entry: &KdlNode,
    deployment: &Deployment,
    newcomers: &[String],
) -> Option<Fault> {
    let nodes = deployment
        .nodes
        .iter()
        .map(|entry| entry.place.name.clone())
        .collect();
    let hosts = deployment
        .hosts
        .iter()
        .map(|h| h.name.clone())
        .chain(newcomers.iter().cloned())
        .collect();
    let mut reader = FaultReader {
        reader,
        entry,
        deployment,
        nodes,
        hosts,
        lasts: Span::ZERO,
        share: 1.0,
        back: None,
        after: Span::ZERO,
    };
    let kind = entry.name().value();
    let known = known_keys(kind, entry.entry("between").is_some());
    reader.check_keys(kind, known);
    reader.read_common(kind, known);
    match kind {
        "surge" | "impatient" | "lead-moves" => reader.load(kind),
        "stall" | "slow" | "fail" | "costly" | "errors" | "replace" | "release" | "start-node"
        | "pause-node" => reader.node_fault(kind),
        "kill-host" | "stop-host" | "start-host" | "pause-host" => reader.host_fault(kind),
        "out" | "cancel" | "reload" => reader.operator_action(kind),
        _ => reader.connection_fault(kind),
    }
}
