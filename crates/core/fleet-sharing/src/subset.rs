//! Chooses which replicas of a group a router uses. Every router computes the same assignment, which spreads routers
//! evenly over nodes and changes little when routers or nodes come and go. Each pair of a router and a node has a
//! fixed preference (highest random weight). The pairs are taken in that order, and a node that has its share of
//! routers takes no more.

use crate::slot_schedule::mix64;
use std::collections::BTreeMap;

/// Minimum number of routers per node. With fewer, all routers use all nodes: otherwise the loss of one router could
/// leave a node without any router that knows its state.
const MIN_ROUTERS_PER_NODE: usize = 2;
/// Above this number of pairs, each router uses its own preferences alone, which is even only on average.
const MAX_PAIRS: usize = 50_000;

fn preference(router: u64, node: u64) -> u64 {
    mix64(mix64(router).wrapping_add(node))
}

/// Returns the indices of the nodes that the router at index `own` uses: `size` of them, or all where there are too
/// few routers. `routers` and `nodes` are hashes of names, the same at every router.
pub fn subset(routers: &[u64], own: usize, nodes: &[u64], size: usize) -> Vec<usize> {
    let all = || (0..nodes.len()).collect();
    if size == 0 || size >= nodes.len() || routers.len() * size < MIN_ROUTERS_PER_NODE * nodes.len()
    {
        return all();
    }
    if routers.len() * nodes.len() > MAX_PAIRS {
        return most_preferred(routers[own], nodes, size);
    }
    let mut chosen = assign_subsets(routers, nodes, size)
        .remove(&own)
        .unwrap_or_default();
    chosen.sort_unstable();
    chosen
}

/// Returns the indices of the `size` nodes that a router prefers, whatever the other routers use.
pub fn most_preferred(router: u64, nodes: &[u64], size: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_key(|node| (std::cmp::Reverse(preference(router, nodes[*node])), *node));
    order.truncate(size.max(1));
    order.sort_unstable();
    order
}

/// Assigns `size` nodes to each router. Returns the indices of the nodes by the index of the router.
pub fn assign_subsets(routers: &[u64], nodes: &[u64], size: usize) -> BTreeMap<usize, Vec<usize>> {
    let mut pairs: Vec<(u64, usize, usize)> = Vec::with_capacity(routers.len() * nodes.len());
    for (r, router) in routers.iter().enumerate() {
        pairs.extend(
            nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (preference(*router, *node), r, n)),
        );
    }
    // Equal preferences are ordered by hash, because indices differ between routers.
    pairs.sort_unstable_by_key(|(preference, r, n)| {
        (std::cmp::Reverse(*preference), routers[*r], nodes[*n])
    });
    let total = routers.len() * size;
    let per_node = total / nodes.len();
    let remainder = total % nodes.len();
    let mut assigned: BTreeMap<usize, Vec<usize>> =
        (0..routers.len()).map(|r| (r, Vec::new())).collect();
    let mut load = vec![0; nodes.len()];
    // Number of nodes that have one router more than `per_node`.
    let mut with_extra = 0;
    for (_, r, n) in &pairs {
        let own = assigned.entry(*r).or_default();
        let has_room = load[*n] < per_node || load[*n] == per_node && with_extra < remainder;
        if own.len() < size && has_room {
            own.push(*n);
            with_extra += usize::from(load[*n] == per_node);
            load[*n] += 1;
        }
    }
    // A late router may find room only at nodes that it already has. It takes the least loaded of the others.
    for own in assigned.values_mut() {
        while own.len() < size {
            let others = (0..nodes.len()).filter(|n| !own.contains(n));
            let Some(next) = others.min_by_key(|n| (load[*n], nodes[*n])) else {
                break;
            };
            own.push(next);
            load[next] += 1;
        }
    }
    assigned
}
