//! Tasks of the single-threaded executor. A panic in one task does not end the others.

use async_executor::{LocalExecutor, Task};
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

#[derive(Clone, Default)]
pub(crate) struct Tasks(Rc<LocalExecutor<'static>>);

impl Tasks {
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> Task<()> {
        self.0.spawn(async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                tracing::error!("task \"{name}\" panicked; a connection that it served is closed");
            }
        })
    }

    pub(crate) async fn run<T>(&self, until: impl Future<Output = T>) -> T {
        self.0.run(until).await
    }
}
