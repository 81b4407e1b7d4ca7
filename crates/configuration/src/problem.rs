//! The problems of a document: [`Problem`] is a single one with its position, [`Problems`] holds all errors of one document.

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

/// A problem of a document with its position.
#[derive(Clone, Debug)]
pub struct Problem {
    /// The code, as `gullsail explain` takes it.
    pub code: &'static str,
    /// Whether the document can be used in spite of the problem.
    pub severity: ProblemSeverity,
    /// The description of the problem.
    pub message: String,
    /// A hint at how to correct it.
    pub help: Option<String>,
    /// The file that holds the text in question.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// Related positions in words, such as `used at main.kdl:6:3`.
    pub see: Vec<String>,
    pub(crate) source: NamedSource<Arc<str>>,
    /// The text in question, as a range in `source`.
    pub(crate) at: SourceSpan,
}

/// A problem in the form in which the command line prints it as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiagnosticRecord {
    /// The code, as `gullsail explain` takes it.
    pub code: String,
    /// Whether the document can be used in spite of the problem.
    #[serde(rename = "weight")]
    pub severity: ProblemSeverity,
    /// The file that holds the text in question.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The description of the problem.
    pub message: String,
    /// A hint at how to correct it.
    pub help: Option<String>,
    /// Related positions in words, such as `used at main.kdl:6:3`.
    pub see: Vec<String>,
}

impl Problem {
    /// Converts the problem into its JSON form.
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

/// The errors of one document, in the order of its files and lines.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{} in {name}", count(.problems.len()))]
pub struct Problems {
    /// The first file of the document.
    pub name: String,
    /// The errors. Warnings are left out if there are errors.
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

/// Suggests the known word with the smallest edit distance to `found`; `None` if none is close.
pub fn meant(found: &str, known: &[&str]) -> Option<String> {
    let nearest = known
        .iter()
        .map(|k| (strsim::damerau_levenshtein(found, k), k))
        .min()?;
    (nearest.0 <= found.len().max(3) / 3).then(|| format!("did you mean `{}`?", nearest.1))
}
