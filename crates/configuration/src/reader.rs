//! Reads entries of a KDL document and keeps count of what is wrong with them. A value that can't be read is
//! replaced by a harmless one, so that one mistake does not hide the next; [`Reader::close`] gives nothing
//! out if there was any.

use crate::resolve;
use crate::source_map::{Loader, NESTED, Sources, shift, too_nested};
use gullsail_scheduler_api::Span;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// An error keeps a document from being used; a warning does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weight {
    Error,
    Warning,
}

/// One thing that is wrong, where, and what was meant.
#[derive(Clone, Debug)]
pub struct Problem {
    pub code: &'static str,
    pub weight: Weight,
    pub message: String,
    pub help: Option<String>,
    /// File, line and column, from 1; and the same places in words where else to look.
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub see: Vec<String>,
    source: NamedSource<Arc<str>>,
    at: SourceSpan,
}

/// A problem as programs are told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiagnosticRecord {
    pub code: String,
    pub weight: Weight,
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub message: String,
    pub help: Option<String>,
    pub see: Vec<String>,
}

impl Problem {
    pub fn diagnostic(&self) -> DiagnosticRecord {
        DiagnosticRecord {
            code: self.code.into(),
            weight: self.weight,
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
        Some(if self.weight == Weight::Error { Severity::Error } else { Severity::Warning })
    }
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let all: Vec<_> = self.help.iter().chain(&self.see).map(String::as_str).collect();
        (!all.is_empty()).then(|| Box::new(all.join("; ")) as Box<dyn fmt::Display>)
    }
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(Some("here".into()), self.at))))
    }
}

/// All that is wrong with one document, in the order of its files and lines.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{} in {name}", count(.problems.len()))]
pub struct Problems {
    pub name: String,
    #[related]
    pub problems: Vec<Problem>,
}

fn count(problems: usize) -> String {
    if problems == 1 { "1 problem".into() } else { format!("{problems} problems") }
}

/// Names in their order, found by name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    list: Vec<String>,
    places: BTreeMap<String, usize>,
}

impl Names {
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
    document.nodes().iter().filter(move |n| n.name().value() == kind)
}

struct Reported {
    code: &'static str,
    weight: Weight,
    message: String,
    at: SourceSpan,
    help: Option<String>,
    see: Vec<String>,
}

#[derive(Default)]
pub struct Reader {
    name: String,
    sources: Sources,
    reported: Vec<Reported>,
    /// Of values that templates filled in: where what they are filled with stands.
    filled: BTreeMap<usize, Vec<usize>>,
}

