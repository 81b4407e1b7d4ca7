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
fn patient(discovery: SocketAddr, latency_objective: u32, deadline: u32) -> String {
    let times = format!("\"give-up\":{deadline}.0,\"objective\":{latency_objective}.0");
    document(discovery).replace("\"give-up\":9000.0,\"objective\":9000.0", &times)
}

/// A node that says what it is asked, and answers as told; without an answer it hangs.
fn node(answer: Option<String>) -> (SocketAddr, Receiver<String>) {
    let (say, said) = channel();
    let at = serve(move |text| {
        let _ = say.send(text.into());
        answer.clone()
    });
    (at, said)
}

/// Whole answers on a connection until its end, and whether that was in order.
fn answers(client: &mut std::io::BufReader<TcpStream>) -> (Vec<String>, bool) {
    let mut all = Vec::new();
    while let Some(text) = message(client) {
        all.push(text[9..12].to_string());
    }
    (all, client.get_mut().read(&mut [0; 1]).is_ok_and(|n| n == 0))
}

/// SIGTERM, with a request whose node hangs until the last moment: its answer is written before the process
/// ends, once and whole, also by a second signal.
#[test]
fn what_is_open_at_the_end_is_answered_before_it() {
    for signals in [1, 2] {
        let (hangs, asked) = node(None);
        let (at, _questions) = discovery(hangs);
        let mut h = Host::with(&patient(at, 5000, 5000));
        h.ready();
        let mut open = h.client();
        asks(&mut open, 1);
        asked.recv_timeout(SOON).unwrap();
        h.signal(Signal::SIGTERM);
        h.line("leaving");
        if signals == 2 {
            h.signal(Signal::SIGTERM);
        }
        assert_eq!(answers(&mut open), (vec!["500".to_string()], true), "{signals}");
        drop(open);
        assert_eq!(h.child.wait().unwrap().code(), Some(0), "{signals}");
        assert!(asked.try_recv().is_err(), "{signals}: sent once");
    }
}

/// A reader that takes its answer slowly, through a small window, while the host leaves: it gets all of it.
#[test]
fn a_slow_reader_gets_its_answer_whole_while_the_host_leaves() {
    let body = "b".repeat(60 << 10);
    let (at_node, asked) = node(Some(reply(&body)));
    let (at, _questions) = discovery(at_node);
    let mut h = Host::with(&patient(at, 1000, 5000));
    h.ready();
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    slow.set_recv_buffer_size(2 << 10).unwrap();
    slow.connect(&h.at.into()).unwrap();
    let stream = TcpStream::from(slow);
    stream.set_read_timeout(Some(SOON)).unwrap();
    let mut slow = std::io::BufReader::with_capacity(512, stream);
    asks(&mut slow, 1);
    asked.recv_timeout(SOON).unwrap();
    h.signal(Signal::SIGTERM);
    h.line("accepts no more");
    let text = message(&mut slow).expect("a whole answer");
    assert!(text.starts_with("HTTP/1.1 200") && text.ends_with(&body));
    assert_eq!(answers(&mut slow), (vec![], true));
    drop(slow);
    assert_eq!(h.child.wait().unwrap().code(), Some(0));
}

