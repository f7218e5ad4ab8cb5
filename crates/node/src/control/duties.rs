//! What the leader asks of servers and of the platform.

use super::*;

/// The share of the descriptors that connections to servers may keep while nothing is asked there; beyond it a connection is
/// closed with its answer, as sessions and calls need the rest.
const KEPT_SHARE: f64 = 0.4;

impl Control {
    pub(super) fn ask(self: &Rc<Self>, id: String, endpoint: &str, service: String, statement: Statement) {
        let Ok(endpoint) = endpoint.parse::<SocketAddr>() else { return };
        let key = format!("{id}@{endpoint}");
        let mut askers = self.askers.borrow_mut();
        let fits = askers.get(&key).is_some_and(|a| a.try_send(statement).is_ok());
        if fits {
            return;
        }
        let kept = (KEPT_SHARE * self.settings.limits.file_limit as f64) as usize;
        let idle = if askers.len() < kept { asker::IDLE } else { 0.0 };
        let (sender, receiver) = async_channel::bounded(4);
        let _ = sender.try_send(statement);
        askers.insert(key.clone(), sender);
        let this = self.clone();
        let whom = Whom { id: id.clone(), service: service.clone(), endpoint };
        let answer = timing(&self.settings).service.answer;
        let ask = async move {
            let told = |asked| this.controller.borrow_mut().asked(clock::now(), &service, &id, asked);
            asker::ask(whom, receiver, answer, idle, told).await;
            let mut askers = this.askers.borrow_mut();
            if askers.get(&key).is_some_and(Sender::is_closed) {
                askers.remove(&key);
            }
        };
        self.tasks.spawn(ask).detach();
    }

    pub(super) fn promote(self: &Rc<Self>, service: String, id: String, fence: u64, before: f64) {
        let Some(provider) = self.settings.provider.as_ref().map(|p| p.endpoint) else {
            log::error!("event=no_provider service={service}");
            return;
        };
        let this = self.clone();
        let task = async move {
            log::info!("event=promote service={service} id={id} fence={fence}");
            let status = this.call_platform(provider, &service, &id, fence, before).await;
            if let Err(e) = &status {
                log::info!("event=promote_unanswered service={service} id={id} error={e}");
            }
            this.controller.borrow_mut().promoted(clock::now(), &service, status.ok());
        };
        self.tasks.spawn(task).detach();
    }

    pub(super) async fn call_platform(
        &self, provider: SocketAddr, service: &str, id: &str, fence: u64, before: f64,
    ) -> io::Result<u16> {
        frames::within(1.0, async {
            let mut stream = Async::<TcpStream>::connect(provider).await?;
            frames::prepare(&stream, 1.0);
            let bytes = promotion::promotion(service, id, &self.name, fence, &provider.to_string());
            // Whoever was frozen since this was decided must not call: another one may hold the duty.
            if clock::now() >= before || self.controller.borrow().record().promised.0 != fence {
                return Err(io::Error::other("the duty may have gone to another"));
            }
            stream.write_all(&bytes).await?;
            let mut responses = Responses::new(64 << 10);
            let mut bytes = [0; 1024];
            loop {
                if let Some(answer) = responses.next().map_err(|e| io::Error::other(e.to_string()))? {
                    return Ok(answer.status);
                }
                match stream.read(&mut bytes).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => responses.feed(&bytes[..count]),
                }
            }
        })
        .await
    }
}
