//! One probe of a node: its load report, by `SHOW vitals`.

use crate::execute::{Router, report};
use crate::pool::Pool;
use crate::watch::Roster;
use crate::wire;
use badgerstream_postgres_protocol::Close;
use std::cell::Cell;
use std::rc::Rc;

pub(crate) async fn probe(desk: Rc<Router>, pool: Rc<Pool>, roster: Rc<Roster>, node: u32) {
    let asked = async {
        let (mut connection, _) = pool.take(node, roster.dial(node)?).await?;
        let answer = connection.query("SHOW vitals", &Cell::new(false)).await?;
        pool.put(node, connection);
        Ok(answer)
    };
    let told = match wire::within(pool.dial_limit(), Close::TimedOut, asked).await {
        Ok(answer) => answer.row.ok().map(|row| {
            let value = row.get(answer.value).unwrap_or_default();
            report(
                std::str::from_utf8(value).unwrap_or_default(),
                &desk.fields(),
                pool.held(node),
            )
        }),
        Err(close) => {
            tracing::debug!("node {node}: probe ended, {close}");
            None
        }
    };
    desk.tell(|instance, now| {
        let (primary, lsn) =
            told.map_or((None, f64::NEG_INFINITY), |told| (told.primary, told.lsn));
        instance.probed(now, node, told.is_some(), primary, lsn);
        told.iter().for_each(|told| told.tell(instance, now, node));
    });
}
