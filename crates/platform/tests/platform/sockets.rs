//! A connection's task on real sockets, with the crossing held still: the test is its owner, so it decides when what was
//! read is handled, and it is the other side, so it decides when bytes come. Nothing is hoped for and nothing slept on.

use bytes::Bytes;
use gullsail_platform::core::ConnId;
use gullsail_platform::drive::conn::{self, Order, SocketEvent};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

struct Held {
    /// The other side.
    peer: TcpStream,
    orders: mpsc::Sender<Order>,
    inbox: mpsc::Receiver<(ConnId, SocketEvent)>,
}

impl Held {
    /// Over a connection that is up. `room`: how many words its owner leaves waiting.
    async fn new(room: usize) -> Held {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (orders, queue) = mpsc::channel(8);
        let (sink, inbox) = mpsc::channel(room);
        tokio::spawn(conn::serve(ConnId(1), stream, queue, sink));
        Held { peer, orders, inbox }
    }

    async fn order(&self, order: Order) {
        self.orders.send(order).await.unwrap();
    }

    /// What it says next.
    async fn next(&mut self) -> String {
        match self.inbox.recv().await {
            Some((_, SocketEvent::Came(bytes))) => String::from_utf8_lossy(&bytes).into_owned(),
            Some((_, other)) => format!("{other:?}"),
            None => "nothing more".into(),
        }
    }

    async fn says(&mut self, text: &[u8]) {
        self.peer.write_all(text).await.unwrap();
    }

    /// All that its peer is sent until the end of it, and whether that end was in order.
    async fn rest(&mut self) -> (String, bool) {
        let mut all = Vec::new();
        let ended = self.peer.read_to_end(&mut all).await;
        (String::from_utf8_lossy(&all).into_owned(), ended.is_ok())
    }
}

fn runs(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await }).unwrap();
}

/// The order to close, and a message on the connection: read and not yet handled; come and not yet read; come after. A
/// message that was handed up keeps the connection; one that comes after the end of sending is nobody's.
#[test]
fn a_close_takes_no_message_with_it() {
    runs(async {
        // Handed up; its owner did not know yet when it gave the order.
        let mut h = Held::new(8).await;
        h.says(b"first").await;
        assert_eq!(h.next().await, "first");
        h.says(b"second").await;
        while h.inbox.is_empty() {
            tokio::task::yield_now().await;
        }
        h.order(Order::CloseIdle { seen: 5 }).await;
        assert_eq!(h.next().await, "second");
        h.order(Order::Answer(Bytes::from_static(b"answer"))).await;
        assert_eq!(h.next().await, "Written");
        // With all of it handled the order holds.
        h.order(Order::CloseIdle { seen: 11 }).await;
        assert_eq!(h.next().await, "Shut");
        assert_eq!(h.rest().await, ("answer".into(), true));
        // What crossed the end is read over, and nobody answers it with a reset.
        h.says(b"third").await;
        drop(h.peer.shutdown().await);
        assert_eq!(h.next_of_two().await, ["Ended", "nothing more"]);
    });
}

impl Held {
    async fn next_of_two(&mut self) -> [String; 2] {
        [self.next().await, self.next().await]
    }
}

/// Come and not yet read, since its owner leaves no room: the order is given with right knowledge of what was handled, and
/// bytes lie in the socket all the same.
#[test]
fn a_close_looks_at_the_socket_too() {
    runs(async {
        let mut h = Held::new(1).await;
        h.says(b"first").await;
        while h.inbox.is_empty() {
            tokio::task::yield_now().await;
        }
        // The inbox is full: this one is read and waits in the task, or lies in the socket.
        h.says(b"second").await;
        h.order(Order::CloseIdle { seen: 5 }).await;
        assert_eq!(h.next().await, "first");
        assert_eq!(h.next().await, "second");
        h.order(Order::Answer(Bytes::from_static(b"answer"))).await;
        assert_eq!(h.next().await, "Written");
        h.order(Order::Finish).await;
        assert_eq!(h.next().await, "Shut");
        assert_eq!(h.rest().await, ("answer".into(), true));
    });
}

/// A last answer, and bytes that the other side goes on sending: it gets the whole of it and no reset, also if it reads late
/// and slowly through a small window.
#[test]
fn a_last_answer_arrives_whole_while_more_is_sent() {
    for (sends_on, slow) in [(false, false), (true, false), (false, true), (true, true)] {
        runs(async move {
            let mut h = Held::new(64).await;
            if slow {
                SockRef::from(&h.peer).set_recv_buffer_size(4 << 10).unwrap();
            }
            let body = vec![b'b'; 64 << 10];
            h.says(b"ask").await;
            assert_eq!(h.next().await, "ask");
            if sends_on {
                h.says(&[b'x'; 20_000]).await;
            }
            h.order(Order::Answer(body.clone().into())).await;
            h.order(Order::Finish).await;
            if sends_on {
                // As much as the task reads over is taken without a reset, before and after the end.
                h.says(&[b'y'; 20_000]).await;
            }
            let mut all = Vec::new();
            let mut piece = [0; 1 << 10];
            loop {
                let n = h.peer.read(&mut piece).await.expect("no reset");
                if n == 0 {
                    break;
                }
                all.extend_from_slice(&piece[..n]);
            }
            assert_eq!(all.len(), body.len(), "{sends_on} {slow}");
            drop(h.peer);
            loop {
                match h.inbox.recv().await {
                    Some((_, SocketEvent::Ended)) => break,
                    Some((_, SocketEvent::Came(_) | SocketEvent::Written | SocketEvent::Shut)) => {}
                    other => panic!("{other:?}"),
                }
            }
        });
    }
}

