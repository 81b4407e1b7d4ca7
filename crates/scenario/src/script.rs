//! The script of a scenario, as the document's `day` entry has it.

mod fault;
mod fault_reader;

pub use fault::Fault;
use fault_reader::{KINDS, fault};
use gullsail_configuration::{Deployment, Loader, Memory, Names, Problems, Reader};
use gullsail_scheduler_api::Span;
use kdl::{KdlDocument, KdlNode};

/// What must come of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Accepted.
    Taken,
    /// Refused, with the reason.
    TurnedDown,
    /// The configuration has errors.
    Broken,
}

/// A scenario: the load, the faults and what it has to test.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long clients send requests.
    pub lasts: Span,
    /// Rules that this scenario has to test.
    pub tests: Vec<u8>,
    /// Requests a second by request class.
    pub rates: Vec<f64>,
    /// The length of a written object.
    pub bytes: usize,
    /// The fraction of reads that go to recently written objects.
    pub fresh: f64,
    /// How often a client tries in all.
    pub tries: u32,
    /// Hosts that no document names at first: one that hosts are given later does.
    pub newcomers: Vec<String>,
    /// Hosts whose clocks are ahead, by so much; behind where it is negative.
    pub clocks: Vec<(String, Span)>,
    /// Hosts whose clocks run fast, by this part; slow where it is negative.
    pub drifts: Vec<(String, f64)>,
    /// The faults and when each begins, in order of time.
    pub faults: Vec<(Span, Fault)>,
}

/// Reads the deployment and the script of one text.
///
/// # Errors
/// All that is wrong with either.
pub fn read(name: &str, text: &str) -> Result<(Deployment, Script), Problems> {
    let loader = Memory([(name.to_string(), text.to_string())].into());
    load(&loader, name).map(|(_, deployment, script)| (deployment, script))
}

/// Reads the deployment and the script of a file and all that it includes; the text that comes back says the
/// same in one piece, with ranges and templates in place.
///
/// # Errors
/// All that is wrong with either.
pub fn load(loader: &dyn Loader, name: &str) -> Result<(String, Deployment, Script), Problems> {
    let (document, mut reader) = Reader::open(loader, name);
    let deployment = gullsail_configuration::build(&document, &mut reader);
    let script = script(&document, &mut reader, &deployment);
    let text = document
        .nodes()
        .iter()
        .map(|entry| entry.to_string().trim().to_string() + "\n")
        .collect();
    reader.close((text, deployment, script)).map(|(all, _)| all)
}

fn script(document: &KdlDocument, reader: &mut Reader, deployment: &Deployment) -> Script {
    let Some(day) = document
        .nodes()
        .iter()
        .find(|entry| entry.name().value() == "day")
    else {
        let help = Some("day \"quiet\" lasts=\"10s\" { ask \"read\" rate=50; }".into());
        reader.report(
            "missing",
            "no `day` to play".into(),
            (document.span().offset(), 0).into(),
            help,
        );
        return Script::default();
    };
    reader.only(
        day,
        1,
        &["lasts", "bytes", "fresh", "tries"],
        &["ask", "at", "clock", "newcomer", "tests"],
    );
    let mut script = Script {
        name: reader.text(day, 0, "a name"),
        lasts: reader.span(day, "lasts"),
        tests: Vec::new(),
        rates: vec![0.0; deployment.request_classes.len()],
        bytes: reader.whole(day, "bytes", 0, 512) as usize,
        fresh: reader.number_at(day, "fresh", 0.0).unwrap_or(0.3),
        tries: reader.whole(day, "tries", 1, 2),
        newcomers: Vec::new(),
        clocks: Vec::new(),
        drifts: Vec::new(),
        faults: Vec::new(),
    };
    let hosts: Names = deployment.hosts.iter().map(|h| h.name.clone()).collect();
    for entry in day
        .iter_children()
        .filter(|entry| entry.name().value() == "newcomer")
    {
        newcomer(entry, reader, &hosts, &mut script);
    }
    for entry in day.iter_children() {
        match entry.name().value() {
            "ask" => rate(entry, reader, deployment, &mut script),
            "clock" => clock(entry, reader, &hosts, &mut script),
            "tests" => tested_rules(entry, reader, &mut script),
            "at" => faults_at(entry, reader, deployment, &mut script),
            _ => {}
        }
    }
    script.faults.sort_by_key(|t| t.0);
    script
}

fn newcomer(entry: &KdlNode, reader: &mut Reader, hosts: &Names, script: &mut Script) {
    reader.only(entry, 1, &[], &[]);
    let name = reader.text(entry, 0, "a host that a later document names");
    if hosts.list().contains(&name) {
        reader.report(
            "twice",
            format!("host \"{name}\" is in the document already"),
            entry.span(),
            None,
        );
    }
    script.newcomers.push(name);
}

fn rate(entry: &KdlNode, reader: &mut Reader, deployment: &Deployment, script: &mut Script) {
    reader.only(entry, 1, &["rate"], &[]);
    let request_classes: Names = deployment
        .request_classes
        .iter()
        .map(|t| t.name.clone())
        .collect();
    let first = entry.entries().iter().find(|e| e.name().is_none());
    if let Some(place) = first.and_then(|e| reader.refer(e, "stream type", &request_classes)) {
        script.rates[place] = reader.number(entry, "rate", 0.0);
    }
}

fn clock(entry: &KdlNode, reader: &mut Reader, hosts: &Names, script: &mut Script) {
    reader.only(entry, 1, &["ahead", "behind", "fast", "slow"], &[]);
    let first = entry.entries().iter().find(|e| e.name().is_none());
    let place = first.and_then(|e| reader.refer(e, "host", hosts));
    let fast = reader.number_at(entry, "fast", 0.0).unwrap_or_default();
    let drift = fast - reader.number_at(entry, "slow", 0.0).unwrap_or_default();
    script.drifts.extend(
        place
            .filter(|_| drift != 0.0)
            .map(|p| (hosts.list()[p].clone(), drift)),
    );
    let ahead = reader.span_at(entry, "ahead").unwrap_or_default();
    let ahead = ahead - reader.span_at(entry, "behind").unwrap_or_default();
    script
        .clocks
        .extend(place.map(|p| (hosts.list()[p].clone(), ahead)));
}

fn tested_rules(entry: &KdlNode, reader: &mut Reader, script: &mut Script) {
    reader.only(entry, usize::MAX, &[], &[]);
    for e in entry.entries() {
        match e
            .value()
            .as_integer()
            .filter(|rule| (1..=14).contains(rule))
        {
            Some(rule) => script.tests.push(rule as u8),
            None => reader.report(
                "wrong-kind",
                "rules have numbers 1 to 14".into(),
                e.span(),
                None,
            ),
        }
    }
}

fn faults_at(entry: &KdlNode, reader: &mut Reader, deployment: &Deployment, script: &mut Script) {
    reader.only(entry, 1, &[], &KINDS);
    let text = reader.text(entry, 0, "a span since the day began");
    let at = Reader::as_span(&text);
    if at.is_none() {
        let help = Some("at \"4s\" { ... }".into());
        reader.report(
            "wrong-kind",
            format!("\"{text}\" is not a span"),
            entry.span(),
            help,
        );
    }
    for entry in entry.iter_children() {
        if let Some(fault) = fault(reader, entry, deployment, &script.newcomers) {
            script.faults.push((at.unwrap_or_default(), fault));
        }
    }
}
