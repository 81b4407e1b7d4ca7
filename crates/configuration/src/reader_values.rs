//! How values of entries are read: texts, numbers, spans, bytes, rates, parts, references to other entries.
//! What is wrong with one goes to the reader, and a harmless value comes back.

use crate::problem::meant;
use crate::reader::{Names, Reader};
use gullsail_scheduler_api::Span;
use kdl::{KdlEntry, KdlNode, KdlValue};

impl Reader {
    fn entry<'a>(&mut self, node: &'a KdlNode, key: &str, needed: bool) -> Option<&'a KdlEntry> {
        let found = node.entry(key);
        if found.is_none() && needed {
            let message = format!("`{}` needs `{key}`", node.name().value());
            self.report("missing", message, node.name().span(), None);
        }
        found
    }

    fn wrong<T: Default>(&mut self, argument: &KdlEntry, wanted: &str, help: Option<String>) -> T {
        self.report(
            "wrong-kind",
            format!("{} is not {wanted}", argument.value()),
            argument.span(),
            help,
        );
        T::default()
    }

    /// The argument without a name at that place.
    pub fn text(&mut self, node: &KdlNode, place: usize, what: &str) -> String {
        match node
            .entries()
            .iter()
            .filter(|argument| argument.name().is_none())
            .nth(place)
        {
            Some(argument) => self.text_of(argument),
            None => {
                let message = format!("`{}` needs {what}", node.name().value());
                self.report("missing", message, node.name().span(), None);
                String::new()
            }
        }
    }

    pub(crate) fn text_of(&mut self, argument: &KdlEntry) -> String {
        match argument.value() {
            KdlValue::String(s) => s.clone(),
            _ => self.wrong(
                argument,
                "a text",
                Some(format!("write it in quotes: \"{}\"", argument.value())),
            ),
        }
    }

    /// The text under a key, if there is one.
    pub fn text_at(&mut self, node: &KdlNode, key: &str) -> Option<String> {
        let argument = self.entry(node, key, false)?;
        Some(self.text_of(argument))
    }

    /// Whether a flag is set; not there: it is not.
    pub fn flag(&mut self, node: &KdlNode, key: &str) -> bool {
        match self.entry(node, key, false) {
            None => false,
            Some(argument) => match argument.value() {
                KdlValue::Bool(b) => *b,
                _ => self.wrong(argument, "#true or #false", None),
            },
        }
    }

    /// A number of at least `least`; `None` where it is not given.
    pub fn number_at(&mut self, node: &KdlNode, key: &str, least: f64) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let number = match argument.value() {
            KdlValue::Integer(n) => *n as f64,
            KdlValue::Float(x) => *x,
            _ => return Some(self.wrong(argument, "a number", None)),
        };
        if !number.is_finite() || number < least {
            return Some(self.wrong(argument, &format!("a number of at least {least}"), None));
        }
        Some(number)
    }

    /// The number under a key that has to be there.
    pub fn number(&mut self, node: &KdlNode, key: &str, least: f64) -> f64 {
        _ = self.entry(node, key, true);
        self.number_at(node, key, least).unwrap_or_default()
    }

    /// A whole number under a key, or what holds otherwise.
    pub fn whole(&mut self, node: &KdlNode, key: &str, least: u32, otherwise: u32) -> u32 {
        let Some(argument) = self.entry(node, key, false) else {
            return otherwise;
        };
        match argument.value() {
            KdlValue::Integer(n) if *n >= i128::from(least) && *n <= i128::from(u32::MAX) => {
                *n as u32
            }
            _ => self.wrong(
                argument,
                &format!("a whole number of at least {least}"),
                None,
            ),
        }
    }

    /// The span that a text states, if it is one.
    pub fn as_span(text: &str) -> Option<Span> {
        span(text)
    }

    /// A span, such as `"150ms"`; `None` where it is not given.
    pub fn span_at(&mut self, node: &KdlNode, key: &str) -> Option<Span> {
        let argument = self.entry(node, key, false)?;
        let help = || {
            Some("a span is written with its unit in quotes: \"150ms\", \"1.5s\", \"2min\"".into())
        };
        let KdlValue::String(s) = argument.value() else {
            return Some(self.wrong(argument, "a span", help()));
        };
        Some(span(s).unwrap_or_else(|| self.wrong(argument, "a span", help())))
    }

    /// The span under a key that has to be there.
    pub fn span(&mut self, node: &KdlNode, key: &str) -> Span {
        _ = self.entry(node, key, true);
        self.span_at(node, key).unwrap_or_default()
    }

    /// Bytes with their unit, such as `"256MiB"`.
    pub fn bytes(&mut self, node: &KdlNode, key: &str, otherwise: usize) -> usize {
        let Some(argument) = self.entry(node, key, false) else {
            return otherwise;
        };
        let help = || {
            Some(
                "bytes are written with their unit in quotes: \"4096B\", \"64KiB\", \"16MB\""
                    .into(),
            )
        };
        let KdlValue::String(s) = argument.value() else {
            return self.wrong(argument, "a number of bytes", help());
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
            _ => self.wrong(argument, "a number of bytes", help()),
        }
    }

    /// A rate in units a second: `"40units/s"`, or in bytes, such as `"16MiB/s"`, where it is known how many
    /// a unit stands for. `None` where it is not given.
    pub fn rate_at(
        &mut self,
        node: &KdlNode,
        key: &str,
        least: f64,
        unit: Option<f64>,
    ) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let help =
            || Some("a rate is written with its unit in quotes: \"40units/s\", \"16MiB/s\"".into());
        let KdlValue::String(s) = argument.value() else {
            return Some(self.wrong(argument, "a rate", help()));
        };
        let Some(amount) = s.trim_end().strip_suffix("/s") else {
            return Some(self.wrong(argument, "a rate", help()));
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
                let message = format!("`{key}` is in bytes, and nothing says how many are a unit");
                self.report("no-unit", message, argument.span(), help);
                return Some(0.0);
            }
            bytes.zip(unit).map(|(bytes, unit)| bytes / unit)
        } else {
            None
        };
        match rate.filter(|reader| reader.is_finite()) {
            Some(rate) if rate >= least => Some(rate),
            Some(_) => Some(self.wrong(argument, &format!("a rate of at least {least}"), None)),
            None => Some(self.wrong(argument, "a rate", help())),
        }
    }

    /// Bytes a second, such as `"20MiB/s"`; more than none.
    pub fn bytes_a_second(&mut self, node: &KdlNode, key: &str) -> f64 {
        let Some(argument) = self.entry(node, key, true) else {
            return 0.0;
        };
        let help =
            || Some("bytes a second are written with their unit in quotes: \"20MiB/s\"".into());
        let KdlValue::String(s) = argument.value() else {
            return self.wrong(argument, "a rate in bytes", help());
        };
        let amount = s.strip_suffix("/s").filter(|a| a.ends_with('B'));
        match amount
            .and_then(|a| a.parse::<bytesize::ByteSize>().ok())
            .map(|b| b.as_u64())
        {
            Some(bytes) if bytes > 0 && bytes < 1 << 60 => bytes as f64,
            _ => self.wrong(argument, "a rate in bytes", help()),
        }
    }

    /// A part of a whole: 0 to 1, or `"30%"`.
    pub fn part_at(&mut self, node: &KdlNode, key: &str) -> Option<f64> {
        let argument = self.entry(node, key, false)?;
        let part = match argument.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(x) => Some(*x),
            KdlValue::String(s) => s
                .strip_suffix('%')
                .and_then(|p| p.trim().parse().ok())
                .map(|p: f64| p / 100.0),
            _ => None,
        };
        let help = Some("a part of the whole is written 0.3 or \"30%\"".into());
        Some(
            part.filter(|p| (0.0..=1.0).contains(p))
                .unwrap_or_else(|| self.wrong(argument, "a part from 0 to 1", help)),
        )
    }

    /// The part of a whole under a key that has to be there.
    pub fn part(&mut self, node: &KdlNode, key: &str) -> f64 {
        _ = self.entry(node, key, true);
        self.part_at(node, key).unwrap_or_default()
    }

    /// One of some words.
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

    /// The place of what a name refers to.
    pub fn refer(&mut self, argument: &KdlEntry, what: &str, names: &Names) -> Option<usize> {
        let name = self.text_of(argument);
        let found = names.position(&name);
        if found.is_none() {
            self.unknown(argument.span(), what, &name, names.list());
        }
        found
    }

    /// The place of what the text under a key names.
    pub fn refer_at(
        &mut self,
        node: &KdlNode,
        key: &str,
        what: &str,
        names: &Names,
    ) -> Option<usize> {
        let argument = self.entry(node, key, true)?;
        self.refer(argument, what, names)
    }
}

/// `"1.5s"`, `"150ms"` and whatever else `humantime` reads, with a fraction before one unit allowed.
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
