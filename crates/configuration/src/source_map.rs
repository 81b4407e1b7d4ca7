//! Loads the files of a configuration and combines them into one text, like the source map of a compiler. Each file and
//! each use of a template has a segment of that text, so that one offset identifies a position in any of them. Spans of
//! parsed entries are shifted to the segment once, and later stages need not know about files.

use kdl::KdlNode;
use miette::SourceSpan;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

/// The maximum number of bytes of one file.
pub const MAX_FILE_BYTES: usize = 8 << 20;
/// The maximum number of bytes of all files of a document together.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;

/// Why a file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The file does not exist.
    #[error("no such file")]
    Missing,
    /// The file lies outside the root folder, which is named here.
    #[error("the file lies outside {0}")]
    Outside(String),
    /// The file has this many bytes, more than [`MAX_FILE_BYTES`].
    #[error("the file holds {0} bytes, at most {MAX_FILE_BYTES} are accepted")]
    TooLarge(u64),
    /// The file is not UTF-8 at this byte.
    #[error("the file is not UTF-8 at byte {0}")]
    NotText(usize),
    /// The path leads to a folder or a device.
    #[error("not a regular file")]
    NoFile,
    /// The file changed while it was read.
    #[error("the file changed while it was read")]
    Changed,
    /// Any other error of the operating system.
    #[error("{0}")]
    Other(String),
}

/// Access to the files of a configuration. Names are paths relative to the root folder, with `/`.
pub trait Loader {
    /// Reads a file.
    ///
    /// # Errors
    /// The reason why the file can't be read.
    fn load(&self, name: &str) -> Result<String, LoadError>;
    /// The files that match a pattern with `*`, `?` or `[...]`, in order of their names.
    ///
    /// # Errors
    /// The pattern is invalid.
    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError>;
    /// The files that have changed since they were read.
    fn changed(&self) -> Vec<String> {
        Vec::new()
    }
}

/// The length of a file and the time of its last change, to detect changes.
type Stamp = (u64, Option<SystemTime>);

/// Files on disk below a root folder. Symbolic links that lead out of it are rejected.
pub struct Files {
    root: PathBuf,
    /// The state of each file when it was read.
    stamps: RefCell<BTreeMap<String, Stamp>>,
}

impl Files {
    /// Gives access to the files below `root`.
    ///
    /// # Errors
    /// The root folder can't be found.
    pub fn new(root: &Path) -> Result<Files, LoadError> {
        let root = root
            .canonicalize()
            .map_err(|e| LoadError::Other(e.to_string()))?;
        Ok(Files {
            root,
            stamps: RefCell::default(),
        })
    }

    /// The path of a file on disk, with links resolved. It is an error if the path leads out of the root.
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
        // Reading a pipe or a device may never end.
        if !path.metadata().map_err(other)?.is_file() {
            return Err(LoadError::NoFile);
        }
        let before = stamp()?;
        if before.0 > MAX_FILE_BYTES as u64 {
            return Err(LoadError::TooLarge(before.0));
        }
        let bytes = std::fs::read(&path).map_err(other)?;
        if stamp()? != before || bytes.len() as u64 != before.0 {
            return Err(LoadError::Changed);
        }
        self.stamps.borrow_mut().insert(name.into(), before);
        String::from_utf8(bytes).map_err(|e| LoadError::NotText(e.utf8_error().valid_up_to()))
    }

    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError> {
        let pattern = self.root.join(pattern);
        let found =
            glob::glob(&pattern.to_string_lossy()).map_err(|e| LoadError::Other(e.to_string()))?;
        let names = found.flatten().filter(|p| p.is_file()).filter_map(|p| {
            let name = p.strip_prefix(&self.root).ok()?;
            Some(name.to_string_lossy().into_owned())
        });
        Ok(names.collect())
    }

    fn changed(&self) -> Vec<String> {
        let current = |name: &str| -> Option<Stamp> {
            let m = self.inside(name).ok()?.metadata().ok()?;
            Some((m.len(), m.modified().ok()))
        };
        let stamps = self.stamps.borrow();
        stamps
            .iter()
            .filter(|(name, stamp)| current(name).as_ref() != Some(*stamp))
            .map(|h| h.0.clone())
            .collect()
    }
}

