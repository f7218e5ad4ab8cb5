//! Agreement: every order of a few messages, and longer random ones; what was acknowledged is never lost or forked.

use super::net::{CONTACT, Net, SUSPECT};
use crate::consensus::{Consensus, ConsensusConfig, ConsensusMessage, ConsensusOutput, HardState};
use crate::state::{MAX_APPLIED_CONFIGS, ReplaceVerdict, State};
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter};
use arbtest::arbtest;
use std::collections::HashSet;
use std::rc::Rc;

#[test]
fn a_leader_is_there_soon() {
    for seed in 0..20 {
        let mut net = Net::new(seed);
        net.calm(0.8);
        let leader = net.leader().expect("a leader");
        assert!(net.propose(leader));
        net.calm(0.1);
        assert_eq!(net.agreed.len(), 1);
        net.at(leader).up = false;
        net.calm(1.2);
        assert!(net.leader().is_some_and(|l| l != leader), "{}", net.tale());
        net.restart(leader, false);
        net.calm(1.0);
        let same: HashSet<u64> = net
            .machines
            .values()
            .map(|m| m.saved.state.config_epoch)
            .collect();
        assert_eq!(same.len(), 1);
    }
}

/// All that can happen to a few messages, one by one: delivered in any order, lost, doubled, machines restarted from
/// their disks, another candidacy, a proposal.
fn explore(net: &Net, depth: u32, troubles: u32, count: &mut u64) {
    *count += 1;
    if depth == 0 {
        return;
    }
    for at in 0..net.bag.len() {
        // Alike messages lead to alike worlds.
        if net.bag[..at].contains(&net.bag[at]) {
            continue;
        }
        let mut next = net.clone();
        next.deliver(at, false);
        explore(&next, depth - 1, troubles, count);
    }
    if troubles > 0 {
        for node in net.machines.keys().copied() {
            let mut next = net.clone();
            next.restart(node, false);
            explore(&next, depth - 1, troubles - 1, count);
            let mut next = net.clone();
            next.now += SUSPECT + 0.5;
            next.tick(node);
            explore(&next, depth - 1, troubles - 1, count);
        }
        if let Some(leader) = net.leader() {
            let mut next = net.clone();
            if next.propose(leader) {
                explore(&next, depth - 1, troubles - 1, count);
            }
        }
    }
}

#[test]
fn all_orders_of_an_election() {
    let mut net = Net::new(1);
    net.now = 0.5;
    net.tick(1);
    net.tick(2);
    // Each asks whether a candidacy would be of use, and stands as soon as one of the others says so.
    for node in [1, 2] {
        let asked = |net: &Net| {
            net.bag.iter().position(|letter| {
                letter.from.node == node
                    && matches!(letter.message, ConsensusMessage::PreVoteRequest { .. })
            })
        };
        let at = asked(&net).expect("it asks");
        net.deliver(at, false);
    }
    net.bag
        .retain(|letter| !matches!(letter.message, ConsensusMessage::PreVoteRequest { .. }));
    net.be_silent();
    let mut count = 0;
    explore(&net, 6, 1, &mut count);
    assert!(count > 5_000, "{count}");
}

#[test]
fn all_orders_of_a_proposal() {
    let mut net = Net::new(2);
    net.calm(0.8);
    let leader = net.leader().unwrap();
    net.propose(leader);
    net.be_silent();
    let mut count = 0;
    explore(&net, 5, 2, &mut count);
    assert!(count > 5_000, "{count}");
}

/// An election won by a machine while its former leader still counts on the answers that it got.
#[test]
fn nobody_wins_while_another_may_act() {
    for cut in 0..60 {
        let mut net = Net::new(3);
        net.calm(0.8);
        let leader = net.leader().unwrap();
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != leader).collect();
        // One of the others does not hear the leader for long; the other's last answer is on its way when all is cut.
        let until = net.now + 3.0;
        let deaf_from = net.now;
        while net.now < until {
            net.now += 0.01;
            net.tick_all();
            while let Some(letter) = net.bag.first() {
                let (from, to) = (letter.from.node, letter.to.node());
                let apart = from == others[0] && to == leader;
                let silent = from == leader
                    && (to == others[0] || net.now > deaf_from + 0.02 * f64::from(cut));
                if apart || silent {
                    net.bag.remove(0);
                    continue;
                }
                net.deliver(0, false);
            }
        }
    }
}

