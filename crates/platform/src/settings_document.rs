//! The settings document of a host: one JSON object that is read at the start and at each reload.
//! [`SettingsDocument::parse`] returns a valid document, or an error with the place of the fault and what was expected.

use gullsail_scheduler_api::SchedulerConfig;
use gullsail_scheduler_settings::{ConnectionSettings, Names, RawSettings, config, hash};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use std::net::SocketAddr;

/// Fewest descriptors with which a host can serve: the reserved ones, and a few for connections to clients and nodes.
const MIN_DESCRIPTORS: usize = 32;

/// Why a settings document is invalid.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct DocumentError {
    message: String,
    #[help]
    help: String,
    #[source_code]
    text: NamedSource<String>,
    /// The place of the fault in `text`. `None` if it cannot be pointed out.
    #[label("here")]
    span: Option<SourceSpan>,
}

/// The resources of the server that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// The number of CPU cores. The host does not depend on it.
    pub cores: f64,
    /// Memory in megabytes. The platform kills a process that uses more.
    pub memory_mb: f64,
    /// The number of open file descriptors, sockets included.
    pub sockets: usize,
}

/// A node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEntry {
    /// The node's name, from which its id is derived.
    #[serde(rename = "host")]
    pub name: String,
    /// IP address and port to connect to.
    #[serde(rename = "dial")]
    pub address: String,
    /// The name of the zone in which the node is.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The number of the shard that the node serves.
    #[serde(rename = "block")]
    pub shard: i64,
    /// The node's state: `SERVING`, `DRAINING` or `DELETED`.
    #[serde(rename = "health")]
    pub state: String,
    /// When the node's process started, as Unix time in milliseconds. 0 means an unknown time long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

/// An entry of a page. An entry that cannot be parsed must not make the whole page invalid.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum PageItem {
    /// An entry that describes a node.
    Node(EndpointEntry),
    /// An entry in another format. It is skipped.
    Other(serde_json::Value),
}

/// The endpoint list, or changes of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Page {
    /// The version of the list; newer lists have greater numbers.
    #[serde(rename = "seq")]
    pub version: u64,
    /// `true` if the page holds all endpoints, `false` if it holds those that have changed.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The nodes of the list, or those that have changed.
    #[serde(rename = "hosts", default)]
    pub entries: Vec<PageItem>,
}

/// The document as deserialized, before its values are checked. Error texts contain the names of this type, of
/// [`Limits`] and of [`Page`], so these types must not be renamed.
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

/// A valid settings document.
#[derive(Clone, Debug)]
pub struct SettingsDocument {
    /// The host's name, for the log.
    pub name: String,
    /// The TCP address on which the host listens for clients.
    pub listen: SocketAddr,
    /// IP address and port of discovery.
    pub discovery: String,
    /// Seed of the host's random numbers. It differs between starts.
    pub seed: u64,
    /// Limits on the resources of the process.
    pub limits: Limits,
    /// The UDP address on which the host receives datagrams of other hosts. `None` if it has no peers.
    pub peer_listen: Option<SocketAddr>,
    /// The UDP address of the host with number `i` at index `i`, this host included.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list that was stored in an earlier run of the host. It may be outdated.
    pub stored_endpoints: Option<Page>,
    /// The scheduler's configuration.
    pub config: SchedulerConfig,
    /// Maps the names of zones, plans and request classes to their ids.
    pub names: Names,
    /// Settings for connections to nodes and for the validation of requests.
    pub connection_settings: ConnectionSettings,
}

