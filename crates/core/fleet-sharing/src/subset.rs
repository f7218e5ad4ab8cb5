//! Which replicas of a group a router keeps to: the same from every router's view, even over nodes, and moved as
//! little as can be when routers or nodes come and go. Each pair of a router and a node has a fixed preference
//! (highest random weight); the pairs are gone through in that order, and a node that has its share takes no more.

use crate::ration::mixed;
use std::collections::BTreeMap;

/// Each node keeps at least so many routers, or all keep to all: one that dies must not leave a node unknown.
const KEPT_BY: usize = 2;
/// Beyond so many pairs, each router goes by its own preference alone: even on the whole, not exactly.
const MOST_PAIRS: usize = 50_000;

fn preference(router: u64, node: u64) -> u64 {
    mixed(mixed(router).wrapping_add(node))
}

/// The nodes that router number `me` keeps to; all where there are too few routers. `routers` and `nodes` are places
/// (hashes of names), the same at every router; a router that is not among the named is one more at their end.
pub fn subset(routers: &[u64], me: usize, nodes: &[u64], size: usize) -> Vec<usize> {
    let all = || (0..nodes.len()).collect();
    if size == 0 || size >= nodes.len() || routers.len() * size < KEPT_BY * nodes.len() {
        return all();
    }
    if routers.len() * nodes.len() > MOST_PAIRS {
        return preferred(routers[me], nodes, size);
    }
    let mut kept = assigned(routers, nodes, size)
        .remove(&me)
        .unwrap_or_default();
    kept.sort_unstable();
    kept
}

/// Without a word on the others: the nodes with the highest preference.
pub fn preferred(router: u64, nodes: &[u64], size: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_key(|node| (std::cmp::Reverse(preference(router, nodes[*node])), *node));
    order.truncate(size.max(1));
    order.sort_unstable();
    order
}

/// Who keeps to which, for all routers.
pub fn assigned(routers: &[u64], nodes: &[u64], size: usize) -> BTreeMap<usize, Vec<usize>> {
    let mut pairs: Vec<(u64, usize, usize)> = Vec::with_capacity(routers.len() * nodes.len());
    for (r, router) in routers.iter().enumerate() {
        pairs.extend(
            nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (preference(*router, *node), r, n)),
        );
    }
    // By places, not by numbers, where two preferences are alike.
    pairs.sort_unstable_by_key(|(preference, r, n)| {
        (std::cmp::Reverse(*preference), routers[*r], nodes[*n])
    });
    let places = routers.len() * size;
    let (least, rest) = (places / nodes.len(), places % nodes.len());
    let mut kept: BTreeMap<usize, Vec<usize>> =
        (0..routers.len()).map(|r| (r, Vec::new())).collect();
    let (mut load, mut full) = (vec![0; nodes.len()], 0);
    for (_, r, n) in &pairs {
        let mine = kept.entry(*r).or_default();
        let room = load[*n] < least || load[*n] == least && full < rest;
        if mine.len() < size && room {
            mine.push(*n);
            full += usize::from(load[*n] == least);
            load[*n] += 1;
        }
    }
    // Who came last may find only nodes that it has: the least loaded of the others takes it.
    for mine in kept.values_mut() {
        while mine.len() < size {
            let others = (0..nodes.len()).filter(|n| !mine.contains(n));
            let Some(next) = others.min_by_key(|n| (load[*n], nodes[*n])) else {
                break;
            };
            mine.push(next);
            load[next] += 1;
        }
    }
    kept
}
