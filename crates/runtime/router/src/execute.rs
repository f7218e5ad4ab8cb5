//! Carries out the orders of the routing instance: executions of statements on node connections, and probes.

use crate::decide::{Dispatcher, Order, Report, ReportFields};
use crate::outcome;
use crate::pool::{Connection, Pool};
use crate::watch::NodeRegistry;
use crate::wire;
use async_channel::Receiver;
use badgerstream_postgres_protocol::Close;
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_postgres_protocol::node::{Answer, load_figure};
use badgerstream_routing::{ExecutionOutcome, Role};
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A row, encoded as the node sent it.
pub(crate) type Row = Vec<u8>;
pub(crate) type StatementDispatcher = Dispatcher<Statement, Row>;

pub(crate) async fn run_order(
    dispatcher: Rc<StatementDispatcher>,
    pool: Rc<Pool>,
    registry: Rc<NodeRegistry>,
    order: Order<Statement>,
) {
    match order {
        Order::Execute {
            stmt,
            execution,
            node,
            limit,
            is_inquiry,
            statement,
            cancelled,
        } => {
            execute(
                dispatcher, pool, registry, stmt, execution, node, limit, is_inquiry, statement,
                cancelled,
            )
            .await;
        }
        Order::Probe { node } => crate::probe::probe(dispatcher, pool, registry, node).await,
    }
}

async fn execute(
    dispatcher: Rc<StatementDispatcher>,
    pool: Rc<Pool>,
    registry: Rc<NodeRegistry>,
    stmt: u32,
    execution: u8,
    node: u32,
    limit: f64,
    is_inquiry: bool,
    statement: Rc<Statement>,
    cancelled: Receiver<()>,
) {
    let running = dispatcher.running_execution(stmt, execution);
    let limit = Duration::from_secs_f64(limit.clamp(0.0, 86_400.0));
    let (deadline, written) = (Instant::now() + limit, Rc::new(Cell::new(false)));
    let (shared, written_flag) = ((dispatcher.clone(), pool.clone()), written.clone());
    let mut run = Box::pin(async move {
        let (dispatcher, pool) = shared;
        let (mut connection, waited) = pool.acquire(node, registry.address(node)?).await?;
        if waited && !dispatcher.may_still_send(stmt, node) {
            pool.release(node, connection);
            return Err(Close::Withdrawn);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let left = left.as_secs_f64();
        let text = if is_inquiry {
            statement.for_inquiry(left)
        } else {
            statement.for_node(left)
        };
        let answer = connection.query(&text, &written_flag).await?;
        Ok((connection, answer))
    });
    let cancellation = async {
        let _ = cancelled.recv().await;
        Err(Close::Cancelled)
    };
    let ended: Result<(Connection, Answer), Close> =
        wire::within(limit, Close::TimedOut, future::or(&mut run, cancellation)).await;
    match ended {
        Ok((connection, answer)) => {
            pool.release(node, connection);
            let role = answer
                .primary
                .map(|leads| if leads { Role::Primary } else { Role::Replica });
            let lsn = answer.as_of.unwrap_or(f64::NEG_INFINITY);
            let own_connections = pool.open_connections(node);
            let report = answer
                .vitals
                .as_deref()
                .map(|vitals| report(vitals, &dispatcher.report_fields(), own_connections));
            match answer.row {
                Ok(row) => running.ended(ExecutionOutcome::Completed, role, lsn, report, Some(row)),
                Err(code) => running.ended(
                    outcome::from_error(code, is_inquiry),
                    role,
                    lsn,
                    report,
                    None,
                ),
            }
        }
        Err(close) => {
            tracing::debug!(
                "node {node}: execution of statement {stmt} failed: {close}; statement completely sent: {}",
                written.get()
            );
            if written.get() && matches!(close, Close::Cancelled | Close::TimedOut) {
                pool.linger(node, run);
            }
            running.ended(
                outcome::from_close(close, written.get()),
                None,
                f64::NEG_INFINITY,
                None,
                None,
            );
        }
    }
}

/// Maximum rounding error of positions in load reports: they are whole milliseconds, and may be rounded up.
const POSITION_ROUNDING_S: f64 = 0.001;

/// Parses a load report. `own_connections` is the number of this router's open connections to the node.
pub(crate) fn report(vitals: &str, fields: &ReportFields, own_connections: usize) -> Report {
    let primary =
        load_figure(vitals, badgerstream_router_config::ROLE_COLUMN).map(|role| role >= 0.5);
    let lsn = load_figure(vitals, badgerstream_router_config::POSITION_COLUMN)
        .map_or(f64::NEG_INFINITY, |at| at - POSITION_ROUNDING_S);
    let both = |f: &Rc<(String, String)>| load_figure(vitals, &f.0).zip(load_figure(vitals, &f.1));
    let (promotion, connections) = (
        fields.promotion.as_ref().and_then(both),
        fields.connections.as_ref().and_then(both),
    );
    let fleet_connections = fields
        .fleet_connections
        .as_ref()
        .and_then(|field| load_figure(vitals, field))
        .map(|held| (held, own_connections as f64));
    Report {
        primary,
        lsn,
        promotion,
        connections,
        fleet_connections,
    }
}
