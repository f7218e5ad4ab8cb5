//! Safety and liveness of consensus, tested with every order of a few messages and with long random
//! runs. After every step, the harness checks that no committed state was lost, and that no two
//! different states were committed with the same version.

use super::common::{CONSENSUS_CONFIG, arbtest_budget_ms, founder, founding_hard_state};
use super::network::{Envelope, Network};
use crate::consensus::{Consensus, ConsensusMessage, ConsensusOutput};
use crate::state::{MAX_APPLIED_CONFIGS, ReplaceVerdict, State};
use crate::voter_set::NodeId;
use arbtest::arbtest;
use std::collections::HashSet;
use std::rc::Rc;

#[test]
fn leader_is_elected_within_a_second() {
    for seed in 0..20 {
        let mut network = Network::new(seed);
        network.run(0.8);
        let leader = network.leader().expect("a leader is elected");
        assert!(network.propose(leader));
        network.run(0.1);
        assert_eq!(network.committed.len(), 1);
        network.stop(leader);
        network.run(1.2);
        assert!(
            network.leader().is_some_and(|l| l != leader),
            "{}",
            network.trace_text()
        );
        network.restart(leader);
        network.run(1.0);
        let epochs: HashSet<u64> = network
            .machines
            .values()
            .map(|m| m.disk.state.config_epoch)
            .collect();
        assert_eq!(epochs.len(), 1);
    }
}

/// Explores every run of up to `depth` steps, and counts the states visited. A step delivers a
/// message in flight. Up to `faults` steps of a run instead restart a machine from its disk, let an
/// election timeout pass, or propose a change. A message that a run doesn't deliver counts as lost.
fn explore(network: &Network, depth: u32, faults: u32, count: &mut u64) {
    *count += 1;
    if depth == 0 {
        return;
    }
    for index in 0..network.in_flight.len() {
        // Equal messages lead to equal states, so only the first of them is delivered.
        if network.in_flight[..index].contains(&network.in_flight[index]) {
            continue;
        }
        let mut next = network.clone();
        next.deliver(index);
        explore(&next, depth - 1, faults, count);
    }
    if faults > 0 {
        for node in network.machines.keys().copied() {
            let mut next = network.clone();
            next.restart(node);
            explore(&next, depth - 1, faults - 1, count);
            let mut next = network.clone();
            next.now += CONSENSUS_CONFIG.election_timeout_s + 0.5;
            next.tick(node);
            explore(&next, depth - 1, faults - 1, count);
        }
        if let Some(leader) = network.leader() {
            let mut next = network.clone();
            if next.propose(leader) {
                explore(&next, depth - 1, faults - 1, count);
            }
        }
    }
}

#[test]
fn every_order_of_an_election_is_safe() {
    let mut network = Network::new(1);
    network.now = 0.5;
    network.tick(1);
    network.tick(2);
    // Machines 1 and 2 send pre-vote requests. Each becomes a candidate as soon as one other voter
    // grants it the pre-vote.
    for node in [1, 2] {
        let pre_vote_request = |network: &Network| {
            network.in_flight.iter().position(|envelope| {
                envelope.from.node == node
                    && matches!(envelope.message, ConsensusMessage::PreVoteRequest { .. })
            })
        };
        let index = pre_vote_request(&network).expect("the machine sends pre-vote requests");
        network.deliver(index);
    }
    network
        .in_flight
        .retain(|envelope| !matches!(envelope.message, ConsensusMessage::PreVoteRequest { .. }));
    network.disable_trace();
    let mut count = 0;
    explore(&network, 6, 1, &mut count);
    assert!(count > 5_000, "{count}");
}

#[test]
fn every_order_of_a_proposal_is_safe() {
    let mut network = Network::new(2);
    network.run(0.8);
    let leader = network.leader().unwrap();
    network.propose(leader);
    network.disable_trace();
    let mut count = 0;
    explore(&network, 5, 2, &mut count);
    assert!(count > 5_000, "{count}");
}