/// A message on a connection that rests, and the host's closing it, while the process stands still: when it
/// goes on, both are there. Either it is served, or the connection ends in order and no node hears of it:
/// then the client asks anew.
#[test]
fn a_message_that_crosses_the_end_of_a_resting_connection_is_served_or_never_sent_on() {
    for leaving in [false, true] {
        let (at_node, asked) = node(Some(reply("made by the node")));
        let (at, _questions) = discovery(at_node);
        let h = Host::with(&patient(at, 1000, 1500));
        h.ready();
        let mut resting: Vec<_> = (0..8).map(|_| h.client()).collect();
        for (i, c) in resting.iter_mut().enumerate() {
            asks(c, 1 + i as u64);
            assert_eq!(status(c).as_deref(), Some("200"));
            asked.recv_timeout(SOON).unwrap();
        }
        if leaving {
            h.signal(Signal::SIGTERM);
            h.line("leaving");
        }
        // Longer than connections may rest, and than the host takes more while it leaves.
        h.signal(Signal::SIGSTOP);
        std::thread::sleep(Duration::from_millis(2_300));
        resting.iter_mut().enumerate().for_each(|(i, c)| asks(c, 101 + i as u64));
        h.signal(Signal::SIGCONT);
        for (i, c) in resting.iter_mut().enumerate() {
            let (statuses, in_order) =
                if leaving { answers(c) } else { (status(c).into_iter().collect::<Vec<_>>(), true) };
            let trace = format!("X-Trace-Id: {:016x}", 101 + i as u64);
            let heard = asked.try_iter().filter(|t| t.contains(&trace)).count();
            assert!(in_order, "{leaving} {i}: a reset");
            match statuses.iter().map(String::as_str).collect::<Vec<_>>()[..] {
                ["200"] => {}
                [] => assert_eq!(heard, 0, "{leaving} {i}: sent on, and never answered"),
                // Given up on at the last moment.
                ["500" | "503"] => assert!(leaving, "{i}"),
                _ => panic!("{leaving} {i}: {statuses:?}"),
            }
        }
    }
}

/// A node whose connections do not come up until there is room for them.
struct Late {
    listener: Socket,
    at: SocketAddr,
    fill: Vec<TcpStream>,
}

impl Late {
    fn new() -> Late {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        listener.listen(0).unwrap();
        let at = listener.local_addr().unwrap().as_socket().unwrap();
        // One more than it says may wait; further ones hang.
        let fill = vec![TcpStream::connect(at).unwrap()];
        Late { listener, at, fill }
    }

    /// From here connections come up, the next time that the system tries. Says what comes on any of them.
    fn opens(mut self) -> Receiver<String> {
        let (say, said) = channel();
        self.fill.clear();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = self.listener.accept() {
                let (say, mut to) = (say.clone(), TcpStream::from(stream));
                std::thread::spawn(move || {
                    let mut from = std::io::BufReader::new(to.try_clone().unwrap());
                    while let Some(text) = message(&mut from) {
                        let _ = say.send(text);
                        let _ = to.write_all(reply("late").as_bytes());
                    }
                });
            }
        });
        said
    }
}

/// A client that leaves while its attempt waits for a connection: in order, by a reset, behind more bytes
/// than may wait, and many at once. Nothing is sent for it when the connection comes up; who stays is served.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_the_connection_was_late() {
    for (how, leaves) in
        [("in order", true), ("reset", true), ("behind bytes", true), ("burst", true), ("stays", false)]
    {
        let late = Late::new();
        let (at, _questions) = discovery(late.at);
        let text = patient(at, 6000, 6000).replace("\"connect-timeout\":250.0", "\"connect-timeout\":5000.0");
        let h = Host::with(&text);
        h.ready();
        let clients = if how == "burst" { 12 } else { 1 };
        let mut all: Vec<_> = (0..clients).map(|_| h.client()).collect();
        all.iter_mut().enumerate().for_each(|(i, c)| asks(c, 1 + i as u64));
        // They are taken when something that was asked after them is answered.
        h.ready();
        if how == "behind bytes" {
            (0..120).for_each(|i| asks(&mut all[0], 1000 + i));
        }
        if how == "reset" {
            let stream = socket2::SockRef::from(all[0].get_ref());
            stream.set_linger(Some(Duration::ZERO)).unwrap();
        }
        if leaves {
            all.clear();
            h.ready();
        }
        let said = late.opens();
        // Who asks now is served when the connection is up, behind whoever waited before.
        let mut next = h.client();
        asks(&mut next, 0x77);
        assert_eq!(status(&mut next).as_deref(), Some("200"), "{how}");
        if !leaves {
            assert_eq!(status(&mut all[0]).as_deref(), Some("200"), "{how}");
        }
        let trace = |t: &String| t.split_once("X-Trace-Id: ").map(|t| t.1[12..16].to_string()).unwrap();
        let mut sent: Vec<_> = said.try_iter().map(|t| trace(&t)).collect();
        sent.sort();
        let wanted: &[&str] = if leaves { &["0077"] } else { &["0001", "0077"] };
        assert_eq!(sent, wanted, "{how}");
    }
}

