//! Formats documents: indentation, spaces and quotes become uniform, comments and the order of entries stay.

use crate::source_map::{MAX_NESTING, nesting_exceeded_at};
use kdl::{FormatConfig, KdlDocument};

/// Formats the text of a document.
///
/// # Errors
/// The text is not KDL; or the formatted text would lose a comment, have another meaning or change when formatted again.
pub fn format(text: &str) -> Result<String, String> {
    let out = format_once(text)?;
    // The library keeps a comment behind a closing brace the first time and drops it the second.
    match format_once(&out) {
        Ok(again) if again == out => Ok(out),
        Ok(_) => Err("formatting the result again would change it; nothing was changed".into()),
        Err(why) => Err(format!(
            "the formatted text can't be formatted again: {why}"
        )),
    }
}

fn format_once(text: &str) -> Result<String, String> {
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
    // CR LF counts as a single line end.
    let text = text.replace("\r\n", "\n");
    if nesting_exceeded_at(&text).is_some() {
        return Err(format!(
            "entries or comments are nested more than {MAX_NESTING} deep"
        ));
    }
    let before = parse(&text)?;
    let mut document = before.clone();
    let config = FormatConfig::builder().indent("    ").build();
    let mut line_ends = Vec::new();
    line_comments(&document, &mut line_ends);
    document.autoformat_config(&config);
    restore_line_comments(&mut document, &mut line_ends.into_iter());
    let mut out = document.to_string();
    if !out.is_empty() && !out.ends_with('\n') {
        out.push('\n');
    }
    // The library also drops comments between values and before a block, which are not restored.
    let kept = comments(&out);
    if let Some(lost) = comments(&text).iter().find(|c| !kept.contains(c)) {
        let line = text
            .find(lost)
            .map_or(1, |at| text[..at].matches('\n').count() + 1);
        return Err(format!(
            "line {line}: \"{lost}\" would be lost; put it on a separate line"
        ));
    }
    let without_format = |d: &KdlDocument| {
        let mut d = d.clone();
        d.clear_format_recursive();
        d.to_string()
    };
    let after = parse(&out)?;
    if without_format(&before) != without_format(&after) {
        return Err("formatting would change the meaning; nothing was changed".into());
    }
    Ok(out)
}

/// Collects for each entry the comment at the end of its line. The library treats it as part of the line end and drops
/// it.
fn line_comments(document: &KdlDocument, out: &mut Vec<Option<String>>) {
    for n in document.nodes() {
        let end = n.format().map(|f| f.terminator.trim().to_string());
        out.push(end.filter(|end| end.starts_with("//")));
        if let Some(children) = n.children() {
            line_comments(children, out);
        }
    }
}

/// Restores the comments at the ends of lines, given in the order of [`line_comments`].
fn restore_line_comments(
    document: &mut KdlDocument,
    ends: &mut impl Iterator<Item = Option<String>>,
) {
    for n in document.nodes_mut() {
        if let (Some(Some(end)), Some(f)) = (ends.next(), n.format_mut()) {
            f.terminator = format!(" {end}\n");
        }
        if let Some(children) = n.children_mut() {
            restore_line_comments(children, ends);
        }
    }
}

/// The comments of a text. Text in a raw string that looks like a comment counts as one. Since this is so before and
/// after formatting, the comparison is still valid.
fn comments(text: &str) -> Vec<&str> {
    let (mut comments, mut rest, mut quoted) = (Vec::new(), text, false);
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
                comments.push(rest[at..end].trim_end());
                rest = &rest[end..];
                continue;
            }
            b'/' if !quoted && after.starts_with('*') => {
                let end = rest[at..].find("*/").map_or(rest.len(), |n| at + n + 2);
                comments.push(&rest[at..end]);
                rest = &rest[end..];
                continue;
            }
            _ => {}
        }
        rest = after;
    }
    comments
}
