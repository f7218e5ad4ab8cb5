//! What the leader asks of servers and of the platform. `docs/design/calls.md` says which of these calls may be repeated.

use super::*;
use crate::exchange::{self, AuthorityError, ExchangeError};
use crate::server_queries::{self, Query, Target, Waits};
use badgerstream_control::{CommandOutcome, PromotionOutcome};
use badgerstream_line_protocol::Verdict;

/// A call to the platform is given up after so many seconds.
const PLATFORM_S: f64 = 1.0;
/// The most bytes of its answer.
const PLATFORM_ANSWER_BYTES: usize = 64 << 10;

/// A call that makes a server the primary.
pub(super) struct Promotion {
    pub service: String,
    pub id: String,
    /// The ballot under which it was decided on.
    pub fence: u64,
    /// It must not leave later than this.
    pub before: f64,
}

/// The share of the descriptors that connections to servers may keep while nothing is asked there; beyond it a connection is
/// closed with its answer, as sessions and calls need the rest.
const KEPT_SHARE: f64 = 0.4;

impl Control {
    pub(super) fn ask(self: &Rc<Self>, target: Target, query: Query) {
        let key = format!("{}@{}", target.id, target.endpoint);
        let mut queries = self.queries.borrow_mut();
        match queries.get(&key).map(|to_server| to_server.try_send(query)) {
            Some(Ok(())) => return,
            // A second connection beside this one could overtake what waits for it.
            Some(Err(e)) if e.is_full() => {
                return self.answered(&target, query, CommandOutcome::NotSent);
            }
            _ => {}
        }
        let kept = (KEPT_SHARE * self.settings.limits.file_limit as f64) as usize;
        let idle_s = if queries.len() < kept {
            server_queries::IDLE_S
        } else {
            0.0
        };
        let (to_server, receiver) = async_channel::bounded(4);
        let _ = to_server.try_send(query);
        queries.insert(key.clone(), to_server);
        let waits = Waits {
            answer_s: timing(&self.settings).failover.query_timeout,
            idle_s,
        };
        let this = self.clone();
        let run = async move {
            let may_act = |query: Query| {
                this.controller
                    .borrow()
                    .may_act_with(clock::now(), query.fence)
            };
            let tell = |query: Query, asked| this.answered(&target, query, asked);
            server_queries::run(target.clone(), receiver, waits, may_act, tell).await;
            let mut queries = this.queries.borrow_mut();
            if queries.get(&key).is_some_and(Sender::is_closed) {
                queries.remove(&key);
            }
        };
        self.tasks.spawn(run).detach();
    }

    /// What a query came to. What was asked under another ballot, in an earlier lead of this machine, counts no more.
    fn answered(&self, target: &Target, query: Query, asked: CommandOutcome) {
        let mut controller = self.controller.borrow_mut();
        if controller.leads_with(query.fence) {
            controller.command_completed(clock::now(), &target.service, &target.id, asked);
        }
    }

    pub(super) fn promote(self: &Rc<Self>, promotion: Promotion) {
        let Some(provider) = self.settings.provider.as_ref().map(|p| p.endpoint) else {
            log::error!("event=no_provider service={}", promotion.service);
            return;
        };
        let this = self.clone();
        let task = async move {
            let Promotion {
                service, id, fence, ..
            } = &promotion;
            log::info!("event=promote service={service} id={id} fence={fence}");
            let ended = this.call_platform(provider, &promotion).await;
            let outcome = match &ended {
                Ok(status) => PromotionOutcome::of_status(*status),
                Err(failed) if failed.verdict == Verdict::NotRun => PromotionOutcome::NotSent,
                Err(_) => PromotionOutcome::Unknown,
            };
            match ended {
                Ok(status) => {
                    log::info!("event=promotion_answered service={service} id={id} status={status}")
                }
                Err(ExchangeError { verdict, error }) => {
                    log::info!(
                        "event=promote_unanswered service={service} id={id} verdict={verdict:?} error={error}"
                    );
                }
            }
            let mut controller = this.controller.borrow_mut();
            if controller.leads_with(*fence) {
                controller.promotion_completed(clock::now(), service, id, outcome);
            }
        };
        self.tasks.spawn(task).detach();
    }

    /// The status of the platform's answer. Without one the connection is reset, so that what a cut holds up of the call is
    /// lost.
    async fn call_platform(
        &self,
        provider: SocketAddr,
        promotion: &Promotion,
    ) -> Result<u16, ExchangeError> {
        exchange::run(PLATFORM_S, async |progress| {
            let mut stream = Async::<TcpStream>::connect(provider).await?;
            net::configure(&stream, PLATFORM_S);
            net::reset_on_close(&stream, true);
            let Promotion {
                service,
                id,
                fence,
                before,
            } = promotion;
            let request =
                promotion::promotion(service, id, &self.name, *fence, &provider.to_string());
            // Whoever was frozen since this was decided must not call: another one may hold the duty.
            let now = clock::now();
            if now >= *before || !self.controller.borrow().may_act_with(now, *fence) {
                return Err(AuthorityError::NotLeader.into());
            }
            progress.send(&stream, &request).await?;
            let status = read_status_code(&mut stream).await?;
            net::reset_on_close(&stream, false);
            Ok(status)
        })
        .await
    }
}

async fn read_status_code(stream: &mut Async<TcpStream>) -> io::Result<u16> {
    let mut responses = Responses::new(PLATFORM_ANSWER_BYTES);
    let mut bytes = [0; 1024];
    loop {
        if let Some(answer) = responses
            .next()
            .map_err(|e| io::Error::other(e.to_string()))?
        {
            return Ok(answer.status);
        }
        match stream.read(&mut bytes).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => responses.feed(&bytes[..count]),
        }
    }
}
