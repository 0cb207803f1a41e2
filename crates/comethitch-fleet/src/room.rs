//! Room: how much work one router may have in hand at a host, or at a group of hosts for one command group.
//!
//! All routers together fill a host, and each sees only its own answers. Room is cut when a run of them is late and
//! grows back with those in time; the caller says how small it may get, which is the router's part of what the
//! host holds from all.

use comethitch_time::{Duration, Timestamp};

/// From this share of late answers on there is a crowd.
const LATE_SHARE: f64 = 0.15;

/// Work in hand, and how much may be.
#[derive(Clone, Debug)]
pub struct Room {
    pub load: Duration,
    pub limit: Duration,
    /// The share of late answers among the last few.
    pub lateness: f64,
    cut: Timestamp,
}

impl Default for Room {
    /// Without limit, until one is set or answers are late.
    fn default() -> Room {
        Room { load: Duration::ZERO, limit: Duration::MAX, lateness: 0.0, cut: Timestamp::ZERO }
    }
}

impl Room {
    /// Whether so much more work fits in; `stretch` is how much more room a long command finds. Where none is out one is
    /// let in, unless late answers have cut the room to less than that: then as often as the part of one that it holds,
    /// by `draw`, from 0 up to 1. Three hundred routers with one command each at a host are a crowd, too.
    ///
    /// ```
    /// use comethitch_fleet::room::Room;
    /// use comethitch_time::Duration;
    /// let mut room = Room::default();
    /// room.limit = Duration::from_micros(100);
    /// assert!(room.holds(Duration::from_micros(500), 1.0, 0.9), "the first, as long as nothing was late");
    /// room.load = Duration::from_micros(80);
    /// assert!(room.holds(Duration::from_micros(20), 1.0, 0.0) && !room.holds(Duration::from_micros(21), 1.0, 0.0) && room.holds(Duration::from_micros(100), 2.0, 0.0));
    /// ```
    pub fn holds(&self, work: Duration, stretch: f64, draw: f64) -> bool {
        let limit = self.limit.scaled(stretch);
        match self.load {
            Duration::ZERO => self.cut == Timestamp::ZERO || work.scaled(draw) <= limit,
            load => load + work <= limit,
        }
    }

    /// A command with this work ended; `late` is none where its ending says nothing of the room. Only a run of late
    /// answers cuts room, once `every` and not below `least`: a long command now and then is no queue. Where a
    /// router sees little of each host, the share `together` of all hosts shows a crowd sooner.
    pub fn ended(
        &mut self, work: Duration, late: Option<bool>, together: f64, least: Duration, every: Duration,
        now: Timestamp,
    ) {
        let load = self.load;
        self.load = load - work;
        let Some(late) = late else { return };
        self.lateness += (f64::from(u8::from(late)) - self.lateness) / 16.0;
        let lateness = self.lateness.max(together);
        if late && lateness > LATE_SHARE && now - self.cut > every {
            let kept = (1.0 - lateness / 2.0).min(1.0 - LATE_SHARE);
            (self.cut, self.limit) = (now, self.limit.min(load * 2).scaled(kept).max(least));
        } else if !late && load > self.limit / 2 {
            self.limit += work.scaled(0.1);
        }
    }
}

#[cfg(test)]
mod tests;
