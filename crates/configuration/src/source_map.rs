//! The files of a configuration as one run of text: each file, and each use of a template, has a stretch of
//! its own, so that one number names a place in any of them (as compilers keep their source maps). What is
//! read from a file is moved there once; whoever checks it later need not know of files.

use kdl::KdlNode;
use miette::SourceSpan;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// The most that one file, and all of a configuration, may hold.
pub const MOST_FILE: usize = 8 << 20;
/// The most bytes that all files of a document have together.
pub const MOST_ALL: usize = 64 << 20;

/// Why a file can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// It does not exist.
    #[error("no such file")]
    Missing,
    /// It lies outside the root.
    #[error("the file lies outside {0}")]
    Outside(String),
    /// It has too many bytes.
    #[error("the file holds {0} bytes, at most {MOST_FILE} are accepted")]
    TooLarge(u64),
    /// It is not UTF-8.
    #[error("the file is not UTF-8 at byte {0}")]
    NotText(usize),
    /// It is a folder or a device.
    #[error("not a regular file")]
    NoFile,
    /// It changed between two reads.
    #[error("the file changed while it was read")]
    Changed,
    /// Any other error of the system.
    #[error("{0}")]
    Other(String),
}

/// Where files come from. Names are paths from the root, with `/`.
pub trait Loader {
    /// # Errors
    /// Why it can't be had.
    fn load(&self, name: &str) -> Result<String, LoadError>;
    /// The files that a pattern with `*`, `?` or `[...]` stands for, in order of their names.
    ///
    /// # Errors
    /// The pattern is none, or can't be followed.
    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError>;
    /// Of the files that were had so far, those that are no longer as they were then.
    fn changed(&self) -> Vec<String> {
        Vec::new()
    }
}

/// What tells a file's states apart: its length, and when it was last written.
type Stamp = (u64, Option<SystemTime>);

/// Files below a root; nothing else can be reached, through links either.
pub struct Files {
    root: PathBuf,
    had: RefCell<BTreeMap<String, Stamp>>,
}

impl Files {
    /// # Errors
    /// The root can't be found.
    pub fn new(root: &Path) -> Result<Files, LoadError> {
        let root = root
            .canonicalize()
            .map_err(|e| LoadError::Other(e.to_string()))?;
        Ok(Files {
            root,
            had: RefCell::default(),
        })
    }

    fn inside(&self, name: &str) -> Result<PathBuf, LoadError> {
        let path = self
            .root
            .join(name)
            .canonicalize()
            .map_err(|e| match e.kind() {
                std::io::ErrorKind::NotFound => LoadError::Missing,
                _ => LoadError::Other(e.to_string()),
            })?;
        if path.starts_with(&self.root) {
            Ok(path)
        } else {
            Err(LoadError::Outside(self.root.display().to_string()))
        }
    }
}

impl Loader for Files {
    fn load(&self, name: &str) -> Result<String, LoadError> {
        let other = |e: std::io::Error| LoadError::Other(e.to_string());
        let path = self.inside(name)?;
        let stamp = || -> Result<Stamp, LoadError> {
            path.metadata()
                .map(|m| (m.len(), m.modified().ok()))
                .map_err(other)
        };
        // A pipe or a device may never end, or never begin.
        if !path.metadata().map_err(other)?.is_file() {
            return Err(LoadError::NoFile);
        }
        let before = stamp()?;
        if before.0 > MOST_FILE as u64 {
            return Err(LoadError::TooLarge(before.0));
        }
        let bytes = std::fs::read(&path).map_err(other)?;
        if stamp()? != before || bytes.len() as u64 != before.0 {
            return Err(LoadError::Changed);
        }
        self.had.borrow_mut().insert(name.into(), before);
        String::from_utf8(bytes).map_err(|e| LoadError::NotText(e.utf8_error().valid_up_to()))
    }

    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError> {
        let whole = self.root.join(pattern);
        let found =
            glob::glob(&whole.to_string_lossy()).map_err(|e| LoadError::Other(e.to_string()))?;
        let names = found.flatten().filter(|p| p.is_file()).filter_map(|p| {
            let name = p.strip_prefix(&self.root).ok()?;
            Some(name.to_string_lossy().into_owned())
        });
        Ok(names.collect())
    }

    fn changed(&self) -> Vec<String> {
        let is = |name: &str| -> Option<Stamp> {
            let m = self.inside(name).ok()?.metadata().ok()?;
            Some((m.len(), m.modified().ok()))
        };
        let had = self.had.borrow();
        had.iter()
            .filter(|(name, stamp)| is(name).as_ref() != Some(*stamp))
            .map(|h| h.0.clone())
            .collect()
    }
}

/// Files in memory.
#[derive(Default)]
pub struct Memory(pub BTreeMap<String, String>);

