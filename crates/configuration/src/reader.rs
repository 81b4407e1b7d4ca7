//! Reads entries of a KDL document and collects their problems. A value that can't be read is replaced by a default,
//! so that one error does not hide the next. [`Reader::close`] returns no result if there was an error.

use crate::problem::{Problem, ProblemSeverity, Problems, meant};
use crate::source_map::{MAX_NESTING, Sources, nesting_exceeded_at, shift};
use kdl::{KdlDocument, KdlNode};
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The names of entries of one kind, in their order, with an index by name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    list: Vec<String>,
    positions: BTreeMap<String, usize>,
}

impl Names {
    /// All names, in their order.
    pub fn list(&self) -> &[String] {
        &self.list
    }

    /// The position of the first entry of this name, from 0.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.positions.get(name).copied()
    }
}

impl FromIterator<String> for Names {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Names {
        let list: Vec<String> = names.into_iter().collect();
        let mut positions = BTreeMap::new();
        for (position, name) in list.iter().enumerate() {
            positions.entry(name.clone()).or_insert(position);
        }
        Names { list, positions }
    }
}

/// The top entries of a kind, in their order.
pub(crate) fn entries<'a>(
    document: &'a KdlDocument,
    kind: &'static str,
) -> impl DoubleEndedIterator<Item = &'a KdlNode> {
    document
        .nodes()
        .iter()
        .filter(move |n| n.name().value() == kind)
}

/// A problem whose file and line are not looked up yet.
struct Reported {
    code: &'static str,
    level: ProblemSeverity,
    message: String,
    /// A range in the combined text of all sources.
    at: SourceSpan,
    help: Option<String>,
    see: Vec<String>,
}

/// Reads the entries of one document and collects their problems.
#[derive(Default)]
pub struct Reader {
    pub(crate) name: String,
    pub(crate) sources: Sources,
    reported: Vec<Reported>,
    /// For each value with template parameters: the offset of the value, and the offsets of the parameters' values.
    pub(crate) parameter_values: BTreeMap<usize, Vec<usize>>,
}

impl Reader {
    pub(crate) fn new(name: &str) -> Reader {
        Reader {
            name: name.into(),
            ..Reader::default()
        }
    }

    /// Parses one file and adds it to the sources. The spans in the result are offsets in the combined text.
    pub(crate) fn read_file(&mut self, name: &str, text: &str) -> KdlDocument {
        let start = self.file(name, text);
        if let Some(place) = nesting_exceeded_at(text) {
            let message = format!("entries or comments are nested more than {MAX_NESTING} deep");
            self.report("too-deep", message, (start + place, 1).into(), None);
            return KdlDocument::new();
        }
        match KdlDocument::parse_v2(text) {
            Ok(mut document) => {
                document
                    .nodes_mut()
                    .iter_mut()
                    .for_each(|n| shift(n, start as isize));
                document
            }
            Err(e) => {
                for d in e.diagnostics {
                    let message = d.message.unwrap_or_else(|| "this is not KDL".into());
                    self.report(
                        "syntax",
                        message,
                        (d.span.offset() + start, d.span.len()).into(),
                        d.help,
                    );
                }
                KdlDocument::new()
            }
        }
    }

    /// Adds a file to the sources and returns its start in the combined text.
    pub(crate) fn file(&mut self, name: &str, text: &str) -> usize {
        self.sources.add(name.into(), text.into(), None)
    }

    /// Adds the file that holds an offset to the sources once more, for a use of a template. Returns the distance
    /// from offsets in the file to those in the copy.
    pub(crate) fn add_template_use(&mut self, offset: usize, used_at: usize) -> isize {
        let found = self
            .sources
            .find(offset)
            .map(|(s, _)| (s.name.clone(), s.text.clone()));
        let (name, text) = found.unwrap_or_default();
        let old = self.sources.segment_start(offset);
        self.sources.add(name, text, Some(used_at)) as isize - old as isize
    }

    /// Records that the value at one offset contains a parameter whose value stands at another.
    pub(crate) fn add_parameter_value(&mut self, at: usize, from: usize) {
        self.parameter_values.entry(at).or_default().push(from);
    }

    /// The positions in words at which the template parameters in a value were first given. Empty if the value
    /// has no parameters.
    pub fn given_at(&self, offset: usize) -> Vec<String> {
        let from = self
            .parameter_values
            .get(&offset)
            .map(Vec::as_slice)
            .unwrap_or_default();
        from.iter()
            .flat_map(|from| match self.given_at(*from) {
                first if first.is_empty() => vec![self.origin(*from)],
                first => first,
            })
            .collect()
    }

    /// Describes an offset as file, line and column, followed by the uses of templates that lead to it.
    pub fn origin(&self, offset: usize) -> String {
        let mut text = self.sources.describe(offset);
        let mut via = self.sources.find(offset).and_then(|(s, _)| s.via);
        while let Some(at) = via {
            text += &format!(", used at {}", self.sources.describe(at));
            via = self.sources.find(at).and_then(|(s, _)| s.via);
        }
        text
    }

