//! Reads entries of a KDL document and keeps count of what is wrong with them. A value that can't be read is
//! replaced by a harmless one, so that one mistake does not hide the next; [`Reader::close`] gives nothing
//! out if there was any.

use crate::problem::{Problem, ProblemSeverity, Problems, meant};
use crate::source_map::{NESTED, Sources, shift, too_nested};
use kdl::{KdlDocument, KdlNode};
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Names in their order, found by name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    list: Vec<String>,
    places: BTreeMap<String, usize>,
}

impl Names {
    /// All of them, in their order.
    pub fn list(&self) -> &[String] {
        &self.list
    }

    /// The place of the first of that name.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.places.get(name).copied()
    }
}

impl FromIterator<String> for Names {
    fn from_iter<T: IntoIterator<Item = String>>(names: T) -> Names {
        let list: Vec<String> = names.into_iter().collect();
        let mut places = BTreeMap::new();
        for (place, name) in list.iter().enumerate() {
            places.entry(name.clone()).or_insert(place);
        }
        Names { list, places }
    }
}

/// The entries of a kind, in their order.
pub(crate) fn entries<'a>(
    document: &'a KdlDocument,
    kind: &'static str,
) -> impl DoubleEndedIterator<Item = &'a KdlNode> {
    document
        .nodes()
        .iter()
        .filter(move |n| n.name().value() == kind)
}

struct Reported {
    code: &'static str,
    weight: ProblemSeverity,
    message: String,
    at: SourceSpan,
    help: Option<String>,
    see: Vec<String>,
}

/// Reads the entries of one document and keeps what is wrong with them.
#[derive(Default)]
pub struct Reader {
    pub(crate) name: String,
    pub(crate) sources: Sources,
    reported: Vec<Reported>,
    /// Of values that templates filled in: where what they are filled with stands.
    pub(crate) filled: BTreeMap<usize, Vec<usize>>,
}

impl Reader {
    pub(crate) fn new(name: &str) -> Reader {
        Reader {
            name: name.into(),
            ..Reader::default()
        }
    }

