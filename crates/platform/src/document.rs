//! What a host is told at its start and again at each reload: one JSON document. [`Document::read`] takes it whole or
//! says what is wrong, where, and what was meant.

use gullsail_scheduler_api::SchedulerConfig;
use gullsail_scheduler_settings::{Names, Reach, Stated, config};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use std::net::SocketAddr;

/// A document with a fault, shown at its place.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{what}")]
pub struct Unsound {
    what: String,
    #[help]
    help: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    place: Option<SourceSpan>,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    pub cores: f64,
    /// Over it the host is killed.
    pub memory_mb: f64,
    /// File descriptors of the process.
    pub sockets: usize,
}

/// A node as the list has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    pub host: String,
    pub dial: String,
    #[serde(default)]
    pub site: String,
    pub block: i64,
    pub health: String,
    /// Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// An entry that can be read, or anything else: that is skipped, and the rest of the page counts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Item {
    Node(Entry),
    Other(serde_json::Value),
}

/// The list of nodes, or what changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Page {
    pub seq: u64,
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Item>,
}

#[derive(Deserialize)]
struct Written {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    known: Option<Page>,
    settings: Stated,
}

/// A sound document.
#[derive(Clone, Debug)]
pub struct Document {
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    pub discovery: String,
    /// For the host's own chance; new with each start.
    pub seed: u64,
    pub limits: Limits,
    pub peer_listen: Option<SocketAddr>,
    /// One address for each host, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The list of nodes as this host last had it, perhaps long ago.
    pub known: Option<Page>,
    pub config: SchedulerConfig,
    pub names: Names,
    pub reach: Reach,
}

impl Document {
    /// # Errors
    /// It is no JSON, lacks something or states what is not known: the place and what was meant.
    pub fn read(file: &str, text: &str) -> Result<Document, Box<Unsound>> {
        let unsound = |what: String, help: &str, place: Option<SourceSpan>| {
            let text = NamedSource::new(file, text.to_string()).with_language("json");
            Box::new(Unsound { what, help: help.into(), text, place })
        };
        let mut json = serde_json::Deserializer::from_str(text);
        let written: Written = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let help = "a JSON object with listen, discovery, limits and settings was meant";
            let (at, e) = (e.path().to_string(), e.into_inner());
            let place = Some(place(text, &e));
            unsound(format!("{file}, line {}, column {}, at {at}: {e}", e.line(), e.column()), help, place)
        })?;
        json.end().map_err(|e| {
            let what = format!("{file}, line {}, column {}: {e}", e.line(), e.column());
            unsound(what, "one JSON object and nothing behind it was meant", Some(place(text, &e)))
        })?;
        let w = written;
        let (mut config, names) = config(&w.settings).map_err(|e| {
            unsound(
                format!("{file}, settings: {e}"),
                "one of the words of the settings' page was meant",
                None,
            )
        })?;
        let reach = w.settings.reach();
        config.connect_wait = reach.connect_time_out;
        let positive = |f: f64| f.is_finite() && f > 0.0;
        let wrong = [
            (!positive(w.limits.memory_mb), "limits.memory_mb: a positive number of megabytes was meant"),
            (w.limits.sockets < 32, "limits.sockets: at least 32 descriptors were meant"),
            (w.discovery.is_empty(), "discovery: an address such as 10.2.0.1:8500 was meant"),
            (config.request_classes.is_empty(), "settings.profiles: at least one stream type was meant"),
            (
                reach.connect_time_out.micros() <= 0,
                "settings.limits.connect-timeout: a positive time was meant",
            ),
        ];
        if let Some((_, help)) = wrong.iter().find(|(wrong, _)| *wrong) {
            return Err(unsound(format!("{file}: {help}"), help, None));
        }
        if let Some(c) = w.settings.contradictions().first() {
            let what = format!("{file}, settings.{}: {}", c.place, c.meant);
            return Err(unsound(what, "settings that agree with each other were meant", key(text, &c.place)));
        }
        // Whatever its form, it only has to differ from start to start.
        let seed =
            u64::from_str_radix(&w.seed, 16).unwrap_or_else(|_| gullsail_scheduler_settings::hash(&w.seed));
        Ok(Document {
            name: w.name,
            listen: w.listen,
            discovery: w.discovery,
            seed,
            limits: w.limits,
            peer_listen: w.peer_listen,
            peers: w.peers,
            known: w.known,
            config,
            names,
            reach,
        })
    }
}

fn place(text: &str, e: &serde_json::Error) -> SourceSpan {
    let lines = text.split_inclusive('\n').take(e.line().saturating_sub(1));
    let at = lines.map(str::len).sum::<usize>() + e.column().saturating_sub(1);
    SourceSpan::from((at.min(text.len().saturating_sub(1)), 0))
}

/// Where the last key of a path such as `policies[1].limit` stands in the text, looked for step by step.
fn key(text: &str, path: &str) -> Option<SourceSpan> {
    let (mut at, mut length) = (text.find("\"settings\"")?, 0);
    for step in path.split('.') {
        let (name, nth) = step.split_once('[').unwrap_or((step, "]"));
        let quoted = format!("\"{name}\"");
        (at, length) = (at + text[at..].find(&quoted)?, quoted.len());
        // An element of a list: so many opening braces further.
        if let Ok(nth) = nth.trim_end_matches(']').parse::<usize>() {
            at += text[at..].match_indices('{').nth(nth)?.0;
        }
    }
    Some(SourceSpan::from((at, length)))
}
