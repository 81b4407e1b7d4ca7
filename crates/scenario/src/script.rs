//! The script of a scenario: reads the `day` entry of a document.

mod fault;
mod fault_reader;

pub use fault::Fault;
use fault_reader::{KINDS, read_fault};
use gullsail_configuration::{Deployment, Loader, Memory, Names, Problems, Reader};
use gullsail_scheduler_api::Span;
use kdl::{KdlDocument, KdlNode};

/// The expected result of a reload or of an operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The host accepts it.
    Taken,
    /// The host refuses it and gives the reason.
    TurnedDown,
    /// The host reports errors in the configuration.
    Broken,
}

/// A scenario: the load, the faults and the rules that it has to test.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// The name of the scenario.
    pub name: String,
    /// How long clients send requests.
    pub lasts: Span,
    /// The numbers of the rules that the scenario has to test; it fails if one is not tested.
    pub tests: Vec<u8>,
    /// Requests per second, by request class in the document's order.
    pub rates: Vec<f64>,
    /// The length of a written object in bytes.
    pub bytes: usize,
    /// The fraction of reads, 0 to 1, that go to recently written objects.
    pub fresh: f64,
    /// The most attempts that a client makes for one request, the first one included.
    pub tries: u32,
    /// Hosts that are not in the first document but in one that hosts reload later.
    pub newcomers: Vec<String>,
    /// Hosts whose clocks are offset, and by how much; a negative offset means that the clock is behind.
    pub clocks: Vec<(String, Span)>,
    /// Hosts whose clocks drift, and by which fraction; a negative one means that the clock runs slow.
    pub drifts: Vec<(String, f64)>,
    /// The faults, each with its time since the start of the scenario, in order of time.
    pub faults: Vec<(Span, Fault)>,
}

/// Reads the deployment and the script from a text without includes; `name` stands for its file in problems.
///
/// # Errors
/// All problems of the deployment and the script.
pub fn read(name: &str, text: &str) -> Result<(Deployment, Script), Problems> {
    let loader = Memory([(name.to_string(), text.to_string())].into());
    load(&loader, name).map(|(_, deployment, script)| (deployment, script))
}

/// Reads the deployment and the script from a file and its includes. The returned text is the same document in one
/// file, with ranges and templates expanded.
///
/// # Errors
/// All problems of the deployment and the script.
pub fn load(loader: &dyn Loader, name: &str) -> Result<(String, Deployment, Script), Problems> {
    let (document, mut reader) = Reader::open(loader, name);
    let deployment = gullsail_configuration::build(&document, &mut reader);
    let script = read_script(&document, &mut reader, &deployment);
    let text = document
        .nodes()
        .iter()
        .map(|entry| entry.to_string().trim().to_string() + "\n")
        .collect();
    reader.close((text, deployment, script)).map(|(all, _)| all)
}

fn read_script(document: &KdlDocument, reader: &mut Reader, deployment: &Deployment) -> Script {
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
        read_newcomer(entry, reader, &hosts, &mut script);
    }
    for entry in day.iter_children() {
        match entry.name().value() {
            "ask" => read_rate(entry, reader, deployment, &mut script),
            "clock" => read_clock(entry, reader, &hosts, &mut script),
            "tests" => read_tested_rules(entry, reader, &mut script),
            "at" => read_faults_at(entry, reader, deployment, &mut script),
            _ => {}
        }
    }
    script.faults.sort_by_key(|t| t.0);
    script
}

fn read_newcomer(entry: &KdlNode, reader: &mut Reader, hosts: &Names, script: &mut Script) {
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

fn read_rate(entry: &KdlNode, reader: &mut Reader, deployment: &Deployment, script: &mut Script) {
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

fn read_clock(entry: &KdlNode, reader: &mut Reader, hosts: &Names, script: &mut Script) {
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

fn read_tested_rules(entry: &KdlNode, reader: &mut Reader, script: &mut Script) {
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

fn read_faults_at(
    entry: &KdlNode,
    reader: &mut Reader,
    deployment: &Deployment,
    script: &mut Script,
) {
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
        if let Some(fault) = read_fault(reader, entry, deployment, &script.newcomers) {
            script.faults.push((at.unwrap_or_default(), fault));
        }
    }
}
