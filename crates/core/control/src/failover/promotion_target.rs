//! Which copy is promoted: the furthest one, once it is known to have every commit.

use super::*;

/// A copy that can't be asked may still have received for so long after it was missed, in seconds.
const FAILING_GRACE_S: f64 = 0.5;
/// A copy that went so long before this machine led was followed by others since, in seconds.
const LONG_GONE_S: f64 = 5.0;

impl Failover {
    /// Who is furthest of those that could lead.
    pub(super) fn best<'a>(
        &self,
        context: &'a FailoverContext<'_>,
        fit: impl Fn(&ServerCandidate) -> bool,
    ) -> Option<(&'a str, Position)> {
        let fit = context.members.iter().filter(|m| fit(m));
        let with = fit.filter_map(|m| {
            let seen = self.seen.get(&m.id)?;
            let row = seen.row.filter(|_| seen.failing.is_none())?;
            Some((m, seen.paused.map_or(row.received, |p| p.1)))
        });
        // A leader before may have asked the platform for the one of record: a second call for the same does no harm.
        let rank = |m: &ServerCandidate| {
            let of_record = context.record.is_some_and(|r| r.0 == m.id);
            (
                !self.pending.is_refused(context.now, &m.id),
                of_record,
                m.draining_since.is_none(),
            )
        };
        let best = with.max_by(|(a, x), (b, y)| (x, rank(a), &b.id).cmp(&(y, rank(b), &a.id)));
        best.map(|(m, at)| (m.id.as_str(), at))
    }

    /// Chooses among the paused copies, if one of them is known to have all commits.
    pub(super) fn choose(
        &mut self,
        context: &FailoverContext<'_>,
        old: Option<&str>,
        primary_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let best = self.best(context, |m| {
            Some(m.id.as_str()) != old && self.observed(&m.id).paused.is_some()
        });
        let Some((to, at)) = best else { return };
        if context.sync > 0 && self.spare_copies(context, old, at) < 0 {
            return;
        }
        if !self.pending.permits(context.now, to) {
            return;
        }
        let (to, above) = (
            to.to_owned(),
            self.highest_led().min(primary_term.saturating_sub(1)),
        );
        log::info!(
            "event=primary_chosen to={to} position={}.{} above={above}",
            at.0,
            at.1
        );
        self.phase = Phase::Proposing(PromotionTarget {
            to: to.clone(),
            above,
            planned: false,
        });
        actions.push(FailoverAction::ProposePrimary {
            server_id: to,
            after_term: above,
        });
    }

    /// Whether another server at the address of this one is paused: whoever answers there has the log, whichever of them was
    /// heard of last.
    pub(super) fn is_represented(&self, context: &FailoverContext<'_>, id: &str) -> bool {
        let there = context
            .members
            .iter()
            .filter(|member| (context.same_address)(id, &member.id));
        there
            .into_iter()
            .any(|member| self.observed(&member.id).paused.is_some())
    }

    /// How many more copies could be out of reach without a commit being lost, if the copy at this position is chosen;
    /// below zero a commit may be lost.
    ///
    /// A commit is acknowledged once it is at so many replicas besides the primary: if no more than these can't be
    /// asked, whoever else is furthest has all. Of the others it must be known that they had nothing that this one
    /// lacks, as the primary had no more when they were gone already, or once nothing was acknowledged any more. Whoever answers
    /// routers isn't gone, though it doesn't answer here.
    fn spare_copies(&self, context: &FailoverContext<'_>, old: Option<&str>, at: Position) -> i64 {
        let mut spare = i64::from(context.sync) - i64::from(old.is_some());
        for member in context
            .members
            .iter()
            .filter(|m| Some(m.id.as_str()) != old)
        {
            let seen = self.observed(&member.id);
            if seen.paused.is_none() && !self.is_represented(context, &member.id) {
                let gone = seen.failing.unwrap_or(context.now).max(seen.served) + FAILING_GRACE_S;
                spare -= i64::from(!self.covered(self.settled_by(gone), at));
            }
        }
        for (_, since) in context
            .lost
            .iter()
            .filter(|(id, _)| Some(id.as_str()) != old)
        {
            let long_gone = self.trail.is_empty() && *since < context.since - LONG_GONE_S;
            spare -= i64::from(!self.covered(self.settled_by(*since), at) && !long_gone);
        }
        spare
    }

    /// When a copy that is gone from that second on could add nothing any more: then, or once all routers had let go of the
    /// primary, as none of them acknowledges anything from there on.
    fn settled_by(&self, gone: f64) -> f64 {
        self.given_since.map_or(gone, |given| gone.min(given))
    }
}
