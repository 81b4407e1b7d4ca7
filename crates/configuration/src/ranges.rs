//! `host "desk-{01..40}" address="10.4.1.{11..50}:7400"` stands for forty entries: the ranges of an entry
//! count up together. In a list of values, such as a volume's hosts, a range stands for as many values
//! instead. A text that is nothing but a range of numbers without leading zeros gives numbers.

use crate::reader::Reader;
use kdl::{KdlEntry, KdlNode, KdlValue};

/// What one range may stand for: more is a slip of the finger.
const MOST: u64 = 20_000;

struct Range<'a> {
    before: &'a str,
    after: &'a str,
    first: u64,
    count: u64,
    width: usize,
}

/// `Ok(None)`: there is none.
fn range(text: &str) -> Result<Option<Range<'_>>, String> {
    let Some((before, rest)) = text.split_once('{') else {
        return Ok(None);
    };
    let Some((inside, after)) = rest
        .split_once('}')
        .filter(|(inside, _)| inside.contains(".."))
    else {
        return Ok(None);
    };
    let wrong = || format!("\"{{{inside}}}\" is no range");
    let (from, to) = inside.split_once("..").ok_or_else(wrong)?;
    let number = |s: &str| {
        s.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| s.parse::<u64>().ok())
            .flatten()
    };
    let (first, last) = (
        number(from).ok_or_else(wrong)?,
        number(to).ok_or_else(wrong)?,
    );
    if last < first {
        return Err(format!("the range {inside} counts down"));
    }
    let count = (last - first).saturating_add(1);
    if count > MOST {
        return Err(format!("the range {inside} stands for more than {MOST}"));
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
    fn value(&self, place: u64) -> KdlValue {
        let number = self.first + place;
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

fn found<'a>(argument: &'a KdlEntry, reader: &mut Reader) -> Option<Range<'a>> {
    let KdlValue::String(text) = argument.value() else {
        return None;
    };
    range(text).unwrap_or_else(|why| {
        let help = Some("a range is two numbers that count up: \"h{01..40}\"".into());
        reader.report("range", why, argument.span(), help);
        None
    })
}

fn set(argument: &mut KdlEntry, value: KdlValue) {
    argument.set_value(value);
    argument.clear_format();
}

/// The entries that one entry stands for: itself alone if it has no range.
pub fn expand(node: &KdlNode, reader: &mut Reader) -> Vec<KdlNode> {
    let mut node = node.clone();
    // A day is a script: its texts are not names in rows.
    if node.name().value() != "day" {
        lists(&mut node, reader);
    }
    let mut count = 1;
    for argument in node.entries() {
        match found(argument, reader).map(|range| range.count) {
            Some(other) if count > 1 && other != count => {
                let message = format!("a range of {other} in an entry with one of {count}");
                reader.report(
                    "range",
                    message,
                    argument.span(),
                    Some("ranges of an entry count up together".into()),
                );
                return Vec::new();
            }
            Some(other) => count = count.max(other),
            None => {}
        }
    }
    if !node
        .entries()
        .iter()
        .any(|argument| matches!(argument.value(), KdlValue::String(s) if matches!(range(s), Ok(Some(_)))))
    {
        return vec![node];
    }
    let copy = |place| {
        let mut copy = node.clone();
        for (argument, from) in copy.entries_mut().iter_mut().zip(node.entries()) {
            if let KdlValue::String(text) = from.value()
                && let Ok(Some(range)) = range(text)
            {
                set(argument, range.value(place));
            }
        }
        copy
    };
    (0..count).map(copy).collect()
}

/// In the values of entries within an entry, ranges become values in place.
fn lists(node: &mut KdlNode, reader: &mut Reader) {
    let Some(children) = node.children_mut() else {
        return;
    };
    for child in children.nodes_mut() {
        lists(child, reader);
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
            match found(argument, reader) {
                Some(range) if argument.name().is_none() => {
                    for place in 0..range.count {
                        let mut one = argument.clone();
                        set(&mut one, range.value(place));
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
