//! Reads one fault of a script from its entry in the document.

use super::{Expect, Fault};
use gullsail_configuration::{Deployment, Reader};
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// The names of the entries that stand for a fault.
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

/// Reads the expected result of a command; without an `expect` key, it is accepted.
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

/// Reads a group of processes under a key: names of processes, and of zones, which stand for all their processes.
/// Reports unknown names; returns `None` if the group is empty.
fn process_group(
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
        let zone_index = |zone: &str| deployment.zones.iter().position(|z| z == zone);
        if let Some(zone) = zone_index(keyword) {
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
            format!("`{key}` names no process"),
            entry.span(),
            help,
        );
    }
    Some(all).filter(|a| !a.is_empty())
}

/// Returns the keys that the entry of a kind of fault may have. `between_groups`: the entry names two groups.
fn allowed_keys_of(kind: &str, between_groups: bool) -> &'static [&'static str] {
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

/// Reads one entry into a [`Fault`]. The fields hold what several kinds of fault share.
struct FaultReader<'a> {
    reader: &'a mut Reader,
    entry: &'a KdlNode,
    deployment: &'a Deployment,
    /// The names of all nodes.
    nodes: Vec<String>,
    /// The names of all hosts, newcomers included.
    hosts: Vec<String>,
    /// The value of `for`: how long the fault lasts.
    lasts: Span,
    /// The value of `share`; 1 without the key.
    share: f64,
    /// The value of `after`, if the entry has that key.
    after_key: Option<Span>,
    /// The value of `after`; zero without the key. `replace` and `release` require the key.
    after: Span,
}

/// Returns the names with `*` added.
fn or_any(names: &[String]) -> Vec<String> {
    [names, &["*".to_string()][..]].concat()
}

impl FaultReader<'_> {
    /// Reads the first argument of the entry, which must be one of `names`; `what` describes it in problems.
    fn first_argument(&mut self, what: &str, names: &[String]) -> Option<String> {
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

    /// Reads the name of a process under a key; without the key, returns `*`.
    fn process_at(&mut self, key: &str, names: &[String]) -> Option<String> {
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
        self.first_argument("node", &names)
    }

    fn node(&mut self) -> Option<String> {
        let names = self.nodes.clone();
        self.first_argument("node", &names)
    }

    fn host(&mut self) -> Option<String> {
        let names = self.hosts.clone();
        self.first_argument("host", &names)
    }

    fn all_processes(&self) -> Vec<String> {
        or_any(&[&self.hosts[..], &self.nodes[..], &["list".to_string()][..]].concat())
    }

    /// Reports keys and arguments that the kind of fault does not have.
    fn check_keys(&mut self, kind: &str, allowed_keys: &[&str]) {
        if kind == "reload" {
            // The children belong to the document to reload, which may have errors on purpose: they are not checked.
            let mut without_children = self.entry.clone();
            without_children.clear_children();
            self.reader.only(&without_children, 0, allowed_keys, &[]);
        } else {
            let names = if ["out", "cancel"].contains(&kind) {
                usize::MAX
            } else {
                1
            };
            self.reader.only(self.entry, names, allowed_keys, &[]);
        }
    }

    /// Reads the keys that several kinds of fault share: `for`, `after` and `share`.
    fn read_common(&mut self, kind: &str, allowed_keys: &[&str]) {
        if allowed_keys.contains(&"for") {
            self.lasts = self.reader.span(self.entry, "for");
        }
        self.after_key = self.reader.span_at(self.entry, "after");
        self.after = match kind {
            "replace" | "release" if self.after_key.is_none() => {
                self.reader.span(self.entry, "after")
            }
            _ => self.after_key.unwrap_or_default(),
        };
        if allowed_keys.contains(&"share") {
            self.share = self
                .reader
                .number_at(self.entry, "share", 0.0)
                .unwrap_or(1.0);
        }
    }

    /// Reads a change of the clients' load.
    fn load_change(&mut self, kind: &str) -> Option<Fault> {
        let (lasts, share) = (self.lasts, self.share);
        match kind {
            "surge" => {
                let volumes = self.deployment.volumes.iter().map(|v| v.name.clone());
                let names: Vec<_> = volumes
                    .chain(self.deployment.plans.iter().map(|p| p.name.clone()))
                    .collect();
                let who = self.first_argument("volume or plan", &or_any(&names))?;
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

    /// Reads a fault of a node.
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
                let request_class = self.first_argument("stream type", &names)?;
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
                    self.process_at("by", &nodes)?
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

    /// Reads a fault of connections or of the endpoint list service.
    fn connection_fault(&mut self, kind: &str) -> Option<Fault> {
        let lasts = self.lasts;
        match kind {
            "list-down" => Some(Fault::ListDown { lasts }),
            "refuse" | "silent" => {
                let all = self.all_processes();
                let to = self.first_argument("process", &all)?;
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

    /// Reads a fault of the messages between hosts.
    fn peer_fault(&mut self, kind: &str) -> Option<Fault> {
        let hosts = or_any(&self.hosts);
        let from = self.process_at("from", &hosts)?;
        let to = self.process_at("to", &hosts)?;
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

    /// Reads a fault of the frames or connections between two processes.
    fn link_fault(&mut self, kind: &str) -> Option<Fault> {
        let by = if kind == "delay" {
            self.reader.span(self.entry, "by")
        } else {
            Span::ZERO
        };
        let all = self.all_processes();
        let from = self.process_at("from", &all)?;
        let to = self.process_at("to", &all)?;
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

    /// Reads a partition: frames between two groups of processes are lost.
    fn partition(&mut self, kind: &str) -> Option<Fault> {
        let a = process_group(self.reader, self.entry, "between", self.deployment)?;
        let b = process_group(self.reader, self.entry, "and", self.deployment)?;
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

    /// Reads a fault of a host.
    fn host_fault(&mut self, kind: &str) -> Option<Fault> {
        match kind {
            "kill-host" => Some(Fault::KillHost {
                host: self.host()?,
                after: self.after_key,
            }),
            "stop-host" => Some(Fault::StopHost {
                host: self.host()?,
                after: self.after_key,
            }),
            "start-host" => Some(Fault::StartHost { host: self.host()? }),
            "pause-host" => Some(Fault::Pause {
                name: self.host()?,
                lasts: self.lasts,
            }),
            _ => None,
        }
    }

    /// Reads a reload or a maintenance command.
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
            let host = self.process_at("host", &hosts)?;
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
        let via = self.process_at("via", &hosts)?;
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

/// Reads the fault that an entry stands for. Problems are reported to the reader.
pub(super) fn read_fault(
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
        after_key: None,
        after: Span::ZERO,
    };
    let kind = entry.name().value();
    let allowed_keys = allowed_keys_of(kind, entry.entry("between").is_some());
    reader.check_keys(kind, allowed_keys);
    reader.read_common(kind, allowed_keys);
    match kind {
        "surge" | "impatient" | "lead-moves" => reader.load_change(kind),
        "stall" | "slow" | "fail" | "costly" | "errors" | "replace" | "release" | "start-node"
        | "pause-node" => reader.node_fault(kind),
        "kill-host" | "stop-host" | "start-host" | "pause-host" => reader.host_fault(kind),
        "out" | "cancel" | "reload" => reader.operator_action(kind),
        _ => reader.connection_fault(kind),
    }
}
