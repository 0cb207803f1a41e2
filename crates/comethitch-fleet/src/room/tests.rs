//! Tests of `room`.

use super::*;

const WORK: Duration = Duration::from_millis(100);

fn play(room: &mut Room, answers: u64, late: bool, from: u64) {
    for k in 0..answers {
        room.load = WORK * 4;
        room.ended(
            WORK,
            Some(late),
            0.0,
            WORK,
            Duration::from_millis(500),
            Timestamp::from_micros(from + k * 100_000),
        );
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
    room.ended(WORK, Some(true), 0.0, WORK / 4, Duration::from_millis(500), Timestamp::from_millis(10_000));
    assert_eq!(room.limit, WORK / 2);
    let admitted = (0..100).filter(|k| room.holds(WORK, 1.0, f64::from(*k) / 100.0)).count();
    assert!((50..=51).contains(&admitted), "{admitted} of 100");
    // What is answered in time gives the whole of it back.
    (0..6).for_each(|k| {
        room.load = WORK;
        room.ended(
            WORK,
            Some(false),
            0.0,
            WORK / 4,
            Duration::from_millis(500),
            Timestamp::from_micros(11_000_000 + k),
        );
    });
    assert!(room.holds(WORK, 1.0, 0.99), "{:?}", room.limit);
}

#[test]
fn cuts_come_no_closer_than_every_so_often() {
    let mut room = Room { limit: WORK * 1000, lateness: 1.0, ..Room::default() };
    for k in 0..100 {
        room.load = WORK * 1000;
        room.ended(
            WORK,
            Some(true),
            0.0,
            WORK,
            Duration::from_millis(500),
            Timestamp::from_micros(10_000_000 + k),
        );
    }
    assert!(room.limit >= WORK * 500, "one cut: {:?}", room.limit);
}

#[test]
fn what_says_nothing_frees_its_work_alone() {
    let mut room = Room { limit: WORK * 8, load: WORK * 2, lateness: 0.5, ..Room::default() };
    room.ended(WORK, None, 1.0, WORK, Duration::ZERO, Timestamp::from_millis(10_000));
    assert_eq!((room.load, room.limit, room.lateness), (WORK, WORK * 8, 0.5));
}
