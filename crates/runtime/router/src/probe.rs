//! Probes a node: requests its load report with `SHOW vitals`.

use crate::execute::StatementDispatcher;
use crate::pool::Pool;
use crate::watch::NodeRegistry;
use crate::wire;
use badgerstream_postgres_protocol::Close;
use std::cell::Cell;
use std::rc::Rc;

pub(crate) async fn probe(
    dispatcher: Rc<StatementDispatcher>,
    pool: Rc<Pool>,
    registry: Rc<NodeRegistry>,
    node: u32,
) {
    let request = async {
        let (mut connection, _) = pool.acquire(node, registry.address(node)?).await?;
        let answer = connection.query("SHOW vitals", &Cell::new(false)).await?;
        pool.release(node, connection);
        Ok(answer)
    };
    let report = match wire::within(pool.dial_timeout(), Close::TimedOut, request).await {
        Ok(answer) => answer.row.ok().map(|row| {
            let value = row.get(answer.value).unwrap_or_default();
            crate::execute::report(
                std::str::from_utf8(value).unwrap_or_default(),
                &dispatcher.report_fields(),
                pool.open_connections(node),
            )
        }),
        Err(close) => {
            tracing::debug!("node {node}: probe failed: {close}");
            None
        }
    };
    dispatcher.update(|instance, now| {
        let (primary, lsn) = report.map_or((None, f64::NEG_INFINITY), |report| {
            (report.primary, report.lsn)
        });
        instance.probed(now, node, report.is_some(), primary, lsn);
        report
            .iter()
            .for_each(|report| report.apply(instance, now, node));
    });
}
