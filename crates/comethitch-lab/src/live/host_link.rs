//! The link between a router and a host. Messages arrive in order, each after the delay of the link; messages
//! that are sent one behind the other spend the delay at the same time.

use super::network::{Message, now};
use super::state::SharedFleet;
use crate::links::Destination;
use async_channel::{Receiver, Sender, unbounded};
use async_io::Async;
use comethitch_policy::time::Timestamp;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// Size of each read from a connection.
const READ_BYTES: usize = 4096;
/// Length of a message's type byte and length field.
const HEADER_BYTES: usize = 5;
/// Length of the type byte, which the length field does not count.
const TYPE_BYTES: usize = 1;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Bytes as they were received from a router, before the delay of the link.
struct Chunk {
    received_at: Timestamp,
    bytes: Vec<u8>,
}

/// A reply of a host, before the delay of the link.
struct SentReply {
    sent_at: Timestamp,
    bytes: Vec<u8>,
    resettable: bool,
}

/// A message of a router.
pub(super) struct ReceivedMessage {
    pub message: Message,
    /// When the router's last byte of it was received, before the delay of the link.
    pub received_at: Timestamp,
}

/// The host's end of the link. Closes the connection when it is dropped.
pub(super) struct HostLink {
    fleet: SharedFleet,
    router: usize,
    host: usize,
    stream: Rc<Async<TcpStream>>,
    chunks: Receiver<Chunk>,
    /// Chunks that were received while the end of the connection was awaited.
    pending: VecDeque<Chunk>,
    /// Bytes of chunks that belong to no complete message yet.
    buffer: Vec<u8>,
    /// When the last bytes of `buffer` were received.
    received_at: Timestamp,
    replies: Sender<SentReply>,
}

impl HostLink {
    /// Starts to receive from a connection whose session has started.
    pub(super) fn new(fleet: &SharedFleet, router: usize, host: usize, stream: Async<TcpStream>) -> HostLink {
        let stream = Rc::new(stream);
        let (chunk_sender, chunks) = unbounded();
        let (replies, reply_receiver) = unbounded();
        fleet.spawn(receive(stream.clone(), chunk_sender));
        fleet.spawn(deliver_replies(fleet.clone(), router, host, stream.clone(), reply_receiver));
        HostLink {
            fleet: fleet.clone(),
            router,
            host,
            stream,
            chunks,
            pending: VecDeque::new(),
            buffer: Vec::new(),
            received_at: now(),
            replies,
        }
    }

    /// Reads the next message, without waiting for the delay of the link.
    pub(super) async fn next_message(&mut self) -> io::Result<ReceivedMessage> {
        loop {
            if let Some(message) = take_message(&mut self.buffer)? {
                return Ok(ReceivedMessage { message, received_at: self.received_at });
            }
            let chunk = match self.pending.pop_front() {
                Some(chunk) => chunk,
                None => self.chunks.recv().await.map_err(|_| io::ErrorKind::UnexpectedEof)?,
            };
            self.received_at = chunk.received_at;
            self.buffer.extend(chunk.bytes);
        }
    }

    /// Waits until a message that was received at this time has arrived. Returns `false` if the message is
    /// lost. Only a `resettable` message can be lost to a reset of the connection.
    pub(super) async fn arrival(&self, received_at: Timestamp, resettable: bool) -> bool {
        self.fleet.transmit(self.router, self.host, Destination::Host, received_at, resettable).await
    }

    /// Sends a reply, which is delivered while this end continues. If it is lost, the connection is closed.
    pub(super) fn reply(&self, bytes: Vec<u8>, resettable: bool) {
        // This fails if the connection was closed.
        let _ = self.replies.try_send(SentReply { sent_at: now(), bytes, resettable });
    }

    /// Waits until the router closes the connection. What it sends until then is kept.
    pub(super) async fn wait_until_closed(&mut self) {
        while let Ok(chunk) = self.chunks.recv().await {
            self.pending.push_back(chunk);
        }
    }
}

impl Drop for HostLink {
    fn drop(&mut self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
    }
}

async fn receive(stream: Rc<Async<TcpStream>>, chunks: Sender<Chunk>) {
    let mut bytes = [0; READ_BYTES];
    while let Ok(length @ 1..) = (&*stream).read(&mut bytes).await {
        let chunk = Chunk { received_at: now(), bytes: bytes[..length].to_vec() };
        if chunks.try_send(chunk).is_err() {
            return;
        }
    }
}

async fn deliver_replies(
    fleet: SharedFleet, router: usize, host: usize, stream: Rc<Async<TcpStream>>,
    replies: Receiver<SentReply>,
) {
    while let Ok(SentReply { sent_at, bytes, resettable }) = replies.recv().await {
        let arrives = fleet.transmit(router, host, Destination::Router, sent_at, resettable).await;
        if !arrives || (&*stream).write_all(&bytes).await.is_err() {
            break;
        }
    }
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

/// Removes the first message from a buffer. Returns `None` if it is incomplete.
fn take_message(buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some([kind, length @ ..]) = buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let (kind, length) = (*kind, u32::from_be_bytes(*length) as usize);
    if !(HEADER_BYTES - TYPE_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if buffer.len() < TYPE_BYTES + length {
        return Ok(None);
    }
    let body = buffer[HEADER_BYTES..TYPE_BYTES + length].to_vec();
    buffer.drain(..TYPE_BYTES + length);
    Ok(Some(Message { kind, body }))
}
