//! The platform that promotes.

use crate::digest::note;
use crate::servers::Health;
use crate::world::{Event, World};
use badgerstream_control::{NodeId, PromotionOutcome};

impl World {
    pub(crate) fn post_at(&mut self, node: NodeId, life: u64, id: &str, fence: u64) {
        let way = self.way();
        self.say(|| format!("platform: control {node} promotes {id} under {fence}"));
        self.posts.push((id.to_owned(), fence));
        self.note(note::PROMOTION_ASKED, &[u64::from(node), fence]);
        self.run_digest.bytes(id.as_bytes());
        let told = (!self.statuses.is_empty()).then(|| self.statuses.remove(0));
        let runs = self.servers.get(id).is_some_and(|s| s.health == Health::Up);
        let status = match told {
            Some(status) => status,
            None if self.fencing && fence < self.fence => 409,
            None if !runs => 409,
            None => 200,
        };
        if status == 200 {
            self.fence = self.fence.max(fence);
            let after = self.promote_s;
            self.put(after, Event::Promote(id.to_owned()));
        }
        let lost = self.draw(1000) < self.lost_posts;
        let answer = PromotionOutcome::from_status(status);
        let (after, outcome) = if lost {
            (1.0, PromotionOutcome::Unknown)
        } else {
            (way, answer)
        };
        self.put(
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