impl Reader {
    /// Reads a file and all that it brings in. What is wrong with it is noted.
    pub fn open(loader: &dyn Loader, name: &str) -> (KdlDocument, Reader) {
        let mut reader = Reader { name: name.into(), ..Reader::default() };
        let document = resolve::resolve(loader, name, &mut reader);
        // Files that go together were changed together, and one half of that was read before.
        for name in loader.changed() {
            let at = reader.sources.of_file(&name);
            let message = format!("{name} changed while the configuration was read: check it again");
            reader.report("file", message, (at, 0).into(), None);
        }
        (document, reader)
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
                document.nodes_mut().iter_mut().for_each(|n| shift(n, start as isize));
                document
            }
            Err(e) => {
                for d in e.diagnostics {
                    let message = d.message.unwrap_or_else(|| "this is not KDL".into());
                    self.report("syntax", message, (d.span.offset() + start, d.span.len()).into(), d.help);
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
        let found = self.sources.find(place).map(|(s, _)| (s.name.clone(), s.text.clone()));
        let (name, text) = found.unwrap_or_default();
        let old = self.sources.start(place);
        self.sources.add(name, text, Some(used_at)) as isize - old as isize
    }

    pub(crate) fn comes_from(&mut self, at: usize, from: usize) {
        self.filled.entry(at).or_default().push(from);
    }

    /// Where the parameters that a value was filled with were given first; empty: it stands in its own place.
    pub fn given_at(&self, place: usize) -> Vec<String> {
        let from = self.filled.get(&place).map(Vec::as_slice).unwrap_or_default();
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
        let Reader { name, sources, mut reported, .. } = self;
        reported.sort_by_key(|n| n.at.offset());
        let errors = reported.iter().any(|n| n.weight == Weight::Error);
        // With errors about, a warning is mostly one's consequence: what is misspelt is used nowhere.
        reported.retain(|n| !errors || n.weight == Weight::Error);
        let problems: Vec<_> = reported.into_iter().map(|n| locate(&sources, n)).collect();
        if errors { Err(Problems { name, problems }) } else { Ok((built, problems)) }
    }

    pub fn report(&mut self, code: &'static str, message: String, at: SourceSpan, help: Option<String>) {
        self.reported.push(Reported { code, weight: Weight::Error, message, at, help, see: Vec::new() });
    }

    pub fn warn(&mut self, code: &'static str, message: String, at: SourceSpan, help: Option<String>) {
        self.reported.push(Reported { code, weight: Weight::Warning, message, at, help, see: Vec::new() });
    }

    /// A part of the text could not be had, so that what is missing may stand there.
    pub(crate) fn unread(&self) -> bool {
        self.reported.iter().any(|n| ["syntax", "file", "too-deep", "too-much"].contains(&n.code))
    }

    pub(crate) fn noted_errors(&self) -> usize {
        self.reported.iter().filter(|n| n.weight == Weight::Error).count()
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
    pub fn conflict(&mut self, code: &'static str, message: String, at: SourceSpan, see: &str, other: usize) {
        let see = vec![format!("{see} {}", self.sources.say(other))];
        self.reported.push(Reported { code, weight: Weight::Error, message, at, help: None, see });
    }

    /// A name that nothing bears.
    pub fn unknown(&mut self, at: SourceSpan, what: &str, name: &str, names: &[String]) {
        let known: Vec<_> = names.iter().map(String::as_str).collect();
        self.report("unknown-name", format!("no {what} is called \"{name}\""), at, meant(name, &known));
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
                    self.report("unknown-key", format!("`{what}` has no `{}`", key.value()), e.span(), help);
                }
                Some(key) if seen.insert(key.value(), ()).is_some() => {
                    self.report("twice", format!("`{}` stands here twice", key.value()), e.span(), None);
                }
                None if unnamed > arguments => {
                    let message = format!("`{what}` takes {arguments} value(s) without a name");
                    self.report("too-many", message, e.span(), None);
                }
                _ => {}
            }
        }
        for child in node.iter_children().filter(|c| !children.contains(&c.name().value())) {
            let (name, help) = (child.name().value(), meant(child.name().value(), children));
            self.report("unknown-node", format!("`{name}` can't stand in `{what}`"), child.span(), help);
        }
    }

    fn entry<'a>(&mut self, node: &'a KdlNode, key: &str, needed: bool) -> Option<&'a KdlEntry> {
        let found = node.entry(key);
        if found.is_none() && needed {
            let message = format!("`{}` needs `{key}`", node.name().value());
            self.report("missing", message, node.name().span(), None);
        }
        found
    }

    fn wrong<T: Default>(&mut self, e: &KdlEntry, wanted: &str, help: Option<String>) -> T {
        self.report("wrong-kind", format!("{} is not {wanted}", e.value()), e.span(), help);
        T::default()
    }

    /// The argument without a name at that place.
    pub fn text(&mut self, node: &KdlNode, place: usize, what: &str) -> String {
        match node.entries().iter().filter(|e| e.name().is_none()).nth(place) {
            Some(e) => self.text_of(e),
            None => {
                let message = format!("`{}` needs {what}", node.name().value());
                self.report("missing", message, node.name().span(), None);
                String::new()
            }
        }
    }

    pub(crate) fn text_of(&mut self, e: &KdlEntry) -> String {
        match e.value() {
            KdlValue::String(s) => s.clone(),
            _ => self.wrong(e, "a text", Some(format!("write it in quotes: \"{}\"", e.value()))),
        }
    }

    pub fn text_at(&mut self, node: &KdlNode, key: &str) -> Option<String> {
        let e = self.entry(node, key, false)?;
        Some(self.text_of(e))
    }

    pub fn flag(&mut self, node: &KdlNode, key: &str) -> bool {
        match self.entry(node, key, false) {
            None => false,
            Some(e) => match e.value() {
                KdlValue::Bool(b) => *b,
                _ => self.wrong(e, "#true or #false", None),
            },
        }
    }

    /// A number of at least `least`; `None` where it is not given.
    pub fn number_at(&mut self, node: &KdlNode, key: &str, least: f64) -> Option<f64> {
        let e = self.entry(node, key, false)?;
        let number = match e.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(x) => *x,
            _ => return Some(self.wrong(e, "a number", None)),
        };
        if !number.is_finite() || number < least {
            return Some(self.wrong(e, &format!("a number of at least {least}"), None));
        }
        Some(number)
    }

    pub fn number(&mut self, node: &KdlNode, key: &str, least: f64) -> f64 {
        _ = self.entry(node, key, true);
        self.number_at(node, key, least).unwrap_or_default()
    }

    pub fn whole(&mut self, node: &KdlNode, key: &str, least: u32, otherwise: u32) -> u32 {
        let Some(e) = self.entry(node, key, false) else { return otherwise };
        match e.value() {
            KdlValue::Integer(n) if *n >= i128::from(least) && *n <= i128::from(u32::MAX) => *n as u32,
            _ => self.wrong(e, &format!("a whole number of at least {least}"), None),
        }
    }

    /// The span that a text states, if it is one.
    pub fn as_span(text: &str) -> Option<Span> {
        span(text)
    }

    /// A span, such as `"150ms"`; `None` where it is not given.
    pub fn span_at(&mut self, node: &KdlNode, key: &str) -> Option<Span> {
        let e = self.entry(node, key, false)?;
        let help = || Some("a span is written with its unit in quotes: \"150ms\", \"1.5s\", \"2min\"".into());
        let KdlValue::String(s) = e.value() else { return Some(self.wrong(e, "a span", help())) };
        Some(span(s).unwrap_or_else(|| self.wrong(e, "a span", help())))
    }

    pub fn span(&mut self, node: &KdlNode, key: &str) -> Span {
        _ = self.entry(node, key, true);
        self.span_at(node, key).unwrap_or_default()
    }

    /// Bytes with their unit, such as `"256MiB"`.
    pub fn bytes(&mut self, node: &KdlNode, key: &str, otherwise: usize) -> usize {
        let Some(e) = self.entry(node, key, false) else { return otherwise };
        let help =
            || Some("bytes are written with their unit in quotes: \"4096B\", \"64KiB\", \"16MB\"".into());
        let KdlValue::String(s) = e.value() else { return self.wrong(e, "a number of bytes", help()) };
        let unit = s.trim_end().ends_with(|c: char| c.is_ascii_alphabetic());
        match s
            .parse::<bytesize::ByteSize>()
            .ok()
            .and_then(|b| usize::try_from(b.as_u64()).ok().filter(|bytes| *bytes < 1 << 60))
            .filter(|_| unit)
        {
            Some(bytes) if bytes > 0 => bytes,
            _ => self.wrong(e, "a number of bytes", help()),
        }
    }

    /// A rate in units a second: `"40units/s"`, or in bytes, such as `"16MiB/s"`, where it is known how many
    /// a unit stands for. `None` where it is not given.
    pub fn rate_at(&mut self, node: &KdlNode, key: &str, least: f64, unit: Option<f64>) -> Option<f64> {
        let e = self.entry(node, key, false)?;
        let help = || Some("a rate is written with its unit in quotes: \"40units/s\", \"16MiB/s\"".into());
        let KdlValue::String(s) = e.value() else { return Some(self.wrong(e, "a rate", help())) };
        let Some(amount) = s.trim_end().strip_suffix("/s") else {
            return Some(self.wrong(e, "a rate", help()));
        };
        let rate = if let Some(units) = amount.trim_end().strip_suffix("units") {
            units.trim().parse::<f64>().ok()
        } else if amount.ends_with(|c: char| c.is_ascii_alphabetic()) {
            let bytes = amount.parse::<bytesize::ByteSize>().ok().map(|b| b.as_u64() as f64);
            if let (Some(_), None) = (bytes, unit) {
                let help = Some("rules unit=\"64KiB\" says how many bytes a unit stands for".into());
                let message = format!("`{key}` is in bytes, and nothing says how many are a unit");
                self.report("no-unit", message, e.span(), help);
                return Some(0.0);
            }
            bytes.zip(unit).map(|(bytes, unit)| bytes / unit)
        } else {
            None
        };
        match rate.filter(|r| r.is_finite()) {
            Some(rate) if rate >= least => Some(rate),
            Some(_) => Some(self.wrong(e, &format!("a rate of at least {least}"), None)),
            None => Some(self.wrong(e, "a rate", help())),
        }
    }

    /// Bytes a second, such as `"20MiB/s"`; more than none.
    pub fn bytes_a_second(&mut self, node: &KdlNode, key: &str) -> f64 {
        let Some(e) = self.entry(node, key, true) else { return 0.0 };
        let help = || Some("bytes a second are written with their unit in quotes: \"20MiB/s\"".into());
        let KdlValue::String(s) = e.value() else { return self.wrong(e, "a rate in bytes", help()) };
        let amount = s.strip_suffix("/s").filter(|a| a.ends_with('B'));
        match amount.and_then(|a| a.parse::<bytesize::ByteSize>().ok()).map(|b| b.as_u64()) {
            Some(bytes) if bytes > 0 && bytes < 1 << 60 => bytes as f64,
            _ => self.wrong(e, "a rate in bytes", help()),
        }
    }

    /// A part of a whole: 0 to 1, or `"30%"`.
    pub fn part_at(&mut self, node: &KdlNode, key: &str) -> Option<f64> {
        let e = self.entry(node, key, false)?;
        let part = match e.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(x) => Some(*x),
            KdlValue::String(s) => {
                s.strip_suffix('%').and_then(|p| p.trim().parse().ok()).map(|p: f64| p / 100.0)
            }
            _ => None,
        };
        let help = Some("a part of the whole is written 0.3 or \"30%\"".into());
        Some(
            part.filter(|p| (0.0..=1.0).contains(p))
                .unwrap_or_else(|| self.wrong(e, "a part from 0 to 1", help)),
        )
    }

    pub fn part(&mut self, node: &KdlNode, key: &str) -> f64 {
        _ = self.entry(node, key, true);
        self.part_at(node, key).unwrap_or_default()
    }

    /// One of some words.
    pub fn keyword<T: Copy>(&mut self, node: &KdlNode, key: &str, keywords: &[(&str, T)]) -> Option<T> {
        let e = self.entry(node, key, true)?;
        let text = self.text_of(e);
        let found = keywords.iter().find(|w| w.0 == text).map(|w| w.1);
        if found.is_none() {
            let known: Vec<_> = keywords.iter().map(|w| w.0).collect();
            let help = meant(&text, &known).or_else(|| Some(format!("one of: {}", known.join(", "))));
            self.report("unknown-word", format!("`{key}` can't be \"{text}\""), e.span(), help);
        }
        found
    }

    /// The place of what a name refers to.
    pub fn refer(&mut self, e: &KdlEntry, what: &str, names: &Names) -> Option<usize> {
        let name = self.text_of(e);
        let found = names.position(&name);
        if found.is_none() {
            self.unknown(e.span(), what, &name, names.list());
        }
        found
    }

    pub fn refer_at(&mut self, node: &KdlNode, key: &str, what: &str, names: &Names) -> Option<usize> {
        let e = self.entry(node, key, true)?;
        self.refer(e, what, names)
    }
}

