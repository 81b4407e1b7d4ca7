//! Events that cross on real sockets, forced: a peer that holds back, a window that is full, a process that
//! stands still while both happen. Each test asks what must hold in whichever order the process then finds
//! them.

use crate::rig::*;
use nix::sys::signal::Signal;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A document whose requests have this latency objective and deadline, in ms.
fn document_with_times(discovery: SocketAddr, latency_objective: u32, deadline: u32) -> String {
    let times = format!("\"give-up\":{deadline}.0,\"objective\":{latency_objective}.0");
    document(discovery).replace("\"give-up\":9000.0,\"objective\":9000.0", &times)
}

/// A node that reports its requests and gives this answer; without one it hangs.
fn node(answer: Option<String>) -> (SocketAddr, Receiver<String>) {
    let (sender, requests) = channel();
    let address = serve(move |text| {
        let _ = sender.send(text.into());
        answer.clone()
    });
    (address, requests)
}

/// Whole answers on a connection until its end, and whether that was in order.
fn read_responses(client: &mut std::io::BufReader<TcpStream>) -> (Vec<String>, bool) {
    let mut all = Vec::new();
    while let Some(text) = read_message(client) {
        all.push(text[9..12].to_string());
    }
    (
        all,
        client.get_mut().read(&mut [0; 1]).is_ok_and(|n| n == 0),
    )
}

/// SIGTERM, with a request whose node hangs until the last moment: its answer is written before the process
/// ends, once and whole, also by a second signal.
#[test]
fn open_requests_are_answered_before_the_exit() {
    for signals in [1, 2] {
        let (hangs, requests) = node(None);
        let (address, _polls) = discovery(hangs);
        let mut host = Host::with(&document_with_times(address, 5000, 5000));
        host.ready();
        let mut open = host.client();
        send_request(&mut open, 1);
        requests.recv_timeout(SOON).unwrap();
        host.signal(Signal::SIGTERM);
        host.line("shutdown started");
        if signals == 2 {
            host.signal(Signal::SIGTERM);
        }
        assert_eq!(
            read_responses(&mut open),
            (vec!["500".to_string()], true),
            "{signals}"
        );
        drop(open);
        assert_eq!(host.child.wait().unwrap().code(), Some(0), "{signals}");
        assert!(requests.try_recv().is_err(), "{signals}: sent once");
    }
}

/// A reader that takes its answer slowly, through a small window, while the host leaves: it gets all of it.
#[test]
fn a_slow_reader_gets_its_whole_response_during_shutdown() {
    let body = "b".repeat(60 << 10);
    let (node_address, requests) = node(Some(reply(&body)));
    let (address, _polls) = discovery(node_address);
    let mut host = Host::with(&document_with_times(address, 1000, 5000));
    host.ready();
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    slow.set_recv_buffer_size(2 << 10).unwrap();
    slow.connect(&host.address.into()).unwrap();
    let stream = TcpStream::from(slow);
    stream.set_read_timeout(Some(SOON)).unwrap();
    let mut slow = std::io::BufReader::with_capacity(512, stream);
    send_request(&mut slow, 1);
    requests.recv_timeout(SOON).unwrap();
    host.signal(Signal::SIGTERM);
    host.line("listener closed");
    let text = read_message(&mut slow).expect("a whole answer");
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(&body));
    assert_eq!(read_responses(&mut slow), (vec![], true));
    drop(slow);
    assert_eq!(host.child.wait().unwrap().code(), Some(0));
}

