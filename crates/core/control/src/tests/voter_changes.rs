//! Changes of the voter set: machines join, leave, resign and are replaced. No committed state is
//! lost, no two different states are committed with the same version, and a leader can be elected
//! as long as no more machines fail than the fault budget allows.

use super::common::arbtest_budget_ms;
use super::network::{Election, Network};
use crate::consensus::{ConsensusMessage, StateId};
use crate::voter_set::{NodeId, Voter, VoterSet};
use arbtest::arbtest;

#[test]
fn empty_machine_replaces_a_failed_voter() {
    let mut network = Network::new(7);
    network.run(1.0);
    let failed = network.leader().expect("a leader is elected");
    network.machines.remove(&failed);
    network.run(1.0);
    network.add_empty_machine(4);
    network.run(1.5);
    assert!(
        network.voters().contains(&4),
        "the new machine is a voter soon after its start: {:?}",
        network.voters()
    );
    assert!(network.machines[&4].consensus.is_voter());
    assert_eq!(
        network.voters().len(),
        3,
        "the new machine replaced the failed one: {:?}",
        network.voters()
    );
    // One more failure is tolerated now.
    let other = *network
        .voters()
        .iter()
        .find(|v| **v != 4)
        .expect("there is another voter");
    network.machines.remove(&other);
    network.run(2.0);
    let leader = network
        .leader()
        .expect("two of three voters elect a leader");
    assert!(network.propose(leader));
    let newest = network.newest_committed_version();
    network.run(0.5);
    assert!(network.newest_committed_version() > newest);
}

#[test]
fn no_removal_leaves_fewer_voters_than_the_fault_budget_needs() {
    let mut network = Network::new(7);
    network.run(1.0);
    network.machines.remove(&3);
    network.run(10.0);
    assert_eq!(
        network.voters(),
        [1, 2, 3],
        "the failed voter is kept, because no machine can replace it"
    );
}

#[test]
fn removed_voter_rejoins() {
    let mut network = Network::new(7);
    network.add_empty_machine(4);
    network.run(3.0);
    assert_eq!(network.voters().len(), 4);
    let removed = *network
        .voters()
        .iter()
        .find(|v| Some(**v) != network.leader())
        .expect("there is a follower");
    network.stop(removed);
    network.run(5.0);
    assert!(!network.voters().contains(&removed));
    network.restart(removed);
    network.run(4.0);
    assert!(
        network.voters().contains(&removed),
        "{:?}",
        network.voters()
    );
    assert!(network.leader().is_some());
}

#[test]
fn quorum_of_an_outdated_voter_set_elects_no_leader() {
    let mut network = Network::new(7);
    network.run(1.0);
    let outdated = network.machines[&1].disk.clone();
    // Machines 4 and 5 join while machine 1 is down.
    network.stop(1);
    network.run(1.0);
    network.add_empty_machine(4);
    network.run(6.0);
    network.add_empty_machine(5);
    network.run(3.0);
    let leader = network.leader().expect("a leader is elected");
    network.propose(leader);
    network.run(0.5);
    let newest = network.newest_committed_version();
    assert!(newest > 0, "the proposal was committed");
    // Machine 1 restarts with its outdated disk, and machine 2 with its present one. They are two
    // of the three voters that machine 1 knows.
    for node in [3, 4, 5] {
        network.stop(node);
    }
    network.machine_mut(1).disk = outdated;
    network.restart(1);
    network.restart(2);
    network.run(5.0);
    let leader = network.leader();
    // Machine 2 knows the newer voter set, of which the two machines are not a quorum.
    assert!(
        leader.is_none(),
        "machine {leader:?} leads with the voters {:?}",
        network.voters()
    );
    for node in [3, 4, 5] {
        network.restart(node);
    }
    network.run(4.0);
    assert!(network.newest_committed_version() >= newest);
    assert!(network.leader().is_some());
}

#[test]
fn resignation_of_the_leader_starts_an_election_at_once() {
    let mut network = Network::new(7);
    network.run(1.0);
    let leader = network.leader().expect("a leader is elected");
    network.resign(leader);
    let resigned_at = network.now;
    network.run(1.0);
    let Election { at, leader: next } = *network.elections.last().expect("there was an election");
    assert_ne!(next, leader);
    let after = at - resigned_at;
    assert!(after < 0.4, "elected {after} s after the resignation");
}

