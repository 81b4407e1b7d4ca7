//! Frames that wait to be handled are bounded in bytes over all links. Whoever sends more waits, and goes on when
//! the budget has room.

use bytes::{Bytes, BytesMut};
use gullsail_connections::{Link, LinkEvent, ReadBudget, ReadLimits};
use gullsail_protocol::{Bounds, Frame, Withdraw};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

const BODY: usize = 300_000;
const LONG: Duration = Duration::from_secs(30);

/// Writes ten frames as fast as the other side reads them.
async fn write_ten_frames(mut stream: TcpStream) -> TcpStream {
    let frame = Frame::from(Withdraw { id: 1 }).with_body(Bytes::from(vec![7; BODY]));
    let mut wire = BytesMut::new();
    frame.encode_head(&mut wire);
    wire.extend_from_slice(&frame.body);
    for _ in 0..10 {
        stream.write_all(&wire).await.unwrap();
    }
    stream
}

#[test]
fn frames_that_wait_are_bounded_in_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        // budget in bytes, how many frames of each of two links may wait together
        for (all, most) in [(1_000_000, 3), (BODY + 1000, 1), (1000, 1)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (sink, mut inbox) = mpsc::channel(64);
            let mut tasks = JoinSet::new();
            let mut links = Vec::new();
            let budget = ReadBudget::new(all);
            for key in 0..2 {
                let stream = TcpStream::connect(listener.local_addr().unwrap())
                    .await
                    .unwrap();
                let (other, _) = listener.accept().await.unwrap();
                let within = ReadLimits {
                    bounds: Bounds::DEFAULT,
                    budget: Some(budget.clone()),
                };
                links.push(Link::open_within(other, key, within, 8, &sink, &mut tasks));
                tokio::spawn(write_ten_frames(stream));
            }
            let mut waiting = Vec::new();
            let mut received = 0;
            while received < 20 {
                // All that comes without bytes being given back, then one of them is handled.
                while let Ok(Some((_, event))) =
                    timeout(Duration::from_millis(40), inbox.recv()).await
                {
                    if let LinkEvent::Frame(frame) = event {
                        waiting.push(frame.len());
                        received += 1;
                    }
                }
                assert!(
                    waiting.len() <= most,
                    "{} wait in a budget of {all} bytes",
                    waiting.len()
                );
                let Some(bytes) = waiting.pop() else { continue };
                budget.give_back(bytes);
            }
            waiting
                .into_iter()
                .for_each(|bytes| budget.give_back(bytes));
            assert_eq!(
                timeout(LONG, async { budget.free_bytes() }).await,
                Ok(all),
                "all of it is given back"
            );
        }
    });
}
