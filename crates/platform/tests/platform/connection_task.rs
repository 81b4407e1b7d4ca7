//! A connection's task on real sockets, with the crossing held still: the test is its owner, so it decides
//! when what was read is handled, and it is the other side, so it decides when bytes come. Nothing is hoped
//! for and nothing slept on.

use bytes::Bytes;
use gullsail_platform::core::ConnectionId;
use gullsail_platform::runtime::connection::{self, ConnectionEvent, Order, SocketEvent};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

struct TaskUnderTest {
    /// The other side.
    peer: TcpStream,
    orders: mpsc::Sender<Order>,
    events: mpsc::Receiver<ConnectionEvent>,
}

impl TaskUnderTest {
    /// With an established connection. `event_queue`: how many events may wait unread.
    async fn new(event_queue: usize) -> TaskUnderTest {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (orders, queue) = mpsc::channel(8);
        let (sink, events) = mpsc::channel(event_queue);
        tokio::spawn(connection::serve(ConnectionId(1), stream, queue, sink));
        TaskUnderTest {
            peer,
            orders,
            events,
        }
    }

    async fn order(&self, order: Order) {
        self.orders.send(order).await.unwrap();
    }

    /// What it says next.
    async fn next_event(&mut self) -> String {
        match self.events.recv().await {
            Some(ConnectionEvent {
                event: SocketEvent::Received(bytes),
                ..
            }) => String::from_utf8_lossy(&bytes).into_owned(),
            Some(ConnectionEvent { event: other, .. }) => format!("{other:?}"),
            None => "nothing more".into(),
        }
    }

    async fn peer_sends(&mut self, text: &[u8]) {
        self.peer.write_all(text).await.unwrap();
    }

    /// All that its peer is sent until the end of it, and whether that end was in order.
    async fn read_to_end(&mut self) -> (String, bool) {
        let mut all = Vec::new();
        let outcome_count = self.peer.read_to_end(&mut all).await;
        (
            String::from_utf8_lossy(&all).into_owned(),
            outcome_count.is_ok(),
        )
    }
}

fn runs(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime
        .block_on(async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await })
        .unwrap();
}

/// The order to close, and a message on the connection: read and not yet handled; received and not yet read;
/// come after. A message that was handed up keeps the connection; one that comes after the end of sending is
/// nobody's.
#[test]
fn a_close_loses_no_message() {
    runs(async {
        // Handed up; its owner did not know yet when it gave the order.
        let mut task = TaskUnderTest::new(8).await;
        task.peer_sends(b"first").await;
        assert_eq!(task.next_event().await, "first");
        task.peer_sends(b"second").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.order(Order::CloseIdle { bytes_handled: 5 }).await;
        assert_eq!(task.next_event().await, "second");
        task.order(Order::Respond(Bytes::from_static(b"answer")))
            .await;
        assert_eq!(task.next_event().await, "Written");
        // With all of it handled the order holds.
        task.order(Order::CloseIdle { bytes_handled: 11 }).await;
        assert_eq!(task.next_event().await, "WriteClosed");
        assert_eq!(task.read_to_end().await, ("answer".into(), true));
        // What crossed the end is read over, and nobody answers it with a reset.
        task.peer_sends(b"third").await;
        drop(task.peer.shutdown().await);
        assert_eq!(task.next_two_events().await, ["Closed", "nothing more"]);
    });
}

impl TaskUnderTest {
    async fn next_two_events(&mut self) -> [String; 2] {
        [self.next_event().await, self.next_event().await]
    }
}

/// Come and not yet read, since its owner leaves no room: the order is given with right knowledge of what was
/// handled, and bytes lie in the socket all the same.
#[test]
fn a_close_checks_the_socket_too() {
    runs(async {
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"first").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        // The inbox is full: this one is read and waits in the task, or lies in the socket.
        task.peer_sends(b"second").await;
        task.order(Order::CloseIdle { bytes_handled: 5 }).await;
        assert_eq!(task.next_event().await, "first");
        assert_eq!(task.next_event().await, "second");
        task.order(Order::Respond(Bytes::from_static(b"answer")))
            .await;
        assert_eq!(task.next_event().await, "Written");
        task.order(Order::FinishAndClose).await;
        assert_eq!(task.next_event().await, "WriteClosed");
        assert_eq!(task.read_to_end().await, ("answer".into(), true));
    });
}

