//! Waiting for a client's next line, its end, or the end of an idle transaction.

use super::ClientSession;
use crate::clock;
use crate::data_plane::{DrainStage, net};
use badgerstream_pooling::session::Transaction;
use futures_lite::future::or;

/// How long a transaction may rest before there is a configuration that says so, in milliseconds.
const DEFAULT_TRANSACTION_IDLE_MS: u64 = 3000;

/// What ends the wait for a client.
enum Input {
    /// Bytes have arrived.
    Bytes,
    /// The client has closed its connection.
    Closed,
    /// The transaction has rested for too long.
    TransactionIdle,
    /// The router closes the session.
    Closing,
}

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
            match self.next_input().await {
                Input::Bytes => {
                    if let Some(line) = self.client.next_line().ok()? {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                }
                Input::Closed => return None,
                // Its client hears of it when it asks again.
                Input::TransactionIdle => {
                    log::debug!("event=transaction_idle database={}", self.database);
                    self.fail_transaction();
                    self.failure_reported = false;
                }
                Input::Closing => return self.last_request().await,
            }
        }
    }

    async fn next_input(&self) -> Input {
        let read = or(
            async {
                if self.client.read(&self.data_plane).await {
                    Input::Bytes
                } else {
                    Input::Closed
                }
            },
            async {
                self.handle.reached(DrainStage::CloseIdle).await;
                Input::Closing
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
        let limit = clock::now() + idle_ms as f64 / 1000.0;
        net::until(limit, read)
            .await
            .unwrap_or(Input::TransactionIdle)
    }

    /// The router closes the session: what has arrived meanwhile is still answered.
    async fn last_request(&self) -> Option<Vec<u8>> {
        let arrived = net::read_now(
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
            self.client
                .write(b"ERROR ABORTED the router ends\r\n")
                .await;
        }
        None
    }
}
