//! Waits for the next request of a client. Ends the session when the client disconnects or the
//! router shuts down, and fails a transaction that has been idle for too long.

use super::ClientSession;
use super::dispatch::DRAINING_REASON;
use crate::clock;
use crate::data_plane::drain::DrainStage;
use crate::net;
use badgerstream_pooling::session::Transaction;
use futures_lite::future::or;

/// Idle timeout of transactions (`txn_idle_ms`) before the first configuration, in milliseconds.
const DEFAULT_TRANSACTION_IDLE_MS: u64 = 3000;

/// What ends the wait for bytes from a client.
enum Input {
    /// Bytes have arrived.
    Bytes,
    /// The client has disconnected.
    Disconnected,
    /// The transaction has been idle for too long.
    TransactionIdleTimeout,
    /// The shutdown has reached the stage that closes idle sessions.
    Draining,
}

impl ClientSession {
    /// Returns the next line of the client; `None` when its session ends.
    pub(super) async fn next_request(&mut self) -> Option<Vec<u8>> {
        if let Some(line) = self.client.next_line().ok()? {
            return Some(line);
        }
        self.client.lines.borrow_mut().shrink();
        loop {
            if self.session.transaction == Transaction::None {
                self.handle.idle_since.set(Some(clock::now()));
            }
            match self.next_input().await {
                Input::Bytes => {
                    if let Some(line) = self.client.next_line().ok()? {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                }
                Input::Disconnected => return None,
                // The client learns of it in the response to its next statement.
                Input::TransactionIdleTimeout => {
                    log::debug!("event=transaction_idle_timeout database={}", self.database);
                    self.fail_transaction();
                    self.failure_reported = false;
                }
                Input::Draining => return self.last_request().await,
            }
        }
    }

    async fn next_input(&self) -> Input {
        let read = or(
            async {
                if self.client.read(&self.data_plane).await {
                    Input::Bytes
                } else {
                    Input::Disconnected
                }
            },
            async {
                self.handle.wait_for_stage(DrainStage::CloseIdle).await;
                Input::Draining
            },
        );
        if self.checkout.is_none() {
            return read.await;
        }
        let idle_ms = {
            let view = self.data_plane.shared_view.view.borrow();
            view.config
                .as_ref()
                .map_or(DEFAULT_TRANSACTION_IDLE_MS, |c| c.limits.txn_idle_ms)
        };
        let idle_until = clock::now() + idle_ms as f64 / 1000.0;
        net::with_deadline(idle_until, read)
            .await
            .unwrap_or(Input::TransactionIdleTimeout)
    }

    /// Returns a request that arrived before shutdown closes the session, so that it is still
    /// answered. Otherwise tells a client in a transaction that it was aborted.
    async fn last_request(&self) -> Option<Vec<u8>> {
        let arrived = net::try_read(
            &self.client.stream,
            &self.data_plane.scratch,
            &mut self.client.lines.borrow_mut(),
        );
        if matches!(arrived, Ok(Some(n)) if n > 0)
            && let Some(line) = self.client.next_line().ok()?
        {
            self.handle.idle_since.set(None);
            return Some(line);
        }
        if self.session.transaction != Transaction::None {
            let line = format!("ERROR ABORTED {DRAINING_REASON}\r\n");
            self.client.write(line.as_bytes()).await;
        }
        None
    }
}
