//! First stage: a client's connection, from its startup message to its end.

use crate::memory::buffer::Buffer;
use crate::memory::clients::Permit;
use crate::memory::commands::Reply;
use crate::memory::flag::Flag;
use crate::service::clock::{after, duration};
use crate::service::daemon::Daemon;
use crate::service::tally::count;
use crate::stages::{admit, relay, route};
use crate::wire::Malformed;
use crate::wire::postgres::{self, LARGEST_MESSAGE, Opening};
use async_io::Async;
use comethitch::time::Time;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// How often the hosts' own idle limit a client may let its connection lie idle.
const CLIENT_IDLE: u64 = 10;

/// Once this much of further commands has come in, no more is read before the answer in hand.
const FURTHER: usize = 8 * 1024;

struct Client {
    daemon: Rc<Daemon>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    number: u32,
    closing: Flag,
    /// When the bytes read last came in.
    arrived: Time,
    _permit: Permit,
    /// A query was answered here, so that the connection may be closed between two.
    served: bool,
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

pub async fn serve(daemon: Rc<Daemon>, stream: Async<TcpStream>, permit: Permit) {
    let _ = stream.get_ref().set_nodelay(true);
    let (number, closing) = daemon.clients.enter();
    let mut client = Client {
        daemon: daemon.clone(),
        stream,
        buffer: Buffer::new(LARGEST_MESSAGE + 1),
        number,
        closing,
        arrived: daemon.now(),
        _permit: permit,
        served: false,
        skipping: false,
    };
    let stop = match client.open().await {
        Ok(()) => client.converse().await,
        Err(stop) => stop,
    };
    match stop {
        Stop::Lost(why) => {
            count(&daemon.tally.rejected);
            log::debug!("client {number}: {why}");
            let mut out = Vec::new();
            postgres::put_error(&mut out, "FATAL", "08P01", why, None);
            let _ = client.write(&out).await;
        }
        Stop::Io(error) => log::debug!("client {number}: {error}"),
        Stop::Left | Stop::Closing => {}
    }
    daemon.clients.leave(number);
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

    /// Reads more, while nothing of this client is in hand.
    async fn more(&mut self) -> Result<(), Stop> {
        let empty = self.buffer.unread().is_empty();
        let between = empty && self.served;
        if between {
            self.daemon.clients.idles(self.number, Some(self.daemon.now()));
        }
        let (stream, closing) = (&self.stream, &self.closing);
        let soon = self.daemon.site.deployment.connect_timeout;
        let limit = duration(match between {
            true => self.daemon.site.host_idle * CLIENT_IDLE,
            false => self.daemon.site.host_idle,
        });
        let fill = async { Ok(self.buffer.fill(stream).await?) };
        let close = async {
            closing.raised().await;
            // A command that has begun to come in is waited for, and for a moment a first one that has not.
            match (empty, between) {
                (true, true) => {}
                (true, false) => after(duration(soon), ()).await,
                (false, _) => future::pending::<()>().await,
            }
            Err(Stop::Closing)
        };
        let read = fill.or(close).or(after(limit, Err(Stop::Closing))).await;
        self.daemon.clients.idles(self.number, None);
        match read {
            Ok(0) => return Err(Stop::Left),
            // Something came at the last moment: it is read at the next turn.
            Err(Stop::Closing) if !self.hang_up() => return Ok(()),
            read => read?,
        };
        self.arrived = self.daemon.arrival();
        Ok(())
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
            let daemon = self.daemon.clone();
            self.while_here(daemon.ready.raised()).await?;
            postgres::put_empty(&mut out);
        } else if let Some(tag) = admit::session_statement(&text) {
            postgres::put_complete(&mut out, tag);
        } else {
            match admit::admit(&self.daemon, text, self.arrived) {
                // A hard limit: no decision is asked for.
                Ok(_) if self.daemon.is_full() => {
                    count(&self.daemon.tally.at_limit);
                    relay::put_reply(&mut out, Reply::Throttled(None));
                }
                Ok(admitted) => {
                    let (id, reply) = route::take(&self.daemon, admitted);
                    match self.while_here(reply.recv()).await {
                        Ok(Ok(reply)) => relay::put_reply(&mut out, reply),
                        _ => {
                            route::left(&self.daemon, id);
                            return Err(Stop::Left);
                        }
                    }
                }
                Err(rejected) => {
                    count(&self.daemon.tally.rejected);
                    log::debug!("client {}: {}", self.number, rejected.text);
                    postgres::put_error(&mut out, "ERROR", rejected.code, &rejected.text, None);
                }
            }
        }
        postgres::put_ready(&mut out);
        self.write(&out).await?;
        self.served = true;
        Ok(())
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
                Err(Ok(length)) if length > 0 => self.arrived = self.daemon.arrival(),
                Err(_) => return Err(Stop::Left),
            }
        }
    }

    /// Writes within the longest time that a client waits.
    async fn write(&self, bytes: &[u8]) -> Result<(), Stop> {
        let mut stream = &self.stream;
        let late = Err(io::ErrorKind::TimedOut.into());
        Ok(stream.write_all(bytes).or(after(duration(self.daemon.longest_timeout), late)).await?)
    }
}