/// Clients that ask once and stay hold every descriptor they may, while discovery is down: when it is back,
/// what it says reaches the host all the same.
#[test]
fn idle_clients_do_not_keep_the_list_away() {
    let (old, asked_old) = node(Some(reply("old")));
    let (new, _asked_new) = node(Some(reply("new")));
    let page = |old_is: &str, seq: u32| {
        format!(
            r#"{{"seq":{seq},"whole":true,"hosts":[
            {{"host":"s-1","dial":"{old}","site":"a","class":"m","block":0,"health":"{old_is}","share":1.0,"born_ms":0}},
            {{"host":"s-2","dial":"{new}","site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}}]}}"#
        )
    };
    let says = Arc::new(Mutex::new(Some(page("SERVING", 4))));
    let (say, questions) = channel();
    let now = says.clone();
    let at = serve(move |text| {
        let watch = text.contains("after=");
        let page = now.lock().unwrap().clone();
        // Down, it is silent; a watch waits for ever.
        let answer = page.filter(|_| !watch);
        let _ = say.send((watch, answer.is_some()));
        answer.map(|p| reply(&p))
    });
    let h = Host::start(at);
    h.ready();
    assert_eq!(questions.recv_timeout(SOON).unwrap(), (false, true));
    assert_eq!(questions.recv_timeout(SOON).unwrap(), (true, false));
    *says.lock().unwrap() = None;
    // The next question is not answered: the watch was given up.
    while questions.recv_timeout(SOON).unwrap() != (false, false) {}
    let mut crowd = Vec::new();
    for _ in 0..90 {
        let mut c = h.client();
        c.get_mut().set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let _ = c.get_mut().write_all(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
        let _ = message(&mut c);
        crowd.push(c);
    }
    *says.lock().unwrap() = Some(page("DRAINING", 5));
    while questions.recv_timeout(SOON).unwrap() != (false, true) {}
    // The watch behind it is asked for once the list is taken.
    while questions.recv_timeout(SOON).unwrap() != (true, false) {}
    drop(crowd);
    for trace in 1..=8 {
        let mut c = h.client();
        asks(&mut c, trace);
        assert!(message(&mut c).unwrap().ends_with("new"));
    }
    assert!(asked_old.try_recv().is_err());
}

/// What a process holds: descriptors, and the most memory that it ever had, in MB.
fn holds(h: &Host) -> (usize, usize) {
    let of = format!("/proc/{}", h.child.id());
    let status = std::fs::read_to_string(format!("{of}/status")).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let kb: usize = peak.trim().trim_end_matches(" kB").parse().unwrap();
    (std::fs::read_dir(format!("{of}/fd")).unwrap().count(), kb >> 10)
}

/// Floods, silent crowds, messages at once without end, and nodes whose answers never end or cannot be read:
/// a usual client is served meanwhile, memory and descriptors stay within their bounds, and what was held is
/// given back.
#[test]
fn floods_and_endless_answers_are_bounded_and_given_back() {
    // Two nodes: one is well, the other's answers are spoilt, each in a way of its own.
    let (well, _asked) = node(Some(reply("made for it")));
    let spoils = serve(|text| {
        let trace = text.split_once("X-Trace-Id: ").map_or("", |t| &t.1[..16]);
        Some(match &trace[14..] {
            "aa" => {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string() + &"40\r\n".repeat(9000)
            }
            "bb" => "HTTP/1.1 100 Continue\r\n\r\n".repeat(4000),
            "cc" => format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(400_000)),
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
        entry("s-1", well, 0),
        entry("s-2", spoils, 1)
    );
    let at = serve(move |text| (!text.contains("after=")).then(|| reply(&page)));
    let h = Host::with(&patient(at, 1000, 2000).replace("\"slots-total\":1", "\"slots-total\":2"));
    h.ready();
    let mut usual = h.client();
    asks(&mut usual, 1);
    assert!(message(&mut usual).unwrap().ends_with("made for it"));
    drop(usual);
    let before = holds(&h).0;
    for round in 0..6u64 {
        // Silent; half a message; many at once and gone; without end; noise.
        let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(h.at).unwrap()).collect();
        let mut half: Vec<_> = (0..20).map(|_| TcpStream::connect(h.at).unwrap()).collect();
        half.iter_mut().for_each(|c| _ = c.write_all(b"PUT /read/0000"));
        let mut gone = h.client();
        (0..300).for_each(|i| _ = gone.get_mut().write_all(ask_text(0x1000 + round * 400 + i).as_bytes()));
        drop(gone);
        let mut endless = TcpStream::connect(h.at).unwrap();
        let _ = endless.write_all(b"PUT /read/00 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        (0..200).for_each(|_| _ = endless.write_all(&[b'x'; 8 << 10]));
        for (i, spoilt) in [0xaa, 0xbb, 0xcc, 0xdd, 0xee].into_iter().enumerate() {
            let trace = ((round * 8 + i as u64) << 16) + spoilt;
            let mut c = h.client();
            let text = ask_text(trace).replace("shard=0", "shard=1");
            c.get_mut().write_all(text.as_bytes()).unwrap();
            // Never what could not be read; a whole answer before surplus counts, if the node is still tried
            // at all.
            let answer = message(&mut c).unwrap();
            let served = answer.starts_with("HTTP/1.1 200") && answer.ends_with("made for it");
            assert!(
                served && spoilt == 0xee || answer.starts_with("HTTP/1.1 50"),
                "{round} {spoilt:x}: {answer}"
            );
            // Usual clients are served meanwhile; more than half of all attempts come back, else the host
            // would hold back.
            for usual in 1..=8 {
                asks(&mut c, trace + (usual << 32));
                let answer = message(&mut c).unwrap_or_default();
                assert!(answer.ends_with("made for it"), "{round} {spoilt:x}: {answer}");
            }
        }
        assert!(holds(&h).0 <= 64, "{round}");
        drop((silent, half, endless));
    }
    let (_, peak) = holds(&h);
    assert!(peak <= 32, "{peak} MB");
    // Of clients nothing is left; of nodes what may idle.
    for _ in 0..400 {
        if holds(&h).0 <= before + 2 {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    panic!("{} descriptors, before {before}", holds(&h).0);
}

/// A process that starts again while discovery is refused, silent, or silent in the middle of its answer is
/// ready by what it remembers, and serves.
#[test]
fn a_restarted_host_is_ready_without_discovery() {
    let (at_node, _asked) = node(Some(reply("made by the node")));
    let refuses = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let silent = serve(|_| None);
    let half = serve(|_| Some("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":2,".into()));
    let known = format!(
        r#""known":{{"seq":1,"whole":true,"hosts":[{{"host":"s-1","dial":"{at_node}","site":"a","class":"m","block":0,
        "health":"SERVING","share":1.0,"born_ms":0}}]}},"settings""#
    );
    for (what, at) in [("refuses", refuses), ("silent", silent), ("half", half)] {
        let h = Host::with(&document(at).replacen("\"settings\"", &known, 1));
        h.ready();
        let mut c = h.client();
        asks(&mut c, 1);
        assert!(message(&mut c).unwrap().ends_with("made by the node"), "{what}");
    }
}