/// A partition may begin at any moment of the leader's lease. No other machine may be elected while
/// the former leader's lease may rely on a response.
#[test]
fn no_election_succeeds_during_the_lease_of_a_leader() {
    for partition_tick in 0..60 {
        let mut network = Network::new(3);
        network.run(0.8);
        let leader = network.leader().unwrap();
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != leader).collect();
        // One follower receives nothing from the leader. The other one receives its messages and
        // answers them until the partition begins.
        let until = network.now + 3.0;
        let started_at = network.now;
        while network.now < until {
            network.now += 0.01;
            network.tick_all();
            let is_partitioned = network.now > started_at + 0.02 * f64::from(partition_tick);
            network.deliver_all(|envelope| {
                let (from, to) = (envelope.from.node, envelope.to.node());
                from == others[0] && to == leader
                    || from == leader && (to == others[0] || is_partitioned)
            });
        }
    }
}

/// A machine that answered its leader and then restarted must not vote for another machine while
/// the leader's lease may rely on that response.
#[test]
fn restarted_follower_respects_the_lease_that_it_granted() {
    let mut network = Network::new(4);
    network.run(1.0);
    let leader = network.leader().unwrap();
    let others: Vec<NodeId> = (1..=3).filter(|n| *n != leader).collect();
    for (candidate, restarted) in [(others[0], others[1]), (others[1], others[0])] {
        let mut network = network.clone();
        // For longer than the election timeout, the future candidate receives nothing from the
        // leader, and nothing that it sends arrives.
        for _ in 0..80 {
            network.now += 0.01;
            network.tick_all();
            network.deliver_all(|envelope| {
                let (from, to) = (envelope.from.node, envelope.to.node());
                from == leader && to == candidate || from == candidate
            });
        }
        network.restart(restarted);
        for _ in 0..100 {
            network.now += 0.01;
            network.tick(candidate);
            network.tick(restarted);
            network.deliver_all(|envelope| envelope.involves(leader));
        }
    }
}

/// A leader whose process was suspended has no authority when it resumes, even if messages that
/// were sent before the suspension arrive then.
#[test]
fn suspended_leader_resumes_without_authority() {
    let mut network = Network::new(5);
    network.run(1.0);
    let leader = network.leader().unwrap();
    network.tick(leader);
    let delayed = network.in_flight.clone();
    network.in_flight.clear();
    network.stop(leader);
    network.run(1.5);
    let next = network.leader().unwrap();
    assert_ne!(next, leader);
    network.machine_mut(leader).is_running = true;
    network.check_single_leader();
    network.tick(leader);
    network.in_flight.splice(0..0, delayed);
    network.run(0.5);
    assert_eq!(network.leader(), Some(next));
    assert!(network.machines[&leader].consensus.leader_term().is_none());
}

/// A machine that can send but not receive doesn't raise the term, so the leader is not deposed
/// when the fault ends.
#[test]
fn machine_that_cannot_receive_does_not_depose_the_leader() {
    let mut network = Network::new(5);
    network.run(1.0);
    let leader = network.leader().unwrap();
    let faulty = 1 + leader % 3;
    let (elections, term) = (network.elections.len(), network.highest_voted_term());
    network.run_with_loss(20.0, |envelope| envelope.to.node() == faulty);
    network.run(2.0);
    assert_eq!(
        (
            network.leader(),
            network.elections.len(),
            network.highest_voted_term()
        ),
        (Some(leader), elections, term)
    );
}

