//! Selects the parts of the components' states that enter the digest of a run.

use crate::control::ControlCluster;
use crate::digest::{EntryKind, RunDigest};
use crate::edge::Edge;
use crate::kernel::Kernel;
use crate::operators::{ChangeOutcome, ConfigChange};
use crate::service::{Server, Service};
use badgerstream_control::NodeId;

/// A primary that a router may use.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UsablePrimary {
    server_id: String,
    primary_term: u64,
}

/// Records in the digest each change of the leader and of the primary that each router may use.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeObserver {
    leader: Option<NodeId>,
    /// By the index of the router.
    primaries: Vec<Option<UsablePrimary>>,
}

impl ChangeObserver {
    /// Records what has changed since the last call.
    pub(crate) fn observe(&mut self, kernel: &mut Kernel, control: &ControlCluster, edge: &Edge) {
        let leader = control.leader(kernel.now());
        if leader != self.leader {
            self.leader = leader;
            kernel.record(EntryKind::Leader, &[node_number(leader)]);
        }
        self.primaries.resize(edge.routers.len(), None);
        for (index, router) in edge.routers.iter().enumerate() {
            let grant = router.usable_primary(router.clock(kernel.now()));
            let before = self.primaries[index].as_ref();
            let is_unchanged = match (grant, before) {
                (None, None) => true,
                (Some(grant), Some(before)) => {
                    grant.server_id == before.server_id && grant.primary_term == before.primary_term
                }
                _ => false,
            };
            if is_unchanged {
                continue;
            }
            let primary = grant.map(|grant| UsablePrimary {
                server_id: grant.server_id.clone(),
                primary_term: grant.primary_term,
            });
            record_primary(kernel, index, primary.as_ref());
            self.primaries[index] = primary;
        }
    }
}

fn record_primary(kernel: &mut Kernel, router: usize, primary: Option<&UsablePrimary>) {
    let primary_term = primary.map_or(0, |primary| primary.primary_term);
    kernel.record(EntryKind::PrimaryGranted, &[router as u64, primary_term]);
    let server_id = primary.map_or("", |primary| &primary.server_id);
    kernel.digest.bytes(server_id.as_bytes());
}

/// Returns the machine's number, or 0 for no machine.
fn node_number(node: Option<NodeId>) -> u64 {
    node.map_or(0, u64::from)
}

/// Returns the digest of the run so far, extended by the components' current states.
pub(crate) fn final_digest(
    kernel: &Kernel,
    control: &ControlCluster,
    edge: &Edge,
    service: &Service,
    changes: &[ConfigChange],
) -> RunDigest {
    let mut digest = kernel.digest;
    digest.number(EntryKind::End as u64);
    digest.time(kernel.now());
    digest.number(node_number(control.leader(kernel.now())));
    add_changes(&mut digest, changes);
    add_machines(&mut digest, control);
    for router in &edge.routers {
        digest.number(router.active_config_epoch);
        digest.time(router.lease_until);
    }
    for server in service.servers.values() {
        add_server(&mut digest, server);
    }
    digest.number(service.acknowledged_commits.len() as u64);
    digest.number(service.promotions.len() as u64);
    // The next random number depends on the number of draws so far, so it represents that number.
    digest.number(kernel.random.clone().below(u64::MAX));
    digest
}

fn add_changes(digest: &mut RunDigest, changes: &[ConfigChange]) {
    digest.number(changes.len() as u64);
    for change in changes {
        digest.number(change.base_epoch);
        digest.number(change.epoch);
        digest.bytes(&change.body);
        digest.number(match change.outcome {
            ChangeOutcome::Pending => 0,
            ChangeOutcome::Acknowledged => 1,
            ChangeOutcome::Rejected => 2,
        });
        digest.time(change.acknowledged_at);
    }
}

fn add_machines(digest: &mut RunDigest, control: &ControlCluster) {
    for machine in control.machines.values() {
        digest.number(u64::from(machine.node));
        digest.number(u64::from(machine.removed));
        let Some(controller) = &machine.controller else {
            continue;
        };
        let hard_state = controller.consensus().hard_state();
        digest.number(hard_state.voted_term.0);
        digest.number(hard_state.state.version);
        digest.number(hard_state.state.config_epoch);
        digest.bytes(hard_state.state.digest().bytes());
    }
}

fn add_server(digest: &mut RunDigest, server: &Server) {
    digest.bytes(server.id.as_bytes());
    digest.number(u64::from(server.is_primary));
    digest.number(server.primary_term);
    for entry in &server.log {
        digest.number(entry.primary_term);
        digest.number(entry.commit);
    }
}
