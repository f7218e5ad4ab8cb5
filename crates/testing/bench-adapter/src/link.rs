//! Hosting of the instances: each decoded field goes straight into a call of the instance it is for.

use crate::codec::{Batch, ENTRY_BYTES, Fields, Reply};
use badgerstream_router_config::{Pairs, Reading};
use badgerstream_routing::{ExecutionOutcome, Instance, NodeStatus, Outbox, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

const LISTS: usize = 16;

struct Hosted {
    instance: Instance,
    reading: Reading,
}

/// One instance's actions, as records of the reply.
struct Writer<'a>(&'a mut Reply);

impl Outbox for Writer<'_> {
    fn execute(&mut self, stmt: u32, node: u32, limit: f64) {
        // A negative limit has run out, but 0 would mean none at all.
        let limit = if limit > 0.0 { limit * 1e3 } else { -1.0 };
        self.0.record(
            90,
            &[
                &stmt.to_le_bytes(),
                &node.to_le_bytes(),
                &limit.to_le_bytes(),
            ],
        );
    }

    /// The simulator's stores offer no outcomes, and no settings here ask for them.
    fn inquire(&mut self, _stmt: u32, _node: u32, _limit: f64) {}

    fn cancel(&mut self, stmt: u32, execution: u8) {
        self.0.record(50, &[&stmt.to_le_bytes(), &[execution]]);
    }

    fn reject(&mut self, stmt: u32, retry_after: f64) {
        self.0.record(
            130,
            &[&stmt.to_le_bytes(), &(retry_after * 1e3).to_le_bytes()],
        );
    }

    fn abort(&mut self, stmt: u32) {
        self.0.record(80, &[&stmt.to_le_bytes()]);
    }

    fn probe(&mut self, node: u32) {
        self.0.record(20, &[&node.to_le_bytes()]);
    }

    fn wake(&mut self, after: f64) {
        self.0.record(40, &[&(after * 1e3).to_le_bytes()]);
    }

    fn log(&mut self, line: &str) {
        self.0.text(120, line);
    }
}

#[derive(Default)]
pub(crate) struct Link {
    hosted: BTreeMap<u32, Hosted>,
    lists: [Option<Vec<u8>>; LISTS],
}

/// Answers batches until the input ends.
pub(crate) fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut link = Link::default();
    let mut reply = Reply::default();
    while let Some(batch) = Batch::read(input)? {
        link.answer(&batch, &mut reply)?;
        reply
            .send(batch.number, output)
            .map_err(|e| format!("batch {}: {e}", batch.number))?;
    }
    Ok(())
}

