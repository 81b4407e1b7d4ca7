//! One connection, as a task: it reads as long as it may and carries out orders, one at a time. Whoever owns it ends it
//! by ending the task; whatever else ends it is told last.

use crate::core::ConnId;
use bytes::Bytes;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Read at once.
const PIECE: usize = 8 << 10;
/// A client that takes nothing of its answer for so long is given up.
const TAKES: Duration = Duration::from_secs(5);
/// What is read over behind a last answer: a close with bytes unread would destroy the answer on its way.
const OVER: usize = 256 << 10;
const OVER_FOR: Duration = Duration::from_millis(700);

/// What came of a connection.
#[derive(Debug)]
pub(super) enum Happened {
    Up,
    Came(Bytes),
    Written,
    Unwritten,
    Ended,
}

#[derive(Debug)]
pub(super) enum Order {
    Send(Bytes),
    Answer(Bytes),
    Reading(bool),
    Finish,
    CloseQuiet,
}

type Sink = mpsc::Sender<(ConnId, Happened)>;

pub(super) async fn dial(conn: ConnId, address: String, orders: mpsc::Receiver<Order>, sink: Sink) {
    // Names are not looked up: the platform has no service for it.
    if let Ok(address) = address.parse::<SocketAddr>()
        && let Ok(stream) = TcpStream::connect(address).await
        && sink.send((conn, Happened::Up)).await.is_ok()
    {
        return serve(conn, stream, orders, sink).await;
    }
    let _ = sink.send((conn, Happened::Ended)).await;
}

pub(super) async fn serve(
    conn: ConnId,
    mut stream: TcpStream,
    mut orders: mpsc::Receiver<Order>,
    sink: Sink,
) {
    // Without it small messages wait for one another; a socket that can't is over anyway.
    let _ = stream.set_nodelay(true);
    let ended = work(conn, &mut stream, &mut orders, &sink).await;
    drop(stream);
    if ended {
        let _ = sink.send((conn, Happened::Ended)).await;
    }
}

/// `false`: nobody wants to know.
async fn work(conn: ConnId, stream: &mut TcpStream, orders: &mut mpsc::Receiver<Order>, sink: &Sink) -> bool {
    let mut reading = true;
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                None => return false,
                Some(Order::Reading(on)) => reading = on,
                Some(Order::Send(bytes)) => {
                    if !quiet(stream) {
                        return sink.send((conn, Happened::Unwritten)).await.is_ok();
                    }
                    if stream.write_all(&bytes).await.is_err() {
                        return true;
                    }
                    if sink.send((conn, Happened::Written)).await.is_err() {
                        return false;
                    }
                }
                Some(Order::Answer(bytes)) => {
                    if !matches!(timeout(TAKES, stream.write_all(&bytes)).await, Ok(Ok(()))) {
                        return true;
                    }
                }
                Some(Order::CloseQuiet) if quiet(stream) => return true,
                Some(Order::CloseQuiet) => {}
                Some(Order::Finish) => {
                    if stream.shutdown().await.is_ok() {
                        read_over(stream).await;
                    }
                    return true;
                }
            },
            ready = stream.readable(), if reading => {
                let came = ready.and_then(|()| piece(stream));
                match came {
                    Ok(None) => {}
                    Ok(Some(bytes)) if bytes.is_empty() => return true,
                    Ok(Some(bytes)) => {
                        if sink.send((conn, Happened::Came(bytes))).await.is_err() {
                            return false;
                        }
                    }
                    Err(_) => return true,
                }
            }
        }
    }
}

/// `None`: nothing is there yet; empty: the other side has ended it.
fn piece(stream: &TcpStream) -> io::Result<Option<Bytes>> {
    let mut piece = [0; PIECE];
    match stream.try_read(&mut piece) {
        Ok(length) => Ok(Some(Bytes::copy_from_slice(&piece[..length]))),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Is it open, with nothing to be read? The socket itself is asked: what the runtime knows may be a moment old.
fn quiet(stream: &TcpStream) -> bool {
    let mut one = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

async fn read_over(stream: &TcpStream) {
    let (until, mut left) = (Instant::now() + OVER_FOR, OVER);
    while left > 0 {
        match timeout_at(until, stream.readable()).await {
            Ok(Ok(())) => match piece(stream) {
                Ok(None) => {}
                Ok(Some(bytes)) if !bytes.is_empty() => left = left.saturating_sub(bytes.len()),
                _ => return,
            },
            _ => return,
        }
    }
}