/// A machine that answered its leader, and starts anew, helps nobody else to win before that answer has run out.
#[test]
fn a_restart_does_not_forget_whom_it_answered() {
    let mut net = Net::new(4);
    net.calm(1.0);
    let leader = net.leader().unwrap();
    let others: Vec<NodeId> = (1..=3).filter(|n| *n != leader).collect();
    for (stands, restarts) in [(others[0], others[1]), (others[1], others[0])] {
        let mut net = net.clone();
        // The one that stands has not heard the leader for long.
        for _ in 0..80 {
            net.now += 0.01;
            net.tick_all();
            while let Some(letter) = net.bag.first() {
                let (from, to) = (letter.from.node, letter.to.node());
                if from == leader && to == stands || from == stands {
                    net.bag.remove(0);
                } else {
                    net.deliver(0, false);
                }
            }
        }
        net.restart(restarts, false);
        for _ in 0..100 {
            net.now += 0.01;
            net.tick(stands);
            net.tick(restarts);
            while let Some(letter) = net.bag.first() {
                if letter.from.node == leader || letter.to.node() == leader {
                    net.bag.remove(0);
                } else {
                    net.deliver(0, false);
                }
            }
        }
    }
}

/// A leader that was frozen has no authority when it wakes, whatever waits for it.
#[test]
fn a_frozen_leader_wakes_without_authority() {
    let mut net = Net::new(5);
    net.calm(1.0);
    let leader = net.leader().unwrap();
    net.tick(leader);
    let waiting = net.bag.clone();
    net.bag.clear();
    net.at(leader).up = false;
    net.calm(1.5);
    let new = net.leader().unwrap();
    assert_ne!(new, leader);
    net.at(leader).up = true;
    net.one_acts();
    net.tick(leader);
    net.bag.splice(0..0, waiting);
    net.calm(0.5);
    assert_eq!(net.leader(), Some(new));
    assert!(net.machines[&leader].consensus.leader_term().is_none());
}

/// A machine that hears nobody and is heard raises no ballots: when it is back, nobody has to stand again.
#[test]
fn a_deaf_machine_does_not_disturb() {
    let mut net = Net::new(5);
    net.calm(1.0);
    let leader = net.leader().unwrap();
    let deaf = 1 + leader % 3;
    let (wins, highest) = (net.wins.len(), net.highest());
    net.calm_but_for(20.0, |letter| letter.to.node() == deaf);
    net.calm(2.0);
    assert_eq!(
        (net.leader(), net.wins.len(), net.highest()),
        (Some(leader), wins, highest)
    );
}

/// A machine that hears all but the leader, and is heard, is told by the others that they hear it: it raises no ballots.
#[test]
fn a_machine_that_hears_all_but_the_leader_does_not_disturb() {
    let mut net = Net::new(5);
    net.calm(1.0);
    let leader = net.leader().unwrap();
    let apart = 1 + leader % 3;
    let (wins, highest) = (net.wins.len(), net.highest());
    net.calm_but_for(5.0, |letter| {
        letter.from.node == leader && letter.to.node() == apart
    });
    net.calm(2.0);
    assert_eq!(
        (net.leader(), net.wins.len(), net.highest()),
        (Some(leader), wins, highest)
    );
}

/// A leader that is cut off from a majority goes on sending heartbeats for a while: a follower that still hears it is out of contact
/// no later than a second after the leader was in contact itself.
#[test]
fn contact_ends_with_that_of_the_leader() {
    let mut net = Net::new(5);
    net.join(4);
    net.join(5);
    for node in 1..=5 {
        net.at(node).consensus.set_fault_budget(2);
    }
    net.calm(3.0);
    let leader = net.leader().expect("somebody leads");
    let with_it = 1 + leader % 5;
    let cut = net.now;
    let (mut leader_until, mut until, mut heard) = (cut, cut, cut);
    while net.now < cut + 4.0 {
        net.now += 0.01;
        net.tick_all();
        while let Some(letter) = net.bag.first() {
            let sides =
                [letter.from.node, letter.to.node()].map(|node| node == leader || node == with_it);
            if sides[0] != sides[1] {
                net.bag.remove(0);
            } else {
                if letter.from.node == leader
                    && matches!(letter.message, ConsensusMessage::Heartbeat { .. })
                {
                    heard = net.now;
                }
                net.deliver(0, false);
            }
        }
        if net.machines[&leader].consensus.in_contact(net.now) {
            leader_until = net.now;
        }
        if net.machines[&with_it].consensus.in_contact(net.now) {
            until = net.now;
        }
    }
    assert!(leader_until <= cut + SUSPECT, "{leader_until} after {cut}");
    assert!(
        until <= leader_until + CONTACT,
        "{until} after {leader_until}"
    );
    assert!(
        heard > leader_until + 0.2,
        "the leader sent no more heartbeats: the case shows nothing"
    );
}

