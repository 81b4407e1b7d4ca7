//! The task of a connection on real sockets. The test is both the owner of the task and the other side of the
//! connection, so it decides when input counts as handled and when bytes are sent. No test depends on a sleep.

use bytes::Bytes;
use gullsail_platform::core::ConnectionId;
use gullsail_platform::runtime::connection::{self, ConnectionEvent, Order, SocketEvent};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

struct TaskUnderTest {
    /// The other side of the connection.
    peer: TcpStream,
    orders: mpsc::Sender<Order>,
    events: mpsc::Receiver<ConnectionEvent>,
}

impl TaskUnderTest {
    /// Starts the task of an established connection. `event_queue`: the capacity of its queue of events.
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

    /// The next event as text: the received bytes, or the name of another event.
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

    /// The bytes that the other side receives until the connection ends.
    async fn read_to_end(&mut self) -> Received {
        let mut bytes = Vec::new();
        let end = self.peer.read_to_end(&mut bytes).await;
        Received {
            text: String::from_utf8_lossy(&bytes).into_owned(),
            closed_in_order: end.is_ok(),
        }
    }
}

#[derive(Debug, PartialEq)]
struct Received {
    text: String,
    /// Whether the connection ended without a reset.
    closed_in_order: bool,
}

impl Received {
    /// This text, and then the end of the connection without a reset.
    fn in_order(text: &str) -> Received {
        Received {
            text: text.to_string(),
            closed_in_order: true,
        }
    }
}

/// Runs a test on a new async runtime. Fails after 20 s.
fn run_async(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime
        .block_on(async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await })
        .unwrap();
}

/// The order to close an idle connection races a message of the client. A message that was reported before keeps the
/// connection open. A message that is received after the host's direction is closed is discarded.
#[test]
fn an_idle_close_is_ignored_while_reported_input_is_unhandled() {
    run_async(async {
        // The second message is reported, but the owner gives the order before it handles the message.
        let mut task = TaskUnderTest::new(8).await;
        task.peer_sends(b"first").await;
        assert_eq!(task.next_event().await, "first");
        task.peer_sends(b"second").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.order(Order::CloseIdle { bytes_handled: 5 }).await;
        assert_eq!(task.next_event().await, "second");
        task.order(Order::Respond(Bytes::from_static(b"answer").into()))
            .await;
        assert_eq!(task.next_event().await, "Written");
        // All input is handled, so the order is carried out.
        task.order(Order::CloseIdle { bytes_handled: 11 }).await;
        assert_eq!(task.next_event().await, "WriteClosed");
        assert_eq!(task.read_to_end().await, Received::in_order("answer"));
        // Input that is received after the close is discarded, without a reset.
        task.peer_sends(b"third").await;
        drop(task.peer.shutdown().await);
        assert_eq!(task.next_two_events().await, ["Closed", "nothing more"]);
    });
}

/// The last response races another message of the client. A message that was read, or is unread in the socket, keeps
/// the connection open. Without one the response announces the close, and the connection ends.
#[test]
fn the_last_response_keeps_the_connection_open_if_more_was_received() {
    let last = |bytes_handled| Order::RespondLast {
        bytes: Bytes::from_static(b"last").into(),
        if_more: Bytes::from_static(b"open").into(),
        bytes_handled,
    };
    run_async(async {
        let mut task = TaskUnderTest::new(8).await;
        task.peer_sends(b"first").await;
        assert_eq!(task.next_event().await, "first");
        task.peer_sends(b"second").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.order(last(5)).await;
        assert_eq!(task.next_two_events().await, ["second", "Written"]);
        task.order(last(11)).await;
        assert_eq!(task.next_event().await, "WriteClosed");
        assert_eq!(task.read_to_end().await, Received::in_order("openlast"));
        drop(task.peer.shutdown().await);
        assert_eq!(task.next_two_events().await, ["Closed", "nothing more"]);
    });
}

impl TaskUnderTest {
    async fn next_two_events(&mut self) -> [String; 2] {
        [self.next_event().await, self.next_event().await]
    }
}

/// The owner has handled all reported input, but more input is unread because the queue of events is full.
#[test]
fn an_idle_close_is_ignored_while_input_is_unread() {
    run_async(async {
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"first").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        // The queue is full, so this message waits in the task or is unread in the socket.
        task.peer_sends(b"second").await;
        task.order(Order::CloseIdle { bytes_handled: 5 }).await;
        assert_eq!(task.next_event().await, "first");
        assert_eq!(task.next_event().await, "second");
        task.order(Order::Respond(Bytes::from_static(b"answer").into()))
            .await;
        assert_eq!(task.next_event().await, "Written");
        task.order(Order::FinishAndClose).await;
        assert_eq!(task.next_event().await, "WriteClosed");
        assert_eq!(task.read_to_end().await, Received::in_order("answer"));
    });
}

/// Reads 1 KiB at a time until the connection ends, which must be without a reset. Returns the number of bytes.
async fn read_in_pieces(peer: &mut TcpStream) -> usize {
    let mut piece = [0; 1 << 10];
    let mut received = 0;
    loop {
        match peer.read(&mut piece).await.expect("no reset") {
            0 => return received,
            length => received += length,
        }
    }
}

