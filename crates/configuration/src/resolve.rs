//! Resolves includes and templates. The result is one flat document without either.
//!
//! `include "zones.kdl" "plans/*.kdl"` includes files by their paths relative to the including file. Each file is
//! included once.
//! `template "small" plan="base" { volume "$name" plan="$plan"; }` defines entries with parameters, some with
//! defaults. `use "small" name="photos"` inserts them. A template may use templates that are defined before it is used.

use crate::ranges;
use crate::reader::Reader;
use crate::source_map::{Loader, MAX_TOTAL_BYTES, resolve_path, shift};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum depth of includes and of uses of templates. Deeper nesting is taken for an error.
const MAX_DEPTH: usize = 16;
/// The maximum number of entries after resolution. Templates that use other templates multiply entries.
const MAX_ENTRIES: usize = 1_000_000;

/// The parameters of a use of a template by name: the value and its offset.
type Parameters = BTreeMap<String, (KdlValue, usize)>;

struct Template {
    node: KdlNode,
    defaults: Parameters,
    used: bool,
}

struct Resolver<'a> {
    loader: &'a dyn Loader,
    reader: &'a mut Reader,
    /// The files from the first to the one being read, each included by the one before.
    chain: Vec<String>,
    /// The files that have been read.
    seen: BTreeSet<String>,
    /// The total length of the files read.
    bytes: usize,
    templates: BTreeMap<String, Template>,
    /// The resolved entries.
    entries: Vec<KdlNode>,
}

/// Reads a file and those that it includes, and resolves templates.
pub fn resolve(loader: &dyn Loader, name: &str, reader: &mut Reader) -> KdlDocument {
    let mut resolver = Resolver {
        loader,
        reader,
        chain: Vec::new(),
        seen: BTreeSet::new(),
        bytes: 0,
        templates: BTreeMap::new(),
        entries: Vec::new(),
    };
    resolver.file(name, None);
    for (name, t) in resolver.templates.iter().filter(|(_, t)| !t.used) {
        resolver.reader.warn(
            "unused",
            format!("template \"{name}\" is used nowhere"),
            t.node.name().span(),
            None,
        );
    }
    let mut document = KdlDocument::new();
    *document.nodes_mut() = resolver.entries;
    document
}

