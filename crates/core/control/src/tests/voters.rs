//! Who decides, as it changes: machines join, leave, resign and are replaced; what was agreed on is never lost or forked, and
//! within the budget somebody leads.

use super::net::Net;
use crate::consensus::{ConsensusMessage, StateId};
use crate::voter_set::{NodeId, Voter, VoterSet};
use arbtest::arbtest;

#[test]
fn an_empty_machine_takes_the_place_of_one_that_is_gone() {
    let mut net = Net::new(7);
    net.calm(1.0);
    let gone = net.leader().expect("somebody leads");
    net.machines.remove(&gone);
    net.calm(1.0);
    net.join(4);
    net.calm(1.5);
    assert!(
        net.voters().contains(&4),
        "it decides within a second of its start: {:?}",
        net.voters()
    );
    assert!(net.machines[&4].consensus.is_voter());
    assert_eq!(
        net.voters().len(),
        3,
        "it took the place of the one that is gone: {:?}",
        net.voters()
    );
    // One more may be lost now.
    let other = *net
        .voters()
        .iter()
        .find(|v| **v != 4)
        .expect("others decide");
    net.machines.remove(&other);
    net.calm(2.0);
    let leader = net.leader().expect("two of three lead");
    assert!(net.propose(leader));
    let newest = net.agreed.keys().max().copied();
    net.calm(0.5);
    assert!(net.agreed.keys().max().copied() > newest);
}

#[test]
fn fewer_than_outlive_a_loss_never_decide() {
    let mut net = Net::new(7);
    net.calm(1.0);
    net.machines.remove(&3);
    net.calm(10.0);
    assert_eq!(net.voters(), [1, 2, 3], "nobody has come in its place");
}

#[test]
fn who_was_left_out_comes_back() {
    let mut net = Net::new(7);
    net.join(4);
    net.calm(3.0);
    assert_eq!(net.voters().len(), 4);
    let quiet = *net
        .voters()
        .iter()
        .find(|v| Some(**v) != net.leader())
        .expect("a follower");
    net.at(quiet).up = false;
    net.calm(5.0);
    assert!(!net.voters().contains(&quiet));
    net.restart(quiet, false);
    net.calm(4.0);
    assert!(net.voters().contains(&quiet), "{:?}", net.voters());
    assert!(net.leader().is_some());
}

#[test]
fn a_stale_set_elects_nobody() {
    let mut net = Net::new(7);
    net.calm(1.0);
    let old = net.machines[&1].saved.clone();
    // 1 is gone for a while; 4 and 5 come, and the set moves on.
    net.at(1).up = false;
    net.calm(1.0);
    net.join(4);
    net.calm(6.0);
    net.join(5);
    net.calm(3.0);
    let leader = net.leader().expect("somebody leads");
    net.propose(leader);
    net.calm(0.5);
    let newest = *net.agreed.keys().max().expect("it was agreed on");
    // 1 is back with what it had, and 2 as well with its own disk: two of the three that 1 knows.
    for node in [3, 4, 5] {
        net.at(node).up = false;
    }
    net.at(1).saved = old;
    net.restart(1, false);
    net.restart(2, false);
    net.calm(5.0);
    let led = net.leader();
    // Whoever is met knows of the later set, in which two of four or five are no majority.
    assert!(led.is_none(), "{led:?} leads with {:?}", net.voters());
    for node in [3, 4, 5] {
        net.restart(node, false);
    }
    net.calm(4.0);
    assert!(net.agreed.keys().max().copied() >= Some(newest));
    assert!(net.leader().is_some());
}

#[test]
fn a_leader_that_resigns_is_followed_at_once() {
    let mut net = Net::new(7);
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let mut outs = Vec::new();
    net.at(leader).consensus.resign(&mut outs);
    net.take(leader, outs);
    let asked = net.now;
    net.calm(1.0);
    let (won, next) = *net.wins.last().expect("somebody wins");
    assert_ne!(next, leader);
    assert!(won - asked < 0.4, "after {}", won - asked);
}