/// A voter that shuts down waits for its removal if enough voters remain, and doesn't ask to join
/// again.
#[test]
fn shutdown_waits_for_the_removal_from_the_voters() {
    for is_leader in [true, false] {
        let mut network = Network::new(7);
        network.add_empty_machine(4);
        network.run(3.0);
        let leader = network.leader().expect("a leader is elected");
        let resigning = if is_leader { leader } else { 1 + leader % 4 };
        network.resign(resigning);
        assert!(!network.machines[&resigning].consensus.may_shut_down());
        network.run(1.0);
        assert!(
            network.machines[&resigning].consensus.may_shut_down(),
            "the machine has been removed from the voters"
        );
        assert_eq!(network.voters().len(), 3, "{:?}", network.voters());
        network.run(2.0);
        assert!(
            !network.voters().contains(&resigning),
            "the machine doesn't ask to join again"
        );
        // No voter is removed if only three remain, so the next machine need not wait.
        let next = network.leader().expect("a leader is elected");
        network.resign(next);
        assert!(network.machines[&next].consensus.may_shut_down());
    }
}

#[test]
fn lost_vote_is_sent_again_on_request() {
    let mut network = Network::new(7);
    network.now = 0.2;
    network.tick(1);
    let position = |network: &Network, is_wanted: &dyn Fn(&ConsensusMessage) -> bool| {
        network.in_flight.iter().position(|envelope| {
            [1, 2].contains(&envelope.from.node)
                && [1, 2].contains(&envelope.to.node())
                && is_wanted(&envelope.message)
        })
    };
    for step in ["PreVoteRequest", "PreVoteResponse", "VoteRequest"] {
        let index = position(&network, &|message| {
            format!("{message:?}").starts_with(&format!("{step} "))
        });
        network.deliver(index.expect(step));
    }
    // Everything in flight is lost, including the vote.
    network.in_flight.clear();
    network.now = 0.32;
    network.tick(1);
    while let Some(index) = position(&network, &|_| true) {
        network.deliver(index);
    }
    assert!(network.machines[&1].consensus.leader_term().is_some());
}

/// Two of five voters lose their disks at the same time. Both become voters again soon, and then
/// two more failures are tolerated.
#[test]
fn two_voters_with_lost_disks_rejoin() {
    let mut network = Network::new(3);
    form_five_voters(&mut network);
    let leader = network.leader().expect("a leader is elected");
    let lost_disks: Vec<NodeId> = (1..=5).filter(|node| *node != leader).take(2).collect();
    for node in &lost_disks {
        network.restart_with_empty_disk(*node);
    }
    network.run(2.0);
    assert!(
        network.all_are_voters(),
        "{:?}\n{}",
        network.voters(),
        network.trace_text()
    );
    let another = (1..=5)
        .find(|node| *node != leader && !lost_disks.contains(node))
        .expect("there is another voter");
    network.stop(another);
    network.stop(leader);
    network.run(3.0);
    let leader = network
        .leader()
        .expect("three of five voters elect a leader");
    assert!(network.propose(leader));
}

/// One voter has failed for good, and another one has lost its disk. The second one joins again
/// without waiting for the first.
#[test]
fn voter_with_lost_disk_rejoins_while_another_is_down() {
    let mut network = Network::new(4);
    form_five_voters(&mut network);
    let leader = network.leader().expect("a leader is elected");
    let others: Vec<NodeId> = (1..=5).filter(|node| *node != leader).collect();
    network.machines.remove(&others[0]);
    network.restart_with_empty_disk(others[1]);
    network.run(2.0);
    assert!(network.all_are_voters(), "{:?}", network.voters());
    network.stop(leader);
    network.run(3.0);
    assert!(
        network.leader().is_some(),
        "three of five voters elect a leader"
    );
}