/// If a machine receives the messages of all others except the leader, the others don't grant it a
/// pre-vote, so it doesn't raise the term.
#[test]
fn machine_without_a_link_from_the_leader_does_not_depose_it() {
    let mut network = Network::new(5);
    network.run(1.0);
    let leader = network.leader().unwrap();
    let partitioned = 1 + leader % 3;
    let (elections, term) = (network.elections.len(), network.highest_voted_term());
    network.run_with_loss(5.0, |envelope| {
        envelope.from.node == leader && envelope.to.node() == partitioned
    });
    network.run(2.0);
    assert_eq!(
        (
            network.leader(),
            network.elections.len(),
            network.highest_voted_term()
        ),
        (Some(leader), elections, term)
    );
}

/// A leader that is partitioned from a majority still sends heartbeats for a while. A follower that
/// receives them must lose contact no later than the contact timeout after the leader lost it.
#[test]
fn contact_of_follower_ends_after_that_of_its_leader() {
    let mut network = Network::new(5);
    network.add_empty_machine(4);
    network.add_empty_machine(5);
    for node in 1..=5 {
        network.machine_mut(node).consensus.set_fault_budget(2);
    }
    network.run(3.0);
    let leader = network.leader().expect("a leader is elected");
    let follower = 1 + leader % 5;
    let partitioned_at = network.now;
    let mut leader_contact_at = partitioned_at;
    let mut follower_contact_at = partitioned_at;
    let mut last_heartbeat_at = partitioned_at;
    while network.now < partitioned_at + 4.0 {
        network.now += 0.01;
        network.tick_all();
        let is_lost = |envelope: &Envelope| {
            let in_minority = |node| node == leader || node == follower;
            in_minority(envelope.from.node) != in_minority(envelope.to.node())
        };
        let is_heartbeat = |envelope: &Envelope| {
            envelope.from.node == leader
                && matches!(envelope.message, ConsensusMessage::Heartbeat { .. })
        };
        if network
            .in_flight
            .iter()
            .any(|envelope| is_heartbeat(envelope) && !is_lost(envelope))
        {
            last_heartbeat_at = network.now;
        }
        network.deliver_all(is_lost);
        if network.machines[&leader].consensus.in_contact(network.now) {
            leader_contact_at = network.now;
        }
        if network.machines[&follower]
            .consensus
            .in_contact(network.now)
        {
            follower_contact_at = network.now;
        }
    }
    assert!(
        leader_contact_at <= partitioned_at + CONSENSUS_CONFIG.election_timeout_s,
        "the leader was in contact until {leader_contact_at}, partitioned at {partitioned_at}"
    );
    assert!(
        follower_contact_at <= leader_contact_at + CONSENSUS_CONFIG.contact_timeout_s,
        "the follower was in contact until {follower_contact_at}, the leader until \
         {leader_contact_at}"
    );
    assert!(
        last_heartbeat_at > leader_contact_at + 0.2,
        "the leader sent no heartbeats after it lost contact, so the test proves nothing"
    );
}

/// A single voter commits a change only once it is on its disk.
#[test]
fn single_voter_commits_after_its_write() {
    let disk = founding_hard_state(&[1]);
    let mut consensus = Consensus::new(founder(1), disk, 0.0, 7, CONSENSUS_CONFIG);
    let mut now = 0.0;
    while consensus.leader_term().is_none() {
        now += 0.02;
        let mut outputs = Vec::new();
        consensus.tick(now, &mut outputs);
        while outputs.contains(&ConsensusOutput::Persist) {
            outputs.clear();
            consensus.persisted(now, &mut outputs);
        }
        assert!(now < 5.0);
    }
    let mut outputs = Vec::new();
    let change = consensus
        .committed_state()
        .unwrap()
        .config_change(3, &Rc::from(*b"x"));
    assert!(consensus.propose(now, change, &mut outputs).is_some());
    assert_eq!(outputs, [ConsensusOutput::Persist]);
    let mut after_write = Vec::new();
    consensus.persisted(now, &mut after_write);
    assert_eq!(after_write, [ConsensusOutput::Committed]);
}