impl SettingsDocument {
    /// Parses a document. `file` is the name of the document in errors.
    ///
    /// # Errors
    /// The text is not valid JSON, a value is missing or invalid, or settings contradict each other. The error states
    /// the place and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<SettingsDocument, Box<DocumentError>> {
        let source = Source { file, text };
        let raw = source.deserialize()?;
        let (mut config, names) = config(&raw.settings).map_err(|error| {
            let help = "expected one of the words of the settings' page";
            source.error(format!("{file}, settings: {error}"), help, None)
        })?;
        let connection_settings = raw.settings.connection_settings();
        config.max_connect_wait = connection_settings.connect_timeout;
        source.validate(&raw, &config, &connection_settings)?;
        Ok(SettingsDocument {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            // A seed that is not a hexadecimal number is hashed: it only has to differ between starts.
            seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| hash(&raw.seed)),
            limits: raw.limits,
            peer_listen: raw.peer_listen,
            peers: raw.peers,
            stored_endpoints: raw.stored_endpoints,
            config,
            names,
            connection_settings,
        })
    }
}

/// A condition on a value of the document.
struct Rule {
    is_broken: bool,
    /// The path of the value and what was expected there.
    expected: &'static str,
}

/// Conditions that deserialization does not check.
fn rules(
    raw: &Written,
    config: &SchedulerConfig,
    connection_settings: &ConnectionSettings,
) -> [Rule; 5] {
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
            is_broken: connection_settings.connect_timeout.micros() <= 0,
            expected: "settings.limits.connect-timeout: expected a positive time in milliseconds",
        },
    ]
}

/// The text of a document and its name, for errors that point into the text.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn error(&self, message: String, help: &str, span: Option<SourceSpan>) -> Box<DocumentError> {
        let text = NamedSource::new(self.file, self.text.to_string()).with_language("json");
        Box::new(DocumentError {
            message,
            help: help.into(),
            text,
            span,
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
                Some(self.span_of(&error)),
            )
        })?;
        json.end().map_err(|error| {
            let place = format!("line {}, column {}", error.line(), error.column());
            self.error(
                format!("{file}, {place}: {error}"),
                "expected one JSON object and nothing after it",
                Some(self.span_of(&error)),
            )
        })?;
        Ok(raw)
    }

    /// Checks the values of the document and that its settings do not contradict each other.
    fn validate(
        &self,
        raw: &Written,
        config: &SchedulerConfig,
        connection_settings: &ConnectionSettings,
    ) -> Result<(), Box<DocumentError>> {
        let file = self.file;
        let rules = rules(raw, config, connection_settings);
        if let Some(Rule { expected, .. }) = rules.iter().find(|rule| rule.is_broken) {
            return Err(self.error(format!("{file}: {expected}"), expected, None));
        }
        if let Some(contradiction) = raw.settings.contradictions().first() {
            let key = &contradiction.key;
            return Err(self.error(
                format!("{file}, settings.{key}: {}", contradiction.expected),
                "expected settings that agree with each other",
                self.span_of_key(key),
            ));
        }
        Ok(())
    }

    /// The place in the text at which the JSON parser stopped.
    fn span_of(&self, error: &serde_json::Error) -> SourceSpan {
        let lines_before = self
            .text
            .split_inclusive('\n')
            .take(error.line().saturating_sub(1));
        let offset = lines_before.map(str::len).sum::<usize>() + error.column().saturating_sub(1);
        SourceSpan::from((offset.min(self.text.len().saturating_sub(1)), 0))
    }

    /// The place of the last key of a path below `settings`, such as `policies[1].limit`. Searches the text for each
    /// segment of the path in turn. `None` if one is not found.
    fn span_of_key(&self, path: &str) -> Option<SourceSpan> {
        let mut offset = self.text.find("\"settings\"")?;
        let mut length = 0;
        for segment in path.split('.') {
            let (name, index) = segment.split_once('[').unwrap_or((segment, "]"));
            let quoted = format!("\"{name}\"");
            offset += self.text[offset..].find(&quoted)?;
            length = quoted.len();
            // The list element with this index begins at the opening brace with the same index.
            if let Ok(index) = index.trim_end_matches(']').parse::<usize>() {
                offset += self.text[offset..].match_indices('{').nth(index)?.0;
            }
        }
        Some(SourceSpan::from((offset, length)))
    }
}
