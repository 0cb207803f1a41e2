//! First stage: a client's connection, from its startup message to its end.

use crate::memory::clients::{Permit, Stage};
use crate::memory::commands::{Part, Reply};
use crate::memory::hub::Hub;
use crate::memory::tally::count;
use crate::protocols::line::{Line, Stop};
use crate::stages::admit::{Asked, NotTaken};
use crate::stages::{admit, route};
use crate::wire::postgres::{self, LARGEST_MESSAGE, Opening};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::FutureExt;
use std::future::Future;
use std::net::TcpStream;
use std::rc::Rc;

struct Client {
    line: Line,
    /// A message that is not spoken here was met: all is skipped up to the next Sync.
    skipping: bool,
}

/// Serves a client.
pub fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, permit: Permit) -> impl Future<Output = ()> {
    let line = Line::new(hub, stream, permit, LARGEST_MESSAGE + 1);
    run(Client { line, skipping: false })
}

async fn run(mut client: Client) {
    let stop = match client.open().await {
        Ok(()) => client.converse().await,
        Err(stop) => stop,
    };
    let told = |code, why| {
        let mut out = Vec::new();
        postgres::put_error(&mut out, "FATAL", code, why, None);
        out
    };
    client.line.end(stop, told).await;
}

impl Client {
    async fn open(&mut self) -> Result<(), Stop> {
        loop {
            match postgres::opening(self.line.buffer.unread())? {
                None => self.line.more().await?,
                Some((Opening::Cancel, length)) => {
                    // As the protocol has it, whoever asks learns nothing of what comes of it.
                    if let Some((number, key)) = postgres::cancels(&self.line.buffer.unread()[..length]) {
                        self.line.hub.clients.cancel(number, key);
                    }
                    return Err(Stop::Left);
                }
                Some((Opening::Encryption, length)) => {
                    self.line.consume(length);
                    self.line.write(b"N").await?;
                }
                Some((Opening::Startup { minor }, length)) => {
                    self.line.consume(length);
                    let mut out = Vec::new();
                    postgres::put_welcome(&mut out, minor, self.line.number, self.line.notice.key);
                    return self.line.write(&out).await;
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

    async fn message(&mut self) -> Result<(), Stop> {
        let Some(message) = postgres::message(self.line.buffer.unread())? else {
            return self.line.more().await;
        };
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
        self.line.consume(length);
        match query.filter(|_| !self.skipping) {
            Some(text) => self.query(text, out).await,
            None if out.is_empty() => Ok(()),
            None => self.line.write(&out).await,
        }
    }

    /// Passes the parts of a large value on; without an end the connection's own tells that it is not whole.
    async fn pass_on(&self, parts: &Receiver<Part>) -> Result<(), Stop> {
        while let Ok(part) = parts.recv().await {
            match part {
                Part::Bytes(bytes) => self.line.write(&bytes).await?,
                Part::End => return Ok(()),
            }
        }
        Err(Stop::Closing)
    }

    async fn query(&mut self, text: Vec<u8>, mut out: Vec<u8>) -> Result<(), Stop> {
        if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            let hub = self.line.hub.clone();
            self.line.while_here(hub.ready.raised()).await?;
            postgres::put_empty(&mut out);
        } else if let Some(tag) = admit::session_statement(&self.line.hub, &text) {
            postgres::put_complete(&mut out, tag);
        } else {
            let asked =
                Asked { text: &text, arguments: &[], arrived: self.line.arrived, origin: self.line.origin };
            match admit::admit(&self.line.hub, &asked) {
                // A hard limit: no decision is asked for.
                Ok(admitted) if self.line.hub.is_full() => {
                    count(&self.line.hub.tally.at_limit);
                    self.line.hub.turned_away(&admitted.name, "at_limit");
                    put_reply(&mut out, Reply::Throttled(None));
                }
                // It went while its statement waited to be read: nothing begins for it.
                Ok(_) if self.line.has_left() => return Err(Stop::Left),
                Ok(admitted) => {
                    self.line.hub.clients.turn(self.line.number, Stage::Busy, self.line.hub.clock.now());
                    let notice = self.line.notice.clone();
                    notice.begins();
                    let (id, reply) = route::take(&self.line.hub, admitted, text, b'Q');
                    let cancelled = async {
                        notice.cancelled().await;
                        Ok(Reply::Cancelled)
                    };
                    match self.line.while_here(reply.recv().or(cancelled)).await {
                        Ok(Ok(Reply::Cancelled)) => {
                            route::left(&self.line.hub, id);
                            put_reply(&mut out, Reply::Cancelled);
                            self.line.answered();
                        }
                        Ok(Ok(Reply::Begun(first, parts))) => {
                            out.extend(first);
                            self.line.write(&out).await?;
                            out.clear();
                            self.pass_on(&parts).await?;
                            self.line.answered();
                        }
                        Ok(Ok(reply)) => {
                            put_reply(&mut out, reply);
                            self.line.answered();
                        }
                        _ => {
                            route::left(&self.line.hub, id);
                            return Err(Stop::Left);
                        }
                    }
                }
                Err(NotTaken::Throttled) => {
                    count(&self.line.hub.tally.throttled);
                    self.line.hub.turned_away("", "statement_budget");
                    put_reply(&mut out, Reply::Throttled(None));
                }
                Err(NotTaken::Rejected(rejected)) => {
                    self.line.rejected(&rejected.text)?;
                    postgres::put_error(&mut out, "ERROR", rejected.code, &rejected.text, None);
                }
            }
        }
        postgres::put_ready(&mut out);
        self.line.write(&out).await
    }
}

/// The answer as the client reads it, short of ReadyForQuery.
fn put_reply(out: &mut Vec<u8>, reply: Reply) {
    match reply {
        Reply::Value(value) if out.is_empty() => *out = value,
        Reply::Value(value) => out.extend(value),
        // Passed on part by part before it comes here.
        Reply::Begun(first, _) => out.extend(first),
        Reply::FailedBy(error) => out.extend(error),
        Reply::Cancelled => {
            let text = "cancelled by its client; nothing is known of its effect";
            postgres::put_error(out, "ERROR", "57014", text, None);
        }
        Reply::Throttled(retry_after) => {
            let advice = retry_after.map(|after| after.as_micros().div_ceil(1_000).to_string());
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
