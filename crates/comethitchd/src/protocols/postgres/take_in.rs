//! First stage: a client's connection, from its startup message to its end.

use crate::memory::buffer::Buffer;
use crate::memory::clients::{Permit, Stage};
use crate::memory::clock::{after, duration};
use crate::memory::commands::Reply;
use crate::memory::flag::{Close, Notice};
use crate::memory::hub::Hub;
use crate::memory::tally::count;
use crate::stages::admit::NotTaken;
use crate::stages::{admit, route};
use crate::wire::Malformed;
use crate::wire::postgres::{self, LARGEST_MESSAGE, Opening};
use async_io::Async;
use comethitch::time::Time;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use std::future::Future;
use std::io::{self, Read};
use std::net::{IpAddr, Shutdown, TcpStream};
use std::rc::Rc;

/// Once this much of further commands has come in, no more is read before the answer in hand.
const FURTHER: usize = 8 * 1024;

/// A client that has sent this many statements in a row that are no commands is not listened to any more.
const MOST_REJECTED: u32 = 8;

struct Client {
    hub: Rc<Hub>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    number: u32,
    /// The client's machine, as a number: its connections share what it may cost.
    origin: u64,
    notice: Rc<Notice>,
    /// When the bytes read last came in.
    arrived: Time,
    _permit: Permit,
    /// A command was answered here, so that the connection may be closed between two.
    served: bool,
    /// Statements in a row that were no commands.
    rejected: u32,
    /// A message that is not spoken here was met: all is skipped up to the next Sync.
    skipping: bool,
}

/// Why a client's connection ends here.
enum Stop {
    Left,
    Closing,
    Lost(&'static str),
    Io(io::Error),
}

impl From<Malformed> for Stop {
    fn from(malformed: Malformed) -> Stop {
        Stop::Lost(malformed.0)
    }
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Stop {
        Stop::Io(error)
    }
}

/// Serves a client. It is entered at once, whenever its task gets to run: a connection that is unknown yet
/// holds a descriptor all the same.
pub fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, permit: Permit) -> impl Future<Output = ()> {
    let _ = stream.get_ref().set_nodelay(true);
    let arrived = hub.now();
    let (number, notice) = hub.clients.enter(arrived);
    let buffer = Buffer::new(LARGEST_MESSAGE + 1, &hub.room);
    let origin = stream.get_ref().peer_addr().map_or(0, |address| match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        // An IPv6 network of 64 bits is one client's.
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u64,
    });
    let client = Client {
        hub,
        stream,
        buffer,
        number,
        origin,
        notice,
        arrived,
        _permit: permit,
        served: false,
        rejected: 0,
        skipping: false,
    };
    run(client)
}

async fn run(mut client: Client) {
    let (hub, number) = (client.hub.clone(), client.number);
    let stop = match client.open().await {
        Ok(()) => client.converse().await,
        Err(stop) => stop,
    };
    match stop {
        Stop::Lost(why) => {
            count(&hub.tally.rejected);
            client.dismiss("08P01", why).await;
        }
        Stop::Io(error) if error.kind() == io::ErrorKind::OutOfMemory => {
            count(&hub.tally.at_limit);
            client.dismiss("53300", "no room for this now").await;
        }
        Stop::Io(error) => log::debug!("client {number}: {error}"),
        Stop::Left | Stop::Closing => {}
    }
    hub.clients.leave(number);
}

impl Client {
    async fn open(&mut self) -> Result<(), Stop> {
        loop {
            match postgres::opening(self.buffer.unread())? {
                None => self.more().await?,
                Some((Opening::Cancel, _)) => return Err(Stop::Left),
                Some((Opening::Encryption, length)) => {
                    self.buffer.consume(length);
                    self.write(b"N").await?;
                }
                Some((Opening::Startup { minor }, length)) => {
                    self.buffer.consume(length);
                    let mut out = Vec::new();
                    postgres::put_welcome(&mut out, minor, self.number);
                    return self.write(&out).await;
                }
            }
        }
    }

    async fn converse(&mut self) -> Stop {
        loop {
            if let Err(stop) = self.message().await {
                return stop;
            }
        }
    }

    /// Reads more, while nothing of this client is in hand. How long that may take is looked after by the
    /// sweep of all clients, so that a command costs no timer here.
    async fn more(&mut self) -> Result<(), Stop> {
        let (empty, clients) = (self.buffer.unread().is_empty(), &self.hub.clients);
        let at_rest = empty && self.served;
        clients.turn(self.number, if at_rest { Stage::Idle } else { Stage::Asking }, self.hub.clock.now());
        let (stream, notice) = (&self.stream, &self.notice);
        let fill = async { Ok(self.buffer.fill(stream).await?) };
        let close = async {
            notice.reaches(if at_rest { Close::AtRest } else { Close::Now }).await;
            Err(Stop::Closing)
        };
        match fill.or(close).await {
            Ok(0) => return Err(Stop::Left),
            Err(Stop::Closing) if !empty => return Err(Stop::Lost("the rest of a message did not come")),
            // Something came at the last moment: it is read at the next turn.
            Err(Stop::Closing) if !self.hang_up() => return Ok(()),
            read => read?,
        };
        self.arrived = self.hub.arrival();
        Ok(())
    }

