//! Hosts the instances of the routing policy: each decoded event becomes a call of the instance that it is for.

use crate::codec::{Batch, ENTRY_BYTES, Fields, Reply};
use badgerstream_router_config::{FlatSettings, FrontSettings};
use badgerstream_routing::{ExecutionOutcome, Instance, NodeStatus, Outbox, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Number of node lists that a batch can refer to.
const MAX_LISTS: usize = 16;

/// Codes of the records of a batch.
mod event {
    pub(super) const START: u8 = 10;
    pub(super) const LIST: u8 = 20;
    pub(super) const STATEMENT: u8 = 30;
    pub(super) const STREAM_STARTED: u8 = 40;
    pub(super) const EXECUTION_ENDED: u8 = 50;
    pub(super) const CLIENT_LEFT: u8 = 60;
    pub(super) const TIMER: u8 = 70;
    pub(super) const PROBE_ENDED: u8 = 80;
    pub(super) const PEER_MESSAGE: u8 = 90;
    pub(super) const STOP: u8 = 100;
    pub(super) const LIST_DATA: u8 = 110;
    pub(super) const SELECT_INSTANCE: u8 = 120;
}

/// Codes of the records of a reply.
mod action {
    pub(super) const PROBE: u8 = 20;
    pub(super) const SELECT_INSTANCE: u8 = 30;
    pub(super) const WAKE: u8 = 40;
    pub(super) const CANCEL: u8 = 50;
    pub(super) const ABORT: u8 = 80;
    pub(super) const EXECUTE: u8 = 90;
    pub(super) const SUBSCRIBE: u8 = 100;
    pub(super) const FAULT: u8 = 110;
    pub(super) const LOG: u8 = 120;
    pub(super) const REJECT: u8 = 130;
}

/// An instance, and what is needed to decode its events.
struct Hosted {
    instance: Instance,
    reading: FrontSettings,
}

/// Writes the actions of one instance as records of the reply.
struct Writer<'a>(&'a mut Reply);

impl Outbox for Writer<'_> {
    fn execute(&mut self, stmt: u32, node: u32, limit: f64) {
        // A time limit that has run out is sent as a negative number, as 0 would mean that there is no limit.
        let limit_ms = if limit > 0.0 { limit * 1e3 } else { -1.0 };
        self.0.record(
            action::EXECUTE,
            &[
                &stmt.to_le_bytes(),
                &node.to_le_bytes(),
                &limit_ms.to_le_bytes(),
            ],
        );
    }

    /// Does nothing: the simulator's nodes do not report outcomes of statements, and no settings here request it.
    fn inquire(&mut self, _stmt: u32, _node: u32, _limit: f64) {}

    fn cancel(&mut self, stmt: u32, execution: u8) {
        self.0
            .record(action::CANCEL, &[&stmt.to_le_bytes(), &[execution]]);
    }

    fn reject(&mut self, stmt: u32, retry_after: f64) {
        let retry_after_ms = retry_after * 1e3;
        self.0.record(
            action::REJECT,
            &[&stmt.to_le_bytes(), &retry_after_ms.to_le_bytes()],
        );
    }

    fn abort(&mut self, stmt: u32) {
        self.0.record(action::ABORT, &[&stmt.to_le_bytes()]);
    }

    fn probe(&mut self, node: u32) {
        self.0.record(action::PROBE, &[&node.to_le_bytes()]);
    }

    fn wake(&mut self, after: f64) {
        self.0.record(action::WAKE, &[&(after * 1e3).to_le_bytes()]);
    }

    fn log(&mut self, line: &str) {
        self.0.text(action::LOG, line);
    }
}

/// All instances, by their ids, and the node lists that were sent last, by their numbers.
#[derive(Default)]
pub(crate) struct Link {
    hosted: BTreeMap<u32, Hosted>,
    lists: [Option<Vec<u8>>; MAX_LISTS],
}

/// Answers batches until the input ends.
pub(crate) fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut link = Link::default();
    let mut reply = Reply::default();
    while let Some(batch) = Batch::read(input)? {
        link.answer(&batch, &mut reply)?;
        reply
            .send(batch.number, output)
            .map_err(|e| format!("batch {}: writing the reply: {e}", batch.number))?;
    }
    Ok(())
}

