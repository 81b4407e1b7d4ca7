//! Reads the values of entries: texts, numbers, spans, bytes, rates, fractions and references to other entries. A value
//! that can't be read is reported, and a default is returned.

use crate::problem::meant;
use crate::reader::{Names, Reader};
use gullsail_scheduler_api::Span;
use kdl::{KdlEntry, KdlNode, KdlValue};

impl Reader {
    /// The property of that key; a missing one is reported if it is required.
    fn entry<'a>(&mut self, node: &'a KdlNode, key: &str, required: bool) -> Option<&'a KdlEntry> {
        let found = node.entry(key);
        if found.is_none() && required {
            let message = format!("`{}` needs `{key}`", node.name().value());
            self.report("missing", message, node.name().span(), None);
        }
        found
    }

    /// Reports a value of the wrong kind and returns the default.
    fn wrong_kind<T: Default>(
        &mut self,
        argument: &KdlEntry,
        wanted: &str,
        help: Option<String>,
    ) -> T {
        self.report(
            "wrong-kind",
            format!("{} is not {wanted}", argument.value()),
            argument.span(),
            help,
        );
        T::default()
    }

    /// Reads a required text without a key; `index` counts the values without a key from 0, and `content` says in
    /// messages what the text is.
    pub fn text(&mut self, node: &KdlNode, index: usize, content: &str) -> String {
        match node
            .entries()
            .iter()
            .filter(|argument| argument.name().is_none())
            .nth(index)
        {
            Some(argument) => self.text_of(argument),
            None => {
                let message = format!("`{}` needs {content}", node.name().value());
                self.report("missing", message, node.name().span(), None);
                String::new()
            }
        }
    }

    /// Reads the text of an argument.
    pub(crate) fn text_of(&mut self, argument: &KdlEntry) -> String {
        match argument.value() {
            KdlValue::String(s) => s.clone(),
            _ => self.wrong_kind(
                argument,
                "a text",
                Some(format!("write it in quotes: \"{}\"", argument.value())),
            ),
        }
    }

    /// Reads an optional text.
    pub fn text_at(&mut self, node: &KdlNode, key: &str) -> Option<String> {
        let argument = self.entry(node, key, false)?;
        Some(self.text_of(argument))
    }

    /// Reads an optional flag; `false` if it is not given.
    pub fn flag(&mut self, node: &KdlNode, key: &str) -> bool {
        match self.entry(node, key, false) {
            None => false,
            Some(argument) => match argument.value() {
                KdlValue::Bool(b) => *b,
                _ => self.wrong_kind(argument, "#true or #false", None),
            },
        }
    }

    /// Reads an optional number of at least `minimum`.
    pub fn number_at(&mut self, node: &KdlNode, key: &str, minimum: f64) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let number = match argument.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(x) => *x,
            _ => return Some(self.wrong_kind(argument, "a number", None)),
        };
        if !number.is_finite() || number < minimum {
            return Some(self.wrong_kind(
                argument,
                &format!("a number of at least {minimum}"),
                None,
            ));
        }
        Some(number)
    }

    /// Reads a required number of at least `minimum`.
    pub fn number(&mut self, node: &KdlNode, key: &str, minimum: f64) -> f64 {
        _ = self.entry(node, key, true);
        self.number_at(node, key, minimum).unwrap_or_default()
    }

    /// Reads an optional whole number of at least `minimum`.
    pub fn whole(&mut self, node: &KdlNode, key: &str, minimum: u32, default: u32) -> u32 {
        let Some(argument) = self.entry(node, key, false) else {
            return default;
        };
        match argument.value() {
            KdlValue::Integer(n) if *n >= i128::from(minimum) && *n <= i128::from(u32::MAX) => {
                *n as u32
            }
            _ => self.wrong_kind(
                argument,
                &format!("a whole number of at least {minimum}"),
                None,
            ),
        }
    }

    /// Parses a span, such as `"150ms"`; `None` if the text is none.
    pub fn as_span(text: &str) -> Option<Span> {
        span(text)
    }

    /// Reads an optional span, such as `"150ms"`.
    pub fn span_at(&mut self, node: &KdlNode, key: &str) -> Option<Span> {
        let argument = self.entry(node, key, false)?;
        let help = || {
            Some("a span is written with its unit in quotes: \"150ms\", \"1.5s\", \"2min\"".into())
        };
        let KdlValue::String(s) = argument.value() else {
            return Some(self.wrong_kind(argument, "a span", help()));
        };
        Some(span(s).unwrap_or_else(|| self.wrong_kind(argument, "a span", help())))
    }

    /// Reads a required span.
    pub fn span(&mut self, node: &KdlNode, key: &str) -> Span {
        _ = self.entry(node, key, true);
        self.span_at(node, key).unwrap_or_default()
    }

    /// Reads an optional number of bytes with its unit, such as `"256MiB"`.
    pub fn bytes(&mut self, node: &KdlNode, key: &str, default: usize) -> usize {
        let Some(argument) = self.entry(node, key, false) else {
            return default;
        };
        let help = || {
            Some(
                "bytes are written with their unit in quotes: \"4096B\", \"64KiB\", \"16MB\""
                    .into(),
            )
        };
        let KdlValue::String(s) = argument.value() else {
            return self.wrong_kind(argument, "a number of bytes", help());
        };
        let unit = s.trim_end().ends_with(|c: char| c.is_ascii_alphabetic());
        match s
            .parse::<bytesize::ByteSize>()
            .ok()
            .and_then(|b| {
                usize::try_from(b.as_u64())
                    .ok()
                    .filter(|bytes| *bytes < 1 << 60)
            })
            .filter(|_| unit)
        {
            Some(bytes) if bytes > 0 => bytes,
            _ => self.wrong_kind(argument, "a number of bytes", help()),
        }
    }

    /// Reads an optional rate and returns it in units a second. It is given in units, such as `"40units/s"`, or in
    /// bytes, such as `"16MiB/s"`; the latter only if `unit`, the number of bytes of a unit, is known.
    pub fn rate_at(
        &mut self,
        node: &KdlNode,
        key: &str,
        minimum: f64,
        unit: Option<f64>,
    ) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let help =
            || Some("a rate is written with its unit in quotes: \"40units/s\", \"16MiB/s\"".into());
        let KdlValue::String(s) = argument.value() else {
            return Some(self.wrong_kind(argument, "a rate", help()));
        };
        let Some(amount) = s.trim_end().strip_suffix("/s") else {
            return Some(self.wrong_kind(argument, "a rate", help()));
        };
        let rate = if let Some(units) = amount.trim_end().strip_suffix("units") {
            units.trim().parse::<f64>().ok()
        } else if amount.ends_with(|c: char| c.is_ascii_alphabetic()) {
            let bytes = amount
                .parse::<bytesize::ByteSize>()
                .ok()
                .map(|b| b.as_u64() as f64);
            if let (Some(_), None) = (bytes, unit) {
                let help =
                    Some("rules unit=\"64KiB\" says how many bytes a unit stands for".into());
                let message = format!(
                    "`{key}` is in bytes, and the document does not say how many are a unit"
                );
                self.report("no-unit", message, argument.span(), help);
                return Some(0.0);
            }
            bytes.zip(unit).map(|(bytes, unit)| bytes / unit)
        } else {
            None
        };
        match rate.filter(|rate| rate.is_finite()) {
            Some(rate) if rate >= minimum => Some(rate),
            Some(_) => {
                Some(self.wrong_kind(argument, &format!("a rate of at least {minimum}"), None))
            }
            None => Some(self.wrong_kind(argument, "a rate", help())),
        }
    }

    /// Reads a required positive rate in bytes a second, such as `"20MiB/s"`.
    pub fn bytes_per_second(&mut self, node: &KdlNode, key: &str) -> f64 {
        let Some(argument) = self.entry(node, key, true) else {
            return 0.0;
        };
        let help =
            || Some("bytes a second are written with their unit in quotes: \"20MiB/s\"".into());
        let KdlValue::String(s) = argument.value() else {
            return self.wrong_kind(argument, "a rate in bytes", help());
        };
        let amount = s.strip_suffix("/s").filter(|a| a.ends_with('B'));
        match amount
            .and_then(|a| a.parse::<bytesize::ByteSize>().ok())
            .map(|b| b.as_u64())
        {
            Some(bytes) if bytes > 0 && bytes < 1 << 60 => bytes as f64,
            _ => self.wrong_kind(argument, "a rate in bytes", help()),
        }
    }

    /// Reads an optional fraction: a number from 0 to 1, or a percentage such as `"30%"`.
    pub fn fraction_at(&mut self, node: &KdlNode, key: &str) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let fraction = match argument.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(x) => Some(*x),
            KdlValue::String(s) => s
                .strip_suffix('%')
                .and_then(|p| p.trim().parse().ok())
                .map(|p: f64| p / 100.0),
            _ => None,
        };
        let help = Some("a fraction is written 0.3 or \"30%\"".into());
        Some(
            fraction
                .filter(|p| (0.0..=1.0).contains(p))
                .unwrap_or_else(|| self.wrong_kind(argument, "a fraction from 0 to 1", help)),
        )
    }

    /// Reads a required fraction.
    pub fn fraction(&mut self, node: &KdlNode, key: &str) -> f64 {
        _ = self.entry(node, key, true);
        self.fraction_at(node, key).unwrap_or_default()
    }

    /// Reads a required keyword and returns its meaning.
    pub fn keyword<T: Copy>(
        &mut self,
        node: &KdlNode,
        key: &str,
        keywords: &[(&str, T)],
    ) -> Option<T> {
        let argument = self.entry(node, key, true)?;
        let text = self.text_of(argument);
        let found = keywords.iter().find(|w| w.0 == text).map(|w| w.1);
        if found.is_none() {
            let known: Vec<_> = keywords.iter().map(|w| w.0).collect();
            let help =
                meant(&text, &known).or_else(|| Some(format!("one of: {}", known.join(", "))));
            self.report(
                "unknown-word",
                format!("`{key}` can't be \"{text}\""),
                argument.span(),
                help,
            );
        }
        found
    }

    /// Returns the position among `names` of the entry that an argument refers to. `kind` names the kind of entry in
    /// messages.
    pub fn refer(&mut self, argument: &KdlEntry, kind: &str, names: &Names) -> Option<usize> {
        let name = self.text_of(argument);
        let found = names.position(&name);
        if found.is_none() {
            self.unknown(argument.span(), kind, &name, names.list());
        }
        found
    }

    /// Returns the position among `names` of the entry that a required property refers to.
    pub fn refer_at(
        &mut self,
        node: &KdlNode,
        key: &str,
        kind: &str,
        names: &Names,
    ) -> Option<usize> {
        let argument = self.entry(node, key, true)?;
        self.refer(argument, kind, names)
    }
}

/// Parses `"1.5s"`, `"150ms"` and the other forms of `humantime`, and allows a decimal fraction before a single unit.
fn span(s: &str) -> Option<Span> {
    let digits = s
        .find(|c: char| !(c.is_ascii_digit() || c == '.'))
        .unwrap_or(s.len());
    let (number, unit) = s.split_at(digits);
    let micros = if number.contains('.') {
        let one = humantime::parse_duration(&format!("1{unit}")).ok()?;
        number.parse::<f64>().ok()? * one.as_secs_f64() * 1e6
    } else {
        humantime::parse_duration(s).ok()?.as_secs_f64() * 1e6
    };
    (micros < 1e15).then_some(Span::from_micros(micros.round() as i64))
}
