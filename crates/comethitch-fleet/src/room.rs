//! Room: how much work one router may have in hand at a host, or at a group of hosts for one command group.
//!
//! All routers together fill a host, and each sees only its own answers. Room is cut when a run of them is late and
//! grows back with those in time; the caller says how small it may get, which is the router's part of what the
//! host holds from all.

use comethitch_time::{Span, Time};

/// From this share of late answers on there is a crowd.
const LATE_SHARE: f64 = 0.15;

/// Work in hand, and how much may be.
#[derive(Clone, Debug)]
pub struct Room {
    pub load: Span,
    pub limit: Span,
    /// The share of late answers among the last few.
    pub lateness: f64,
    cut: Time,
}

impl Default for Room {
    /// Without limit, until one is set or answers are late.
    fn default() -> Room {
        Room { load: Span(0), limit: Span(u64::MAX), lateness: 0.0, cut: Time(0) }
    }
}

impl Room {
    /// Whether so much more work fits in; `stretch` is how much more room a long command finds. Where none is out one is
    /// let in, unless late answers have cut the room to less than that: then as often as the part of one that it holds,
    /// by `draw`, from 0 up to 1. Three hundred routers with one command each at a host are a crowd, too.
    ///
    /// ```
    /// use comethitch_fleet::room::Room;
    /// use comethitch_time::Span;
    /// let mut room = Room::default();
    /// room.limit = Span(100);
    /// assert!(room.holds(Span(500), 1.0, 0.9), "the first, as long as nothing was late");
    /// room.load = Span(80);
    /// assert!(room.holds(Span(20), 1.0, 0.0) && !room.holds(Span(21), 1.0, 0.0) && room.holds(Span(100), 2.0, 0.0));
    /// ```
    pub fn holds(&self, work: Span, stretch: f64, draw: f64) -> bool {
        let limit = self.limit.scaled(stretch);
        match self.load {
            Span(0) => self.cut == Time(0) || work.scaled(draw) <= limit,
            load => load + work <= limit,
        }
    }

    /// A command with this work ended; `late` is none where its ending says nothing of the room. Only a run of late
    /// answers cuts room, once `every` and not below `least`: a long command now and then is no queue. Where a
    /// router sees little of each host, the share `together` of all hosts shows a crowd sooner.
    pub fn ended(
        &mut self, work: Span, late: Option<bool>, together: f64, least: Span, every: Span, now: Time,
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
mod tests {
    use super::*;

    const WORK: Span = Span(100_000);

    fn play(room: &mut Room, answers: u64, late: bool, from: u64) {
        for k in 0..answers {
            room.load = WORK * 4;
            room.ended(WORK, Some(late), 0.0, WORK, Span(500_000), Time(from + k * 100_000));
        }
    }

    #[test]
    fn a_run_of_late_answers_cuts_room_and_one_alone_does_not() {
        let mut room = Room { limit: WORK * 8, ..Room::default() };
        play(&mut room, 1, true, 10_000_000);
        assert_eq!(room.limit, WORK * 8, "one is no run");
        play(&mut room, 40, true, 11_000_000);
        assert_eq!(room.limit, WORK, "cut to the least, and no further");
        play(&mut room, 40, false, 16_000_000);
        assert!(room.limit >= WORK * 4, "answers in time give it back: {:?}", room.limit);
    }

    #[test]
    fn a_room_cut_to_a_part_of_a_command_lets_it_in_as_often_as_that() {
        let mut room = Room { limit: WORK, lateness: 1.0, ..Room::default() };
        assert!(room.holds(WORK, 1.0, 0.99), "nothing was late here yet");
        room.load = WORK;
        room.ended(WORK, Some(true), 0.0, WORK / 4, Span(500_000), Time(10_000_000));
        assert_eq!(room.limit, WORK / 2);
        let admitted = (0..100).filter(|k| room.holds(WORK, 1.0, f64::from(*k) / 100.0)).count();
        assert!((50..=51).contains(&admitted), "{admitted} of 100");
        // What is answered in time gives the whole of it back.
        (0..6).for_each(|k| {
            room.load = WORK;
            room.ended(WORK, Some(false), 0.0, WORK / 4, Span(500_000), Time(11_000_000 + k));
        });
        assert!(room.holds(WORK, 1.0, 0.99), "{:?}", room.limit);
    }

    #[test]
    fn cuts_come_no_closer_than_every_so_often() {
        let mut room = Room { limit: WORK * 1000, lateness: 1.0, ..Room::default() };
        for k in 0..100 {
            room.load = WORK * 1000;
            room.ended(WORK, Some(true), 0.0, WORK, Span(500_000), Time(10_000_000 + k));
        }
        assert!(room.limit >= WORK * 500, "one cut: {:?}", room.limit);
    }

    #[test]
    fn what_says_nothing_frees_its_work_alone() {
        let mut room = Room { limit: WORK * 8, load: WORK * 2, lateness: 0.5, ..Room::default() };
        room.ended(WORK, None, 1.0, WORK, Span(0), Time(10_000_000));
        assert_eq!((room.load, room.limit, room.lateness), (WORK, WORK * 8, 0.5));
    }
}