/// Whoever ends while enough are left is left out first, and asks for nothing more.
#[test]
fn who_ends_leaves_the_voters_first() {
    for leads in [true, false] {
        let mut net = Net::new(7);
        net.join(4);
        net.calm(3.0);
        let leader = net.leader().expect("somebody leads");
        let ends = if leads { leader } else { 1 + leader % 4 };
        let mut outs = Vec::new();
        net.at(ends).consensus.resign(&mut outs);
        net.take(ends, outs);
        assert!(!net.machines[&ends].consensus.may_shut_down());
        net.calm(1.0);
        assert!(
            net.machines[&ends].consensus.may_shut_down(),
            "it has been left out"
        );
        assert_eq!(net.voters().len(), 3, "{:?}", net.voters());
        net.calm(2.0);
        assert!(
            !net.voters().contains(&ends),
            "it doesn't ask to join again"
        );
        // Of three none is left out: it need not wait.
        let next = net.leader().expect("somebody leads");
        let mut outs = Vec::new();
        net.at(next).consensus.resign(&mut outs);
        net.take(next, outs);
        assert!(net.machines[&next].consensus.may_shut_down());
    }
}

#[test]
fn a_lost_promise_is_given_again() {
    let mut net = Net::new(7);
    net.now = 0.2;
    net.tick(1);
    let between = |net: &Net, of: &dyn Fn(&ConsensusMessage) -> bool| {
        net.bag.iter().position(|letter| {
            [1, 2].contains(&letter.from.node)
                && [1, 2].contains(&letter.to.node())
                && of(&letter.message)
        })
    };
    for step in ["PreVoteRequest", "PreVoteResponse", "VoteRequest"] {
        let at = between(&net, &|message| {
            format!("{message:?}").starts_with(&format!("{step} "))
        });
        net.deliver(at.expect(step), false);
    }
    // All that is under way is lost, the promise too.
    net.bag.clear();
    net.now = 0.32;
    net.tick(1);
    while let Some(at) = between(&net, &|_| true) {
        net.deliver(at, false);
    }
    assert!(net.machines[&1].consensus.leader_term().is_some());
}

/// Two of five lose their disks in one moment: both decide again soon, and one more may be lost.
#[test]
fn two_wiped_voters_decide_again() {
    let mut net = Net::new(3);
    five(&mut net);
    let leader = net.leader().expect("somebody leads");
    let wiped: Vec<NodeId> = (1..=5).filter(|node| *node != leader).take(2).collect();
    for node in &wiped {
        net.restart(*node, true);
    }
    net.calm(2.0);
    assert!(net.all_decide(), "{:?}\n{}", net.voters(), net.tale());
    let another = (1..=5)
        .find(|node| *node != leader && !wiped.contains(node))
        .expect("another one");
    net.at(another).up = false;
    net.at(leader).up = false;
    net.calm(3.0);
    let leader = net.leader().expect("three of five lead");
    assert!(net.propose(leader));
}

/// One is gone for good, another has lost its disk: it waits for nobody.
#[test]
fn a_wiped_voter_waits_for_nobody() {
    let mut net = Net::new(4);
    five(&mut net);
    let leader = net.leader().expect("somebody leads");
    let others: Vec<NodeId> = (1..=5).filter(|node| *node != leader).collect();
    net.machines.remove(&others[0]);
    net.restart(others[1], true);
    net.calm(2.0);
    assert!(net.all_decide(), "{:?}", net.voters());
    net.at(leader).up = false;
    net.calm(3.0);
    assert!(net.leader().is_some(), "three of five lead");
}

fn five(net: &mut Net) {
    net.join(4);
    net.join(5);
    for node in 1..=5 {
        net.at(node).consensus.set_fault_budget(2);
    }
    net.calm(3.0);
    assert_eq!(net.voters().len(), 5);
}

/// A new machine takes the place of one that is gone while the leader restarts after every message: the next one
/// completes the change, and any one of the three may be lost behind it.
#[test]
fn a_replacement_survives_its_leader_at_every_step() {
    let mut start = Net::new(5);
    start.calm(1.0);
    let leader = start.leader().expect("somebody leads");
    let gone = 1 + leader % 3;
    start.machines.remove(&gone);
    start.calm(1.3);
    start.join(4);
    let mut joint = 0;
    for steps in 0..220 {
        let mut net = start.clone();
        net.be_silent();
        deliver(&mut net, steps);
        joint += usize::from(net.is_joint());
        let down_for = 0.2 * f64::from(steps % 8);
        net.at(leader).up = false;
        net.calm(down_for);
        net.restart(leader, false);
        net.calm(5.0);
        assert!(
            net.all_decide() && !net.is_joint(),
            "after {steps} steps: {:?}",
            net.voters()
        );
        for lost in net.voters() {
            let mut net = net.clone();
            net.at(lost).up = false;
            net.calm(3.0);
            let leader = net
                .leader()
                .unwrap_or_else(|| panic!("after {steps} steps nobody leads without {lost}"));
            assert!(net.propose(leader));
        }
    }
    assert!(
        joint > 3,
        "the leader was lost {joint} times in the middle of the change"
    );
}