fn form_five_voters(network: &mut Network) {
    network.add_empty_machine(4);
    network.add_empty_machine(5);
    for node in 1..=5 {
        network.machine_mut(node).consensus.set_fault_budget(2);
    }
    network.run(3.0);
    assert_eq!(network.voters().len(), 5);
}

/// A machine replaces a failed voter, and the leader restarts after any number of steps. The next
/// leader completes the change, and then the failure of any one voter is tolerated.
#[test]
fn replacement_survives_a_restart_of_the_leader_at_every_step() {
    let mut start = Network::new(5);
    start.run(1.0);
    let leader = start.leader().expect("a leader is elected");
    let failed = 1 + leader % 3;
    start.machines.remove(&failed);
    start.run(1.3);
    start.add_empty_machine(4);
    let mut joint_count = 0;
    for steps in 0..220 {
        let mut network = start.clone();
        network.disable_trace();
        run_steps(&mut network, steps);
        joint_count += usize::from(network.is_joint());
        let down_for = 0.2 * f64::from(steps % 8);
        network.stop(leader);
        network.run(down_for);
        network.restart(leader);
        network.run(5.0);
        assert!(
            network.all_are_voters() && !network.is_joint(),
            "leader restarted after {steps} steps; voters: {:?}",
            network.voters()
        );
        for lost in network.voters() {
            let mut network = network.clone();
            network.stop(lost);
            network.run(3.0);
            let leader = network.leader().unwrap_or_else(|| {
                panic!("leader restarted after {steps} steps; no leader without {lost}")
            });
            assert!(network.propose(leader));
        }
    }
    assert!(
        joint_count > 3,
        "the leader restarted only {joint_count} times during the change"
    );
}

/// Runs this many steps. A step delivers the oldest message in flight, or advances the time if
/// there is none.
fn run_steps(network: &mut Network, steps: u32) {
    for _ in 0..steps {
        if network.in_flight.is_empty() {
            network.now += 0.02;
            network.tick_all();
        } else {
            network.deliver(0);
        }
    }
}

/// Only the leader and the incoming voter have accepted the joint voter set. The two are not a
/// majority of the outgoing voters, so they can't elect a leader.
#[test]
fn joint_voter_set_needs_a_majority_of_the_outgoing_voters() {
    let mut network = Network::new(6);
    network.run(1.0);
    let leader = network.leader().expect("a leader is elected");
    let others: Vec<NodeId> = (1..=3).filter(|node| *node != leader).collect();
    network.stop(others[0]);
    network.run(1.3);
    network.add_empty_machine(4);
    // The other voter is partitioned from when the change is proposed.
    for _ in 0..4000 {
        if network.machines[&leader]
            .consensus
            .hard_state()
            .state
            .voters
            .is_joint()
        {
            network
                .in_flight
                .retain(|envelope| !envelope.involves(others[1]));
        }
        run_steps(&mut network, 1);
    }
    let joint = &network.machines[&leader].disk.state.voters;
    assert!(joint.is_joint(), "{joint:?}");
    assert_eq!(
        network.leader(),
        None,
        "one outgoing and one incoming voter are no quorum"
    );
    // The other two outgoing voters elect a leader without them.
    network.stop(leader);
    network.stop(4);
    network.machine_mut(others[0]).is_running = true;
    network.run(3.0);
    let next = network
        .leader()
        .expect("two of the three outgoing voters elect a leader");
    assert!(network.propose(next));
    network.run(0.3);
    network.restart(leader);
    network.restart(4);
    network.run(5.0);
    assert!(network.leader().is_some() && network.all_are_voters());
}

