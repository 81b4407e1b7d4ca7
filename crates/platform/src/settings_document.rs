//! The settings of a host, as one JSON document that is read at the start and again at each reload.
//! [`SettingsDocument::parse`] takes it whole or says what is wrong, where, and what was expected.

use gullsail_scheduler_api::SchedulerConfig;
use gullsail_scheduler_settings::{Names, RawSettings, Reach, config, hash};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use std::net::SocketAddr;

/// An invalid document, with the place of the error in its text.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{what}")]
pub struct DocumentError {
    what: String,
    #[help]
    help: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    place: Option<SourceSpan>,
}

/// What the process may use of the server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// CPU cores.
    pub cores: f64,
    /// The platform kills a process that uses more.
    pub memory_mb: f64,
    /// File descriptors of the process.
    pub sockets: usize,
}

/// A node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEntry {
    /// The node's name.
    pub host: String,
    /// Where to connect.
    #[serde(rename = "dial")]
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its shard.
    pub block: i64,
    /// Its state, as a word of the platform.
    pub health: String,
    /// Unix time in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

/// An entry that can be parsed, or anything else: that is skipped, and the rest of the page counts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum PageItem {
    /// A node.
    Node(EndpointEntry),
    /// Not parsed.
    Other(serde_json::Value),
}

/// The endpoint list, or what changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Page {
    /// Newer lists have greater numbers.
    #[serde(rename = "seq")]
    pub version: u64,
    /// It holds all endpoints, else only changes.
    pub whole: bool,
    /// Its entries.
    #[serde(rename = "hosts", default)]
    pub entries: Vec<PageItem>,
}

/// The document as it is written. The names of this type, of [`Limits`] and of [`Page`] stand in error texts,
/// so they stay.
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
    #[serde(rename = "known")]
    stored_endpoints: Option<Page>,
    settings: RawSettings,
}

/// A valid document.
#[derive(Clone, Debug)]
pub struct SettingsDocument {
    /// The host's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: String,
    /// For the host's random generator; new with each start.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// Where peers send datagrams.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each host, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list as this host last had it, perhaps long ago.
    pub stored_endpoints: Option<Page>,
    /// The scheduler's configuration.
    pub config: SchedulerConfig,
    /// Names of zones, plans and request classes.
    pub names: Names,
    /// What of the settings concerns connections and messages.
    pub reach: Reach,
}

impl SettingsDocument {
    /// Reads a document; `file` names it in errors.
    ///
    /// # Errors
    /// It is no JSON, misses a value or holds an unknown one: the place and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<SettingsDocument, Box<DocumentError>> {
        let source = Source { file, text };
        let raw = source.deserialize()?;
        let (mut config, names) = config(&raw.settings).map_err(|e| {
            let help = "one of the words of the settings' page was meant";
            source.error(format!("{file}, settings: {e}"), help, None)
        })?;
        let reach = raw.settings.reach();
        config.connect_wait = reach.connect_time_out;
        source.validate(&raw, &config, &reach)?;
        Ok(SettingsDocument {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            // Whatever its form, it only has to differ from start to start.
            seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| hash(&raw.seed)),
            limits: raw.limits,
            peer_listen: raw.peer_listen,
            peers: raw.peers,
            stored_endpoints: raw.stored_endpoints,
            config,
            names,
            reach,
        })
    }
}

/// A value that the document may not have.
struct Rule {
    is_broken: bool,
    help: &'static str,
}

/// The text of a document, for errors that point into it.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn error(&self, what: String, help: &str, place: Option<SourceSpan>) -> Box<DocumentError> {
        let text = NamedSource::new(self.file, self.text.to_string()).with_language("json");
        Box::new(DocumentError {
            what,
            help: help.into(),
            text,
            place,
        })
    }

    fn deserialize(&self) -> Result<Written, Box<DocumentError>> {
        let file = self.file;
        let mut json = serde_json::Deserializer::from_str(self.text);
        let raw = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let path = e.path().to_string();
            let e = e.into_inner();
            let what = format!(
                "{file}, line {}, column {}, at {path}: {e}",
                e.line(),
                e.column()
            );
            let help = "a JSON object with listen, discovery, limits and settings was meant";
            self.error(what, help, Some(self.place_of(&e)))
        })?;
        json.end().map_err(|e| {
            let what = format!("{file}, line {}, column {}: {e}", e.line(), e.column());
            self.error(
                what,
                "one JSON object and nothing behind it was meant",
                Some(self.place_of(&e)),
            )
        })?;
        Ok(raw)
    }

    fn validate(
        &self,
        raw: &Written,
        config: &SchedulerConfig,
        reach: &Reach,
    ) -> Result<(), Box<DocumentError>> {
        let file = self.file;
        let memory_mb = raw.limits.memory_mb;
        let rules = [
            Rule {
                is_broken: !(memory_mb.is_finite() && memory_mb > 0.0),
                help: "limits.memory_mb: a positive number of megabytes was meant",
            },
            Rule {
                is_broken: raw.limits.sockets < 32,
                help: "limits.sockets: at least 32 descriptors were meant",
            },
            Rule {
                is_broken: raw.discovery.is_empty(),
                help: "discovery: an address such as 10.2.0.1:8500 was meant",
            },
            Rule {
                is_broken: config.request_classes.is_empty(),
                help: "settings.profiles: at least one stream type was meant",
            },
            Rule {
                is_broken: reach.connect_time_out.micros() <= 0,
                help: "settings.limits.connect-timeout: a positive time was meant",
            },
        ];
        if let Some(Rule { help, .. }) = rules.iter().find(|rule| rule.is_broken) {
            return Err(self.error(format!("{file}: {help}"), help, None));
        }
        if let Some(c) = raw.settings.contradictions().first() {
            let what = format!("{file}, settings.{}: {}", c.place, c.meant);
            let help = "settings that agree with each other were meant";
            return Err(self.error(what, help, self.place_of_key(&c.place)));
        }
        Ok(())
    }

    fn place_of(&self, e: &serde_json::Error) -> SourceSpan {
        let lines_before = self
            .text
            .split_inclusive('\n')
            .take(e.line().saturating_sub(1));
        let offset = lines_before.map(str::len).sum::<usize>() + e.column().saturating_sub(1);
        SourceSpan::from((offset.min(self.text.len().saturating_sub(1)), 0))
    }

    /// Where the last key of a path such as `policies[1].limit` stands in the text, looked for step by step.
    fn place_of_key(&self, path: &str) -> Option<SourceSpan> {
        let mut offset = self.text.find("\"settings\"")?;
        let mut length = 0;
        for step in path.split('.') {
            let (name, index) = step.split_once('[').unwrap_or((step, "]"));
            let quoted = format!("\"{name}\"");
            offset += self.text[offset..].find(&quoted)?;
            length = quoted.len();
            // An element of a list: so many opening braces further.
            if let Ok(index) = index.trim_end_matches(']').parse::<usize>() {
                offset += self.text[offset..].match_indices('{').nth(index)?.0;
            }
        }
        Some(SourceSpan::from((offset, length)))
    }
}