/// Delivers so many messages in order, and lets time pass while none is under way.
fn deliver(net: &mut Net, steps: u32) {
    for _ in 0..steps {
        if net.bag.is_empty() {
            net.now += 0.02;
            net.tick_all();
        } else {
            net.deliver(0, false);
        }
    }
}

/// The change to another set was accepted by its leader and the new machine alone: these two are no majority of the old
/// set, and lead nothing.
#[test]
fn half_a_change_elects_nobody() {
    let mut net = Net::new(6);
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let others: Vec<NodeId> = (1..=3).filter(|node| *node != leader).collect();
    net.at(others[0]).up = false;
    net.calm(1.3);
    net.join(4);
    // The other voter hears nothing any more from the moment in which the change is proposed.
    for _ in 0..4000 {
        if net.machines[&leader]
            .consensus
            .hard_state()
            .state
            .voters
            .is_joint()
        {
            net.bag
                .retain(|letter| letter.to.node() != others[1] && letter.from.node != others[1]);
        }
        deliver(&mut net, 1);
    }
    let joint = &net.machines[&leader].saved.state.voters;
    assert!(joint.is_joint(), "{joint:?}");
    assert_eq!(net.leader(), None, "two of four, of whom one is new");
    // The old ones go on without them.
    net.at(leader).up = false;
    net.at(4).up = false;
    net.at(others[0]).up = true;
    net.calm(3.0);
    let next = net.leader().expect("two of the old three lead");
    assert!(net.propose(next));
    net.calm(0.3);
    net.restart(leader, false);
    net.restart(4, false);
    net.calm(5.0);
    assert!(net.leader().is_some() && net.all_decide());
}

/// A machine is left out while it is down, and its leader ends in the middle of that: whoever leads next, be it that machine,
/// the change is completed, and it is taken in again.
#[test]
fn a_leader_that_has_left_itself_out_makes_room() {
    let mut led = 0;
    for steps in 0..160 {
        let mut net = Net::new(8);
        net.join(4);
        net.calm(3.0);
        let leader = net.leader().expect("somebody leads");
        let left_out = 1 + leader % 4;
        net.at(left_out).up = false;
        net.calm(2.9);
        net.be_silent();
        deliver(&mut net, steps);
        let joint = net.is_joint();
        net.at(leader).up = false;
        // Of the others it is the first to stand.
        net.restart(left_out, false);
        let before = net.wins.len();
        for _ in 0..300 {
            net.now += 0.01;
            net.tick(left_out);
            while !net.bag.is_empty() {
                net.deliver(0, false);
            }
        }
        led += usize::from(joint && net.wins[before..].iter().any(|(_, node)| *node == left_out));
        net.restart(leader, false);
        net.calm(6.0);
        assert!(
            net.leader().is_some() && net.all_decide(),
            "after {steps} steps: {:?}",
            net.voters()
        );
    }
    assert!(led > 0, "it never led in the middle of the change");
}

/// Whoever asked to leave and has started anew is taken in once and for all, while orders go on.
#[test]
fn who_asked_to_leave_and_is_back_stays() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        net.join(4);
        net.calm(3.0);
        let leader = net.leader().expect("somebody leads");
        let ends = 1 + leader % 4;
        let mut outs = Vec::new();
        net.at(ends).consensus.resign(&mut outs);
        net.take(ends, outs);
        // Its request is repeated, and some copies are on their way when it is back.
        let mut late = Vec::new();
        for _ in 0..40 {
            net.now += 0.02;
            net.tick_all();
            late.extend(
                net.bag
                    .iter()
                    .filter(|l| matches!(l.message, ConsensusMessage::LeaveRequest))
                    .cloned(),
            );
            while !net.bag.is_empty() {
                net.deliver(0, false);
            }
        }
        net.restart(ends, false);
        net.bag.extend(late);
        net.calm(3.0);
        assert!(net.all_decide());
        let newest = net.agreed.keys().max().copied().unwrap_or(0);
        net.calm(5.0);
        assert!(
            net.agreed.keys().max().copied().unwrap_or(0) <= newest + 2,
            "the voters change for ever"
        );
    }
}

