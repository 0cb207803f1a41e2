//! Decodes a batch and makes of each of its records a call on the router that it concerns.

use crate::fields::Fields;
use crate::outlet::Reply;
use comethitch::time::{Duration, Timestamp};
use comethitch::{Deployment, Ending, Lifecycle, Router};
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
            let deployment = Deployment::read(text.map_err(|_| "the deployment text is not UTF-8")?)?;
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
                handle.left(router, out);
            }
        }
        18 => match record.u8(3)? {
            3 => router.list_failed(out),
            scope @ 0..=2 => {
                let bank = record.u32(12)?;
                let list = lists.get(&bank).ok_or_else(|| format!("list {bank} was never given"))?;
                router.list_starts(scope != 0);
                for entry in list.chunks_exact(ENTRY) {
                    listed(router, Fields(entry), out)?;
                }
                router.list_ends(out);
            }
            scope => return Err(format!("unknown list scope {scope}")),
        },
        20 => {
            let reported = router.deployment.reported(&report(record, 15)?);
            router.probed(record.host(7)?, ending(record.u16(13)?)?, reported, out);
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
            router.take(
                record.u32(3)?,
                group,
                record.f32(27)? as u16,
                record.u64(11)?,
                since_write,
                Duration::from_micros(record.u32(19)?.into()),
                out,
            );
        }
        23 => router.woken(out),
        26 => {
            let (noted, reported) = {
                let deployment = &router.deployment;
                (deployment.noted(record.u32(22)?), deployment.reported(&report(record, 26)?))
            };
            let ending = ending(record.u16(20)?)?;
            if let Some(handle) = router.handle(record.u32(3)?) {
                let over = record.u8(19)? != 0;
                handle.dispatch_ended(router, record.u16(7)?, ending, over, noted, reported, out);
            }
        }
        19 | 21 => {}
        _ => return Err("unknown event code".into()),
    }
    Ok(())
}

fn listed(router: &mut Router, entry: Fields, out: &mut Reply) -> Result<(), String> {
    let lifecycle = match entry.u8(10)? {
        0 => Lifecycle::Draining,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Gone,
        other => return Err(format!("unknown lifecycle {other} in a list")),
    };
    let started = entry.u64(19)?;
    router.listed(
        entry.host(0)?,
        entry.u8(6)?,
        entry.u16(8)?,
        lifecycle,
        entry.f32(11)? >= 0.5,
        f64::from(entry.f32(15)?),
        (started > 0).then_some(Timestamp::from_micros(started)),
        out,
    );
    Ok(())
}

fn report(record: Fields, at: usize) -> Result<Vec<f32>, String> {
    let told = usize::from(record.u8(at)?);
    (0..told.min(4)).map(|i| record.f32(at + 1 + 4 * i)).collect()
}

fn ending(code: u16) -> Result<Ending, String> {
    const ENDINGS: [Ending; 9] = [
        Ending::Answered,
        Ending::Error,
        Ending::Full,
        Ending::TimedOut,
        Ending::NoConnection,
        Ending::Reset,
        Ending::Cancelled,
        Ending::Moot,
        Ending::Miss,
    ];
    ENDINGS.get(usize::from(code)).copied().ok_or_else(|| format!("unknown ending {code}"))
}