    /// Parses one file; its places are moved to its own stretch.
    pub(crate) fn read_file(&mut self, name: &str, text: &str) -> KdlDocument {
        let start = self.file(name, text);
        if let Some(place) = too_nested(text) {
            let message = format!("more than {NESTED} entries within each other");
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

    pub(crate) fn file(&mut self, name: &str, text: &str) -> usize {
        self.sources.add(name.into(), text.into(), None)
    }

    /// The text that holds a place once more, for a use of a template; by how much its places move.
    pub(crate) fn again(&mut self, place: usize, used_at: usize) -> isize {
        let found = self
            .sources
            .find(place)
            .map(|(s, _)| (s.name.clone(), s.text.clone()));
        let (name, text) = found.unwrap_or_default();
        let old = self.sources.start(place);
        self.sources.add(name, text, Some(used_at)) as isize - old as isize
    }

    pub(crate) fn comes_from(&mut self, at: usize, from: usize) {
        self.filled.entry(at).or_default().push(from);
    }

    /// Where the parameters that a value was filled with were given first; empty: it stands in its own place.
    pub fn given_at(&self, place: usize) -> Vec<String> {
        let from = self
            .filled
            .get(&place)
            .map(Vec::as_slice)
            .unwrap_or_default();
        from.iter()
            .flat_map(|from| match self.given_at(*from) {
                first if first.is_empty() => vec![self.origin(*from)],
                first => first,
            })
            .collect()
    }

    /// Where a place of the document comes from, with the uses of templates that brought it there.
    pub fn origin(&self, place: usize) -> String {
        let mut text = self.sources.say(place);
        let mut via = self.sources.find(place).and_then(|(s, _)| s.via);
        while let Some(at) = via {
            text += &format!(", used at {}", self.sources.say(at));
            via = self.sources.find(at).and_then(|(s, _)| s.via);
        }
        text
    }

    /// # Errors
    /// What was found; warnings alone are no error and come with what was built.
    pub fn close<T>(self, built: T) -> Result<(T, Vec<Problem>), Problems> {
        let Reader {
            name,
            sources,
            mut reported,
            ..
        } = self;
        reported.sort_by_key(|n| n.at.offset());
        let errors = reported.iter().any(|n| n.weight == ProblemSeverity::Error);
        // With errors about, a warning is mostly one's consequence: what is misspelt is used nowhere.
        reported.retain(|n| !errors || n.weight == ProblemSeverity::Error);
        let problems: Vec<_> = reported.into_iter().map(|n| locate(&sources, n)).collect();
        if errors {
            Err(Problems { name, problems })
        } else {
            Ok((built, problems))
        }
    }

    /// Records an error at a place.
    pub fn report(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        help: Option<String>,
    ) {
        self.reported.push(Reported {
            code,
            weight: ProblemSeverity::Error,
            message,
            at,
            help,
            see: Vec::new(),
        });
    }

    /// Records a warning at a place.
    pub fn warn(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        help: Option<String>,
    ) {
        self.reported.push(Reported {
            code,
            weight: ProblemSeverity::Warning,
            message,
            at,
            help,
            see: Vec::new(),
        });
    }

    /// A part of the text could not be had, so that what is missing may stand there.
    pub(crate) fn unread(&self) -> bool {
        self.reported
            .iter()
            .any(|n| ["syntax", "file", "too-deep", "too-much"].contains(&n.code))
    }

    pub(crate) fn noted_errors(&self) -> usize {
        self.reported
            .iter()
            .filter(|n| n.weight == ProblemSeverity::Error)
            .count()
    }

    /// How much is wrong so far: what depends on a value that can't be read is not judged by its stand-in.
    pub fn reported(&self) -> usize {
        self.noted_errors()
    }

    /// Something that stands twice, and where it stands first.
    pub fn twice(&mut self, message: String, at: SourceSpan, first: usize) {
        self.conflict("twice", message, at, "the first stands at", first);
    }

    /// Something that does not go with something else, and where that stands.
    pub fn conflict(
        &mut self,
        code: &'static str,
        message: String,
        at: SourceSpan,
        see: &str,
        other: usize,
    ) {
        let see = vec![format!("{see} {}", self.sources.say(other))];
        self.reported.push(Reported {
            code,
            weight: ProblemSeverity::Error,
            message,
            at,
            help: None,
            see,
        });
    }

    /// A name that nothing bears.
    pub fn unknown(&mut self, at: SourceSpan, what: &str, name: &str, names: &[String]) {
        let known: Vec<_> = names.iter().map(String::as_str).collect();
        self.report(
            "unknown-name",
            format!("no {what} is called \"{name}\""),
            at,
            meant(name, &known),
        );
    }

    /// Complains about properties, arguments and children that are not known; `arguments` is how many may
    /// stand there.
    pub fn only(&mut self, node: &KdlNode, arguments: usize, known: &[&str], children: &[&str]) {
        let what = node.name().value();
        let mut seen: BTreeMap<&str, ()> = BTreeMap::new();
        let mut unnamed = 0;
        for e in node.entries() {
            unnamed += usize::from(e.name().is_none());
            match e.name() {
                Some(key) if !known.contains(&key.value()) => {
                    let help = meant(key.value(), known);
                    self.report(
                        "unknown-key",
                        format!("`{what}` has no `{}`", key.value()),
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
                    let message = format!("`{what}` takes {arguments} value(s) without a name");
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
                format!("`{name}` can't stand in `{what}`"),
                child.span(),
                help,
            );
        }
    }
}

/// Finds the file and line of what was noted, and by which uses of templates it came there.
fn locate(sources: &Sources, n: Reported) -> Problem {
    let Reported {
        code,
        weight,
        message,
        at,
        help,
        mut see,
    } = n;
    let (file, line, column) = sources.line(at.offset()).unwrap_or(("", 1, 1));
    let (file, found) = (file.to_string(), sources.find(at.offset()));
    let mut via = found.and_then(|(s, _)| s.via);
    while let Some(place) = via {
        see.push(format!("used at {}", sources.say(place)));
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
        severity: weight,
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
