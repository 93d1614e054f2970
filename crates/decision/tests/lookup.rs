//! Spread of callers over a fleet of which a lookup names only a part.

use decision::{Fleet, Listing, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Addresses that the operators allow in the result of a lookup.
const MAX: usize = 64;
const NOW: Time = Duration::from_secs(1);

fn listing(number: usize) -> Listing {
    Listing {
        id: format!("i{number:03}").into(),
        domain: format!("d{}", number * 5 / 370).into(),
        caller: ([10, 0, 0, 1], number as u16).into(),
        peer: ([10, 0, 0, 2], number as u16).into(),
        leaving: false,
        starting: false,
        power: 84,
    }
}

/// Returns instance `me` of a fleet with these instances.
fn instance(me: usize, all: impl Iterator<Item = usize>) -> Fleet {
    let mut fleet = Fleet::new(listing(me), 1);
    fleet.add_listed(NOW, all.filter(|n| *n != me).map(listing).collect());
    fleet
}

fn caller(number: usize) -> IpAddr {
    [100, 64, (number / 250) as u8, (number % 250) as u8].into()
}

#[test]
fn callers_of_a_large_fleet_are_spread_over_all_instances() {
    for instances in [13, 93, 115, 295, 370] {
        let fleet = instance(7, 0..instances);
        let mut shares: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for number in 0..2_000 {
            let result = fleet.lookup(NOW, &caller(number), MAX);
            let distinct: BTreeSet<_> = result.iter().collect();
            assert_eq!(distinct.len(), instances.min(MAX));
            for address in result {
                *shares.entry(address).or_default() += 1;
            }
        }
        assert_eq!(shares.len(), instances, "each instance is named");
        let mean = 2_000 * instances.min(MAX) / instances;
        for (address, share) in shares {
            let is_even = share * 2 >= mean && share <= mean * 3 / 2;
            assert!(is_even, "{address} of {instances}: {share}, mean {mean}");
        }
    }
}

#[test]
fn a_caller_gets_the_same_addresses_from_every_instance() {
    let (one, other) = (instance(0, 0..295), instance(200, 0..295));
    for number in 0..100 {
        let result = |fleet: &Fleet| -> BTreeSet<SocketAddr> {
            let result = fleet.lookup(NOW, &caller(number), MAX);
            result.into_iter().collect()
        };
        assert_eq!(result(&one), result(&other));
    }
}

#[test]
fn an_instance_that_is_lost_changes_one_address() {
    let (before, after) = (
        instance(0, 0..295),
        instance(0, (0..295).filter(|n| *n != 9)),
    );
    for number in 0..100 {
        let result = |fleet: &Fleet| -> BTreeSet<SocketAddr> {
            let result = fleet.lookup(NOW, &caller(number), MAX);
            result.into_iter().collect()
        };
        let (before, after) = (result(&before), result(&after));
        assert!(!after.contains(&listing(9).caller));
        assert!(before.difference(&after).count() <= 1);
    }
}

#[test]
fn a_caller_can_go_on_while_a_failure_domain_is_lost() {
    let fleet = instance(0, 0..370);
    for number in 0..500 {
        let result = fleet.lookup(NOW, &caller(number), MAX);
        for domain in 0..5 {
            let is_in_domain = |a: &&SocketAddr| usize::from(a.port()) * 5 / 370 == domain;
            let lost = result.iter().filter(is_in_domain).count();
            assert!(lost <= MAX / 2, "{lost} in domain {domain}");
        }
    }
}