impl Link {
    /// Answers a batch. All its events happened at one clock reading: each instance gets all of its own, then
    /// settles.
    pub(crate) fn answer(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let mut selected = None;
        let mut to_settle = BTreeSet::new();
        for index in 0..batch.count {
            let (code, fields) = batch.record(index);
            let handled = catch_unwind(AssertUnwindSafe(|| {
                self.event(batch, code, fields, &mut selected, &mut to_settle, reply)
            }));
            match handled {
                Ok(handled) => {
                    handled.map_err(|e| format!("batch {}, record {index}: {e}", batch.number))?;
                }
                Err(panic) => return self.fault(selected, panic, reply),
            }
        }
        for id in to_settle {
            let Some(hosted) = self.hosted.get_mut(&id) else {
                continue;
            };
            reply.record(action::SELECT_INSTANCE, &[&id.to_le_bytes()]);
            let count_before = reply.count();
            let settled = catch_unwind(AssertUnwindSafe(|| {
                hosted.instance.settle(batch.now, &mut Writer(reply));
            }));
            if let Err(panic) = settled {
                return self.fault(Some(id), panic, reply);
            }
            reply.drop_last_of(count_before);
        }
        Ok(())
    }

    /// Reports a panic of an instance, with its text, in the reply.
    pub(crate) fn fault(
        &mut self,
        id: Option<u32>,
        panic: Box<dyn std::any::Any + Send>,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text
            .or_else(|| panic.downcast_ref::<&str>().copied())
            .unwrap_or("the module panicked");
        reply.record(action::SELECT_INSTANCE, &[&id.unwrap_or(0).to_le_bytes()]);
        reply.text(action::FAULT, text);
        Ok(())
    }

    /// Handles one record of a batch. `selected` is the instance that the following records are for; an instance
    /// that got an event is added to `to_settle`.
    fn event(
        &mut self,
        batch: &Batch,
        code: u8,
        mut f: Fields<'_>,
        selected: &mut Option<u32>,
        to_settle: &mut BTreeSet<u32>,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let now = batch.now;
        if code == event::SELECT_INSTANCE {
            *selected = Some(f.u32());
            return Ok(());
        }
        if code == event::LIST_DATA {
            let number = f.u16();
            let span = f.span();
            let list = self.lists.get_mut(usize::from(number)).ok_or(format!(
                "list number {number} is above the maximum of {}",
                MAX_LISTS - 1
            ))?;
            *list = Some(batch.tail(span, ENTRY_BYTES)?.to_vec());
            return Ok(());
        }
        let id = selected.ok_or(format!(
            "no instance is selected for the event with code {code}"
        ))?;
        if code == event::START {
            let seed = f.u64();
            let span = f.span();
            let text = std::str::from_utf8(batch.tail(span, 1)?)
                .map_err(|e| format!("the settings of instance {id} are not valid UTF-8: {e}"))?;
            let (instance, reading) =
                badgerstream_router_config::instance(seed, &FlatSettings::from_lines(text))?;
            if reading.subscribes {
                subscribe(id, reply);
            }
            self.hosted.insert(id, Hosted { instance, reading });
            to_settle.insert(id);
            return Ok(());
        }
        let known = [
            event::LIST,
            event::STATEMENT,
            event::STREAM_STARTED,
            event::EXECUTION_ENDED,
            event::CLIENT_LEFT,
            event::TIMER,
            event::PROBE_ENDED,
            event::PEER_MESSAGE,
            event::STOP,
        ];
        if !known.contains(&code) {
            return Err(format!("event code {code} is unknown"));
        }
        let Some(hosted) = self.hosted.get_mut(&id) else {
            return Err(format!("instance {id} is not running"));
        };
        let (instance, reading) = (&mut hosted.instance, &hosted.reading);
        to_settle.insert(id);
        match code {
            event::LIST => {
                let number = f.u16();
                let kind = f.u8();
                if kind > 3 {
                    return Err(format!("list kind {kind} is unknown"));
                }
                // Kind 0: the list could not be had.
                if kind == 0 {
                    if reading.subscribes {
                        subscribe(id, reply);
                    }
                    return Ok(());
                }
                let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
                let list = list.ok_or(format!("list {number} was never sent"))?;
                instance.list_begins();
                for bytes in list.chunks_exact(ENTRY_BYTES) {
                    entry(instance, now, Fields { bytes, at: 0 })?;
                }
                // A list of kind 3 is incomplete: nodes that it does not have may still exist.
                instance.list_ends(now, kind != 3);
            }
            event::STATEMENT => {
                let stmt = f.u32();
                let tenant = usize::from(f.u16());
                let work_hint = f.seconds();
                let session = f.u64();
                let workload = usize::from(f.u16());
                let deadline = f.seconds();
                let options = f.u8();
                let group = f.f32() as u16;
                let write_age = f64::from(f.f32()) / 1e3;
                if workload >= reading.workloads.len() {
                    return Err(format!(
                        "class {workload} is unknown: the settings define {} classes",
                        reading.workloads.len()
                    ));
                }
                let work = if options & 1 == 1 { work_hint } else { 0.0 };
                instance.arrived(
                    now, stmt, workload, group, session, tenant, work, deadline, write_age,
                );
            }
            event::STREAM_STARTED => instance.stream_started(f.u32()),
            event::EXECUTION_ENDED => {
                let stmt = f.u32();
                let execution = f.u8();
                let node = f.u32();
                let code = f.u16();
                let took = f.seconds();
                let finished = f.u8() != 0;
                // The node's role in the lowest two bits, its position above them.
                let note = f.u32();
                let role = match note % 4 {
                    1 => Some(Role::Primary),
                    2 => Some(Role::Replica),
                    _ => None,
                };
                let position_ms = note / 4;
                let lsn = if position_ms > 0 {
                    reading.origin_s + f64::from(position_ms) / 1e3
                } else {
                    f64::NEG_INFINITY
                };
                instance.executed(
                    now,
                    stmt,
                    execution,
                    node,
                    outcome(code)?,
                    took,
                    finished,
                    role,
                    lsn,
                );
                if let (n, values) = f.report()
                    && n > 0
                {
                    let (primary, lsn) = report(reading, n, values);
                    instance.reported(now, node, primary, lsn);
                }
            }
            event::CLIENT_LEFT => instance.abandoned(f.u32()),
            event::PROBE_ENDED => {
                let _took = f.seconds();
                let node = f.u32();
                let code = f.u16();
                let (n, values) = f.report();
                let (primary, lsn) = report(reading, n, values);
                let answered = outcome(code)? == ExecutionOutcome::Completed;
                instance.probed(now, node, answered, primary, lsn);
            }
            event::STOP => {
                self.hosted.remove(&id);
                to_settle.remove(&id);
            }
            // After a timer or a peer's message the instance only has to settle.
            _ => {}
        }
        Ok(())
    }
}