/// A voter is removed while it is down, and the leader fails during that change. The next leader
/// completes the change, even if it is the removed voter itself. Then the removed voter joins
/// again.
#[test]
fn leader_that_removes_itself_gives_up_leadership() {
    let mut led_count = 0;
    for steps in 0..160 {
        let mut network = Network::new(8);
        network.add_empty_machine(4);
        network.run(3.0);
        let leader = network.leader().expect("a leader is elected");
        let removed = 1 + leader % 4;
        network.stop(removed);
        network.run(2.9);
        network.disable_trace();
        run_steps(&mut network, steps);
        let is_joint = network.is_joint();
        network.stop(leader);
        // Only the removed voter's timers run, so it becomes a candidate before the others.
        network.restart(removed);
        let elections_before = network.elections.len();
        for _ in 0..300 {
            network.now += 0.01;
            network.tick(removed);
            network.deliver_all(|_| false);
        }
        let was_elected = network.elections[elections_before..]
            .iter()
            .any(|election| election.leader == removed);
        led_count += usize::from(is_joint && was_elected);
        network.restart(leader);
        network.run(6.0);
        assert!(
            network.leader().is_some() && network.all_are_voters(),
            "leader stopped after {steps} steps; voters: {:?}",
            network.voters()
        );
    }
    assert!(
        led_count > 0,
        "the removed voter never led during the change"
    );
}

/// A voter asks to leave, then restarts and joins again, and copies of its leave request arrive
/// late. They must not remove it again and again.
#[test]
fn late_leave_requests_do_not_remove_a_restarted_voter_forever() {
    for seed in 0..8 {
        let mut network = Network::new(seed);
        network.add_empty_machine(4);
        network.run(3.0);
        let leader = network.leader().expect("a leader is elected");
        let resigning = 1 + leader % 4;
        network.resign(resigning);
        // The machine repeats its leave request, and copies of it arrive only after its restart.
        let mut late = Vec::new();
        for _ in 0..40 {
            network.now += 0.02;
            network.tick_all();
            late.extend(
                network
                    .in_flight
                    .iter()
                    .filter(|envelope| matches!(envelope.message, ConsensusMessage::LeaveRequest))
                    .cloned(),
            );
            network.deliver_all(|_| false);
        }
        network.restart(resigning);
        network.in_flight.extend(late);
        network.run(3.0);
        assert!(network.all_are_voters());
        let newest = network.newest_committed_version();
        network.run(5.0);
        assert!(
            network.newest_committed_version() <= newest + 2,
            "the voter set still changes: version {} after {newest}",
            network.newest_committed_version()
        );
    }
}

/// A voter that was removed while it was down, and doesn't know it, doesn't become the leader and
/// doesn't disturb the others.
#[test]
fn removed_voter_that_restarts_does_not_disturb_the_others() {
    let mut network = Network::new(8);
    network.add_empty_machine(4);
    network.run(3.0);
    let leader = network.leader().expect("a leader is elected");
    let removed = 1 + leader % 4;
    network.stop(removed);
    network.run(5.0);
    assert!(!network.voters().contains(&removed));
    // All machines restart, the removed one first. The others know about its removal, and it joins
    // again.
    for node in 1..=4 {
        network.stop(node);
    }
    network.restart(removed);
    network.run(2.0);
    assert_eq!(network.leader(), None);
    for node in (1..=4).filter(|node| *node != removed) {
        network.restart(node);
    }
    network.run(4.0);
    assert!(network.leader().is_some() && network.all_are_voters());
}

/// A state whose write failed isn't acknowledged, even if the leader sends it again.
#[test]
fn nothing_is_accepted_after_a_failed_write() {
    let mut network = Network::new(9);
    network.run(1.0);
    let leader = network.leader().expect("a leader is elected");
    let faulty = 1 + leader % 3;
    network.machine_mut(faulty).disk_full = true;
    network.propose(leader);
    let other = (1..=3)
        .find(|node| *node != leader && *node != faulty)
        .expect("there is a third machine");
    network.stop(other);
    let version = network.machines[&faulty].disk.state.version;
    network.run(2.0);
    assert_eq!(network.machines[&faulty].disk.state.version, version);
    assert!(
        network
            .committed
            .keys()
            .all(|committed| *committed <= version),
        "a state on one disk is committed"
    );
    assert!(network.machines[&faulty].consensus.disk_failed());
    // Once writes succeed, the machine takes part again.
    network.machine_mut(faulty).disk_full = false;
    network.reopen_disk(faulty);
    network.run(3.0);
    assert!(
        network
            .committed
            .keys()
            .any(|committed| *committed > version)
    );
    assert_eq!(
        network.machines[&faulty].disk.state.version,
        network.machines[&leader].disk.state.version
    );
}

