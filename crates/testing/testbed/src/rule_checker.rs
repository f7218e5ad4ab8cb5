//! What of the users' rules can be seen at the databases.

use std::collections::{HashSet, VecDeque};

/// Ids that are remembered.
const MAX_REMEMBERED_IDS: usize = 200_000;

/// Broken rules, as counts, and what they are found by.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Writes that a database answered with success.
    pub answered: u64,
    /// LOST: answered commits that a promoted server lacks.
    pub lost: u64,
    /// TWICE: writes whose id was committed before.
    pub twice: u64,
    /// ONE: commits that were answered by a server that another had replaced.
    pub deposed: u64,
    ids: HashSet<String>,
    order: VecDeque<String>,
}

impl RuleChecker {
    /// A write was committed.
    pub fn committed(&mut self, id: &str) {
        if !self.ids.insert(id.to_owned()) {
            self.twice += 1;
            return;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// A promote cut this write back: it may be written again.
    pub fn cut(&mut self, id: &str) {
        self.ids.remove(id);
    }

    /// Whether this write was committed, of those that are remembered.
    pub fn has_committed(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// How many rules were broken.
    pub fn broken(&self) -> u64 {
        self.lost + self.twice + self.deposed
    }

    /// One line for people and scripts.
    pub fn line(&self) -> String {
        let Self {
            answered,
            lost,
            twice,
            deposed,
            ..
        } = self;
        format!("answered={answered} lost={lost} twice={twice} deposed={deposed}")
    }
}
