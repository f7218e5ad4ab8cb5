//! One execution on a node's connection, and one probe.

use crate::decide::{Desk, Fields, Order, Report};
use crate::ending;
use crate::pool::{Connection, Pool};
use crate::watch::Roster;
use crate::wire;
use async_channel::Receiver;
use badgerstream_postgres_protocol::Close;
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_postgres_protocol::node::{Answer, vital};
use badgerstream_routing::{ExecutionOutcome, Role};
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A row as the node gave it.
pub(crate) type Row = Vec<u8>;
pub(crate) type Router = Desk<Statement, Row>;

pub(crate) async fn carry(
    desk: Rc<Router>,
    pool: Rc<Pool>,
    roster: Rc<Roster>,
    order: Order<Statement>,
) {
    match order {
        Order::Execute {
            stmt,
            execution,
            node,
            limit,
            asks,
            statement,
            unwanted,
        } => {
            execute(
                desk, pool, roster, stmt, execution, node, limit, asks, statement, unwanted,
            )
            .await;
        }
        Order::Probe { node } => crate::probe::probe(desk, pool, roster, node).await,
    }
}

async fn execute(
    desk: Rc<Router>,
    pool: Rc<Pool>,
    roster: Rc<Roster>,
    stmt: u32,
    execution: u8,
    node: u32,
    limit: f64,
    asks: bool,
    statement: Rc<Statement>,
    unwanted: Receiver<()>,
) {
    let out = desk.out(stmt, execution);
    let limit = Duration::from_secs_f64(limit.clamp(0.0, 86_400.0));
    let (until, written) = (Instant::now() + limit, Rc::new(Cell::new(false)));
    let (own, told) = ((desk.clone(), pool.clone()), written.clone());
    let mut run = Box::pin(async move {
        let (desk, pool) = own;
        let (mut connection, waited) = pool.take(node, roster.dial(node)?).await?;
        if waited && !desk.still_stands(stmt, node) {
            pool.put(node, connection);
            return Err(Close::Withdrawn);
        }
        let left = until.saturating_duration_since(Instant::now());
        let left = left.as_secs_f64();
        let text = if asks {
            statement.for_inquiry(left)
        } else {
            statement.for_node(left)
        };
        let answer = connection.query(&text, &told).await?;
        Ok((connection, answer))
    });
    let cancelled = async {
        let _ = unwanted.recv().await;
        Err(Close::Cancelled)
    };
    let ended: Result<(Connection, Answer), Close> =
        wire::within(limit, Close::TimedOut, future::or(&mut run, cancelled)).await;
    match ended {
        Ok((connection, answer)) => {
            pool.put(node, connection);
            let role = answer
                .primary
                .map(|leads| if leads { Role::Primary } else { Role::Replica });
            let lsn = answer.as_of.unwrap_or(f64::NEG_INFINITY);
            let own = pool.held(node);
            let report = answer
                .vitals
                .as_deref()
                .map(|vitals| report(vitals, &desk.fields(), own));
            match answer.row {
                Ok(row) => out.ended(ExecutionOutcome::Completed, role, lsn, report, Some(row)),
                Err(code) => out.ended(ending::of_error(code, asks), role, lsn, report, None),
            }
        }
        Err(close) => {
            tracing::debug!(
                "node {node}: execution ended, {close}, written {}",
                written.get()
            );
            if written.get() && matches!(close, Close::Cancelled | Close::TimedOut) {
                pool.linger(node, run);
            }
            out.ended(
                ending::of_close(close, written.get()),
                None,
                f64::NEG_INFINITY,
                None,
                None,
            );
        }
    }
}

/// Positions in load reports come as whole milliseconds, and nothing says that they are rounded down.
const ROUNDING_S: f64 = 0.001;

/// Role, position and log that a load report tells; `own` is how many connections this router has there.
pub(crate) fn report(vitals: &str, fields: &Fields, own: usize) -> Report {
    let primary = vital(vitals, badgerstream_router_config::ROLE).map(|told| told >= 0.5);
    let lsn = vital(vitals, badgerstream_router_config::POSITION)
        .map_or(f64::NEG_INFINITY, |at| at - ROUNDING_S);
    let both = |f: &Rc<(String, String)>| vital(vitals, &f.0).zip(vital(vitals, &f.1));
    let (took_over, connections) = (
        fields.log.as_ref().and_then(both),
        fields.connections.as_ref().and_then(both),
    );
    let held = fields
        .held
        .as_ref()
        .and_then(|field| vital(vitals, field))
        .map(|held| (held, own as f64));
    Report {
        primary,
        lsn,
        took_over,
        connections,
        held,
    }
}
