//! Expands ranges: `host "desk-{01..40}" address="10.4.1.{11..50}:7400"` stands for forty entries, and the ranges of
//! an entry count up together. In a list of values, such as a volume's hosts, a range stands for a list of values
//! instead. A text that consists of a range without leading zeros becomes numbers.

use crate::reader::Reader;
use kdl::{KdlEntry, KdlNode, KdlValue};

/// The maximum number of values of one range. A longer one is probably a typing error.
const MAX_RANGE_LENGTH: u64 = 20_000;

/// A range with the text around it.
struct Range<'a> {
    before: &'a str,
    after: &'a str,
    first: u64,
    count: u64,
    /// The number of digits to pad to with zeros; 0: no padding.
    width: usize,
}

/// Parses the range in a text, such as `{01..40}`. `Ok(None)`: the text has no range. The error says why a range is
/// invalid.
fn parse_range(text: &str) -> Result<Option<Range<'_>>, String> {
    let Some((before, rest)) = text.split_once('{') else {
        return Ok(None);
    };
    let Some((inside, after)) = rest
        .split_once('}')
        .filter(|(inside, _)| inside.contains(".."))
    else {
        return Ok(None);
    };
    let invalid = || format!("\"{{{inside}}}\" is no range");
    let (from, to) = inside.split_once("..").ok_or_else(invalid)?;
    let number = |s: &str| {
        s.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| s.parse::<u64>().ok())
            .flatten()
    };
    let (first, last) = (
        number(from).ok_or_else(invalid)?,
        number(to).ok_or_else(invalid)?,
    );
    if last < first {
        return Err(format!("the range {inside} counts down"));
    }
    let count = (last - first).saturating_add(1);
    if count > MAX_RANGE_LENGTH {
        return Err(format!(
            "the range {inside} stands for more than {MAX_RANGE_LENGTH}"
        ));
    }
    if after.contains('{') && after.contains("..") {
        return Err("two ranges in one text".into());
    }
    let padded = from.len() > 1 && from.starts_with('0');
    Ok(Some(Range {
        before,
        after,
        first,
        count,
        width: if padded { from.len() } else { 0 },
    }))
}

impl Range<'_> {
    /// The value at an index of the range, from 0.
    fn value(&self, index: u64) -> KdlValue {
        let number = self.first + index;
        if self.before.is_empty() && self.after.is_empty() && self.width == 0 {
            return KdlValue::Integer(i128::from(number));
        }
        KdlValue::String(format!(
            "{}{number:0width$}{}",
            self.before,
            self.after,
            width = self.width
        ))
    }
}

/// The range in the text of an argument; an invalid one is reported.
fn argument_range<'a>(argument: &'a KdlEntry, reader: &mut Reader) -> Option<Range<'a>> {
    let KdlValue::String(text) = argument.value() else {
        return None;
    };
    parse_range(text).unwrap_or_else(|why| {
        let help = Some("a range is two numbers that count up: \"h{01..40}\"".into());
        reader.report("range", why, argument.span(), help);
        None
    })
}

fn replace_value(argument: &mut KdlEntry, value: KdlValue) {
    argument.set_value(value);
    argument.clear_format();
}

/// Returns the entries that an entry stands for: only the entry itself if it has no range.
pub fn expand(node: &KdlNode, reader: &mut Reader) -> Vec<KdlNode> {
    let mut node = node.clone();
    // A `day` entry holds the script of a scenario, in which braces in texts are not ranges.
    if node.name().value() != "day" {
        expand_lists(&mut node, reader);
    }
    let mut count = 1;
    for argument in node.entries() {
        match argument_range(argument, reader).map(|range| range.count) {
            Some(length) if count > 1 && length != count => {
                let message = format!("a range of {length} in an entry with one of {count}");
                reader.report(
                    "range",
                    message,
                    argument.span(),
                    Some("ranges of an entry count up together".into()),
                );
                return Vec::new();
            }
            Some(length) => count = count.max(length),
            None => {}
        }
    }
    if !node
        .entries()
        .iter()
        .any(|argument| matches!(argument.value(), KdlValue::String(s) if matches!(parse_range(s), Ok(Some(_)))))
    {
        return vec![node];
    }
    let copy = |index| {
        let mut copy = node.clone();
        for (argument, from) in copy.entries_mut().iter_mut().zip(node.entries()) {
            if let KdlValue::String(text) = from.value()
                && let Ok(Some(range)) = parse_range(text)
            {
                replace_value(argument, range.value(index));
            }
        }
        copy
    };
    (0..count).map(copy).collect()
}

/// Replaces each range among the values of an entry's children by its values.
fn expand_lists(node: &mut KdlNode, reader: &mut Reader) {
    let Some(children) = node.children_mut() else {
        return;
    };
    for child in children.nodes_mut() {
        expand_lists(child, reader);
        if !child.entries().iter().any(|argument| {
            argument
                .value()
                .as_string()
                .is_some_and(|s| s.contains('{'))
        }) {
            continue;
        }
        let mut all = Vec::with_capacity(child.entries().len());
        for argument in child.entries() {
            match argument_range(argument, reader) {
                Some(range) if argument.name().is_none() => {
                    for index in 0..range.count {
                        let mut one = argument.clone();
                        replace_value(&mut one, range.value(index));
                        all.push(one);
                    }
                }
                Some(_) => {
                    let message =
                        "a range can't be a property of an entry within another".to_string();
                    reader.report("range", message, argument.span(), None);
                }
                None => all.push(argument.clone()),
            }
        }
        *child.entries_mut() = all;
    }
}
