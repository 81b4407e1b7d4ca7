//! Frames with a time after which they are of no use.

use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{Bounds, Frame, Message, Withdraw};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

#[tokio::test(flavor = "current_thread")]
async fn a_frame_whose_time_has_passed_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (here, _) = listener.accept().await.unwrap();
    let (sink, mut inbox) = mpsc::channel(16);
    let mut tasks = JoinSet::new();
    let from = Link::open(here, "from", Bounds::DEFAULT, 16, &sink, &mut tasks);
    let _to = Link::open(there, "to", Bounds::DEFAULT, 16, &sink, &mut tasks);
    let now = Instant::now();
    let frames: Vec<_> = (1..=3).map(|id| Frame::from(Withdraw { id })).collect();
    let all: usize = frames.iter().map(Frame::len).sum();
    let untils = [
        None,
        Some(now - Duration::from_millis(1)),
        Some(now + Duration::from_secs(60)),
    ];
    for (frame, until) in frames.into_iter().zip(untils) {
        from.send_by(frame, until).unwrap();
    }
    let (mut received, mut written) = (Vec::new(), 0);
    while received.len() < 2 || written < all {
        match inbox.recv().await.unwrap() {
            (
                _,
                LinkEvent::Frame(Frame {
                    message: Message::Withdraw(w),
                    ..
                }),
            ) => received.push(w.id),
            // The bytes of the dropped frame are counted too.
            (_, LinkEvent::Written(bytes)) => written += bytes,
            (who, other) => panic!("{who}: {other:?}"),
        }
    }
    assert_eq!((received, written), (vec![1, 3], all));
}