/// A client receives the last response. It may read slowly through a small receive buffer, and may send more input
/// meanwhile.
async fn check_last_response(sends_more: bool, slow: bool) {
    let mut task = TaskUnderTest::new(64).await;
    if slow {
        SockRef::from(&task.peer)
            .set_recv_buffer_size(4 << 10)
            .unwrap();
    }
    let body = vec![b'b'; 64 << 10];
    task.peer_sends(b"ask").await;
    assert_eq!(task.next_event().await, "ask");
    if sends_more {
        task.peer_sends(&[b'x'; 20_000]).await;
    }
    task.order(Order::Respond(Bytes::from(body.clone()).into()))
        .await;
    task.order(Order::FinishAndClose).await;
    if sends_more {
        // The task discards this input, before and after it closes its direction, without a reset.
        task.peer_sends(&[b'y'; 20_000]).await;
    }
    let received = read_in_pieces(&mut task.peer).await;
    assert_eq!(received, body.len(), "{sends_more} {slow}");
    drop(task.peer);
    loop {
        match task
            .events
            .recv()
            .await
            .expect("Closed is the last event")
            .event
        {
            SocketEvent::Closed => break,
            SocketEvent::Received(_) | SocketEvent::Written | SocketEvent::WriteClosed => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a reset that destroys the last response on its way to the client.
#[test]
fn a_client_that_sends_more_or_reads_slowly_receives_the_complete_last_response() {
    for sends_more in [false, true] {
        for slow in [false, true] {
            run_async(check_last_response(sends_more, slow));
        }
    }
}

/// The connection ends after discarded input, once by a close and once by a reset.
#[test]
fn the_end_of_a_connection_is_reported_behind_discarded_input() {
    for reset in [false, true] {
        run_async(async move {
            let mut task = TaskUnderTest::new(8).await;
            task.peer_sends(b"ask").await;
            assert_eq!(task.next_event().await, "ask");
            task.order(Order::DiscardInput).await;
            // Once the task has taken the order, input is not reported any more: the next event is the close.
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

/// Guards against a client that sends without end behind an open request.
#[test]
fn a_connection_is_closed_when_discarded_input_exceeds_its_bound() {
    run_async(async {
        let mut task = TaskUnderTest::new(8).await;
        task.order(Order::DiscardInput).await;
        while task.orders.capacity() < task.orders.max_capacity() {
            tokio::task::yield_now().await;
        }
        let mut sent = 0;
        while task.peer.write_all(&[b'x'; 8 << 10]).await.is_ok() {
            sent += 8 << 10;
            assert!(sent < 64 << 20, "the connection stays open");
        }
        assert_eq!(task.next_event().await, "Closed");
    });
}

fn message(bytes_handled: u64) -> Order {
    Order::Send {
        bytes: Bytes::from_static(b"message").into(),
        bytes_handled,
        write_by: None,
    }
}

/// The process was held up after it had decided to send the message, until the message was of no use.
#[test]
fn a_message_is_not_written_after_its_time() {
    let second = std::time::Duration::from_secs(1);
    run_async(async {
        for (write_by, written) in [
            (Instant::now() - second, false),
            (Instant::now() + 600 * second, true),
        ] {
            let mut task = TaskUnderTest::new(8).await;
            task.order(Order::Send {
                bytes: Bytes::from_static(b"message").into(),
                bytes_handled: 0,
                write_by: Some(write_by),
            })
            .await;
            if written {
                assert_eq!(task.next_event().await, "Written");
            } else {
                assert_eq!(task.next_two_events().await, ["NotWritten", "Closed"]);
                assert_eq!(task.read_to_end().await.text, "");
            }
        }
    });
}

/// The input is reported, but the owner gives the order before it handles the input.
#[test]
fn a_message_is_not_written_while_reported_input_is_unhandled() {
    run_async(async {
        let mut task = TaskUnderTest::new(8).await;
        task.peer_sends(b"surplus").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.order(message(0)).await;
        assert_eq!(task.next_event().await, "surplus");
        assert_eq!(task.next_two_events().await, ["NotWritten", "Closed"]);
        assert_eq!(task.read_to_end().await.text, "");
    });
}

/// The second input is unread because the queue of events is full.
#[test]
fn a_message_is_not_written_while_input_is_unread() {
    run_async(async {
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"one").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        task.peer_sends(b"two").await;
        task.order(message(3)).await;
        assert_eq!(task.next_event().await, "one");
        let [second, third] = task.next_two_events().await;
        let order_came_first = second == "NotWritten";
        assert!(
            order_came_first || second == "two" && third == "NotWritten",
            "{second}, {third}"
        );
        assert_eq!(task.read_to_end().await.text, "");
    });
}

#[test]
fn a_message_is_written_if_no_input_was_received() {
    run_async(async {
        let mut task = TaskUnderTest::new(8).await;
        task.order(message(0)).await;
        assert_eq!(task.next_event().await, "Written");
        let mut received = [0; 7];
        task.peer.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"message");
        task.peer_sends(b"answer").await;
        assert_eq!(task.next_event().await, "answer");
    });
}

/// A node's close races the order to send a message. If the node closed first, no byte is written and the task does not
/// report the message as written.
#[test]
fn a_message_is_not_written_after_the_peer_has_closed() {
    run_async(async {
        let mut task = TaskUnderTest::new(1).await;
        task.peer_sends(b"one").await;
        while task.events.is_empty() {
            tokio::task::yield_now().await;
        }
        // The task is blocked on the full queue, so both the close and the order are pending when it continues.
        task.peer_sends(b"two").await;
        task.peer.shutdown().await.unwrap();
        task.order(Order::Send {
            bytes: Bytes::from_static(b"message").into(),
            bytes_handled: 6,
            write_by: None,
        })
        .await;
        assert_eq!(task.next_event().await, "one");
        let mut reports = Vec::new();
        loop {
            match task.next_event().await.as_str() {
                "nothing more" => break,
                report => reports.push(report.to_string()),
            }
        }
        assert!(
            !reports.contains(&"Written".to_string()) && reports.last().unwrap() == "Closed",
            "{reports:?}"
        );
        assert_eq!(task.read_to_end().await.text, "");
    });
}
