//! Waiting for a client's next line, its end, or the end of an idle transaction.

use super::ClientSession;
use crate::clock;
use crate::edge::net;
use badgerstream_pooling::session::Transaction;
use futures_lite::future::or;
use std::future::poll_fn;
use std::task::Poll;

impl ClientSession {
    /// The next line of the client; none when the session ends.
    pub(super) async fn next_request(&mut self) -> Option<Vec<u8>> {
        if let Some(line) = self.client.next_line().ok()? {
            return Some(line);
        }
        self.client.lines.borrow_mut().shrink();
        loop {
            if self.session.transaction == Transaction::None {
                self.handle.idle_since.set(Some(clock::now()));
            }
            let handle = self.handle.clone();
            let read = or(async { Some(self.client.read(&self.edge).await) }, async {
                poll_fn(|cx| {
                    if handle.close.get() {
                        return Poll::Ready(());
                    }
                    *handle.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                })
                .await;
                None
            });
            let came = if self.checkout.is_some() {
                let idle =
                    self.edge.shared.view.borrow().config.as_ref().map_or(3000, |c| c.limits.txn_idle_ms);
                net::until(clock::now() + idle as f64 / 1000.0, read).await
            } else {
                Some(read.await)
            };
            match came {
                // A transaction that rests too long is ended; its client hears of it when it asks again.
                None => {
                    log::debug!("event=transaction_idle database={}", self.database);
                    self.fail_transaction();
                    self.failure_reported = false;
                }
                Some(Some(true)) => {
                    if let Some(line) = self.client.next_line().ok()? {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                }
                Some(Some(false)) => return None,
                Some(None) => {
                    // What has arrived meanwhile is still answered.
                    let come = net::read_now(
                        &self.client.stream,
                        &self.edge.scratch,
                        &mut self.client.lines.borrow_mut(),
                    );
                    if matches!(come, Ok(Some(n)) if n > 0)
                        && let Some(line) = self.client.next_line().ok()?
                    {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                    if self.session.transaction != Transaction::None {
                        self.client.write(b"ERROR ABORTED the router ends\r\n").await;
                    }
                    return None;
                }
            }
        }
    }
}