/// The end of a connection behind more bytes than anybody wants: it is seen, in order and by a reset.
#[test]
fn an_end_is_seen_behind_piled_up_bytes() {
    for reset in [false, true] {
        runs(async move {
            let mut h = Held::new(8).await;
            h.says(b"ask").await;
            assert_eq!(h.next().await, "ask");
            h.order(Order::Ignore).await;
            // Nothing that comes now is handed up: the next word is the end.
            while h.orders.capacity() < h.orders.max_capacity() {
                tokio::task::yield_now().await;
            }
            h.says(&[b'x'; 100_000]).await;
            if reset {
                SockRef::from(&h.peer).set_linger(Some(std::time::Duration::ZERO)).unwrap();
            }
            let Held { peer, orders, inbox } = h;
            drop(peer);
            let mut inbox = inbox;
            assert!(matches!(inbox.recv().await, Some((_, SocketEvent::Ended))), "{reset}");
            drop(orders);
        });
    }
}

/// Who sends without end behind an open request is cut off at a bound.
#[test]
fn what_is_read_over_has_a_bound() {
    runs(async {
        let mut h = Held::new(8).await;
        h.order(Order::Ignore).await;
        while h.orders.capacity() < h.orders.max_capacity() {
            tokio::task::yield_now().await;
        }
        let mut sent = 0;
        while h.peer.write_all(&[b'x'; 8 << 10]).await.is_ok() {
            sent += 8 << 10;
            assert!(sent < 64 << 20, "it never ends");
        }
        assert_eq!(h.next().await, "Ended");
    });
}

/// A message to a node, and bytes that nobody asked for: read and not yet handled; come and not yet read; none. Only in the
/// last case is it written.
#[test]
fn nothing_is_written_behind_what_nobody_asked_for() {
    runs(async {
        let send = |seen| Order::Send { bytes: Bytes::from_static(b"message"), seen };
        // Read, and its owner did not know yet.
        let mut h = Held::new(8).await;
        h.says(b"surplus").await;
        while h.inbox.is_empty() {
            tokio::task::yield_now().await;
        }
        h.order(send(0)).await;
        assert_eq!(h.next().await, "surplus");
        assert_eq!(h.next_of_two().await, ["Unwritten", "Ended"]);
        assert_eq!(h.rest().await.0, "");
        // It lies in the socket, as the inbox is full.
        let mut h = Held::new(1).await;
        h.says(b"one").await;
        while h.inbox.is_empty() {
            tokio::task::yield_now().await;
        }
        h.says(b"two").await;
        h.order(send(3)).await;
        assert_eq!(h.next().await, "one");
        let [second, third] = h.next_of_two().await;
        let order_first = second == "Unwritten";
        assert!(order_first || second == "two" && third == "Unwritten", "{second}, {third}");
        assert_eq!(h.rest().await.0, "");
        // Nothing came: it is written, and the answer follows.
        let mut h = Held::new(8).await;
        h.order(send(0)).await;
        assert_eq!(h.next().await, "Written");
        let mut got = [0; 7];
        h.peer.read_exact(&mut got).await.unwrap();
        h.says(b"answer").await;
        assert_eq!((&got, h.next().await.as_str()), (b"message", "answer"));
    });
}

/// The node's end, and a message to it: ended before, nothing is written and the word says so.
#[test]
fn an_end_before_the_message_is_no_message() {
    runs(async {
        let mut h = Held::new(1).await;
        h.says(b"one").await;
        while h.inbox.is_empty() {
            tokio::task::yield_now().await;
        }
        // The task stands still with what it has, so the end and the order are there together.
        h.says(b"two").await;
        h.peer.shutdown().await.unwrap();
        h.order(Order::Send { bytes: Bytes::from_static(b"message"), seen: 6 }).await;
        assert_eq!(h.next().await, "one");
        let mut words = Vec::new();
        loop {
            match h.next().await.as_str() {
                "nothing more" => break,
                word => words.push(word.to_string()),
            }
        }
        assert!(!words.contains(&"Written".to_string()) && words.last().unwrap() == "Ended", "{words:?}");
        assert_eq!(h.rest().await.0, "");
    });
}