/// A machine that was left out meanwhile and doesn't know it leads nothing and disturbs nobody.
#[test]
fn a_removed_voter_that_returns_is_harmless() {
    let mut net = Net::new(8);
    net.join(4);
    net.calm(3.0);
    let leader = net.leader().expect("somebody leads");
    let removed = 1 + leader % 4;
    net.at(removed).up = false;
    net.calm(5.0);
    assert!(!net.voters().contains(&removed));
    // All restart, it first: the others know better, and take it in again.
    for node in 1..=4 {
        net.at(node).up = false;
    }
    net.restart(removed, false);
    net.calm(2.0);
    assert_eq!(net.leader(), None);
    for node in (1..=4).filter(|node| *node != removed) {
        net.restart(node, false);
    }
    net.calm(4.0);
    assert!(net.leader().is_some() && net.all_decide());
}

/// What a save didn't put on the disk isn't acknowledged, also when it is asked for once more.
#[test]
fn nothing_is_accepted_without_a_save() {
    let mut net = Net::new(9);
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let full = 1 + leader % 3;
    net.at(full).full = true;
    net.propose(leader);
    let other = (1..=3)
        .find(|node| *node != leader && *node != full)
        .expect("a third one");
    net.at(other).up = false;
    let version = net.machines[&full].saved.state.version;
    net.calm(2.0);
    assert_eq!(net.machines[&full].saved.state.version, version);
    assert!(
        net.agreed.keys().all(|agreed| *agreed <= version),
        "it was agreed on by one disk"
    );
    assert!(net.machines[&full].consensus.disk_failed());
    // Once its disk takes bytes again it takes part by itself.
    net.at(full).full = false;
    net.reopen(full);
    net.calm(3.0);
    assert!(net.agreed.keys().any(|agreed| *agreed > version));
    assert_eq!(
        net.machines[&full].saved.state.version,
        net.machines[&leader].saved.state.version
    );
}

/// A leader whose save fails leads no longer, and has not counted itself.
#[test]
fn a_leader_counts_itself_after_its_save() {
    let mut net = Net::new(10);
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let saved = net.machines[&leader].saved.clone();
    net.at(leader).full = true;
    net.propose(leader);
    assert_eq!(net.leader(), None, "it resigns");
    assert_eq!(
        net.machines[&leader].consensus.hard_state(),
        &saved,
        "it goes on from what is on its disk"
    );
    net.calm(2.0);
    let next = net.leader().expect("another one leads");
    assert_ne!(next, leader);
    net.at(leader).full = false;
    net.reopen(leader);
    net.calm(2.0);
    assert!(net.all_decide());
}

/// A machine that was away for hundreds of changes has the state again by the changes alone, or whole.
#[test]
fn who_was_away_catches_up() {
    for changes in [3, 700] {
        let mut net = Net::new(11);
        net.calm(1.0);
        let leader = net.leader().expect("somebody leads");
        let away = 1 + leader % 3;
        net.at(away).up = false;
        for _ in 0..changes {
            assert!(net.propose(leader));
            net.calm(0.04);
        }
        net.restart(away, false);
        net.calm(1.0);
        assert_eq!(
            net.machines[&away].saved.state,
            net.machines[&leader].saved.state
        );
    }
}

/// Whoever asks to join has started anew since it asked to leave: a request to leave that still waits counts no longer.
#[test]
fn a_request_to_join_ends_one_to_leave() {
    for joins in [false, true] {
        let mut net = Net::new(3);
        five(&mut net);
        for node in 1..=5 {
            net.at(node).consensus.set_fault_budget(1);
        }
        let leader = net.leader().expect("somebody leads");
        let one = net.machines[&(1 + leader % 5)].voter();
        let holds = StateId::default();
        let clock = net.now;
        let consensus = &mut net.at(leader).consensus;
        let mut outs = Vec::new();
        consensus.step(clock, one, ConsensusMessage::LeaveRequest, &mut outs);
        if joins {
            consensus.step(
                clock,
                one,
                ConsensusMessage::JoinRequest { last_state: holds },
                &mut outs,
            );
        }
        net.take(leader, outs);
        let mut left_out = false;
        for _ in 0..30 {
            net.calm(0.02);
            left_out |= !net.machines[&leader].consensus.voters().contains(&one);
        }
        assert_eq!(left_out, !joins);
    }
}