/// A last answer, and bytes that the other side goes on sending: it gets the whole of it and no reset, also
/// if it reads late and slowly through a small window.
#[test]
fn a_last_response_arrives_whole_while_more_is_sent() {
    for (sends_on, slow) in [(false, false), (true, false), (false, true), (true, true)] {
        runs(async move {
            let mut task = TaskUnderTest::new(64).await;
            if slow {
                SockRef::from(&task.peer)
                    .set_recv_buffer_size(4 << 10)
                    .unwrap();
            }
            let body = vec![b'b'; 64 << 10];
            task.peer_sends(b"ask").await;
            assert_eq!(task.next_event().await, "ask");
            if sends_on {
                task.peer_sends(&[b'x'; 20_000]).await;
            }
            task.order(Order::Respond(body.clone().into())).await;
            task.order(Order::FinishAndClose).await;
            if sends_on {
                // As much as the task reads over is taken without a reset, before and after the end.
                task.peer_sends(&[b'y'; 20_000]).await;
            }
            let mut all = Vec::new();
            let mut piece = [0; 1 << 10];
            loop {
                let n = task.peer.read(&mut piece).await.expect("no reset");
                if n == 0 {
                    break;
                }
                all.extend_from_slice(&piece[..n]);
            }
            assert_eq!(all.len(), body.len(), "{sends_on} {slow}");
            drop(task.peer);
            loop {
                match task.events.recv().await {
                    Some(ConnectionEvent {
                        event: SocketEvent::Closed,
                        ..
                    }) => break,
                    Some(ConnectionEvent {
                        event:
                            SocketEvent::Received(_) | SocketEvent::Written | SocketEvent::WriteClosed,
                        ..
                    }) => {}
                    other => panic!("{other:?}"),
                }
            }
        });
    }
}

/// The end of a connection behind more bytes than anybody wants: it is seen, in order and by a reset.
#[test]
fn a_close_is_seen_behind_unread_input() {
    for reset in [false, true] {
        runs(async move {
            let mut task = TaskUnderTest::new(8).await;
            task.peer_sends(b"ask").await;
            assert_eq!(task.next_event().await, "ask");
            task.order(Order::DiscardInput).await;
            // Nothing received from now on is reported: the next event is the close.
            while task.orders.capacity() < task.orders.max_capacity() {
                tokio::task::yield_now().await;
            }
            task.peer_sends(&[b'x'; 100_000]).await;
            if reset {
                SockRef::from(&task.peer)
                    .set_linger(Some(std::time::Duration::ZERO))
                    .unwrap();
            }
            let TaskUnderTest {
                peer,
                orders,
                events,
            } = task;
            drop(peer);
            let mut events = events;
            assert!(
                matches!(
                    events.recv().await,
                    Some(ConnectionEvent {
                        event: SocketEvent::Closed,
                        ..
                    })
                ),
                "{reset}"
            );
            drop(orders);
        });
    }
}

/// Who sends without end behind an open request is cut off at a bound.
#[test]
fn discarded_input_has_a_bound() {
    runs(async {
        let mut task = TaskUnderTest::new(8).await;
        task.order(Order::DiscardInput).await;
        while task.orders.capacity() < task.orders.max_capacity() {
            tokio::task::yield_now().await;
        }
        let mut sent = 0;
        while task.peer.write_all(&[b'x'; 8 << 10]).await.is_ok() {
            sent += 8 << 10;
            assert!(sent < 64 << 20, "it never ends");
        }
        assert_eq!(task.next_event().await, "Closed");
    });
}

/// A message to a node, and unsolicited input: read and not yet handled; received and not yet read;
/// none. Only in the last case is it written.
#[test]
fn nothing_is_written_after_unsolicited_input() {
    runs(async {
        let send = |bytes_handled| Order::Send {
            bytes: Bytes::from_static(b"message"),
            bytes_handled,
        };
        // Read, and its owner did not know yet.
        let mut task = TaskUnderTest::new(8).await;
        task.peer_sends(b"surplus").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.order(send(0)).await;
        assert_eq!(task.next_event().await, "surplus");
        assert_eq!(task.next_two_events().await, ["NotWritten", "Closed"]);
        assert_eq!(task.read_to_end().await.0, "");
        // It lies in the socket, as the inbox is full.
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"one").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.peer_sends(b"two").await;
        task.order(send(3)).await;
        assert_eq!(task.next_event().await, "one");
        let [second, third] = task.next_two_events().await;
        let order_first = second == "NotWritten";
        assert!(
            order_first || second == "two" && third == "NotWritten",
            "{second}, {third}"
        );
        assert_eq!(task.read_to_end().await.0, "");
        // Nothing came: it is written, and the answer follows.
        let mut task = TaskUnderTest::new(8).await;
        task.order(send(0)).await;
        assert_eq!(task.next_event().await, "Written");
        let mut got = [0; 7];
        task.peer.read_exact(&mut got).await.unwrap();
        task.peer_sends(b"answer").await;
        assert_eq!(
            (&got, task.next_event().await.as_str()),
            (b"message", "answer")
        );
    });
}

/// The node's close races a message to it: if it closed before, nothing is written, and the report says so.
#[test]
fn a_close_before_the_message_prevents_it() {
    runs(async {
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"one").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        // The task stands still with what it has, so the end and the order are there together.
        task.peer_sends(b"two").await;
        task.peer.shutdown().await.unwrap();
        task.order(Order::Send {
            bytes: Bytes::from_static(b"message"),
            bytes_handled: 6,
        })
        .await;
        assert_eq!(task.next_event().await, "one");
        let mut reports = Vec::new();
        loop {
            match task.next_event().await.as_str() {
                "nothing more" => break,
                written_report => reports.push(written_report.to_string()),
            }
        }
        assert!(
            !reports.contains(&"Written".to_string()) && reports.last().unwrap() == "Closed",
            "{reports:?}"
        );
        assert_eq!(task.read_to_end().await.0, "");
    });
}
