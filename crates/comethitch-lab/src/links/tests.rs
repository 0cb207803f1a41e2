//! Tests of `links`.

use super::*;

#[test]
fn a_message_meets_the_worst_on_its_way_and_nothing_once_it_is_healed() {
    let mut links = Links::default();
    let (some, one) = (BTreeSet::from([0, 1]), BTreeSet::from([7]));
    let slow = links.harm(some.clone(), one.clone(), Way::Both, Harm::DelayMs(5));
    let more = links.harm(some.clone(), one.clone(), Way::ToRouters, Harm::DelayMs(3));
    assert_eq!(links.fate(0, 7, Heading::ToHost, 0.5), Fate::Passes(Duration::from_millis(5)));
    assert_eq!(links.fate(0, 7, Heading::ToRouter, 0.5), Fate::Passes(Duration::from_millis(8)));
    assert_eq!(links.fate(2, 7, Heading::ToHost, 0.5), Fate::Passes(Duration::ZERO), "another router");
    assert_eq!(links.fate(0, 6, Heading::ToHost, 0.5), Fate::Passes(Duration::ZERO), "another host");
    let resets = links.harm(some.clone(), one.clone(), Way::ToHosts, Harm::Reset(0.1));
    assert_eq!(links.fate(0, 7, Heading::ToHost, 0.05), Fate::Breaks);
    assert_eq!(links.fate(0, 7, Heading::ToHost, 0.5), Fate::Passes(Duration::from_millis(5)));
    let cut = links.harm(some, one, Way::Both, Harm::Cut);
    assert_eq!(links.fate(0, 7, Heading::ToHost, 0.05), Fate::Lost);
    assert!(links.apart(1) && !links.apart(2));
    [slow, more, resets, cut].into_iter().for_each(|key| links.heal(key));
    assert_eq!(links.fate(0, 7, Heading::ToHost, 0.0), Fate::Passes(Duration::ZERO));
    assert!(!links.apart(1));
}
