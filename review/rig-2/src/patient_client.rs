//! One client that waits for the whole deadline of its class, among clients that wait for a part of it.

use crate::http::{Message, Reader};
use crate::rig::{
    Answer, Document, Host, Listed, Numbers, Place, Record, Request, body_for, node, ok,
    spawn_small,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 4;
const WORK: Duration = Duration::from_millis(40);
const CLIENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(50);
/// The deadline of the class in the settings, and the part of it for which the usual clients wait.
const DEADLINE_MS: u64 = 1500;
const PART_MS: u64 = 1100;
/// The patient client asks once, at this time.
const PATIENT_AT: Duration = Duration::from_secs(5);
const PLAYED: Duration = Duration::from_secs(25);

/// Requests of usual clients, and those of them that were served.
#[derive(Default, Debug)]
struct Counts {
    before: usize,
    before_served: usize,
    after: usize,
    after_served: usize,
}

pub fn play(place: &Place) -> crate::Verdict {
    let nodes: Vec<Listed> = (0..NODES)
        .map(|shard| {
            let record = place.record.clone();
            let address = node(move |request| {
                thread::sleep(WORK);
                record.line(format!(
                    "node ran {}",
                    request.field("x-trace-id").unwrap_or_default()
                ));
                Answer::Bytes(ok(&body_for(request)))
            });
            Listed {
                name: format!("s-{shard}"),
                address,
                shard,
                health: "SERVING",
            }
        })
        .collect();
    let host = Host::start(&place.root, &place.temporary, &Document::new(&nodes))?;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, record, counts) = (host.address, place.record.clone(), counts.clone());
            spawn_small(move || {
                let mut numbers = Numbers::new(70 + client);
                let mut connection = None;
                while start.elapsed() < PLAYED {
                    thread::sleep(PAUSE);
                    let request = draw(client, &mut numbers, PART_MS);
                    let at = start.elapsed();
                    let served = ask(address, &mut connection, &request, &record);
                    let mut counts = counts.lock().unwrap();
                    if at < PATIENT_AT {
                        counts.before += 1;
                        counts.before_served += usize::from(served);
                    } else if at > PATIENT_AT + Duration::from_secs(1) {
                        counts.after += 1;
                        counts.after_served += usize::from(served);
                    }
                }
            })
        })
        .collect();
    thread::sleep(PATIENT_AT);
    if place.trouble {
        let request = draw(CLIENTS, &mut Numbers::new(69), DEADLINE_MS);
        place.record.line("the patient client asks");
        let served = ask(host.address, &mut None, &request, &place.record);
        place
            .record
            .say(format!("the patient client was served: {served}"));
    }
    clients.into_iter().for_each(|client| _ = client.join());
    let counts = counts.lock().unwrap();
    place.record.say(format!("{counts:?}"));
    if counts.before_served * 10 < counts.before * 9 {
        return Err("too few requests were served from the start".into());
    }
    Ok(counts.after_served * 2 >= counts.after)
}

fn draw(client: u64, numbers: &mut Numbers, expires_ms: u64) -> Request {
    Request {
        class: "lecture-fiche",
        write: false,
        keyed: false,
        volume: 1 + client,
        object: numbers.next(),
        id: numbers.next(),
        shard: numbers.below(NODES as u64) as i64,
        units: 1,
        expires_ms,
        body: Vec::new(),
    }
}

/// Sends a request and reads its answer, on a connection that is kept. Returns whether the request was served.
fn ask(
    address: SocketAddr,
    connection: &mut Option<Reader>,
    request: &Request,
    record: &Record,
) -> bool {
    let kept = connection.take();
    let Some(mut open) = kept.or_else(|| TcpStream::connect(address).ok().map(Reader::new)) else {
        return false;
    };
    let _ = open.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let sent = Instant::now();
    let _ = open.stream.write_all(&request.bytes());
    let answer = open.message().ok().flatten();
    let status = answer.as_ref().and_then(Message::status);
    record.line(format!(
        "client of {:016x}, waits {} ms, got {status:?} after {:.1} ms",
        request.id,
        request.expires_ms,
        sent.elapsed().as_secs_f64() * 1e3
    ));
    let served = answer
        .as_ref()
        .is_some_and(|answer| answer.status() == Some(200) && answer.body == request.expected());
    if answer.is_some_and(|answer| !answer.closes()) {
        *connection = Some(open);
    }
    served
}
