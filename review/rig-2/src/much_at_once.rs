//! Bad clients that send much at once.

use crate::http::Reader;
use crate::rig::{
    Answer, Document, Host, Listed, Numbers, Place, Record, Request, body_for, node, ok, signal,
    spawn_small,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 8;
/// Work of a request, in milliseconds: within the 66 to 110 of an export.
const WORK: Duration = Duration::from_millis(88);
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
const BAD_CLIENTS: usize = 120;
/// What a bad client sends at once.
const SENT_BYTES: usize = 250 << 10;
/// The shortest thing that has the form of a request.
const SHORT: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const USUAL_CLIENTS: u64 = 8;
/// Waves of bad clients, one every five seconds.
const WAVES: usize = 4;

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
    let mut document = Document::new(&nodes);
    (document.memory_mb, document.sockets) = (MEMORY_MB, SOCKETS);
    let mut host = Host::start(&place.root, &place.temporary, &document)?;
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|client| {
            usual_client(
                host.address,
                client,
                stop.clone(),
                lost.clone(),
                place.record.clone(),
            )
        })
        .collect();
    let mut killed = false;
    let mut numbers = Numbers::new(5);
    for wave in 1..=WAVES {
        let wave_ends = Instant::now() + Duration::from_secs(5);
        place.record.line(format!(
            "wave {wave}: memory before {:?} kB",
            host.memory_kb()
        ));
        let bad: Vec<_> = (0..if place.trouble { BAD_CLIENTS } else { 0 })
            .map(|_| bad_client(host.address, &mut numbers, place.record.clone()))
            .collect();
        // The platform: a host over its memory is killed.
        while !killed && Instant::now() < wave_ends {
            if let Some((now, most)) = host.memory_kb()
                && most > u64::from(MEMORY_MB) * 1024
            {
                place.record.say(format!(
                    "wave {wave}: the host holds {now} kB and held {most} kB, its limit is {MEMORY_MB} MB: killed"
                ));
                signal(&host, "KILL")?;
                killed = true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        bad.into_iter().for_each(|client| _ = client.join());
        if killed {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let (_, most) = host.memory_kb().unwrap_or_default();
    usual.into_iter().for_each(|client| _ = client.join());
    let ended = host.child.try_wait().ok().flatten();
    place.record.say(format!(
        "killed for memory: {killed}; memory at most {most} kB (0: killed); ended: {ended:?}; requests of usual clients \
         without an answer: {}",
        lost.load(Ordering::Relaxed)
    ));
    Ok(!killed && ended.is_none())
}

/// Sends one sound request and behind it, at once, short messages; reads whatever it is sent.
fn bad_client(
    address: SocketAddr,
    numbers: &mut Numbers,
    record: Record,
) -> thread::JoinHandle<()> {
    let request = Request {
        class: "export-releve",
        write: false,
        keyed: false,
        volume: 1 + numbers.below(40),
        object: numbers.next(),
        id: numbers.next(),
        shard: numbers.below(NODES as u64) as i64,
        units: 1,
        expires_ms: 5000,
        body: Vec::new(),
    };
    spawn_small(move || {
        let Ok(mut stream) = TcpStream::connect(address) else {
            return;
        };
        let mut bytes = request.bytes();
        while bytes.len() + SHORT.len() <= SENT_BYTES {
            bytes.extend_from_slice(SHORT);
        }
        let written = stream.write_all(&bytes);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut buffer = vec![0; 64 << 10];
        let mut received = 0;
        while let Ok(length @ 1..) = stream.read(&mut buffer) {
            received += length;
        }
        record.line(format!(
            "bad client sent {} bytes ({}), got {received}",
            bytes.len(),
            written.is_ok()
        ));
    })
}

/// A usual client: one request after the other on a connection that it keeps.
fn usual_client(
    address: SocketAddr,
    client: u64,
    stop: Arc<AtomicBool>,
    lost: Arc<AtomicUsize>,
    record: Record,
) -> thread::JoinHandle<()> {
    spawn_small(move || {
        let mut numbers = Numbers::new(50 + client);
        let mut connection: Option<Reader> = None;
        while !stop.load(Ordering::Relaxed) {
            let request = Request {
                class: "lecture-fiche",
                write: false,
                keyed: false,
                volume: 60 + client,
                object: numbers.next(),
                id: numbers.next(),
                shard: numbers.below(NODES as u64) as i64,
                units: 1,
                expires_ms: 1500,
                body: Vec::new(),
            };
            let kept = connection.take();
            let was_kept = kept.is_some();
            let Some(mut open) = kept.or_else(|| TcpStream::connect(address).ok().map(Reader::new))
            else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let _ = open
                .stream
                .set_read_timeout(Some(Duration::from_millis(2050)));
            let _ = open.stream.write_all(&request.bytes());
            match open.message() {
                Ok(Some(answer)) => {
                    record.line(format!(
                        "client of {:016x} got {:?}",
                        request.id,
                        answer.status()
                    ));
                    if !answer.closes() {
                        connection = Some(open);
                    }
                }
                // The close of a resting connection crossed the request.
                Ok(None) if was_kept => {}
                ended => {
                    let why = ended.err().map(|error| error.kind());
                    record.line(format!(
                        "client of {:016x} got NO ANSWER: {why:?}",
                        request.id
                    ));
                    lost.fetch_add(1, Ordering::Relaxed);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}
