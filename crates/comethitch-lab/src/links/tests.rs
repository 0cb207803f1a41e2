//! Tests of `links`.

use super::*;

#[test]
fn the_worst_active_fault_applies_until_it_is_cleared() {
    let mut links = Links::default();
    let (some, one) = (BTreeSet::from([0, 1]), BTreeSet::from([7]));
    let slow = links.inject(some.clone(), one.clone(), Direction::Both, LinkFault::DelayMs(5));
    let more = links.inject(some.clone(), one.clone(), Direction::ToRouters, LinkFault::DelayMs(3));
    assert_eq!(links.fate(0, 7, Destination::Host, 0.5), Fate::Delivered(Duration::from_millis(5)));
    assert_eq!(links.fate(0, 7, Destination::Router, 0.5), Fate::Delivered(Duration::from_millis(8)));
    assert_eq!(links.fate(2, 7, Destination::Host, 0.5), Fate::Delivered(Duration::ZERO), "another router");
    assert_eq!(links.fate(0, 6, Destination::Host, 0.5), Fate::Delivered(Duration::ZERO), "another host");
    let resets = links.inject(some.clone(), one.clone(), Direction::ToHosts, LinkFault::Reset(0.1));
    assert_eq!(links.fate(0, 7, Destination::Host, 0.05), Fate::Reset);
    assert_eq!(links.fate(0, 7, Destination::Host, 0.5), Fate::Delivered(Duration::from_millis(5)));
    let cut = links.inject(some, one, Direction::Both, LinkFault::Cut);
    assert_eq!(links.fate(0, 7, Destination::Host, 0.05), Fate::Dropped);
    assert!(links.is_partitioned(1) && !links.is_partitioned(2));
    [slow, more, resets, cut].into_iter().for_each(|key| links.clear(key));
    assert_eq!(links.fate(0, 7, Destination::Host, 0.0), Fate::Delivered(Duration::ZERO));
    assert!(!links.is_partitioned(1));
}
