//! The platform that promotes.

use crate::digest::note;
use crate::servers::Health;
use crate::simulation::{Event, Simulation};
use badgerstream_control::{NodeId, PromotionOutcome};

impl Simulation {
    pub(crate) fn promotion_request_arrived(
        &mut self,
        node: NodeId,
        life: u64,
        id: &str,
        fence: u64,
    ) {
        let way = self.message_delay();
        self.trace(|| format!("platform: control {node} promotes {id} under {fence}"));
        self.promotion_requests.push((id.to_owned(), fence));
        self.record(note::PROMOTION_ASKED, &[u64::from(node), fence]);
        self.run_digest.bytes(id.as_bytes());
        let told = (!self.scripted_statuses.is_empty()).then(|| self.scripted_statuses.remove(0));
        let runs = self.servers.get(id).is_some_and(|s| s.health == Health::Up);
        let status = match told {
            Some(status) => status,
            None if self.checks_fencing_tokens && fence < self.highest_fencing_token => 409,
            None if !runs => 409,
            None => 200,
        };
        if status == 200 {
            self.highest_fencing_token = self.highest_fencing_token.max(fence);
            let after = self.promotion_duration_s;
            self.schedule(after, Event::Promote(id.to_owned()));
        }
        let lost = self.draw(1000) < self.promotion_answers_lost_per_mille;
        let answer = PromotionOutcome::from_status(status);
        let (after, outcome) = if lost {
            (1.0, PromotionOutcome::Unknown)
        } else {
            (way, answer)
        };
        self.schedule(
            after,
            Event::PostAnswer {
                node,
                life,
                id: id.to_owned(),
                outcome,
            },
        );
    }
}