/// One machine that decides alone has agreed on nothing before that is on its disk.
#[test]
fn one_alone_agrees_on_what_is_saved() {
    let me = Voter {
        node: 1,
        incarnation: FOUNDING_INCARNATION,
    };
    let record = HardState {
        state: Rc::new(State::founding(vec![1])),
        ..HardState::default()
    };
    let timing = ConsensusConfig {
        election_timeout: SUSPECT,
        contact_timeout: CONTACT,
    };
    let mut consensus = Consensus::new(me, record, 0.0, 7, timing);
    let mut now = 0.0;
    while consensus.leader_term().is_none() {
        now += 0.02;
        let mut outs = Vec::new();
        consensus.tick(now, &mut outs);
        while outs.contains(&ConsensusOutput::Persist) {
            outs.clear();
            consensus.persisted(now, &mut outs);
        }
        assert!(now < 5.0);
    }
    let mut outs = Vec::new();
    let change = consensus
        .committed_state()
        .unwrap()
        .config_change(3, &Rc::from(*b"x"));
    assert!(consensus.propose(now, change, &mut outs).is_some());
    assert_eq!(outs, [ConsensusOutput::Persist]);
    let mut then = Vec::new();
    consensus.persisted(now, &mut then);
    assert_eq!(then, [ConsensusOutput::Committed]);
}

/// An empty disk is another voter: it takes part in nothing before those who are left have taken it in.
#[test]
fn an_empty_disk_does_not_vote() {
    for wiped in 1..=3 {
        let mut net = Net::new(6);
        net.calm(1.0);
        let leader = net.leader().unwrap();
        net.propose(leader);
        net.calm(0.3);
        // All lose power, one its disk as well; each of the others alone is not enough with it.
        for node in 1..=3 {
            net.restart(node, node == wiped);
        }
        let down = if wiped == 1 { 2 } else { 1 };
        net.at(down).up = false;
        net.calm(4.0);
        assert!(net.leader().is_none() && !net.machines[&wiped].consensus.is_voter());
        net.restart(down, false);
        net.calm(3.0);
        let leader = net.leader().expect("a leader");
        assert!(net.propose(leader));
        net.calm(0.3);
        assert!(net.machines[&wiped].consensus.is_voter());
        assert!(net.all_decide());
    }
}

/// It is brought up to date though nothing changes meanwhile, and its leader remembers that it had all.
#[test]
fn an_empty_disk_catches_up() {
    for wiped in 1..=3 {
        let mut net = Net::new(8);
        net.calm(1.5);
        net.restart(wiped, true);
        net.calm(4.0);
        assert!(
            net.machines.values().all(|m| m.consensus.is_voter()),
            "{}",
            net.tale()
        );
        // So another one may be lost.
        net.at(1 + wiped % 3).up = false;
        net.calm(2.0);
        assert!(net.leader().is_some());
    }
}

/// The newest state was on the wiped disk and on one other: it is found there.
#[test]
fn what_was_acknowledged_outlives_a_disk() {
    for helper in 1..=3 {
        let mut net = Net::new(7);
        net.calm(1.0);
        let leader = net.leader().unwrap();
        if helper == leader {
            continue;
        }
        net.propose(leader);
        // Only one other takes it.
        net.bag.retain(|letter| letter.to.node() == helper);
        let accept = |net: &Net| {
            net.bag
                .iter()
                .position(|letter| matches!(letter.message, ConsensusMessage::AppendRequest { .. }))
        };
        let at = accept(&net).unwrap();
        net.deliver(at, false);
        let accepted = |net: &Net| {
            net.bag.iter().position(|letter| {
                matches!(letter.message, ConsensusMessage::AppendResponse { .. })
            })
        };
        let at = accepted(&net).unwrap();
        net.deliver(at, false);
        assert_eq!(net.agreed.len(), 1);
        let epoch = net.agreed.values().next().unwrap().1;
        for wiped in [leader, helper] {
            let mut net = net.clone();
            for node in 1..=3 {
                net.restart(node, node == wiped);
            }
            net.calm(5.0);
            assert!(net.leader().is_some());
            let epochs: HashSet<u64> = net
                .machines
                .values()
                .map(|m| m.saved.state.config_epoch)
                .collect();
            assert_eq!(epochs, HashSet::from([epoch]));
        }
    }
}

