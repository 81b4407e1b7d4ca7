//! Nodes whose answers have no length: the close of the connection ends them.

use crate::http::{Message, Reader};
use crate::rig::{
    Answer, Document, Host, Listed, Numbers, Place, Request, body_for, node, ok, spawn_small,
};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 4;
const WORK: Duration = Duration::from_millis(40);
/// One request in so many is answered without a length.
const ONE_IN: u64 = 5;
const CLIENTS: u64 = 6;
const PLAYED: Duration = Duration::from_secs(20);

/// The requests whose answers came whole and without a length, and those of them whose client got the answer.
#[derive(Default)]
struct Counts {
    without_length: BTreeSet<u64>,
    forwarded: BTreeSet<u64>,
    /// Requests with other answers, and those of them whose client got the answer.
    others: usize,
    others_forwarded: usize,
}

fn is_without_length(id: u64) -> bool {
    id.is_multiple_of(ONE_IN)
}

fn id_of(request: &Message) -> u64 {
    let id = request.field("x-trace-id").unwrap_or_default();
    u64::from_str_radix(id, 16).unwrap_or(1)
}

pub fn play(place: &Place) -> crate::Verdict {
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let trouble = place.trouble;
    let nodes: Vec<Listed> = (0..NODES)
        .map(|shard| {
            let (record, counts) = (place.record.clone(), counts.clone());
            let address = node(move |request| {
                thread::sleep(WORK);
                let id = id_of(request);
                let body = body_for(request);
                if !trouble || !is_without_length(id) {
                    record.line(format!("node ran {id:016x}"));
                    return Answer::Bytes(ok(&body));
                }
                record.line(format!("node ran {id:016x}, answers without a length"));
                counts.lock().unwrap().without_length.insert(id);
                let mut bytes = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
                bytes.extend_from_slice(&body);
                Answer::BytesThenClose(bytes)
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, record, counts) = (host.address, place.record.clone(), counts.clone());
            spawn_small(move || {
                let start = Instant::now();
                let mut numbers = Numbers::new(30 + client);
                let mut connection: Option<Reader> = None;
                while start.elapsed() < PLAYED {
                    thread::sleep(Duration::from_millis(30));
                    let request = draw(client, &mut numbers);
                    let open = connection
                        .take()
                        .or_else(|| TcpStream::connect(address).ok().map(Reader::new));
                    let Some(mut open) = open else { continue };
                    let _ = open.stream.set_read_timeout(Some(Duration::from_secs(4)));
                    record.line(format!("client sent {:016x}", request.id));
                    let _ = open.stream.write_all(&request.bytes());
                    let answer = open.message().ok().flatten();
                    let status = answer.as_ref().and_then(Message::status);
                    record.line(format!(
                        "client of {:016x} ({}) got {status:?}",
                        request.id, request.class
                    ));
                    let served = answer.as_ref().is_some_and(|answer| {
                        answer.status() == Some(200) && answer.body == request.expected()
                    });
                    let mut counts = counts.lock().unwrap();
                    if !counts.without_length.contains(&request.id) {
                        counts.others += 1;
                        counts.others_forwarded += usize::from(served);
                    } else if served {
                        counts.forwarded.insert(request.id);
                    }
                    drop(counts);
                    if answer.is_some_and(|answer| !answer.closes()) {
                        connection = Some(open);
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| _ = client.join());
    let counts = counts.lock().unwrap();
    let (whole, forwarded) = (counts.without_length.len(), counts.forwarded.len());
    place.record.say(format!(
        "requests answered whole without a length: {whole}, forwarded of these: {forwarded}; other requests: {}, \
         forwarded of these: {}",
        counts.others, counts.others_forwarded
    ));
    if counts.others_forwarded * 10 < counts.others * 9 {
        return Err("too few of the other requests were served".into());
    }
    if trouble && whole == 0 {
        return Err("no answer came without a length, so nothing was shown".into());
    }
    Ok(forwarded * 2 >= whole)
}

fn draw(client: u64, numbers: &mut Numbers) -> Request {
    let write = numbers.below(3) == 0;
    Request {
        class: if write {
            "depot-fiche"
        } else {
            "lecture-fiche"
        },
        write,
        keyed: write,
        volume: 1 + client,
        object: numbers.next(),
        id: numbers.next(),
        shard: numbers.below(NODES as u64) as i64,
        units: 1,
        expires_ms: if write { 3000 } else { 1500 },
        body: if write {
            b"a photo of a scratch".to_vec()
        } else {
            Vec::new()
        },
    }
}
