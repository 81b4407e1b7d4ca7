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
    let (document, mut r) = Reader::open(loader, name);
    let d = gullsail_configuration::build(&document, &mut r);
    let script = script(&document, &mut r, &d);
    let text = document
        .nodes()
        .iter()
        .map(|n| n.to_string().trim().to_string() + "\n")
        .collect();
    r.close((text, d, script)).map(|(all, _)| all)
}

fn script(document: &KdlDocument, r: &mut Reader, d: &Deployment) -> Script {
    let Some(day) = document.nodes().iter().find(|n| n.name().value() == "day") else {
        let help = Some("day \"quiet\" lasts=\"10s\" { ask \"read\" rate=50; }".into());
        r.report(
            "missing",
            "no `day` to play".into(),
            (document.span().offset(), 0).into(),
            help,
        );
        return Script::default();
    };
    r.only(
        day,
        1,
        &["lasts", "bytes", "fresh", "tries"],
        &["ask", "at", "clock", "newcomer", "tests"],
    );
    let mut s = Script {
        name: r.text(day, 0, "a name"),
        lasts: r.span(day, "lasts"),
        tests: Vec::new(),
        rates: vec![0.0; d.request_classes.len()],
        bytes: r.whole(day, "bytes", 0, 512) as usize,
        fresh: r.number_at(day, "fresh", 0.0).unwrap_or(0.3),
        tries: r.whole(day, "tries", 1, 2),
        newcomers: Vec::new(),
        clocks: Vec::new(),
        drifts: Vec::new(),
        faults: Vec::new(),
    };
    let hosts: Names = d.hosts.iter().map(|h| h.name.clone()).collect();
    for n in day
        .iter_children()
        .filter(|n| n.name().value() == "newcomer")
    {
        newcomer(n, r, &hosts, &mut s);
    }
    for n in day.iter_children() {
        match n.name().value() {
            "ask" => rate(n, r, d, &mut s),
            "clock" => clock(n, r, &hosts, &mut s),
            "tests" => tested_rules(n, r, &mut s),
            "at" => faults_at(n, r, d, &mut s),
            _ => {}
        }
    }
    s.faults.sort_by_key(|t| t.0);
    s
}

fn newcomer(n: &KdlNode, r: &mut Reader, hosts: &Names, s: &mut Script) {
    r.only(n, 1, &[], &[]);
    let name = r.text(n, 0, "a host that a later document names");
    if hosts.list().contains(&name) {
        r.report(
            "twice",
            format!("host \"{name}\" is in the document already"),
            n.span(),
            None,
        );
    }
    s.newcomers.push(name);
}

fn rate(n: &KdlNode, r: &mut Reader, d: &Deployment, s: &mut Script) {
    r.only(n, 1, &["rate"], &[]);
    let request_classes: Names = d.request_classes.iter().map(|t| t.name.clone()).collect();
    let first = n.entries().iter().find(|e| e.name().is_none());
    if let Some(place) = first.and_then(|e| r.refer(e, "stream type", &request_classes)) {
        s.rates[place] = r.number(n, "rate", 0.0);
    }
}

fn clock(n: &KdlNode, r: &mut Reader, hosts: &Names, s: &mut Script) {
    r.only(n, 1, &["ahead", "behind", "fast", "slow"], &[]);
    let first = n.entries().iter().find(|e| e.name().is_none());
    let place = first.and_then(|e| r.refer(e, "host", hosts));
    let fast = r.number_at(n, "fast", 0.0).unwrap_or_default();
    let drift = fast - r.number_at(n, "slow", 0.0).unwrap_or_default();
    s.drifts.extend(
        place
            .filter(|_| drift != 0.0)
            .map(|p| (hosts.list()[p].clone(), drift)),
    );
    let ahead = r.span_at(n, "ahead").unwrap_or_default();
    let ahead = ahead - r.span_at(n, "behind").unwrap_or_default();
    s.clocks
        .extend(place.map(|p| (hosts.list()[p].clone(), ahead)));
}

fn tested_rules(n: &KdlNode, r: &mut Reader, s: &mut Script) {
    r.only(n, usize::MAX, &[], &[]);
    for e in n.entries() {
        match e
            .value()
            .as_integer()
            .filter(|rule| (1..=14).contains(rule))
        {
            Some(rule) => s.tests.push(rule as u8),
            None => r.report(
                "wrong-kind",
                "rules have numbers 1 to 14".into(),
                e.span(),
                None,
            ),
        }
    }
}

fn faults_at(n: &KdlNode, r: &mut Reader, d: &Deployment, s: &mut Script) {
    r.only(n, 1, &[], &KINDS);
    let text = r.text(n, 0, "a span since the day began");
    let at = Reader::as_span(&text);
    if at.is_none() {
        let help = Some("at \"4s\" { ... }".into());
        r.report(
            "wrong-kind",
            format!("\"{text}\" is not a span"),
            n.span(),
            help,
        );
    }
    for entry in n.iter_children() {
        if let Some(fault) = fault(r, entry, d, &s.newcomers) {
            s.faults.push((at.unwrap_or_default(), fault));
        }
    }
}