/// A machine that lost its disk doesn't vote until the others have made its new incarnation a
/// voter.
#[test]
fn machine_with_empty_disk_does_not_vote() {
    for lost_disk in 1..=3 {
        let mut network = Network::new(6);
        network.run(1.0);
        let leader = network.leader().unwrap();
        network.propose(leader);
        network.run(0.3);
        // All machines lose power, and one of them loses its disk. That machine and one of the
        // others are not a quorum.
        network.restart_all(lost_disk);
        let down = if lost_disk == 1 { 2 } else { 1 };
        network.stop(down);
        network.run(4.0);
        assert!(network.leader().is_none() && !network.machines[&lost_disk].consensus.is_voter());
        network.restart(down);
        network.run(3.0);
        let leader = network.leader().expect("a leader is elected");
        assert!(network.propose(leader));
        network.run(0.3);
        assert!(network.machines[&lost_disk].consensus.is_voter());
        assert!(network.all_are_voters());
    }
}

/// A machine that lost its disk receives the state even if nothing is proposed meanwhile, and
/// counts for quorums from then on.
#[test]
fn machine_with_empty_disk_catches_up() {
    for lost_disk in 1..=3 {
        let mut network = Network::new(8);
        network.run(1.5);
        network.restart_with_empty_disk(lost_disk);
        network.run(4.0);
        assert!(
            network.machines.values().all(|m| m.consensus.is_voter()),
            "{}",
            network.trace_text()
        );
        // So the failure of another machine is tolerated.
        network.stop(1 + lost_disk % 3);
        network.run(2.0);
        assert!(network.leader().is_some());
    }
}

/// If two disks have the newest state and one of them is lost, the state is recovered from the
/// other.
#[test]
fn committed_state_survives_the_loss_of_a_disk() {
    for follower in 1..=3 {
        let mut network = Network::new(7);
        network.run(1.0);
        let leader = network.leader().unwrap();
        if follower == leader {
            continue;
        }
        network.propose(leader);
        // Only one follower receives the proposal.
        network
            .in_flight
            .retain(|envelope| envelope.to.node() == follower);
        let append_request = |network: &Network| {
            network.in_flight.iter().position(|envelope| {
                matches!(envelope.message, ConsensusMessage::AppendRequest { .. })
            })
        };
        let index = append_request(&network).unwrap();
        network.deliver(index);
        let append_response = |network: &Network| {
            network.in_flight.iter().position(|envelope| {
                matches!(envelope.message, ConsensusMessage::AppendResponse { .. })
            })
        };
        let index = append_response(&network).unwrap();
        network.deliver(index);
        assert_eq!(network.committed.len(), 1);
        let epoch = network.committed.values().next().unwrap().config_epoch;
        for lost_disk in [leader, follower] {
            let mut network = network.clone();
            network.restart_all(lost_disk);
            network.run(5.0);
            assert!(network.leader().is_some());
            let epochs: HashSet<u64> = network
                .machines
                .values()
                .map(|m| m.disk.state.config_epoch)
                .collect();
            assert_eq!(epochs, HashSet::from([epoch]));
        }
    }
}