    /// Ends the reading. Returns the result and the warnings if there was no error.
    ///
    /// # Errors
    /// The errors that were reported.
    pub fn close<T>(self, built: T) -> Result<(T, Vec<Problem>), Problems> {
        let Reader {
            name,
            sources,
            mut reported,
            ..
        } = self;
        reported.sort_by_key(|n| n.at.offset());
        let errors = reported.iter().any(|n| n.level == ProblemSeverity::Error);
        // Warnings are dropped if there are errors, since most of them are consequences: after a misspelt reference, the
        // definition is reported as unused.
        reported.retain(|n| !errors || n.level == ProblemSeverity::Error);
        let problems: Vec<_> = reported.into_iter().map(|n| locate(&sources, n)).collect();
        if errors {
            Err(Problems { name, problems })
        } else {
            Ok((built, problems))
        }
    }

    /// Records an error.
    pub fn report(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        help: Option<String>,
    ) {
        self.reported.push(Reported {
            code,
            level: ProblemSeverity::Error,
            message,
            at,
            help,
            see: Vec::new(),
        });
    }

    /// Records a warning.
    pub fn warn(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        help: Option<String>,
    ) {
        self.reported.push(Reported {
            code,
            level: ProblemSeverity::Warning,
            message,
            at,
            help,
            see: Vec::new(),
        });
    }

    /// Whether some text could not be read. A missing entry may stand in that text.
    pub(crate) fn has_unread_text(&self) -> bool {
        self.reported
            .iter()
            .any(|n| ["syntax", "file", "too-deep", "too-much"].contains(&n.code))
    }

    /// The number of errors so far.
    pub(crate) fn error_count(&self) -> usize {
        self.reported
            .iter()
            .filter(|n| n.level == ProblemSeverity::Error)
            .count()
    }

    /// The number of errors so far. A check of values that is only valid if all of them could be read compares this
    /// number before and after reading.
    pub fn reported(&self) -> usize {
        self.error_count()
    }

    /// Records an error for a duplicate; `first` is the offset of the first occurrence.
    pub fn twice(&mut self, message: String, at: SourceSpan, first: usize) {
        self.conflict("twice", message, at, "the first stands at", first);
    }

    /// Records an error for text that conflicts with the text at the offset `other`. `see` introduces that position.
    pub fn conflict(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        see: &str,
        other: usize,
    ) {
        let see = vec![format!("{see} {}", self.sources.describe(other))];
        self.reported.push(Reported {
            code,
            level: ProblemSeverity::Error,
            message,
            at,
            help: None,
            see,
        });
    }

    /// Records an error for a name that is not defined. `kind` says what the name should refer to; `names` are the
    /// names that are defined.
    pub fn unknown(&mut self, at: SourceSpan, kind: &str, name: &str, names: &[String]) {
        let known: Vec<_> = names.iter().map(String::as_str).collect();
        self.report(
            "unknown-name",
            format!("no {kind} is called \"{name}\""),
            at,
            meant(name, &known),
        );
    }

    /// Records an error for each property and child that is not among the known ones, for each property that occurs
    /// twice, and for each value without a name beyond the number `arguments`.
    pub fn only(&mut self, node: &KdlNode, arguments: usize, known: &[&str], children: &[&str]) {
        let entry_name = node.name().value();
        let mut seen: BTreeMap<&str, ()> = BTreeMap::new();
        let mut unnamed = 0;
        for e in node.entries() {
            unnamed += usize::from(e.name().is_none());
            match e.name() {
                Some(key) if !known.contains(&key.value()) => {
                    let help = meant(key.value(), known);
                    self.report(
                        "unknown-key",
                        format!("`{entry_name}` has no `{}`", key.value()),
                        e.span(),
                        help,
                    );
                }
                Some(key) if seen.insert(key.value(), ()).is_some() => {
                    self.report(
                        "twice",
                        format!("`{}` stands here twice", key.value()),
                        e.span(),
                        None,
                    );
                }
                None if unnamed > arguments => {
                    let message =
                        format!("`{entry_name}` takes {arguments} value(s) without a name");
                    self.report("too-many", message, e.span(), None);
                }
                _ => {}
            }
        }
        for child in node
            .iter_children()
            .filter(|c| !children.contains(&c.name().value()))
        {
            let (name, help) = (child.name().value(), meant(child.name().value(), children));
            self.report(
                "unknown-node",
                format!("`{name}` can't stand in `{entry_name}`"),
                child.span(),
                help,
            );
        }
    }
}

/// Looks up the file and line of a reported problem, and the uses of templates that lead to it.
fn locate(sources: &Sources, reported: Reported) -> Problem {
    let Reported {
        code,
        level,
        message,
        at,
        help,
        mut see,
    } = reported;
    let (file, line, column) = sources.position(at.offset()).unwrap_or(("", 1, 1));
    let (file, found) = (file.to_string(), sources.find(at.offset()));
    let mut via = found.and_then(|(s, _)| s.via);
    while let Some(place) = via {
        see.push(format!("used at {}", sources.describe(place)));
        via = sources.find(place).and_then(|(s, _)| s.via);
    }
    let (text, offset) = found.map_or_else(
        || (Arc::from(""), 0),
        |(s, offset)| (s.text.clone(), offset),
    );
    let length = at.len().min(text.len() - offset);
    let source = NamedSource::new(&file, text);
    Problem {
        code,
        severity: level,
        message,
        help,
        file,
        line,
        column,
        see,
        source,
        at: (offset, length).into(),
    }
}