/// `"1.5s"`, `"150ms"` and whatever else `humantime` reads, with a fraction before one unit allowed.
fn span(s: &str) -> Option<Span> {
    let digits = s.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(s.len());
    let (number, unit) = s.split_at(digits);
    let micros = if number.contains('.') {
        let one = humantime::parse_duration(&format!("1{unit}")).ok()?;
        number.parse::<f64>().ok()? * one.as_secs_f64() * 1e6
    } else {
        humantime::parse_duration(s).ok()?.as_secs_f64() * 1e6
    };
    (micros < 1e15).then_some(Span::from_micros(micros.round() as i64))
}

/// The known word that is nearest to what stands there, if any is near.
pub fn meant(found: &str, known: &[&str]) -> Option<String> {
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(found, k), k)).min()?;
    (near.0 <= found.len().max(3) / 3).then(|| format!("did you mean `{}`?", near.1))
}

/// Finds the file and line of what was noted, and by which uses of templates it came there.
fn locate(sources: &Sources, n: Reported) -> Problem {
    let Reported { code, weight, message, at, help, mut see } = n;
    let (file, line, column) = sources.line(at.offset()).unwrap_or(("", 1, 1));
    let (file, found) = (file.to_string(), sources.find(at.offset()));
    let mut via = found.and_then(|(s, _)| s.via);
    while let Some(place) = via {
        see.push(format!("used at {}", sources.say(place)));
        via = sources.find(place).and_then(|(s, _)| s.via);
    }
    let (text, offset) = found.map_or_else(|| (Arc::from(""), 0), |(s, offset)| (s.text.clone(), offset));
    let length = at.len().min(text.len() - offset);
    let source = NamedSource::new(&file, text);
    Problem { code, weight, message, help, file, line, column, see, source, at: (offset, length).into() }
}
