//! What is wrong with a document: one [`Problem`] for each, with its place, and all of them together.

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// An error keeps a document from being used; a warning does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemSeverity {
    /// The document cannot be used.
    Error,
    /// The document can be used.
    Warning,
}

/// One thing that is wrong, where, and what was meant.
#[derive(Clone, Debug)]
pub struct Problem {
    /// The kind of problem, for `gullsail explain`.
    pub code: &'static str,
    /// Whether the document can be used.
    pub severity: ProblemSeverity,
    /// What is wrong.
    pub message: String,
    /// How it may be mended.
    pub help: Option<String>,
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// Other places to look at, in words.
    pub see: Vec<String>,
    pub(crate) source: NamedSource<Arc<str>>,
    pub(crate) at: SourceSpan,
}

/// A problem as programs are told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiagnosticRecord {
    /// The kind of problem.
    pub code: String,
    /// Whether the document can be used.
    #[serde(rename = "weight")]
    pub severity: ProblemSeverity,
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// How it may be mended.
    pub help: Option<String>,
    /// Other places to look at, in words.
    pub see: Vec<String>,
}

impl Problem {
    /// The problem as data, for programs.
    pub fn diagnostic(&self) -> DiagnosticRecord {
        DiagnosticRecord {
            code: self.code.into(),
            severity: self.severity,
            file: self.file.clone(),
            line: self.line,
            column: self.column,
            message: self.message.clone(),
            help: self.help.clone(),
            see: self.see.clone(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }
    fn severity(&self) -> Option<Severity> {
        Some(if self.severity == ProblemSeverity::Error {
            Severity::Error
        } else {
            Severity::Warning
        })
    }
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let all: Vec<_> = self
            .help
            .iter()
            .chain(&self.see)
            .map(String::as_str)
            .collect();
        (!all.is_empty()).then(|| Box::new(all.join("; ")) as Box<dyn fmt::Display>)
    }
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(
            Some("here".into()),
            self.at,
        ))))
    }
}

/// All that is wrong with one document, in the order of its files and lines.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{} in {name}", count(.problems.len()))]
pub struct Problems {
    /// The first file of the document.
    pub name: String,
    /// All of them.
    #[related]
    pub problems: Vec<Problem>,
}

fn count(problems: usize) -> String {
    if problems == 1 {
        "1 problem".into()
    } else {
        format!("{problems} problems")
    }
}

/// The known word that is nearest to what stands there, if any is near.
pub fn meant(found: &str, known: &[&str]) -> Option<String> {
    let near = known
        .iter()
        .map(|k| (strsim::damerau_levenshtein(found, k), k))
        .min()?;
    (near.0 <= found.len().max(3) / 3).then(|| format!("did you mean `{}`?", near.1))
}