/// Returns role and position from a load report: whether the node is the primary, if reported, and its position in
/// seconds, minus infinity if not reported. The position was rounded to an f32, perhaps upwards: the next lower f32
/// certainly does not exceed it.
fn report(reading: &FrontSettings, n: u8, values: [f32; 4]) -> (Option<bool>, f64) {
    let value = |column: Option<usize>| column.filter(|c| *c < usize::from(n)).map(|c| values[c]);
    let lsn = value(reading.position_column).map_or(f64::NEG_INFINITY, |x| {
        reading.origin_s + f64::from(x.next_down().max(0.0))
    });
    (value(reading.role_column).map(|x| x >= 0.5), lsn)
}

/// Subscribes an instance to the list of nodes.
fn subscribe(id: u32, reply: &mut Reply) {
    reply.record(action::SELECT_INSTANCE, &[&id.to_le_bytes()]);
    reply.record(action::SUBSCRIBE, &[&[1]]);
}

/// Passes one entry of a node list to an instance.
fn entry(instance: &mut Instance, now: f64, mut f: Fields<'_>) -> Result<(), String> {
    let node = f.u32();
    let zone = f.u8();
    let _kind = f.u8();
    let group = f.u16();
    let status = f.u8();
    let _size = f.f32();
    let started_at = f.seconds();
    let is_primary = f.f32() >= 0.5;
    let status = match status {
        0 => NodeStatus::Gone,
        1 => NodeStatus::Ready,
        2 => NodeStatus::Draining,
        other => return Err(format!("node {node} has the unknown status {other}")),
    };
    instance.list_member(now, node, (group, zone), status, started_at, is_primary);
    Ok(())
}

/// Returns the outcome of an execution or a probe from its code on the wire.
fn outcome(code: u16) -> Result<ExecutionOutcome, String> {
    Ok(match code {
        100 => ExecutionOutcome::Completed,
        101 => ExecutionOutcome::NotEligible,
        301 => ExecutionOutcome::Errored,
        302 => ExecutionOutcome::Rejected,
        303 => ExecutionOutcome::TimedOut,
        304 => ExecutionOutcome::ConnectFailed,
        305 => ExecutionOutcome::ConnectionLost,
        306 => ExecutionOutcome::Cancelled,
        307 => ExecutionOutcome::NeverIssued,
        other => return Err(format!("outcome code {other} is unknown")),
    })
}