impl Resolver<'_> {
    /// Reads one file; `included_at` is the position of the include, `None` for the first file.
    fn file(&mut self, name: &str, included_at: Option<miette::SourceSpan>) {
        let at = included_at.unwrap_or((0, 0).into());
        let text = match self.loader.load(name) {
            Ok(text) => text,
            Err(error) => {
                // No entry includes the first file, so the problem is reported at the start of that file.
                if included_at.is_none() {
                    self.reader.file(name, "");
                }
                return self
                    .reader
                    .report("file", format!("{name}: {error}"), at, None);
            }
        };
        self.bytes += text.len();
        if self.bytes > MAX_TOTAL_BYTES {
            let message = format!("with {name}, the files have more than {MAX_TOTAL_BYTES} bytes");
            return self.reader.report("too-much", message, at, None);
        }
        self.seen.insert(name.into());
        self.chain.push(name.into());
        let document = self.reader.read_file(name, &text);
        for node in document.nodes() {
            match node.name().value() {
                "include" => self.include(name, node),
                "template" => self.template(node),
                "use" => {
                    for node in ranges::expand(node, self.reader) {
                        self.expand_use(&node, 0);
                    }
                }
                _ => self.add_entry(node.clone()),
            }
        }
        self.chain.pop();
    }

    /// Expands the ranges of an entry and adds the result to the document.
    fn add_entry(&mut self, node: KdlNode) {
        for node in ranges::expand(&node, self.reader) {
            if self.entries.len() == MAX_ENTRIES {
                let message = format!("more than {MAX_ENTRIES} entries");
                self.reader.report("too-much", message, node.span(), None);
            }
            if self.entries.len() <= MAX_ENTRIES {
                self.entries.push(node);
            }
        }
    }

    fn include(&mut self, from: &str, node: &KdlNode) {
        self.reader.only(node, usize::MAX, &[], &[]);
        if node.entries().is_empty() {
            self.reader.report(
                "missing",
                "`include` needs a file".into(),
                node.span(),
                None,
            );
        }
        for argument in node.entries() {
            let text = self.reader.text_of(argument);
            let Some(name) = resolve_path(from, &text) else {
                let help = Some(
                    "paths are relative to the including file and must stay below the folder of the first file"
                        .into(),
                );
                self.reader.report(
                    "outside",
                    format!("\"{text}\" leads out of the configuration"),
                    argument.span(),
                    help,
                );
                continue;
            };
            for name in self.files_named(name, &text, argument) {
                self.include_file(name, argument);
            }
        }
    }

    /// The files that a value of `include` names: one file, or those that a pattern matches.
    fn files_named(&mut self, name: String, text: &str, argument: &KdlEntry) -> Vec<String> {
        if !text.contains(['*', '?', '[']) {
            return vec![name];
        }
        let message = match self.loader.matching(&name) {
            Ok(names) if names.is_empty() => format!("no file matches \"{text}\""),
            Ok(mut names) => {
                // Files that are being read are left out: a match of the including file is not an include loop.
                names.retain(|name| !self.chain.contains(name));
                return names;
            }
            Err(why) => format!("\"{text}\": {why}"),
        };
        self.reader.report("file", message, argument.span(), None);
        Vec::new()
    }

    fn include_file(&mut self, name: String, argument: &KdlEntry) {
        if let Some(place) = self.chain.iter().position(|c| *c == name) {
            let mut cycle = self.chain[place..].to_vec();
            cycle.push(name);
            let message = format!("files include each other in a loop: {}", cycle.join(" -> "));
            self.reader.report("loop", message, argument.span(), None);
        } else if self.chain.len() >= MAX_DEPTH {
            let message = format!("files include each other more than {MAX_DEPTH} deep");
            self.reader
                .report("too-deep", message, argument.span(), None);
        } else if !self.seen.contains(&name) {
            self.file(&name, Some(argument.span()));
        }
    }

    /// Records the definition of a template.
    fn template(&mut self, node: &KdlNode) {
        let name = self.reader.text(node, 0, "a name");
        let mut defaults = BTreeMap::new();
        for argument in node.entries() {
            if let Some(key) = argument.name() {
                defaults.insert(
                    key.value().to_string(),
                    (argument.value().clone(), argument.span().offset()),
                );
            }
        }
        if let Some(first) = self.templates.get(&name) {
            let first = first.node.span().offset();
            return self
                .reader
                .twice(format!("a second template \"{name}\""), node.span(), first);
        }
        if node.children().is_none_or(|c| c.nodes().is_empty()) {
            self.reader.report(
                "missing",
                format!("template \"{name}\" holds nothing"),
                node.span(),
                None,
            );
        }
        let mut names = BTreeSet::new();
        parameters(node, &mut names);
        for argument in node.entries() {
            if let Some(key) = argument.name().filter(|key| !names.contains(key.value())) {
                let message = format!("nothing in the template is `${}`", key.value());
                self.reader.warn("unused", message, argument.span(), None);
            }
        }
        self.templates.insert(
            name,
            Template {
                node: node.clone(),
                defaults,
                used: false,
            },
        );
    }

    /// Adds a template's entries to the document. Each use gets its own segment of the sources, so that a message
    /// can point into the template and name the use.
    fn expand_use(&mut self, at: &KdlNode, depth: usize) {
        let name = self.reader.text(at, 0, "a template's name");
        let known: Vec<String> = self.templates.keys().cloned().collect();
        let Some(t) = self.templates.get_mut(&name) else {
            return self.reader.unknown(at.span(), "template", &name, &known);
        };
        t.used = true;
        if depth >= MAX_DEPTH {
            let message = format!("templates use each other more than {MAX_DEPTH} deep");
            return self.reader.report("too-deep", message, at.span(), None);
        }
        let mut values = t.defaults.clone();
        let node = t.node.clone();
        for argument in at.entries() {
            if let Some(key) = argument.name() {
                values.insert(
                    key.value().to_string(),
                    (argument.value().clone(), argument.span().offset()),
                );
            }
        }
        let by = self
            .reader
            .add_template_use(node.span().offset(), at.span().offset());
        let mut needed = BTreeSet::new();
        for child in node.iter_children() {
            let mut child = child.clone();
            shift(&mut child, by);
            self.substitute(&mut child, &values, &mut needed);
            match child.name().value() {
                "use" => {
                    for child in ranges::expand(&child, self.reader) {
                        self.expand_use(&child, depth + 1);
                    }
                }
                "template" | "include" => {
                    let message = format!("`{}` can't stand in a template", child.name().value());
                    self.reader
                        .report("unknown-node", message, child.name().span(), None);
                }
                _ => self.add_entry(child),
            }
        }
        for argument in at.entries() {
            if let Some(key) = argument.name().filter(|k| !needed.contains(k.value())) {
                let known: Vec<String> = needed.iter().cloned().collect();
                self.reader.unknown(
                    argument.span(),
                    "parameter of this template",
                    key.value(),
                    &known,
                );
            }
        }
    }

    /// Replaces parameters in an entry and its children. A text that is only `$name` becomes the parameter's value of
    /// any kind; `$name` within a longer text is replaced by the value's text. `needed` collects the names.
    fn substitute(
        &mut self,
        node: &mut KdlNode,
        values: &Parameters,
        needed: &mut BTreeSet<String>,
    ) {
        for argument in node.entries_mut() {
            let KdlValue::String(text) = argument.value() else {
                continue;
            };
            let (text, at) = (text.clone(), argument.span());
            if !text.contains('$') {
                continue;
            }
            let mut filled = String::new();
            let mut rest = text.as_str();
            let mut only_value = None;
            while let Some((before, after)) = rest.split_once('$') {
                filled += before;
                let end = after
                    .find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
                    .unwrap_or(after.len());
                let (name, tail) = after.split_at(end);
                needed.insert(name.to_string());
                match values.get(name) {
                    Some((v, from)) => {
                        self.reader.add_parameter_value(at.offset(), *from);
                        only_value = (before.is_empty() && tail.is_empty() && filled.is_empty())
                            .then(|| v.clone());
                        filled += &v.as_string().map_or_else(|| v.to_string(), str::to_string);
                    }
                    None => {
                        let known: Vec<String> = values.keys().cloned().collect();
                        self.reader.unknown(at, "parameter", name, &known);
                    }
                }
                rest = tail;
            }
            filled += rest;
            argument.set_value(only_value.unwrap_or(KdlValue::String(filled)));
            argument.clear_format();
        }
        if let Some(children) = node.children_mut() {
            for child in children.nodes_mut() {
                self.substitute(child, values, needed);
            }
        }
    }
}

/// Collects the names of the parameters in a template's entries.
fn parameters(node: &KdlNode, names: &mut BTreeSet<String>) {
    for child in node.iter_children() {
        for text in child
            .entries()
            .iter()
            .filter_map(|argument| argument.value().as_string())
        {
            for after in text.split('$').skip(1) {
                let end = after
                    .find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
                    .unwrap_or(after.len());
                names.insert(after[..end].to_string());
            }
        }
        parameters(child, names);
    }
}

impl Reader {
    /// Reads a file and those that it includes. Problems are kept in the reader.
    pub fn open(loader: &dyn Loader, name: &str) -> (KdlDocument, Reader) {
        let mut reader = Reader::new(name);
        let document = resolve(loader, name, &mut reader);
        // If a file changed after it was read, the files read later may not match it.
        for name in loader.changed() {
            let at = reader.sources.file_start(&name);
            let message =
                format!("{name} changed while the configuration was read: check it again");
            reader.report("file", message, (at, 0).into(), None);
        }
        (document, reader)
    }
}
