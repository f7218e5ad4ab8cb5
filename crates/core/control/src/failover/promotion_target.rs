//! Chooses the server to promote: the one whose log is furthest ahead, once that server is known to
//! have every acknowledged write.

use super::coverage_proof::CoverageProof;
use super::{Failover, FailoverAction, FailoverContext, Phase, Position, ServerCandidate};
use std::cmp::Reverse;

/// The server that is to become the next primary. It can be created only by
/// [`Failover::propose_target`].
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PromotionTarget {
    server_id: String,
    after_term: u64,
}

impl PromotionTarget {
    /// Makes the server of this proof the target. It counts as promoted once it is the primary of a
    /// term above `after_term`.
    fn new(proof: &CoverageProof, after_term: u64) -> PromotionTarget {
        let server_id = proof.server_id().to_owned();
        let (term, number) = proof.position();
        log::info!(
            "event=primary_chosen server={server_id} position={term}.{number} \
             after_term={after_term} proof={}",
            proof.basis_name()
        );
        PromotionTarget {
            server_id,
            after_term,
        }
    }

    /// Returns the server's id.
    pub(super) fn server_id(&self) -> &str {
        &self.server_id
    }

    /// Returns the term above which the server counts as promoted.
    pub(super) fn after_term(&self) -> u64 {
        self.after_term
    }
}

/// Orders candidates at the same position; the greatest is preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference<'a> {
    /// The platform hasn't refused a moment ago to promote the server.
    not_refused: bool,
    /// The server is the recorded primary: a former leader may have requested its promotion, and a
    /// second request for the same server is harmless.
    is_recorded: bool,
    not_draining: bool,
    lowest_id: Reverse<&'a str>,
}

impl Failover {
    /// Returns the id of the server whose log is furthest ahead, among those that answer and are
    /// `eligible`.
    pub(super) fn furthest_candidate<'a>(
        &self,
        context: &'a FailoverContext<'_>,
        eligible: impl Fn(&ServerCandidate) -> bool,
    ) -> Option<&'a str> {
        context
            .members
            .iter()
            .filter(|member| eligible(member))
            .filter_map(|member| Some((self.candidate_position(&member.id)?, member)))
            .max_by_key(|&(position, member)| (position, self.preference(context, member)))
            .map(|(_, member)| member.id.as_str())
    }

    /// Returns the end of a server's log, if the server answers.
    pub(super) fn candidate_position(&self, server_id: &str) -> Option<Position> {
        let observation = self.observations.get(server_id)?;
        let status = observation
            .status
            .filter(|_| observation.failing_since.is_none())?;
        let paused_position = observation.paused.map(|pause| pause.position);
        Some(paused_position.unwrap_or(status.received))
    }

    fn preference<'a>(
        &self,
        context: &FailoverContext<'_>,
        member: &'a ServerCandidate,
    ) -> Preference<'a> {
        Preference {
            not_refused: !self.pending_promotion.is_refused(context.now, &member.id),
            is_recorded: context
                .recorded_primary
                .is_some_and(|record| record.server_id == member.id),
            not_draining: member.draining_since.is_none(),
            lowest_id: Reverse(&member.id),
        }
    }

    /// Proposes the paused replica that is furthest ahead, if it is known to have all acknowledged
    /// writes.
    pub(super) fn choose_target(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        pause_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let furthest = self.furthest_candidate(context, |member| {
            Some(member.id.as_str()) != old_primary_id && self.observed(&member.id).paused.is_some()
        });
        let Some(server_id) = furthest else {
            return;
        };
        if let Some(proof) = self.prove_furthest_paused(context, old_primary_id, server_id) {
            let after_term = self.term_before_promotion(pause_term);
            self.propose_target(context.now, &proof, after_term, actions);
        }
    }

    /// Proposes a server that needn't be paused and compared with the others, since the primary or
    /// the routers have reported what it must have. Returns whether there is one.
    pub(super) fn choose_target_by_reports(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        pause_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) -> bool {
        let furthest = self.furthest_candidate(context, |member| {
            Some(member.id.as_str()) != old_primary_id
                && !self.observed(&member.id).claims_primary()
        });
        let proof = furthest.and_then(|server_id| self.prove_by_reports(context, server_id));
        let Some(proof) = proof else {
            return false;
        };
        let after_term = self.term_before_promotion(pause_term);
        self.propose_target(context.now, &proof, after_term, actions)
    }

    /// Returns the term above which a server counts as promoted after its replicas were paused at
    /// this term.
    fn term_before_promotion(&self, pause_term: u64) -> u64 {
        self.highest_log_term().min(pause_term.saturating_sub(1))
    }

    /// Enters [`Phase::Proposing`] with the server of this proof, unless a call to the platform for
    /// another server may still run: it would take the lead from this one. Returns whether the phase
    /// was entered. This is the only way into that phase.
    pub(super) fn propose_target(
        &mut self,
        now: f64,
        proof: &CoverageProof,
        after_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) -> bool {
        if !self.may_call_platform(now, proof.server_id()) {
            return false;
        }
        let target = PromotionTarget::new(proof, after_term);
        actions.push(FailoverAction::ProposePrimary {
            server_id: target.server_id.clone(),
            after_term: target.after_term,
        });
        self.phase = Phase::Proposing(target);
        true
    }

    /// Returns whether the platform may be asked now to promote this server.
    pub(super) fn may_call_platform(&self, now: f64, server_id: &str) -> bool {
        self.pending_promotion.permits(now, server_id)
    }

    /// Returns whether a server with another id at the address of this one is paused. The process
    /// that answers at the address has the log, whichever of the ids sent the last heartbeat.
    pub(super) fn is_paused_under_other_id(
        &self,
        context: &FailoverContext<'_>,
        server_id: &str,
    ) -> bool {
        context
            .members
            .iter()
            .filter(|member| (context.same_address)(server_id, &member.id))
            .any(|member| self.observed(&member.id).paused.is_some())
    }
}