/// A machine to which nothing comes through is no voter, neither a new one nor one that has lost its disk: the set would count
/// on a copy that it hasn't.
#[test]
fn who_joins_has_the_state_first() {
    for lost_disk in [false, true] {
        let mut net = Net::new(4);
        net.calm(1.0);
        let leader = net.leader().expect("somebody leads");
        let joins = if lost_disk { 1 + leader % 3 } else { 4 };
        if lost_disk {
            net.restart(joins, true);
        } else {
            net.join(joins);
        }
        let voter = net.machines[&joins].voter();
        let end = net.now + 3.0;
        while net.now < end {
            net.now += 0.02;
            net.tick_all();
            while let Some(letter) = net.bag.first() {
                let is_state = matches!(letter.message, ConsensusMessage::AppendRequest { .. });
                if is_state && letter.to.node() == joins {
                    net.bag.remove(0);
                } else {
                    net.deliver(0, false);
                }
            }
            let membership = &net.machines[&leader].consensus.hard_state().state.voters;
            assert!(!membership.contains(voter), "{membership:?}");
        }
        net.calm(3.0);
        assert!(net.all_decide());
    }
}

#[test]
fn majorities_of_a_set_and_of_two() {
    let voter = |node| Voter {
        node,
        incarnation: 0,
    };
    let set = VoterSet::founding([3, 1, 2]);
    assert!(set.is_quorum(|v| v.node != 1) && !set.is_quorum(|v| v.node == 1));
    let joint = set
        .joint_with(vec![voter(1), voter(2), voter(4)])
        .expect("another set");
    assert!(joint.is_joint() && joint.all().count() == 4);
    assert!(
        !joint.is_quorum(|v| [1, 4].contains(&v.node)),
        "one of the old three"
    );
    assert!(
        !joint.is_quorum(|v| [2, 3].contains(&v.node)),
        "one of the new three"
    );
    assert!(joint.is_quorum(|v| [1, 2].contains(&v.node)));
    assert_eq!(
        joint.joint_with(vec![voter(1)]),
        None,
        "one change at a time"
    );
    assert_eq!(joint.finalized().voters(), [voter(1), voter(2), voter(4)]);
    assert_eq!(set.joint_with(set.voters().to_vec()), None, "no change");
    let heard = |v: Voter| f64::from(v.node);
    assert_eq!(set.quorum_time(heard), 2.0);
    assert_eq!(joint.quorum_time(heard), 2.0);
    assert_eq!(VoterSet::default().quorum_time(heard), f64::NEG_INFINITY);
}

#[test]
fn any_order_of_joins_and_losses() {
    arbtest(|u| {
        let mut net = Net::new(7);
        let mut next = 4;
        for _ in 0..u.int_in_range(20..=160)? {
            let nodes: Vec<NodeId> = net.machines.keys().copied().collect();
            match u.int_in_range(0..=20)? {
                0..=7 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.deliver(at, false);
                }
                8 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.bag.swap_remove(at);
                }
                9..=12 => {
                    net.now += f64::from(u.int_in_range(1..=30)?) / 100.0;
                    net.tick_all();
                }
                13 | 14 => {
                    if let Some(leader) = net.leader() {
                        net.propose(leader);
                    }
                }
                15 => net.restart(*u.choose(&nodes)?, false),
                16 if next < 7 => {
                    net.join(next);
                    next += 1;
                }
                17 => {
                    let node = *u.choose(&nodes)?;
                    let up = !net.at(node).up;
                    net.at(node).up = up;
                }
                18 if net.all_decide()
                    && !net.is_joint()
                    && net.machines.values().all(|m| m.up) =>
                {
                    net.restart(*u.choose(&nodes)?, true);
                }
                _ => net.calm(f64::from(u.int_in_range(1..=40)?) / 10.0),
            }
        }
        Ok(())
    })
    .budget_ms(super::budget());
}

/// A machine loses its disk twice within a second: the incarnation in between, which asked to join as well, is never taken in again.
#[test]
fn an_incarnation_that_is_over_is_not_taken_in_again() {
    for pause in 1..60u32 {
        let mut net = Net::new(u64::from(pause));
        net.calm(1.0);
        let leader = net.leader().expect("somebody leads");
        let wiped = 1 + leader % 3;
        net.restart(wiped, true);
        let between = net.at(wiped).voter();
        net.calm(0.02 * f64::from(pause));
        net.restart(wiped, true);
        let now = net.at(wiped).voter();
        let mut decides = false;
        for _ in 0..100 {
            net.calm(0.02);
            let leader = net
                .leader()
                .map(|leader| net.machines[&leader].consensus.voters().to_vec());
            let voters = leader.unwrap_or_default();
            decides |= voters.contains(&now);
            assert!(
                !decides || !voters.contains(&between),
                "after {pause}: {voters:?}"
            );
        }
        assert!(decides, "after {pause}");
    }
}