/// A message on a connection that rests, and the host's closing it, while the process stands still: when it
/// goes on, both are there. Either it is served, or the connection ends in order and no node hears of it:
/// then the client sends it again.
#[test]
fn a_message_racing_an_idle_close_is_served_or_never_forwarded() {
    for leaving in [false, true] {
        let (node_address, requests) = node(Some(reply("made by the node")));
        let (address, _polls) = discovery(node_address);
        let host = Host::with(&document_with_times(address, 1000, 1500));
        host.ready();
        let mut resting: Vec<_> = (0..8).map(|_| host.client()).collect();
        for (i, client) in resting.iter_mut().enumerate() {
            send_request(client, 1 + i as u64);
            assert_eq!(read_status(client).as_deref(), Some("200"));
            requests.recv_timeout(SOON).unwrap();
        }
        if leaving {
            host.signal(Signal::SIGTERM);
            host.line("shutdown started");
        }
        // Longer than connections may rest, and than the host takes more while it leaves.
        host.signal(Signal::SIGSTOP);
        std::thread::sleep(Duration::from_millis(2_300));
        resting
            .iter_mut()
            .enumerate()
            .for_each(|(i, client)| send_request(client, 101 + i as u64));
        host.signal(Signal::SIGCONT);
        for (i, client) in resting.iter_mut().enumerate() {
            let (statuses, in_order) = if leaving {
                read_responses(client)
            } else {
                (read_status(client).into_iter().collect::<Vec<_>>(), true)
            };
            let trace = format!("X-Trace-Id: {:016x}", 101 + i as u64);
            let forwarded = requests
                .try_iter()
                .filter(|text| text.contains(&trace))
                .count();
            assert!(in_order, "{leaving} {i}: a reset");
            match statuses.iter().map(String::as_str).collect::<Vec<_>>()[..] {
                ["200"] => {}
                [] => assert_eq!(forwarded, 0, "{leaving} {i}: sent on, and never answered"),
                // Given up on at the last moment.
                ["500" | "503"] => assert!(leaving, "{i}"),
                _ => panic!("{leaving} {i}: {statuses:?}"),
            }
        }
    }
}

/// A node whose connections do not come up until there is room for them.
struct LateNode {
    listener: Socket,
    address: SocketAddr,
    fill: Vec<TcpStream>,
}

impl LateNode {
    fn new() -> LateNode {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        // One more than it says may wait; further ones hang.
        let fill = vec![TcpStream::connect(address).unwrap()];
        LateNode {
            listener,
            address,
            fill,
        }
    }

    /// From here connections come up, the next time that the system tries. Says what comes on any of them.
    fn start_accepting(mut self) -> Receiver<String> {
        let (sender, received) = channel();
        self.fill.clear();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = self.listener.accept() {
                let sender = sender.clone();
                let mut to = TcpStream::from(stream);
                std::thread::spawn(move || {
                    let mut from = std::io::BufReader::new(to.try_clone().unwrap());
                    while let Some(text) = read_message(&mut from) {
                        let _ = sender.send(text);
                        let _ = to.write_all(reply("late").as_bytes());
                    }
                });
            }
        });
        received
    }
}

/// A client that leaves while its attempt waits for a connection: in order, by a reset, behind more bytes
/// than may wait, and many at once. Nothing is sent for it when the connection comes up; who stays is served.
#[test]
fn nothing_is_sent_for_a_client_that_left_during_a_late_connect() {
    for (how, leaves) in [
        ("in order", true),
        ("reset", true),
        ("behind bytes", true),
        ("burst", true),
        ("stays", false),
    ] {
        let late = LateNode::new();
        let (address, _polls) = discovery(late.address);
        let text = document_with_times(address, 6000, 6000)
            .replace("\"connect-timeout\":250.0", "\"connect-timeout\":5000.0");
        let host = Host::with(&text);
        host.ready();
        let clients = if how == "burst" { 12 } else { 1 };
        let mut all: Vec<_> = (0..clients).map(|_| host.client()).collect();
        all.iter_mut()
            .enumerate()
            .for_each(|(i, client)| send_request(client, 1 + i as u64));
        // They have been read once a request sent after them is answered.
        host.ready();
        if how == "behind bytes" {
            (0..120).for_each(|i| send_request(&mut all[0], 1000 + i));
        }
        if how == "reset" {
            let stream = socket2::SockRef::from(all[0].get_ref());
            stream.set_linger(Some(Duration::ZERO)).unwrap();
        }
        if leaves {
            all.clear();
            host.ready();
        }
        let received = late.start_accepting();
        // A request sent now is served when the connection is established, behind those that waited before.
        let mut next = host.client();
        send_request(&mut next, 0x77);
        assert_eq!(read_status(&mut next).as_deref(), Some("200"), "{how}");
        if !leaves {
            assert_eq!(read_status(&mut all[0]).as_deref(), Some("200"), "{how}");
        }
        let trace = |text: &String| {
            text.split_once("X-Trace-Id: ")
                .map(|(_, id)| id[12..16].to_string())
                .unwrap()
        };
        let mut sent: Vec<_> = received.try_iter().map(|text| trace(&text)).collect();
        sent.sort();
        let wanted: &[&str] = if leaves { &["0077"] } else { &["0001", "0077"] };
        assert_eq!(sent, wanted, "{how}");
    }
}

