//! Beats that come late or twice, leavers, silence; and the routers' leases one by one.

use crate::leases::Leases;
use crate::members::{DepartedMember, Heartbeat, MemberPhase, MemberRegistry};

fn beat(version: u64, phase: MemberPhase) -> Heartbeat {
    let text = |t: &str| t.to_owned();
    Heartbeat {
        service: text("s"),
        endpoint: text("10.0.0.1:1"),
        zone: text("z"),
        slots: 4,
        phase,
        call_seq: version,
    }
}

fn departed(id: &str, inactive_since: f64) -> DepartedMember {
    DepartedMember {
        id: id.to_owned(),
        inactive_since,
    }
}

fn draining(members: &MemberRegistry) -> Option<bool> {
    members.get("a").map(|m| m.info.draining)
}

#[test]
fn every_order_of_beats_ends_alike() {
    let calls = [
        (1, MemberPhase::Ready),
        (2, MemberPhase::Ready),
        (3, MemberPhase::Draining),
        (3, MemberPhase::Draining),
    ];
    let mut orders = vec![vec![]];
    for _ in 0..4 {
        let longer = |o: Vec<usize>| {
            (0..4)
                .filter(|i| !o.contains(i))
                .map(|i| [&o[..], &[i]].concat())
                .collect::<Vec<_>>()
        };
        orders = orders.into_iter().flat_map(longer).collect();
    }
    assert_eq!(orders.len(), 24);
    for order in orders {
        let mut members = MemberRegistry::default();
        let mut newest = 0;
        for (at, one) in order.iter().enumerate() {
            let (version, phase) = calls[*one];
            let told = members.heartbeat(at as f64, "a", &beat(version, phase), 7);
            assert_eq!(told.is_some(), version > newest, "{order:?}");
            newest = newest.max(version);
        }
        assert_eq!(draining(&members), Some(true), "{order:?}");
        let first = order.iter().position(|i| *i >= 2).unwrap();
        assert_eq!(members.get("a").unwrap().draining_since, Some(first as f64));
    }
}

#[test]
fn a_late_beat_brings_nobody_back() {
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &beat(1, MemberPhase::Draining), 1);
    assert!(members.depart(1.0, "a", 2).is_some_and(|n| n.departed));
    assert!(members.depart(1.1, "a", 2).is_none());
    assert!(
        members
            .heartbeat(2.0, "a", &beat(9, MemberPhase::Ready), 3)
            .is_none()
    );
    assert!(members.get("a").is_none() && members.services().is_empty());
    assert_eq!(members.departed_of("s", 1.2), [departed("a", 1.1)]);
    // What another machine tells late does not either.
    let mut news = members.all().next().unwrap().info.clone();
    (news.departed, news.call_seq) = (false, 12);
    assert!(!members.merge(3.0, news, 4));
    members.expire(70.0, 4.8, 5);
    assert_eq!(members.all().count(), 0);
}

/// A server that leaves without having drained serves on: it is there, draining, until nobody listens at its address any more.
#[test]
fn who_departs_first_drains_from_then_on() {
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &beat(1, MemberPhase::Ready), 1);
    let news = members.depart(1.0, "a", 2).expect("it is news");
    assert!(
        news.draining
            && !news.departed
            && members
                .get("a")
                .is_some_and(|m| m.draining_since == Some(1.0))
    );
    // The call is sent again, a beat comes late, and what another machine has is older.
    assert!(members.depart(1.1, "a", 2).is_none());
    assert!(
        members
            .heartbeat(1.2, "a", &beat(9, MemberPhase::Ready), 3)
            .is_none()
    );
    assert_eq!(draining(&members), Some(true));
    // It need not send beats to be there, for longer than it goes on.
    assert!(!members.expire(19.0, 4.8, 4));
    assert_eq!(
        members.to_persist()[0].call_seq,
        news.call_seq,
        "nor does a beat count in the next life"
    );
    let ended = members.refused(19.1, "a", 5).expect("it is news");
    assert!(ended.departed && members.get("a").is_none());
    assert_eq!(members.departed_of("s", 1.2), [departed("a", 19.1 + 0.1)]);
    assert!(members.refused(19.2, "a", 5).is_none());
    // Others that can't be reached have not ended.
    members.heartbeat(20.0, "b", &beat(1, MemberPhase::Ready), 6);
    assert!(members.refused(20.1, "b", 6).is_none());
}

/// What is kept for the next life: of who drains that it does, so that a beat from before can't bring it back; of others nothing
/// that keeps a beat from counting.
#[test]
fn who_drains_does_so_in_the_next_life() {
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &beat(8, MemberPhase::Draining), 1);
    members.heartbeat(0.0, "b", &beat(5, MemberPhase::Ready), 1);
    let mut next = MemberRegistry::default();
    next.restore(100.0, members.to_persist(), 3.0);
    assert!(
        next.heartbeat(100.1, "a", &beat(7, MemberPhase::Ready), 1)
            .is_none()
    );
    assert_eq!(draining(&next), Some(true));
    assert_eq!(
        next.get("a").unwrap().draining_since,
        Some(97.0),
        "for how long isn't known"
    );
    assert!(
        next.heartbeat(100.2, "a", &beat(9, MemberPhase::Draining), 1)
            .is_some()
    );
    assert!(
        next.heartbeat(100.2, "b", &beat(1, MemberPhase::Ready), 1)
            .is_some()
    );
    assert_eq!(next.get("b").unwrap().draining_since, None);
}