impl Link {
    /// All events of a batch happened at one clock reading: each instance is told all of its own, then
    /// settles.
    pub(crate) fn answer(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        let mut present = None;
        let mut spoken_to = BTreeSet::new();
        for index in 0..batch.count {
            let (code, fields) = batch.record(index);
            let told = catch_unwind(AssertUnwindSafe(|| {
                self.event(batch, code, fields, &mut present, &mut spoken_to, reply)
            }));
            match told {
                Ok(told) => {
                    told.map_err(|e| format!("batch {}, record {index}: {e}", batch.number))?;
                }
                Err(panic) => return self.fault(present, panic, reply),
            }
        }
        for id in spoken_to {
            let Some(hosted) = self.hosted.get_mut(&id) else {
                continue;
            };
            reply.record(30, &[&id.to_le_bytes()]);
            let named = reply.count();
            let settled = catch_unwind(AssertUnwindSafe(|| {
                hosted.instance.settle(batch.now, &mut Writer(reply));
            }));
            if let Err(panic) = settled {
                return self.fault(Some(id), panic, reply);
            }
            reply.drop_last_of(named);
        }
        Ok(())
    }

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
        reply.record(30, &[&id.unwrap_or(0).to_le_bytes()]);
        reply.text(110, text);
        Ok(())
    }

    fn event(
        &mut self,
        batch: &Batch,
        code: u8,
        mut f: Fields<'_>,
        present: &mut Option<u32>,
        spoken_to: &mut BTreeSet<u32>,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let now = batch.now;
        if code == 120 {
            *present = Some(f.u32());
            return Ok(());
        }
        if code == 110 {
            let (number, span) = (f.u16(), f.span());
            let list = self
                .lists
                .get_mut(usize::from(number))
                .ok_or(format!("list number {number} is over 15"))?;
            *list = Some(batch.tail(span, ENTRY_BYTES)?.to_vec());
            return Ok(());
        }
        let id = present.ok_or("an event comes before any record names its instance")?;
        if code == 10 {
            let (seed, span) = (f.u64(), f.span());
            let text = std::str::from_utf8(batch.tail(span, 1)?)
                .map_err(|e| format!("the settings: {e}"))?;
            let (instance, reading) =
                badgerstream_router_config::instance(seed, &Pairs::from_lines(text))?;
            if reading.subscribes {
                subscribe(id, reply);
            }
            self.hosted.insert(id, Hosted { instance, reading });
            spoken_to.insert(id);
            return Ok(());
        }
        let known = [20, 30, 40, 50, 60, 70, 80, 90, 100];
        if !known.contains(&code) {
            return Err(format!("event code {code} is unknown"));
        }
        let Some(hosted) = self.hosted.get_mut(&id) else {
            return Err(format!("instance {id} is not running"));
        };
        let (instance, reading) = (&mut hosted.instance, &hosted.reading);
        spoken_to.insert(id);
        match code {
            20 => {
                let (number, kind) = (f.u16(), f.u8());
                if kind > 3 {
                    return Err(format!("list kind {kind} is unknown"));
                }
                if kind == 0 {
                    if reading.subscribes {
                        subscribe(id, reply);
                    }
                    return Ok(());
                }
                let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
                let list = list.ok_or(format!("list {number} was never given"))?;
                instance.list_begins();
                for bytes in list.chunks_exact(ENTRY_BYTES) {
                    entry(instance, now, Fields { bytes, at: 0 })?;
                }
                instance.list_ends(now, kind != 3);
            }
            30 => {
                let (stmt, customer, hint) = (f.u32(), f.u16(), f.seconds());
                let (session, workload, due) = (f.u64(), usize::from(f.u16()), f.seconds());
                let (options, group, age) = (f.u8(), f.f32() as u16, f64::from(f.f32()) / 1e3);
                if workload >= reading.workloads.len() {
                    return Err(format!("class {workload} is not in the settings"));
                }
                let work = if options & 1 == 1 { hint } else { 0.0 };
                instance.arrived(
                    now,
                    stmt,
                    workload,
                    group,
                    session,
                    usize::from(customer),
                    work,
                    due,
                    age,
                );
            }
            40 => instance.stream_started(f.u32()),
            50 => {
                let (stmt, execution, node, outcome) = (f.u32(), f.u8(), f.u32(), f.u16());
                let (took, over, note) = (f.seconds(), f.u8() != 0, f.u32());
                let role = match note % 4 {
                    1 => Some(Role::Primary),
                    2 => Some(Role::Replica),
                    _ => None,
                };
                let position = note / 4;
                let lsn = if position > 0 {
                    reading.origin + f64::from(position) / 1e3
                } else {
                    f64::NEG_INFINITY
                };
                instance.executed(
                    now,
                    stmt,
                    execution,
                    node,
                    ending(outcome)?,
                    took,
                    over,
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
            60 => instance.abandoned(f.u32()),
            80 => {
                let (_, node, outcome, (n, values)) = (f.seconds(), f.u32(), f.u16(), f.report());
                let (primary, lsn) = report(reading, n, values);
                instance.probed(
                    now,
                    node,
                    ending(outcome)? == ExecutionOutcome::Completed,
                    primary,
                    lsn,
                );
            }
            100 => {
                self.hosted.remove(&id);
                spoken_to.remove(&id);
            }
            // A timer that came due, or a peer's message: settling is all that follows.
            _ => {}
        }
        Ok(())
    }
}

/// Role and position of a load report. The position is rounded to an f32, perhaps upwards: the next one
/// down is sure not to be past it.
fn report(reading: &Reading, n: u8, values: [f32; 4]) -> (Option<bool>, f64) {
    let value = |column: Option<usize>| column.filter(|c| *c < usize::from(n)).map(|c| values[c]);
    let lsn = value(reading.position_column).map_or(f64::NEG_INFINITY, |x| {
        reading.origin + f64::from(x.next_down().max(0.0))
    });
    (value(reading.role_column).map(|x| x >= 0.5), lsn)
}

fn subscribe(id: u32, reply: &mut Reply) {
    reply.record(30, &[&id.to_le_bytes()]);
    reply.record(100, &[&[1]]);
}

fn entry(instance: &mut Instance, now: f64, mut f: Fields<'_>) -> Result<(), String> {
    let (node, zone, _kind, group, standing) = (f.u32(), f.u8(), f.u8(), f.u16(), f.u8());
    let (_size, since, primary) = (f.f32(), f.seconds(), f.f32());
    let standing = match standing {
        0 => NodeStatus::Gone,
        1 => NodeStatus::Ready,
        2 => NodeStatus::Draining,
        other => return Err(format!("node {node} has the unknown status {other}")),
    };
    instance.list_member(now, node, (group, zone), standing, since, primary >= 0.5);
    Ok(())
}

fn ending(outcome: u16) -> Result<ExecutionOutcome, String> {
    Ok(match outcome {
        100 => ExecutionOutcome::Completed,
        101 => ExecutionOutcome::NotEligible,
        301 => ExecutionOutcome::Errored,
        302 => ExecutionOutcome::Rejected,
        303 => ExecutionOutcome::TimedOut,
        304 => ExecutionOutcome::ConnectFailed,
        305 => ExecutionOutcome::ConnectionLost,
        306 => ExecutionOutcome::Cancelled,
        307 => ExecutionOutcome::NeverIssued,
        other => return Err(format!("outcome {other} is unknown")),
    })
}