/// Clients that ask once and stay hold every descriptor they may, while discovery is down: when it is back,
/// what it says reaches the host all the same.
#[test]
fn idle_clients_do_not_block_discovery() {
    let (old, asked_old) = node(Some(reply("old")));
    let (new, _asked_new) = node(Some(reply("new")));
    let page = |old_is: &str, seq: u32| {
        format!(
            r#"{{"seq":{seq},"whole":true,"hosts":[
            {{"host":"s-1","dial":"{old}","site":"a","class":"m","block":0,"health":"{old_is}","share":1.0,"born_ms":0}},
            {{"host":"s-2","dial":"{new}","site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}}]}}"#
        )
    };
    let answered_page = Arc::new(Mutex::new(Some(page("SERVING", 4))));
    let (sender, polls) = channel();
    let current_page = answered_page.clone();
    let address = serve(move |text| {
        let watch = text.contains("after=");
        let page = current_page.lock().unwrap().clone();
        // Down, it is silent; a watch waits for ever.
        let answer = page.filter(|_| !watch);
        let _ = sender.send((watch, answer.is_some()));
        answer.map(|page| reply(&page))
    });
    let host = Host::start(address);
    host.ready();
    assert_eq!(polls.recv_timeout(SOON).unwrap(), (false, true));
    assert_eq!(polls.recv_timeout(SOON).unwrap(), (true, false));
    *answered_page.lock().unwrap() = None;
    // The next question is not answered: the watch was given up.
    while polls.recv_timeout(SOON).unwrap() != (false, false) {}
    let mut silent_clients = Vec::new();
    for _ in 0..90 {
        let mut client = host.client();
        client
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let _ = client
            .get_mut()
            .write_all(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        let _ = read_message(&mut client);
        silent_clients.push(client);
    }
    *answered_page.lock().unwrap() = Some(page("DRAINING", 5));
    while polls.recv_timeout(SOON).unwrap() != (false, true) {}
    // The next poll comes once the list has been handled.
    while polls.recv_timeout(SOON).unwrap() != (true, false) {}
    drop(silent_clients);
    for trace in 1..=8 {
        let mut client = host.client();
        send_request(&mut client, trace);
        assert!(read_message(&mut client).unwrap().ends_with("new"));
    }
    assert!(asked_old.try_recv().is_err());
}

/// What a process holds.
struct Resources {
    descriptors: usize,
    /// The most memory that it ever had.
    peak_memory_mb: usize,
}

fn resources(host: &Host) -> Resources {
    let proc_dir = format!("/proc/{}", host.child.id());
    let process_status = std::fs::read_to_string(format!("{proc_dir}/status")).unwrap();
    let peak = process_status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kb: usize = peak.trim().trim_end_matches(" kB").parse().unwrap();
    let descriptors = std::fs::read_dir(format!("{proc_dir}/fd")).unwrap().count();
    Resources {
        descriptors,
        peak_memory_mb: kb >> 10,
    }
}

/// Floods, many silent clients, endless pipelined messages, and nodes whose answers never end or cannot be
/// read: a usual client is served meanwhile, memory and descriptors stay within their bounds, and what was
/// held is given back.
#[test]
fn floods_and_endless_responses_are_bounded_and_released() {
    // Two nodes: one is well, the other's answers are spoilt, each in a way of its own.
    let (good_node, _asked) = node(Some(reply("made for it")));
    let malformed_node = serve(|text| {
        let trace = text
            .split_once("X-Trace-Id: ")
            .map_or("", |(_, id)| &id[..16]);
        Some(match &trace[14..] {
            "aa" => {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()
                    + &"40\r\n".repeat(9000)
            }
            "bb" => "HTTP/1.1 100 Continue\r\n\r\n".repeat(4000),
            "cc" => format!(
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
                "x".repeat(400_000)
            ),
            "dd" => "\u{1}\u{2} noise".repeat(5000),
            _ => reply("made for it") + &reply("another's"),
        })
    });
    let entry = |host, dial, block| {
        format!(
            r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"SERVING","share":1.0,
            "born_ms":0}}"#
        )
    };
    let page = format!(
        r#"{{"seq":4,"whole":true,"hosts":[{},{}]}}"#,
        entry("s-1", good_node, 0),
        entry("s-2", malformed_node, 1)
    );
    let address = serve(move |text| (!text.contains("after=")).then(|| reply(&page)));
    let host = Host::with(
        &document_with_times(address, 1000, 2000).replace("\"slots-total\":1", "\"slots-total\":2"),
    );
    host.ready();
    let mut usual_client = host.client();
    send_request(&mut usual_client, 1);
    assert!(
        read_message(&mut usual_client)
            .unwrap()
            .ends_with("made for it")
    );
    drop(usual_client);
    let before = resources(&host).descriptors;
    for round in 0..6u64 {
        // Silent; half a message; many at once and gone; without end; noise.
        let silent: Vec<_> = (0..60)
            .map(|_| TcpStream::connect(host.address).unwrap())
            .collect();
        let mut half: Vec<_> = (0..20)
            .map(|_| TcpStream::connect(host.address).unwrap())
            .collect();
        half.iter_mut()
            .for_each(|client| _ = client.write_all(b"PUT /read/0000"));
        let mut gone = host.client();
        (0..300).for_each(|i| {
            _ = gone
                .get_mut()
                .write_all(request_text(0x1000 + round * 400 + i).as_bytes())
        });
        drop(gone);
        let mut endless = TcpStream::connect(host.address).unwrap();
        let _ = endless.write_all(b"PUT /read/00 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        (0..200).for_each(|_| _ = endless.write_all(&[b'x'; 8 << 10]));
        for (i, malformed) in [0xaa, 0xbb, 0xcc, 0xdd, 0xee].into_iter().enumerate() {
            let trace = ((round * 8 + i as u64) << 16) + malformed;
            let mut client = host.client();
            let text = request_text(trace).replace("shard=0", "shard=1");
            client.get_mut().write_all(text.as_bytes()).unwrap();
            // Never what could not be read; a whole answer before surplus counts, if the node is still tried
            // at all.
            let answer = read_message(&mut client).unwrap();
            let served = answer.starts_with("HTTP/1.1 200") && answer.ends_with("made for it");
            assert!(
                served && malformed == 0xee || answer.starts_with("HTTP/1.1 50"),
                "{round} {malformed:x}: {answer}"
            );
            // Usual clients are served meanwhile; more than half of all attempts come back, else the host
            // would hold back.
            for usual_client in 1..=8 {
                send_request(&mut client, trace + (usual_client << 32));
                let answer = read_message(&mut client).unwrap_or_default();
                assert!(
                    answer.ends_with("made for it"),
                    "{round} {malformed:x}: {answer}"
                );
            }
        }
        assert!(resources(&host).descriptors <= 64, "{round}");
        drop((silent, half, endless));
    }
    let peak = resources(&host).peak_memory_mb;
    assert!(peak <= 32, "{peak} MB");
    // Of clients nothing is left; of nodes what may idle.
    for _ in 0..400 {
        if resources(&host).descriptors <= before + 2 {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    panic!(
        "{} descriptors, before {before}",
        resources(&host).descriptors
    );
}

/// A process that starts again while discovery is refused, silent, or silent in the middle of its answer is
/// ready by what it remembers, and serves.
#[test]
fn a_restarted_host_is_ready_without_discovery() {
    let (node_address, _asked) = node(Some(reply("made by the node")));
    let refuses = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let silent = serve(|_| None);
    let half = serve(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":2,".into()));
    let known = format!(
        r#""known":{{"seq":1,"whole":true,"hosts":[{{"host":"s-1","dial":"{node_address}","site":"a","class":"m","block":0,
        "health":"SERVING","share":1.0,"born_ms":0}}]}},"settings""#
    );
    for (what, address) in [("refuses", refuses), ("silent", silent), ("half", half)] {
        let host = Host::with(&document(address).replacen("\"settings\"", &known, 1));
        host.ready();
        let mut client = host.client();
        send_request(&mut client, 1);
        assert!(
            read_message(&mut client)
                .unwrap()
                .ends_with("made by the node"),
            "{what}"
        );
    }
}
