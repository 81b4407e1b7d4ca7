//! The settings of a host: one JSON document that is read at the start and at each reload.
//! [`SettingsDocument::parse`] returns a complete, valid document or an error that says what is wrong, where, and what
//! was expected.

use gullsail_scheduler_api::SchedulerConfig;
use gullsail_scheduler_settings::{Names, RawSettings, Reach, config, hash};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use std::net::SocketAddr;

/// Fewest descriptors with which a host can serve: those that it keeps for itself, and a few for clients and nodes.
const MIN_DESCRIPTORS: usize = 32;

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

/// What the process may use of its server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// CPU cores.
    pub cores: f64,
    /// Megabytes of memory. The platform kills a process that uses more.
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
    /// When its process started, in Unix time in milliseconds. 0 stands for an unknown time long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

/// An entry that can be parsed, or anything else, which is skipped: one malformed entry must not invalidate the page.
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
    /// The version; newer lists have greater numbers.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether it holds all endpoints, or only changes.
    pub whole: bool,
    /// Its entries.
    #[serde(rename = "hosts", default)]
    pub entries: Vec<PageItem>,
}

/// The document as it is written, before its values are checked. Error texts contain the names of this type, of
/// [`Limits`] and of [`Page`], so these names do not change.
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
    /// Seed of the host's random generator, another one for each start.
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
    /// The settings that concern connections and messages.
    pub reach: Reach,
}

impl SettingsDocument {
    /// Reads a document; `file` names it in errors.
    ///
    /// # Errors
    /// The text is no JSON, a value is missing or invalid, or settings contradict each other. The error names the
    /// place and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<SettingsDocument, Box<DocumentError>> {
        let source = Source { file, text };
        let raw = source.deserialize()?;
        let (mut config, names) = config(&raw.settings).map_err(|error| {
            let help = "expected one of the words of the settings' page";
            source.error(format!("{file}, settings: {error}"), help, None)
        })?;
        let reach = raw.settings.reach();
        config.max_connect_wait = reach.connect_time_out;
        source.validate(&raw, &config, &reach)?;
        Ok(SettingsDocument {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            // A seed of another form is hashed: it only has to differ from start to start.
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

/// A condition on a value of the document.
struct Rule {
    is_broken: bool,
    /// The place and what was expected there.
    expected: &'static str,
}

/// The conditions that the types of the document do not express.
fn rules(raw: &Written, config: &SchedulerConfig, reach: &Reach) -> [Rule; 5] {
    let memory_mb = raw.limits.memory_mb;
    [
        Rule {
            is_broken: !(memory_mb.is_finite() && memory_mb > 0.0),
            expected: "limits.memory_mb: expected a positive number of megabytes",
        },
        Rule {
            is_broken: raw.limits.sockets < MIN_DESCRIPTORS,
            expected: "limits.sockets: expected at least 32 descriptors",
        },
        Rule {
            is_broken: raw.discovery.is_empty(),
            expected: "discovery: expected an address such as 10.2.0.1:8500",
        },
        Rule {
            is_broken: config.request_classes.is_empty(),
            expected: "settings.profiles: expected at least one request class",
        },
        Rule {
            is_broken: reach.connect_time_out.micros() <= 0,
            expected: "settings.limits.connect-timeout: expected a positive time in milliseconds",
        },
    ]
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
        let raw = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string();
            let error = error.into_inner();
            let place = format!("line {}, column {}", error.line(), error.column());
            self.error(
                format!("{file}, {place}, at {path}: {error}"),
                "expected a JSON object with listen, discovery, limits and settings",
                Some(self.place_of(&error)),
            )
        })?;
        json.end().map_err(|error| {
            let place = format!("line {}, column {}", error.line(), error.column());
            self.error(
                format!("{file}, {place}: {error}"),
                "expected one JSON object and nothing after it",
                Some(self.place_of(&error)),
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
        let rules = rules(raw, config, reach);
        if let Some(Rule { expected, .. }) = rules.iter().find(|rule| rule.is_broken) {
            return Err(self.error(format!("{file}: {expected}"), expected, None));
        }
        if let Some(contradiction) = raw.settings.contradictions().first() {
            let place = &contradiction.place;
            return Err(self.error(
                format!("{file}, settings.{place}: {}", contradiction.meant),
                "expected settings that agree with each other",
                self.place_of_key(place),
            ));
        }
        Ok(())
    }

    /// The place at which the JSON parser stopped.
    fn place_of(&self, error: &serde_json::Error) -> SourceSpan {
        let lines_before = self
            .text
            .split_inclusive('\n')
            .take(error.line().saturating_sub(1));
        let offset = lines_before.map(str::len).sum::<usize>() + error.column().saturating_sub(1);
        SourceSpan::from((offset.min(self.text.len().saturating_sub(1)), 0))
    }

    /// Finds the last key of a path such as `policies[1].limit` in the text, step by step.
    fn place_of_key(&self, path: &str) -> Option<SourceSpan> {
        let mut offset = self.text.find("\"settings\"")?;
        let mut length = 0;
        for step in path.split('.') {
            let (name, index) = step.split_once('[').unwrap_or((step, "]"));
            let quoted = format!("\"{name}\"");
            offset += self.text[offset..].find(&quoted)?;
            length = quoted.len();
            // The element of a list begins with the opening brace of this number.
            if let Ok(index) = index.trim_end_matches(']').parse::<usize>() {
                offset += self.text[offset..].match_indices('{').nth(index)?.0;
            }
        }
        Some(SourceSpan::from((offset, length)))
    }
}
