//! Decodes a batch and makes of each of its records a call on the router that it concerns.

use crate::fields::Fields;
use crate::outlet::Reply;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{
    AttemptEnd, AttemptOutcome, CommandRequest, Deployment, Endpoint, EndpointUpdate, Lifecycle, Router,
};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

pub const HEADER: usize = 16;
const RECORD: usize = 48;
const ENTRY: usize = 27;

/// The routers hosted here, which share nothing, and the lists that the wire numbers.
#[derive(Default)]
pub struct Session {
    routers: BTreeMap<u16, Router>,
    lists: BTreeMap<u32, Vec<u8>>,
    reply: Reply,
}

impl Session {
    pub fn reply_to(&mut self, frame: &[u8]) -> Result<&[u8], String> {
        let header = Fields(frame);
        let count = header.u32(0)? as usize;
        let tail = count.checked_mul(RECORD).and_then(|length| length.checked_add(HEADER));
        let tail = tail
            .filter(|at| *at <= frame.len())
            .ok_or_else(|| format!("short frame: {count} records do not fit into {} bytes", frame.len()))?;
        self.reply.start(Timestamp::from_micros(header.u64(8)?));
        for (i, record) in frame[HEADER..tail].chunks_exact(RECORD).enumerate() {
            self.take_in(Fields(record), Fields(&frame[tail..]))
                .map_err(|e| format!("record {i} (code {}, byte {}): {e}", record[0], HEADER + i * RECORD))?;
        }
        Ok(self.reply.finish())
    }

    fn take_in(&mut self, record: Fields, tail: Fields) -> Result<(), String> {
        let code = record.u8(0)?;
        if code == 25 {
            let entries = tail.named_by(record, 5, ENTRY)?;
            let list = self.lists.entry(record.u32(1)?).or_default();
            list.clear();
            list.extend_from_slice(entries);
            return Ok(());
        }
        let instance = record.u16(1)?;
        let out = self.reply.of(instance);
        if code == 24 {
            let text = std::str::from_utf8(tail.named_by(record, 11, 1)?);
            let text = text.map_err(|_| "the deployment text is not UTF-8")?;
            let deployment = Deployment::read(text).map_err(|error| error.to_string())?;
            self.routers.insert(instance, Router::start(deployment, record.u64(3)?, out));
            return Ok(());
        }
        if code == 16 {
            self.routers.remove(&instance);
            return Ok(());
        }
        let Some(router) = self.routers.get_mut(&instance) else {
            return match code {
                17..=26 => Ok(()),
                _ => Err("unknown event code".into()),
            };
        };
        let decided = catch_unwind(AssertUnwindSafe(|| decide(router, code, record, &self.lists, out)));
        decided.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the decision failed");
            self.reply.bail_out(text);
            self.routers.remove(&instance);
            Ok(())
        })
    }
}

fn decide(
    router: &mut Router, code: u8, record: Fields, lists: &BTreeMap<u32, Vec<u8>>, out: &mut Reply,
) -> Result<(), String> {
    match code {
        17 => {
            if let Some(handle) = router.handle(record.u32(3)?) {
                handle.client_disconnected(router, out);
            }
        }
        18 => match record.u8(3)? {
            3 => router.endpoints_unavailable(out),
            scope @ 0..=2 => {
                let bank = record.u32(12)?;
                let list = lists.get(&bank).ok_or_else(|| format!("list {bank} was never given"))?;
                let endpoints = list.chunks_exact(ENTRY).map(|entry| endpoint(Fields(entry)));
                let endpoints = endpoints.collect::<Result<_, _>>()?;
                router.update_endpoints(&EndpointUpdate { complete: scope != 0, endpoints }, out);
            }
            scope => return Err(format!("unknown list scope {scope}")),
        },
        20 => {
            let reported = router.deployment.parse_report(&report(record, 15)?);
            router.health_checked(record.host(7)?, ending(record.u16(13)?)?, reported, out);
        }
        22 => {
            let group = usize::from(record.u16(7)?);
            if group >= router.deployment.groups.len() {
                return Err(format!("unknown command group {group}"));
            }
            // Rounded down: a commit that looks later than it was asks for more, never for less.
            let since_write = record.f32(31)?;
            let since_write = (since_write > 0.0)
                .then(|| Duration::from_micros((f64::from(since_write.next_down()) * 1000.0) as u64));
            let request = CommandRequest {
                id: record.u32(3)?,
                group,
                shard: record.f32(27)? as u16,
                session: record.u64(11)?,
                since_write,
                timeout: Duration::from_micros(record.u32(19)?.into()),
            };
            router.submit(request, out);
        }
        23 => router.tick(out),
        26 => {
            let deployment = &router.deployment;
            let end = AttemptEnd {
                attempt: record.u16(7)?,
                outcome: ending(record.u16(20)?)?,
                command_finished: record.u8(19)? != 0,
                note: deployment.parse_note(record.u32(22)?),
                report: deployment.parse_report(&report(record, 26)?),
            };
            if let Some(handle) = router.handle(record.u32(3)?) {
                handle.attempt_ended(router, end, out);
            }
        }
        19 | 21 => {}
        _ => return Err("unknown event code".into()),
    }
    Ok(())
}

fn endpoint(entry: Fields) -> Result<Endpoint, String> {
    let lifecycle = match entry.u8(10)? {
        0 => Lifecycle::Draining,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Removed,
        other => return Err(format!("unknown lifecycle {other} in a list")),
    };
    let started = entry.u64(19)?;
    Ok(Endpoint {
        host: entry.host(0)?,
        zone: entry.u8(6)?,
        shard: entry.u16(8)?,
        lifecycle,
        is_primary: entry.f32(11)? >= 0.5,
        capacity: f64::from(entry.f32(15)?),
        started: (started > 0).then_some(Timestamp::from_micros(started)),
    })
}

fn report(record: Fields, at: usize) -> Result<Vec<f32>, String> {
    let told = usize::from(record.u8(at)?);
    (0..told.min(4)).map(|i| record.f32(at + 1 + 4 * i)).collect()
}

fn ending(code: u16) -> Result<AttemptOutcome, String> {
    const ENDINGS: [AttemptOutcome; 9] = [
        AttemptOutcome::Answered,
        AttemptOutcome::Error,
        AttemptOutcome::Overloaded,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionFailed,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
        AttemptOutcome::NotPrimary,
    ];
    ENDINGS.get(usize::from(code)).copied().ok_or_else(|| format!("unknown ending {code}"))
}