/// Long random runs with lost and duplicated messages, restarts, failed writes, and lost disks, of
/// which one at a time is lost.
#[test]
fn random_faults_lose_no_committed_state() {
    arbtest(|u| {
        let mut network = Network::new(u.int_in_range(0..=1000)?);
        let loses_disks: bool = u.arbitrary()?;
        for node in 1..=3 {
            network.machine_mut(node).clock_offset_s = f64::from(u.int_in_range(0..=1000)?);
        }
        for node in 1..=3 {
            network.restart(node);
        }
        for _ in 0..u.int_in_range(20..=200)? {
            if u.is_empty() {
                break;
            }
            match u.int_in_range(0..=20)? {
                0 => network.restart(u.int_in_range(1..=3)?),
                1 if loses_disks && network.all_are_voters() && !network.is_joint() => {
                    network.restart_with_empty_disk(u.int_in_range(1..=3)?);
                }
                2 => network.stop(u.int_in_range(1..=3)?),
                3 => network.machine_mut(u.int_in_range(1..=3)?).is_running = true,
                4..=6 => {
                    if let Some(leader) = network.leader() {
                        network.propose(leader);
                    }
                }
                7..=10 => {
                    network.now += 0.01 * f64::from(u.int_in_range(1..=90)?);
                    network.tick_all();
                }
                11 if !network.in_flight.is_empty() => {
                    let index = u.choose_index(network.in_flight.len())?;
                    network.in_flight.swap_remove(index);
                }
                12 if !network.in_flight.is_empty() => {
                    let index = u.choose_index(network.in_flight.len())?;
                    network.deliver_copy(index);
                }
                13 => {
                    let node = u.int_in_range(1..=3)?;
                    let disk_full = !network.machine_mut(node).disk_full;
                    network.machine_mut(node).disk_full = disk_full;
                    network.reopen_disk(node);
                }
                _ if !network.in_flight.is_empty() => {
                    let index = u.choose_index(network.in_flight.len())?;
                    network.deliver(index);
                }
                _ => {}
            }
        }
        for node in 1..=3 {
            network.machine_mut(node).is_running = true;
            network.machine_mut(node).disk_full = false;
            network.reopen_disk(node);
        }
        network.run(6.0);
        let leader = network.leader();
        assert!(leader.is_some(), "no leader\n{}", network.trace_text());
        let newest = network.newest_committed_version();
        for machine in network.machines.values() {
            assert!(
                machine.disk.state.version >= newest,
                "{}",
                network.trace_text()
            );
        }
        assert!(
            network.all_are_voters(),
            "a running machine is not a voter\n{}",
            network.trace_text()
        );
        Ok(())
    })
    .size_min(200)
    .size_max(2000)
    .budget_ms(arbtest_budget_ms());
}

#[test]
fn replace_verdict_depends_on_base_epoch_and_history() {
    let replace = |state: &State, epoch, body: &[u8]| {
        state
            .apply(&state.config_change(epoch, &body.into()))
            .expect("the delta is from this state")
    };
    let first = State::founding(vec![3, 1, 2, 1]);
    let nodes: Vec<NodeId> = first.voters.voters().iter().map(|v| v.node).collect();
    assert_eq!(nodes, [1, 2, 3]);
    assert_eq!(first.check_replace(0, 5, b"x"), ReplaceVerdict::Apply);
    let second = replace(&first, 5, b"x");
    assert_eq!(
        second.check_replace(0, 5, b"x"),
        ReplaceVerdict::AlreadyApplied
    );
    assert_eq!(second.check_replace(0, 5, b"y"), ReplaceVerdict::Conflict);
    assert_eq!(second.check_replace(5, 5, b"y"), ReplaceVerdict::Stale);
    assert_eq!(second.check_replace(5, 4, b"y"), ReplaceVerdict::Stale);
    assert_eq!(second.check_replace(5, 6, b"y"), ReplaceVerdict::Apply);
    let third = replace(&second, 9, b"z");
    assert_eq!(
        third.check_replace(0, 5, b"x"),
        ReplaceVerdict::AlreadyApplied,
        "it was applied earlier, although it is no longer the present one"
    );
    assert_eq!(State::decode(&third.encode()), Some(third.clone()));
    assert_eq!(State::decode(&third.encode()[1..]), None);
    // Only the newest MAX_APPLIED_CONFIGS are remembered. Whether an older one was applied is
    // unknown.
    let mut many = third;
    for epoch in 10..9 + MAX_APPLIED_CONFIGS as u64 {
        many = replace(&many, epoch, b"m");
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
    let more = replace(&many, many.config_epoch + 1, b"m");
    assert_eq!(more.applied_configs.len(), MAX_APPLIED_CONFIGS);
    assert_eq!(more.check_replace(5, 9, b"z"), ReplaceVerdict::Unknown);
}
