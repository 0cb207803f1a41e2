//! Loopback addresses and sockets, timers, and the PostgreSQL messages that pass between clients, routers and hosts.

use crate::error::PlayError;
use async_io::{Async, Timer};
use comethitch_policy::time::{Duration, Timestamp};
pub(super) use comethitch_testkit::postgres::message_type;
use futures_lite::AsyncReadExt;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::SystemTime;

/// The most connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// The longest message, in bytes.
const LONGEST_MESSAGE: usize = 1 << 20;
/// The length field of a message counts itself.
const LENGTH_FIELD: usize = 4;
/// The second byte of the first router's addresses.
const FIRST_BLOCK: u8 = 64;

/// A PostgreSQL message.
pub(super) struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// What an address of a router is for: the last byte of the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Where it dials hosts.
    Hosts = 1,
    /// Where its clients dial it.
    Clients = 2,
    /// Where it dials service discovery.
    Discovery = 3,
}

/// The present, since the Unix epoch.
pub(super) fn now() -> Timestamp {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(elapsed.as_micros() as u64)
}

/// Waits this long.
pub(super) async fn sleep(duration: Duration) {
    Timer::after(duration.to_std()).await;
}

/// Waits until this time, or not at all if it has passed.
pub(super) async fn sleep_until(at: Timestamp) {
    sleep(at - now()).await;
}

/// A router's own address for a purpose.
pub(super) fn address(router: usize, purpose: Purpose) -> Ipv4Addr {
    Ipv4Addr::new(127, FIRST_BLOCK + (router >> 8) as u8, router as u8, purpose as u8)
}

/// The router whose address this is.
fn router_at(address: Ipv4Addr) -> Option<usize> {
    match address.octets() {
        [127, block @ FIRST_BLOCK..=127, low, _] => {
            Some(usize::from(block - FIRST_BLOCK) << 8 | usize::from(low))
        }
        _ => None,
    }
}

/// The router that dialled this connection: it did so at an address of its own.
pub(super) fn dialling_router(stream: &Async<TcpStream>) -> Option<usize> {
    match stream.get_ref().local_addr().ok()?.ip() {
        IpAddr::V4(address) => router_at(address),
        IpAddr::V6(_) => None,
    }
}

/// A listener and its port.
pub(super) struct Listener {
    pub listener: Async<TcpListener>,
    pub port: u16,
}

/// Listens on all loopback addresses and no others, at a port that is free.
pub(super) fn listen() -> Result<Listener, PlayError> {
    bind().map_err(PlayError::Listen)
}

fn bind() -> io::Result<Listener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Where the system does not allow it, the check of each connection's address is enough.
    let _ = socket.bind_device(Some(b"lo"));
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.listen(BACKLOG)?;
    let listener = TcpListener::from(socket);
    let port = listener.local_addr()?.port();
    Ok(Listener { listener: Async::new(listener)?, port })
}

/// Reads the next message.
pub(super) async fn read_message(stream: &mut Async<TcpStream>) -> io::Result<Message> {
    let mut head = [0; 1 + LENGTH_FIELD];
    stream.read_exact(&mut head).await?;
    let [kind, length @ ..] = head;
    let length = u32::from_be_bytes(length) as usize;
    if !(LENGTH_FIELD..=LONGEST_MESSAGE).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - LENGTH_FIELD];
    stream.read_exact(&mut body).await?;
    Ok(Message { kind, body })
}