/// Files in memory: the text of each file by its name.
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

/// Resolves a path that stands in the file `from` to a path from the root; `None` if it leads out of the root.
pub fn resolve_path(from: &str, name: &str) -> Option<String> {
    let mut components: Vec<String> = Vec::new();
    let folder = Path::new(from).parent().unwrap_or(Path::new(""));
    for c in folder.join(name).components() {
        match c {
            Component::Normal(name) => components.push(name.to_string_lossy().into_owned()),
            Component::CurDir => {}
            Component::ParentDir => _ = components.pop()?,
            Component::RootDir | Component::Prefix(_) => return None,
        }
    }
    Some(components.join("/"))
}

/// The segment of one file, or of one use of a template in it, in the combined text.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The name of the file.
    pub name: Arc<str>,
    /// The text of the whole file.
    pub text: Arc<str>,
    /// The offset of the segment in the combined text.
    start: usize,
    /// The offset of the use of the template; `None` if the segment is a file.
    pub via: Option<usize>,
}

/// The segments of a document. An offset is a byte position in their combined text.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    segments: Vec<Segment>,
}

impl Sources {
    /// Adds a segment and returns its start, to which offsets within the text are added.
    pub fn add(&mut self, name: Arc<str>, text: Arc<str>, via: Option<usize>) -> usize {
        let start = self
            .segments
            .last()
            .map_or(0, |s| s.start + s.text.len() + 1);
        self.segments.push(Segment {
            name,
            text,
            start,
            via,
        });
        start
    }

    /// The segment that holds an offset, and the offset within its text.
    pub fn find(&self, offset: usize) -> Option<(&Segment, usize)> {
        let after = self.segments.partition_point(|s| s.start <= offset);
        let segment = self.segments.get(after.checked_sub(1)?)?;
        Some((segment, (offset - segment.start).min(segment.text.len())))
    }

    /// The file, line and column of an offset. Lines and columns count from 1.
    pub fn position(&self, offset: usize) -> Option<(&str, usize, usize)> {
        let (segment, at) = self.find(offset)?;
        let before = segment.text.get(..at)?;
        let line = before.rsplit('\n').next().unwrap_or_default();
        Some((
            &segment.name,
            before.matches('\n').count() + 1,
            line.chars().count() + 1,
        ))
    }

    /// Describes an offset as `file:line:column`.
    pub fn describe(&self, offset: usize) -> String {
        self.position(offset)
            .map_or_else(String::new, |(file, line, column)| {
                format!("{file}:{line}:{column}")
            })
    }

    /// The start of the first segment of a file; 0 if there is none.
    pub fn file_start(&self, name: &str) -> usize {
        self.segments
            .iter()
            .find(|s| &*s.name == name)
            .map_or(0, |s| s.start)
    }

    /// The start of the segment that holds an offset.
    pub fn segment_start(&self, offset: usize) -> usize {
        self.find(offset).map_or(0, |(s, _)| s.start)
    }
}

/// The maximum depth of nested entries and of nested comments. The parser is recursive, and deeper nesting could
/// overflow the stack.
pub const MAX_NESTING: usize = 64;

/// The byte at which a text exceeds [`MAX_NESTING`]; `None` if it does not. Braces in quotes and after `//` are ignored.
pub fn nesting_exceeded_at(text: &str) -> Option<usize> {
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
        if depth > MAX_NESTING || comments > MAX_NESTING {
            return Some(at);
        }
        at += 1;
    }
    None
}

/// Shifts all spans in a node and its children.
pub fn shift(node: &mut KdlNode, by: isize) {
    let shifted =
        |s: SourceSpan| -> SourceSpan { (s.offset().saturating_add_signed(by), s.len()).into() };
    let span = shifted(node.span());
    node.set_span(span);
    let span = shifted(node.name().span());
    node.name_mut().set_span(span);
    for e in node.entries_mut() {
        let span = shifted(e.span());
        e.set_span(span);
    }
    if let Some(children) = node.children_mut() {
        children.nodes_mut().iter_mut().for_each(|n| shift(n, by));
    }
}
