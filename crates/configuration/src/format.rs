//! The one way to write a document: indents, spaces and quotes are made alike, comments and order stay.

use crate::source_map::{MAX_NESTING, nesting_exceeded_at};
use kdl::{FormatConfig, KdlDocument};

/// # Errors
/// It is no KDL, so that nothing is touched; or, which would be a fault here, formatting changed its meaning.
pub fn format(text: &str) -> Result<String, String> {
    let out = once(text)?;
    // A comment behind a closing brace stays the first time and is lost the second.
    match once(&out) {
        Ok(again) if again == out => Ok(out),
        Ok(_) => Err("formatting does not come to rest; nothing was changed".into()),
        Err(why) => Err(format!("once formatted, {why}")),
    }
}

fn once(text: &str) -> Result<String, String> {
    let parse = |text: &str| {
        KdlDocument::parse_v2(text).map_err(|e| {
            let first = e.diagnostics.first();
            let message = first
                .and_then(|d| d.message.clone())
                .unwrap_or_else(|| "this is not KDL".into());
            let before = first
                .and_then(|d| text.get(..d.span.offset()))
                .unwrap_or_default();
            let line = before.matches('\n').count() + 1;
            let column = before
                .rsplit('\n')
                .next()
                .unwrap_or_default()
                .chars()
                .count()
                + 1;
            format!("line {line}, column {column}: {message}")
        })
    };
    // Line ends of other systems are one line end here.
    let text = text.replace("\r\n", "\n");
    if nesting_exceeded_at(&text).is_some() {
        return Err(format!("more than {MAX_NESTING} entries within each other"));
    }
    let before = parse(&text)?;
    let mut document = before.clone();
    let config = FormatConfig::builder().indent("    ").build();
    let mut ends = Vec::new();
    line_comments(&document, &mut ends);
    document.autoformat_config(&config);
    put_back(&mut document, &mut ends.into_iter());
    let mut out = document.to_string();
    if !out.is_empty() && !out.ends_with('\n') {
        out.push('\n');
    }
    // What the library drops besides: comments between values and before a block.
    let kept = comments(&out);
    if let Some(lost) = comments(&text).iter().find(|c| !kept.contains(c)) {
        let line = text
            .find(lost)
            .map_or(1, |at| text[..at].matches('\n').count() + 1);
        return Err(format!(
            "line {line}: \"{lost}\" would be lost; give it a line of its own"
        ));
    }
    let plain = |d: &KdlDocument| {
        let mut d = d.clone();
        d.clear_format_recursive();
        d.to_string()
    };
    let after = parse(&out)?;
    if plain(&before) != plain(&after) {
        return Err("formatting would change its meaning; nothing was changed".into());
    }
    Ok(out)
}

/// The comment that ends each entry's line, entry by entry: the library takes it for a line end and drops it.
fn line_comments(document: &KdlDocument, out: &mut Vec<Option<String>>) {
    for n in document.nodes() {
        let end = n.format().map(|f| f.terminator.trim().to_string());
        out.push(end.filter(|end| end.starts_with("//")));
        if let Some(children) = n.children() {
            line_comments(children, out);
        }
    }
}

fn put_back(document: &mut KdlDocument, ends: &mut impl Iterator<Item = Option<String>>) {
    for n in document.nodes_mut() {
        if let (Some(Some(end)), Some(f)) = (ends.next(), n.format_mut()) {
            f.terminator = format!(" {end}\n");
        }
        if let Some(children) = n.children_mut() {
            put_back(children, ends);
        }
    }
}

/// The comments of a text. What looks like one in a raw string is taken for one, before and after alike.
fn comments(text: &str) -> Vec<&str> {
    let (mut all, mut rest, mut quoted) = (Vec::new(), text, false);
    while let Some(at) = rest.find(['"', '\\', '/']) {
        let (found, after) = (rest.as_bytes()[at], &rest[at + 1..]);
        match found {
            b'\\' if quoted => {
                rest = after
                    .get(after.chars().next().map_or(0, char::len_utf8)..)
                    .unwrap_or_default();
                continue;
            }
            b'"' => quoted = !quoted,
            b'/' if !quoted && after.starts_with('/') => {
                let end = rest[at..].find('\n').map_or(rest.len(), |n| at + n);
                all.push(rest[at..end].trim_end());
                rest = &rest[end..];
                continue;
            }
            b'/' if !quoted && after.starts_with('*') => {
                let end = rest[at..].find("*/").map_or(rest.len(), |n| at + n + 2);
                all.push(&rest[at..end]);
                rest = &rest[end..];
                continue;
            }
            _ => {}
        }
        rest = after;
    }
    all
}
