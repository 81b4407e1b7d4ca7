//! The kernel's view of the host's connections: whether the host has read all input of a connection, and whether it has
//! closed it. An answer on another connection proves neither, since the host reads its connections in any order.

use crate::rig::{Host, SOON};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// One end of a connection, as `/proc/net/tcp` lists it.
struct SocketRow {
    /// Bytes sent and not yet acknowledged.
    unacknowledged: u64,
    /// Bytes received and not yet read.
    unread: u64,
    /// Identifies the socket among the descriptors of its process.
    inode: u64,
}

/// An address as `/proc/net/tcp` writes it.
fn kernel_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("IPv4 is expected");
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The row of a connection's end at `local`; `None`: the kernel lists none.
fn socket_row(local: SocketAddr, remote: SocketAddr) -> Option<SocketRow> {
    let ends = (kernel_address(local), kernel_address(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        if *columns.get(1)? != ends.0 || *columns.get(2)? != ends.1 {
            return None;
        }
        let (unacknowledged, unread) = columns.get(4)?.split_once(':')?;
        Some(SocketRow {
            unacknowledged: u64::from_str_radix(unacknowledged, 16).ok()?,
            unread: u64::from_str_radix(unread, 16).ok()?,
            inode: columns.get(9)?.parse().ok()?,
        })
    })
}

fn wait_until(error: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + SOON;
    while !holds() {
        assert!(Instant::now() < end, "{error}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The host's end of a client's connection.
pub struct HostSocket {
    inode: u64,
}

impl HostSocket {
    /// Waits until the host has accepted the connection and read all that the client has sent.
    pub fn when_read(host: &Host, client: &BufReader<TcpStream>) -> HostSocket {
        let client_address = client.get_ref().local_addr().unwrap();
        let mut inode = 0;
        wait_until("the host does not read", || {
            let sent = socket_row(client_address, host.address);
            let received = socket_row(host.address, client_address);
            inode = received.as_ref().map_or(0, |row| row.inode);
            sent.is_some_and(|row| row.unacknowledged == 0)
                && received.is_some_and(|row| row.unread == 0)
                && inode != 0
        });
        HostSocket { inode }
    }

    /// Waits until the host has closed the socket. The host closes it after it has read the end of the connection, and
    /// its core processes that end before any later event.
    pub fn wait_until_closed(&self, host: &Host) {
        let name = format!("socket:[{}]", self.inode);
        wait_until("the host does not close the connection", || {
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", host.child.id())).unwrap();
            let mut targets = descriptors.flatten().map(|entry| entry.path().read_link());
            !targets.any(|target| target.is_ok_and(|target| target.as_os_str() == name.as_str()))
        });
    }
}