/// A leader whose write fails gives up leadership. Its own disk must not have counted for the
/// quorum.
#[test]
fn leader_counts_its_own_disk_only_after_the_write() {
    let mut network = Network::new(10);
    network.run(1.0);
    let leader = network.leader().expect("a leader is elected");
    let disk_before = network.machines[&leader].disk.clone();
    network.machine_mut(leader).disk_full = true;
    network.propose(leader);
    assert_eq!(network.leader(), None, "the leader gives up leadership");
    assert_eq!(
        network.machines[&leader].consensus.hard_state(),
        &disk_before,
        "the machine continues from the state on its disk"
    );
    network.run(2.0);
    let next = network.leader().expect("another machine is elected");
    assert_ne!(next, leader);
    network.machine_mut(leader).disk_full = false;
    network.reopen_disk(leader);
    network.run(2.0);
    assert!(network.all_are_voters());
}

/// A machine that missed a few changes catches up with a delta. A machine that missed hundreds
/// catches up with a snapshot.
#[test]
fn follower_catches_up_after_an_outage() {
    for changes in [3, 700] {
        let mut network = Network::new(11);
        network.run(1.0);
        let leader = network.leader().expect("a leader is elected");
        let stopped = 1 + leader % 3;
        network.stop(stopped);
        for _ in 0..changes {
            assert!(network.propose(leader));
            network.run(0.04);
        }
        network.restart(stopped);
        network.run(1.0);
        assert_eq!(
            network.machines[&stopped].disk.state,
            network.machines[&leader].disk.state
        );
    }
}

/// A machine that asks to join has restarted since it asked to leave, so the leader drops its
/// pending leave request.
#[test]
fn join_request_cancels_a_leave_request() {
    for sends_join_request in [false, true] {
        let mut network = Network::new(3);
        form_five_voters(&mut network);
        for node in 1..=5 {
            network.machine_mut(node).consensus.set_fault_budget(1);
        }
        let leader = network.leader().expect("a leader is elected");
        let voter = network.machines[&(1 + leader % 5)].voter();
        let last_state = StateId::default();
        let clock = network.now;
        let consensus = &mut network.machine_mut(leader).consensus;
        let mut outputs = Vec::new();
        consensus.step(clock, voter, ConsensusMessage::LeaveRequest, &mut outputs);
        if sends_join_request {
            consensus.step(
                clock,
                voter,
                ConsensusMessage::JoinRequest { last_state },
                &mut outputs,
            );
        }
        network.perform(leader, outputs);
        let mut was_removed = false;
        for _ in 0..30 {
            network.run(0.02);
            was_removed |= !network.machines[&leader]
                .consensus
                .voters()
                .contains(&voter);
        }
        assert_eq!(was_removed, !sends_join_request);
    }
}

/// A machine that never received the state isn't made a voter, whether it is new or has lost its
/// disk. Otherwise quorums would count a replica that doesn't exist.
#[test]
fn joining_machine_has_the_state_before_it_is_a_voter() {
    for lost_disk in [false, true] {
        let mut network = Network::new(4);
        network.run(1.0);
        let leader = network.leader().expect("a leader is elected");
        let joining = if lost_disk { 1 + leader % 3 } else { 4 };
        if lost_disk {
            network.restart_with_empty_disk(joining);
        } else {
            network.add_empty_machine(joining);
        }
        let voter = network.machines[&joining].voter();
        let end = network.now + 3.0;
        while network.now < end {
            network.now += 0.02;
            network.tick_all();
            network.deliver_all(|envelope| {
                let is_state = matches!(envelope.message, ConsensusMessage::AppendRequest { .. });
                is_state && envelope.to.node() == joining
            });
            let voters = &network.machines[&leader]
                .consensus
                .hard_state()
                .state
                .voters;
            assert!(!voters.contains(voter), "{voters:?}");
        }
        network.run(3.0);
        assert!(network.all_are_voters());
    }
}