/// Long random runs, with lost and doubled messages, restarts, disks that refuse, and one disk lost at a time.
#[test]
fn nothing_acknowledged_is_lost() {
    arbtest(|u| {
        let mut net = Net::new(u.int_in_range(0..=1000)?);
        let wipes: bool = u.arbitrary()?;
        for node in 1..=3 {
            net.at(node).offset = f64::from(u.int_in_range(0..=1000)?);
        }
        for node in 1..=3 {
            net.restart(node, false);
        }
        for _ in 0..u.int_in_range(20..=200)? {
            if u.is_empty() {
                break;
            }
            match u.int_in_range(0..=20)? {
                0 => net.restart(u.int_in_range(1..=3)?, false),
                1 if wipes && net.all_decide() && !net.is_joint() => {
                    net.restart(u.int_in_range(1..=3)?, true);
                }
                2 => net.at(u.int_in_range(1..=3)?).up = false,
                3 => net.at(u.int_in_range(1..=3)?).up = true,
                4..=6 => {
                    if let Some(leader) = net.leader() {
                        net.propose(leader);
                    }
                }
                7..=10 => {
                    net.now += 0.01 * f64::from(u.int_in_range(1..=90)?);
                    net.tick_all();
                }
                11 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.bag.swap_remove(at);
                }
                12 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.deliver(at, true);
                }
                13 => {
                    let node = u.int_in_range(1..=3)?;
                    let full = !net.at(node).full;
                    net.at(node).full = full;
                    net.reopen(node);
                }
                _ if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.deliver(at, false);
                }
                _ => {}
            }
        }
        for node in 1..=3 {
            net.at(node).up = true;
            net.at(node).full = false;
            net.reopen(node);
        }
        net.calm(6.0);
        let leader = net.leader();
        assert!(leader.is_some(), "nobody leads\n{}", net.tale());
        let newest = net.agreed.keys().max().copied().unwrap_or(0);
        for machine in net.machines.values() {
            assert!(machine.saved.state.version >= newest, "{}", net.tale());
        }
        assert!(
            net.all_decide(),
            "a machine has not caught up\n{}",
            net.tale()
        );
        Ok(())
    })
    .size_min(200)
    .size_max(2000)
    .budget_ms(super::budget());
}

#[test]
fn configurations_are_judged() {
    let take = |state: &State, epoch, body: &[u8]| {
        state
            .apply(&state.config_change(epoch, &body.into()))
            .expect("the change was made for it")
    };
    let first = State::founding(vec![3, 1, 2, 1]);
    let nodes: Vec<NodeId> = first.voters.voters().iter().map(|v| v.node).collect();
    assert_eq!(nodes, [1, 2, 3]);
    assert_eq!(first.check_replace(0, 5, b"x"), ReplaceVerdict::Apply);
    let second = take(&first, 5, b"x");
    assert_eq!(
        second.check_replace(0, 5, b"x"),
        ReplaceVerdict::AlreadyApplied
    );
    assert_eq!(second.check_replace(0, 5, b"y"), ReplaceVerdict::Conflict);
    assert_eq!(second.check_replace(5, 5, b"y"), ReplaceVerdict::Stale);
    assert_eq!(second.check_replace(5, 4, b"y"), ReplaceVerdict::Stale);
    assert_eq!(second.check_replace(5, 6, b"y"), ReplaceVerdict::Apply);
    let third = take(&second, 9, b"z");
    assert_eq!(
        third.check_replace(0, 5, b"x"),
        ReplaceVerdict::AlreadyApplied,
        "it was taken, though it is not the newest any more"
    );
    assert_eq!(State::decode(&third.encode()), Some(third.clone()));
    assert_eq!(State::decode(&third.encode()[1..]), None);
    // An order is remembered through a thousand others; of one that is forgotten neither yes nor no is said.
    let mut many = third;
    for epoch in 10..9 + MAX_APPLIED_CONFIGS as u64 {
        many = take(&many, epoch, b"m");
    }
    assert_eq!(many.applied_configs.len(), MAX_APPLIED_CONFIGS);
    assert_eq!(
        many.check_replace(5, 9, b"z"),
        ReplaceVerdict::AlreadyApplied
    );
    assert_eq!(many.check_replace(0, 5, b"x"), ReplaceVerdict::Unknown);
    assert_eq!(
        many.check_replace(many.config_epoch - 1, many.config_epoch, b"n"),
        ReplaceVerdict::Conflict
    );
    let more = take(&many, many.config_epoch + 1, b"m");
    assert_eq!(more.applied_configs.len(), MAX_APPLIED_CONFIGS);
    assert_eq!(more.check_replace(5, 9, b"z"), ReplaceVerdict::Unknown);
}