    /// Tells a client why it is not listened to any more. What it still sends is dropped for a while: closed
    /// with bytes unread, the connection would be reset, and the client might never read its error.
    async fn dismiss(&mut self, code: &'static str, why: &'static str) {
        log::debug!("client {}: {why}", self.number);
        self.hub.clients.turn(self.number, Stage::Ending, self.hub.clock.now());
        let notice = self.notice.clone();
        let told = async {
            let mut out = Vec::new();
            postgres::put_error(&mut out, "FATAL", code, why, None);
            self.write(&out).await.ok()?;
            self.stream.get_ref().shutdown(Shutdown::Write).ok()?;
            self.buffer.consume(self.buffer.unread().len());
            loop {
                self.stream.readable().await.ok()?;
                match self.stream.get_ref().read(&mut self.hub.dropped.borrow_mut()) {
                    Ok(length) if length > 0 => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return None,
                }
            }
        };
        told.or(async {
            notice.reaches(Close::Now).await;
            None::<()>
        })
        .await;
    }

    /// Ends the connection unless a command has come in that is not read yet; one that comes later is the
    /// client's to send again, as it sees the end first.
    fn hang_up(&self) -> bool {
        let stream = self.stream.get_ref();
        let come = stream.peek(&mut [0]).is_ok_and(|length| length > 0);
        if !come {
            let _ = stream.shutdown(Shutdown::Both);
        }
        !come
    }

    async fn message(&mut self) -> Result<(), Stop> {
        let Some(message) = postgres::message(self.buffer.unread())? else { return self.more().await };
        let length = message.raw.len();
        let mut out = Vec::new();
        let query = match message.kind {
            b'Q' => Some(postgres::query_text(message.body)?.to_vec()),
            b'X' => return Err(Stop::Left),
            b'S' => {
                self.skipping = false;
                postgres::put_ready(&mut out);
                None
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' => {
                if !std::mem::replace(&mut self.skipping, true) {
                    let text = "only simple queries are spoken here";
                    postgres::put_error(&mut out, "ERROR", "0A000", text, None);
                }
                None
            }
            b'H' | b'd' | b'c' | b'f' => None,
            _ => return Err(Stop::Lost("a message of unknown type")),
        };
        self.buffer.consume(length);
        match query.filter(|_| !self.skipping) {
            Some(text) => self.query(text, out).await,
            None if out.is_empty() => Ok(()),
            None => self.write(&out).await,
        }
    }

    async fn query(&mut self, text: Vec<u8>, mut out: Vec<u8>) -> Result<(), Stop> {
        if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            let hub = self.hub.clone();
            self.while_here(hub.ready.raised()).await?;
            postgres::put_empty(&mut out);
        } else if let Some(tag) = admit::session_statement(&self.hub, &text) {
            postgres::put_complete(&mut out, tag);
        } else {
            match admit::admit(&self.hub, text, self.arrived, self.origin) {
                // A hard limit: no decision is asked for.
                Ok(_) if self.hub.is_full() => {
                    count(&self.hub.tally.at_limit);
                    put_reply(&mut out, Reply::Throttled(None));
                }
                Ok(admitted) => {
                    self.hub.clients.turn(self.number, Stage::Busy, self.hub.clock.now());
                    let (id, reply) = route::take(&self.hub, admitted);
                    match self.while_here(reply.recv()).await {
                        Ok(Ok(reply)) => {
                            put_reply(&mut out, reply);
                            (self.served, self.rejected) = (true, 0);
                        }
                        _ => {
                            route::left(&self.hub, id);
                            return Err(Stop::Left);
                        }
                    }
                }
                Err(NotTaken::Throttled) => {
                    count(&self.hub.tally.throttled);
                    put_reply(&mut out, Reply::Throttled(None));
                }
                Err(NotTaken::Rejected(rejected)) => {
                    count(&self.hub.tally.rejected);
                    log::debug!("client {}: {}", self.number, rejected.text);
                    self.rejected += 1;
                    if self.rejected >= MOST_REJECTED {
                        return Err(Stop::Lost("too many statements that are no commands"));
                    }
                    postgres::put_error(&mut out, "ERROR", rejected.code, &rejected.text, None);
                }
            }
        }
        postgres::put_ready(&mut out);
        self.write(&out).await
    }

    /// Waits for something, and notices if the client goes away before it.
    async fn while_here<T>(&mut self, event: impl Future<Output = T>) -> Result<T, Stop> {
        let mut event = std::pin::pin!(event);
        loop {
            let (stream, buffer) = (&self.stream, &mut self.buffer);
            let come = async { Ok(event.as_mut().await) };
            let read = async {
                if buffer.unread().len() >= FURTHER {
                    future::pending::<()>().await;
                }
                Err(buffer.fill(stream).await)
            };
            match come.or(read).await {
                Ok(come) => return Ok(come),
                Err(Ok(length)) if length > 0 => self.arrived = self.hub.arrival(),
                Err(_) => return Err(Stop::Left),
            }
        }
    }

    /// Writes within the longest time that a client waits.
    async fn write(&self, bytes: &[u8]) -> Result<(), Stop> {
        let mut stream = &self.stream;
        let late = Err(io::ErrorKind::TimedOut.into());
        Ok(stream.write_all(bytes).or(after(duration(self.hub.longest_timeout), late)).await?)
    }
}

/// The answer as the client reads it, short of ReadyForQuery.
fn put_reply(out: &mut Vec<u8>, reply: Reply) {
    match reply {
        Reply::Value(value) if out.is_empty() => *out = value,
        Reply::Value(value) => out.extend(value),
        Reply::FailedBy(error) => out.extend(error),
        Reply::Throttled(retry_after) => {
            let advice = retry_after.map(|after| after.0.div_ceil(1_000).to_string());
            postgres::put_error(
                out,
                "ERROR",
                "53300",
                "not now; trying again is harmless",
                advice.as_deref(),
            );
        }
        Reply::Failed => {
            let text = "failed; nothing is known of its effect";
            postgres::put_error(out, "ERROR", "40003", text, None);
        }
    }
}