#[test]
fn quorum_of_a_joint_set_needs_both_majorities() {
    let voter = |node| Voter {
        node,
        incarnation: 0,
    };
    let set = VoterSet::founding([3, 1, 2]);
    assert!(set.is_quorum(|v| v.node != 1) && !set.is_quorum(|v| v.node == 1));
    let joint = set
        .joint_with(vec![voter(1), voter(2), voter(4)])
        .expect("the voters differ");
    assert!(joint.is_joint() && joint.all().count() == 4);
    assert!(
        !joint.is_quorum(|v| [1, 4].contains(&v.node)),
        "one of the three outgoing voters is no majority"
    );
    assert!(
        !joint.is_quorum(|v| [2, 3].contains(&v.node)),
        "one of the three incoming voters is no majority"
    );
    assert!(joint.is_quorum(|v| [1, 2].contains(&v.node)));
    assert_eq!(
        joint.joint_with(vec![voter(1)]),
        None,
        "only one change at a time"
    );
    assert_eq!(joint.finalized().voters(), [voter(1), voter(2), voter(4)]);
    assert_eq!(
        set.joint_with(set.voters().to_vec()),
        None,
        "the voters do not differ"
    );
    let last_seen = |v: Voter| f64::from(v.node);
    assert_eq!(set.quorum_seen_at(last_seen), 2.0);
    assert_eq!(joint.quorum_seen_at(last_seen), 2.0);
    assert_eq!(
        VoterSet::default().quorum_seen_at(last_seen),
        f64::NEG_INFINITY
    );
}

#[test]
fn random_joins_and_losses_are_safe() {
    arbtest(|u| {
        let mut network = Network::new(7);
        let mut next = 4;
        for _ in 0..u.int_in_range(20..=160)? {
            let nodes: Vec<NodeId> = network.machines.keys().copied().collect();
            match u.int_in_range(0..=20)? {
                0..=7 if !network.in_flight.is_empty() => {
                    let index = u.choose_index(network.in_flight.len())?;
                    network.deliver(index);
                }
                8 if !network.in_flight.is_empty() => {
                    let index = u.choose_index(network.in_flight.len())?;
                    network.in_flight.swap_remove(index);
                }
                9..=12 => {
                    network.now += f64::from(u.int_in_range(1..=30)?) / 100.0;
                    network.tick_all();
                }
                13 | 14 => {
                    if let Some(leader) = network.leader() {
                        network.propose(leader);
                    }
                }
                15 => network.restart(*u.choose(&nodes)?),
                16 if next < 7 => {
                    network.add_empty_machine(next);
                    next += 1;
                }
                17 => {
                    let node = *u.choose(&nodes)?;
                    let machine = network.machine_mut(node);
                    machine.is_running = !machine.is_running;
                }
                18 if network.all_are_voters()
                    && !network.is_joint()
                    && network.machines.values().all(|m| m.is_running) =>
                {
                    network.restart_with_empty_disk(*u.choose(&nodes)?);
                }
                _ => network.run(f64::from(u.int_in_range(1..=40)?) / 10.0),
            }
        }
        Ok(())
    })
    .budget_ms(arbtest_budget_ms());
}

/// A machine loses its disk twice within about a second. The incarnation in between also asked to
/// join, but must not be a voter once the newest one is.
#[test]
fn outdated_incarnation_does_not_become_a_voter() {
    for ticks_between in 1..60u32 {
        let mut network = Network::new(u64::from(ticks_between));
        network.run(1.0);
        let leader = network.leader().expect("a leader is elected");
        let node = 1 + leader % 3;
        network.restart_with_empty_disk(node);
        let outdated = network.machines[&node].voter();
        network.run(0.02 * f64::from(ticks_between));
        network.restart_with_empty_disk(node);
        let newest = network.machines[&node].voter();
        let mut is_voter = false;
        for _ in 0..100 {
            network.run(0.02);
            let voters = network
                .leader()
                .map(|leader| network.machines[&leader].consensus.voters().to_vec())
                .unwrap_or_default();
            is_voter |= voters.contains(&newest);
            assert!(
                !is_voter || !voters.contains(&outdated),
                "disk lost again after {ticks_between} ticks; voters: {voters:?}"
            );
        }
        assert!(
            is_voter,
            "disk lost again after {ticks_between} ticks; the newest incarnation is no voter"
        );
    }
}