#[test]
fn whoever_is_silent_is_forgotten_until_it_beats() {
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &beat(1, MemberPhase::Ready), 1);
    assert!(!members.expire(4.7, 4.8, 2));
    assert!(members.expire(4.9, 4.8, 2) && !members.expire(5.0, 4.8, 2));
    assert!(members.get("a").is_none());
    assert_eq!(members.departed_of("s", 1.2), [departed("a", 2.4)]);
    assert!(
        members
            .heartbeat(5.1, "a", &beat(1, MemberPhase::Ready), 3)
            .is_none(),
        "one that comes twice is no sign of life"
    );
    assert!(
        members
            .heartbeat(5.2, "a", &beat(2, MemberPhase::Ready), 3)
            .is_some()
    );
    assert_eq!(members.get("a").unwrap().changed_in_update, 3);
    assert!(members.departed_of("s", 1.2).is_empty());
}

/// Whoever is new at the address of another one of its service has its log: that one is lost no longer, whichever is known to
/// be gone, until it is heard again itself.
#[test]
fn who_comes_at_an_address_has_the_log_of_who_was_there() {
    let at = |version, endpoint: &str| Heartbeat {
        endpoint: endpoint.to_owned(),
        ..beat(version, MemberPhase::Ready)
    };
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &at(1, "10.0.0.1:1"), 1);
    members.heartbeat(0.0, "b", &at(1, "10.0.0.2:1"), 1);
    members.expire(5.0, 4.8, 2);
    assert_eq!(members.departed_of("s", 1.2).len(), 2);
    members.heartbeat(6.0, "c", &at(1, "10.0.0.1:1"), 3);
    assert!(
        members.succeeds("a", "c") && !members.succeeds("b", "c") && !members.succeeds("c", "a")
    );
    assert_eq!(members.departed_of("s", 1.2), [departed("b", 2.4)]);
    // The third at that address is the last one; of those before it none is counted besides.
    members.expire(11.0, 4.8, 4);
    assert_eq!(
        members.departed_of("s", 1.2),
        [departed("b", 2.4), departed("c", 8.4)]
    );
    members.heartbeat(12.0, "d", &at(1, "10.0.0.1:1"), 5);
    assert_eq!(members.departed_of("s", 1.2), [departed("b", 2.4)]);
    // One that is heard again itself is there.
    members.heartbeat(13.0, "a", &at(2, "10.0.0.1:1"), 6);
    assert!(!members.succeeds("a", "d") && members.succeeds("d", "a"));
    // Another service's server at an address says nothing of who was there.
    let other = Heartbeat {
        service: "t".to_owned(),
        ..at(1, "10.0.0.2:1")
    };
    members.heartbeat(14.0, "e", &other, 7);
    assert!(!members.succeeds("b", "e"));
}

#[test]
fn a_lease_ends_when_it_is_known_or_over() {
    let mut sessions = Leases::new(1.0);
    assert!(
        !sessions.all_acknowledged(0.9, 5),
        "leases of the leader before may still run"
    );
    assert!(sessions.all_acknowledged(1.0, 5));
    sessions.renew(1.0, "r", 1, 4, 1.0);
    assert!(
        !sessions.all_acknowledged(1.5, 5)
            && sessions.all_acknowledged(1.5, 4)
            && sessions.active(1.5) == 1
    );
    sessions.renew(1.2, "r", 1, 5, 1.0);
    assert!(sessions.all_acknowledged(1.5, 5));
    // A call that was overtaken takes nothing back, and prolongs as well.
    sessions.renew(1.6, "r", 1, 3, 1.0);
    assert!(sessions.all_acknowledged(1.7, 5) && sessions.active(2.5) == 1);
    // In a new life it knows nothing yet.
    sessions.renew(2.0, "r", 2, 0, 1.0);
    assert!(!sessions.all_acknowledged(2.9, 5) && sessions.all_acknowledged(3.0, 5));
    sessions.expire(100.0);
    assert_eq!(sessions.active(0.0), 0);
}

#[test]
fn whoever_answers_is_not_forgotten_though_its_beats_go_elsewhere() {
    let mut members = MemberRegistry::default();
    members.heartbeat(0.0, "a", &beat(1, MemberPhase::Ready), 1);
    members.seen_alive(4.0, "a");
    assert!(!members.expire(5.0, 4.8, 2));
    assert!(members.get("a").is_some());
    assert!(
        members.expire(9.0, 4.8, 3),
        "it is, once it is silent as well"
    );
    members.seen_alive(9.1, "a");
    assert!(members.get("a").is_none(), "only a beat brings it back");
}