impl Loader for Memory {
    fn load(&self, name: &str) -> Result<String, LoadError> {
        self.0.get(name).cloned().ok_or(LoadError::Missing)
    }

    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError> {
        let pattern = glob::Pattern::new(pattern).map_err(|e| LoadError::Other(e.to_string()))?;
        let options = glob::MatchOptions {
            require_literal_separator: true,
            ..Default::default()
        };
        Ok(self
            .0
            .keys()
            .filter(|name| pattern.matches_with(name, options))
            .cloned()
            .collect())
    }
}

/// What `name`, written in the file `from`, means from the root; `None`: a way out of it.
pub fn beside(from: &str, name: &str) -> Option<String> {
    let mut parts: Vec<String> = Vec::new();
    let folder = Path::new(from).parent().unwrap_or(Path::new(""));
    for c in folder.join(name).components() {
        match c {
            Component::Normal(part) => parts.push(part.to_string_lossy().into_owned()),
            Component::CurDir => {}
            Component::ParentDir => _ = parts.pop()?,
            Component::RootDir | Component::Prefix(_) => return None,
        }
    }
    Some(parts.join("/"))
}

/// One file, or one use of a template of it.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The file.
    pub name: Arc<str>,
    /// Its text.
    pub text: Arc<str>,
    start: usize,
    /// Of a use of a template: the place where it is used.
    pub via: Option<usize>,
}

/// The texts that a document was read from, end to end, so that one number names a place in any of them.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    stretches: Vec<Segment>,
}

impl Sources {
    /// Gives a text its stretch; all places in it are past the number that comes back.
    pub fn add(&mut self, name: Arc<str>, text: Arc<str>, via: Option<usize>) -> usize {
        let start = self
            .stretches
            .last()
            .map_or(0, |s| s.start + s.text.len() + 1);
        self.stretches.push(Segment {
            name,
            text,
            start,
            via,
        });
        start
    }

    /// The stretch that holds a place, and the place in its text.
    pub fn find(&self, place: usize) -> Option<(&Segment, usize)> {
        let after = self.stretches.partition_point(|s| s.start <= place);
        let segment = self.stretches.get(after.checked_sub(1)?)?;
        Some((segment, (place - segment.start).min(segment.text.len())))
    }

    /// File, line and column, from 1.
    pub fn line(&self, place: usize) -> Option<(&str, usize, usize)> {
        let (segment, at) = self.find(place)?;
        let before = segment.text.get(..at)?;
        let line = before.rsplit('\n').next().unwrap_or_default();
        Some((
            &segment.name,
            before.matches('\n').count() + 1,
            line.chars().count() + 1,
        ))
    }

    /// `file:line:column`.
    pub fn say(&self, place: usize) -> String {
        self.line(place)
            .map_or_else(String::new, |(file, line, column)| {
                format!("{file}:{line}:{column}")
            })
    }

    /// Where a file begins.
    pub fn of_file(&self, name: &str) -> usize {
        self.stretches
            .iter()
            .find(|s| &*s.name == name)
            .map_or(0, |s| s.start)
    }

    /// The start of the stretch that holds a place.
    pub fn start(&self, place: usize) -> usize {
        self.find(place).map_or(0, |(s, _)| s.start)
    }
}

/// Entries within entries, or comments within comments: a parser that follows each by a call of its own would
/// run out of stack on a file of nothing but braces.
pub const NESTED: usize = 64;

/// Where a text nests deeper than that, if it does. Braces in quotes and after `//` count for nothing.
pub fn too_nested(text: &str) -> Option<usize> {
    let (mut depth, mut comments, mut quoted) = (0usize, 0usize, false);
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match (bytes[at], bytes.get(at + 1)) {
            (b'\\', _) if quoted => at += 1,
            (b'"', _) if comments == 0 => quoted = !quoted,
            _ if quoted => {}
            (b'/', Some(b'*')) => (comments, at) = (comments + 1, at + 1),
            (b'*', Some(b'/')) if comments > 0 => (comments, at) = (comments - 1, at + 1),
            _ if comments > 0 => {}
            (b'/', Some(b'/')) => {
                let line = text.get(at..).and_then(|rest| rest.find('\n'));
                at = line.map_or(bytes.len(), |line| at + line);
            }
            (b'{' | b'(', _) => depth += 1,
            (b'}' | b')', _) => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > NESTED || comments > NESTED {
            return Some(at);
        }
        at += 1;
    }
    None
}

/// Moves all places in a node.
pub fn shift(node: &mut KdlNode, by: isize) {
    let moved =
        |s: SourceSpan| -> SourceSpan { (s.offset().saturating_add_signed(by), s.len()).into() };
    let span = moved(node.span());
    node.set_span(span);
    let span = moved(node.name().span());
    node.name_mut().set_span(span);
    for e in node.entries_mut() {
        let span = moved(e.span());
        e.set_span(span);
    }
    if let Some(children) = node.children_mut() {
        children.nodes_mut().iter_mut().for_each(|n| shift(n, by));
    }
}
