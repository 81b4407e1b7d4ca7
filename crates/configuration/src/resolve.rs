//! Includes and templates: what a file brings in, and what is written once and used often. Out comes one flat
//! document; the stages after it know neither.
//!
//! `include "zones.kdl" "plans/*.kdl"` brings in files, relative to the one it stands in; each comes once.
//! `template "small" plan="base" { volume "$name" plan="$plan"; }` names entries with parameters, and
//! defaults for some; `use "small" name="photos"` puts them in place. A template may use others that stand
//! before it.

use crate::ranges;
use crate::reader::Reader;
use crate::source_map::{Loader, MOST_ALL, beside, shift};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::{BTreeMap, BTreeSet};

/// Files within files, and templates within templates: deeper is a mistake.
const DEPTH: usize = 16;
/// Entries after all is resolved: templates that use each other grow fast.
const MOST_ENTRIES: usize = 1_000_000;

/// Parameters: what each is, and where that stands.
type Values = BTreeMap<String, (KdlValue, usize)>;

struct Template {
    node: KdlNode,
    defaults: Values,
    used: bool,
}

struct Resolver<'a> {
    loader: &'a dyn Loader,
    reader: &'a mut Reader,
    /// From the first file to the one being read.
    chain: Vec<String>,
    seen: BTreeSet<String>,
    bytes: usize,
    templates: BTreeMap<String, Template>,
    out: Vec<KdlNode>,
}

/// Reads a file and all that it brings in.
pub fn resolve(loader: &dyn Loader, name: &str, reader: &mut Reader) -> KdlDocument {
    let mut resolver = Resolver {
        loader,
        reader,
        chain: Vec::new(),
        seen: BTreeSet::new(),
        bytes: 0,
        templates: BTreeMap::new(),
        out: Vec::new(),
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
    *document.nodes_mut() = resolver.out;
    document
}

impl Resolver<'_> {
    fn file(&mut self, name: &str, from: Option<miette::SourceSpan>) {
        let at = from.unwrap_or((0, 0).into());
        let text = match self.loader.load(name) {
            Ok(text) => text,
            Err(argument) => {
                // The first file has no place to point to but its own beginning.
                if from.is_none() {
                    self.reader.file(name, "");
                }
                return self
                    .reader
                    .report("file", format!("{name}: {argument}"), at, None);
            }
        };
        self.bytes += text.len();
        if self.bytes > MOST_ALL {
            let message = format!("with {name} there are more than {MOST_ALL} bytes");
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
                        self.put(&node, 0);
                    }
                }
                _ => self.keep(node.clone()),
            }
        }
        self.chain.pop();
    }

    fn keep(&mut self, node: KdlNode) {
        for node in ranges::expand(&node, self.reader) {
            if self.out.len() == MOST_ENTRIES {
                let message = format!("more than {MOST_ENTRIES} entries");
                self.reader.report("too-much", message, node.span(), None);
            }
            if self.out.len() <= MOST_ENTRIES {
                self.out.push(node);
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
            let Some(name) = beside(from, &text) else {
                let help = Some(
                    "files are named from the one that includes them, below the first one's folder"
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

    /// The files that an `include` stands for: one, or those that a pattern matches.
    fn files_named(&mut self, name: String, text: &str, argument: &KdlEntry) -> Vec<String> {
        if !text.contains(['*', '?', '[']) {
            return vec![name];
        }
        let message = match self.loader.matching(&name) {
            Ok(names) if names.is_empty() => format!("no file matches \"{text}\""),
            Ok(mut names) => {
                // A pattern that matches its own file does not mean it.
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
            let mut way = self.chain[place..].to_vec();
            way.push(name);
            let message = format!("files include each other in a loop: {}", way.join(" -> "));
            self.reader.report("loop", message, argument.span(), None);
        } else if self.chain.len() >= DEPTH {
            let message = format!("more than {DEPTH} files within each other");
            self.reader
                .report("too-deep", message, argument.span(), None);
        } else if !self.seen.contains(&name) {
            self.file(&name, Some(argument.span()));
        }
    }

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

    /// Puts a template's entries in place. Each use has a stretch of its own in the sources, so that a
    /// message points into the template and says where it was used.
    fn put(&mut self, at: &KdlNode, depth: usize) {
        let name = self.reader.text(at, 0, "a template's name");
        let known: Vec<String> = self.templates.keys().cloned().collect();
        let Some(t) = self.templates.get_mut(&name) else {
            return self.reader.unknown(at.span(), "template", &name, &known);
        };
        t.used = true;
        if depth >= DEPTH {
            let message = format!("templates use each other more than {DEPTH} deep");
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
        let by = self.reader.again(node.span().offset(), at.span().offset());
        let mut needed = BTreeSet::new();
        for child in node.iter_children() {
            let mut child = child.clone();
            shift(&mut child, by);
            self.fill(&mut child, &values, &mut needed);
            match child.name().value() {
                "use" => {
                    for child in ranges::expand(&child, self.reader) {
                        self.put(&child, depth + 1);
                    }
                }
                "template" | "include" => {
                    let message = format!("`{}` can't stand in a template", child.name().value());
                    self.reader
                        .report("unknown-node", message, child.name().span(), None);
                }
                _ => self.keep(child),
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

    /// A text that is `$name` becomes the value of that name; `$name` within a text, its text.
    fn fill(&mut self, node: &mut KdlNode, values: &Values, needed: &mut BTreeSet<String>) {
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
            let mut whole = None;
            while let Some((before, after)) = rest.split_once('$') {
                filled += before;
                let end = after
                    .find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
                    .unwrap_or(after.len());
                let (name, tail) = after.split_at(end);
                needed.insert(name.to_string());
                match values.get(name) {
                    Some((v, from)) => {
                        self.reader.comes_from(at.offset(), *from);
                        whole = (before.is_empty() && tail.is_empty() && filled.is_empty())
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
            argument.set_value(whole.unwrap_or(KdlValue::String(filled)));
            argument.clear_format();
        }
        if let Some(children) = node.children_mut() {
            for child in children.nodes_mut() {
                self.fill(child, values, needed);
            }
        }
    }
}

/// The parameters that a template's entries name.
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
    /// Reads a file and all that it brings in. What is wrong with it is noted.
    pub fn open(loader: &dyn Loader, name: &str) -> (KdlDocument, Reader) {
        let mut reader = Reader::new(name);
        let document = resolve(loader, name, &mut reader);
        // Files that go together were changed together, and one half of that was read before.
        for name in loader.changed() {
            let at = reader.sources.of_file(&name);
            let message =
                format!("{name} changed while the configuration was read: check it again");
            reader.report("file", message, (at, 0).into(), None);
        }
        (document, reader)
    }
}
