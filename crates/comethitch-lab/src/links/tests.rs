//! Tests of `links`.

use super::*;

#[test]
fn the_worst_active_fault_applies_until_it_is_cleared() {
    let mut links = Links::default();
    let (routers, hosts) = (BTreeSet::from([0, 1]), BTreeSet::from([7]));
    let delay = links.inject(routers.clone(), hosts.clone(), Direction::Both, LinkFault::DelayMs(5));
    let second_delay =
        links.inject(routers.clone(), hosts.clone(), Direction::ToRouters, LinkFault::DelayMs(3));
    assert_eq!(links.outcome(0, 7, Destination::Host, 0.5), Outcome::Delivered(Duration::from_millis(5)));
    assert_eq!(links.outcome(0, 7, Destination::Router, 0.5), Outcome::Delivered(Duration::from_millis(8)));
    assert_eq!(
        links.outcome(2, 7, Destination::Host, 0.5),
        Outcome::Delivered(Duration::ZERO),
        "another router"
    );
    assert_eq!(
        links.outcome(0, 6, Destination::Host, 0.5),
        Outcome::Delivered(Duration::ZERO),
        "another host"
    );
    let reset = links.inject(routers.clone(), hosts.clone(), Direction::ToHosts, LinkFault::Reset(0.1));
    assert_eq!(links.outcome(0, 7, Destination::Host, 0.05), Outcome::Reset);
    assert_eq!(links.outcome(0, 7, Destination::Host, 0.5), Outcome::Delivered(Duration::from_millis(5)));
    let cut = links.inject(routers, hosts, Direction::Both, LinkFault::Cut);
    assert_eq!(links.outcome(0, 7, Destination::Host, 0.05), Outcome::Dropped);
    assert!(links.is_partitioned(1) && !links.is_partitioned(2));
    [delay, second_delay, reset, cut].into_iter().for_each(|id| links.clear(id));
    assert_eq!(links.outcome(0, 7, Destination::Host, 0.0), Outcome::Delivered(Duration::ZERO));
    assert!(!links.is_partitioned(1));
}
