//! One run: the start, a calm stretch, configurations, a crash of primaries, the end of the leading control machine.

use crate::figures::{self, Usage, quantile};
use crate::machines::{self, Machine};
use crate::plan::Plan;
use crate::routers::{Router, Routers};
use crate::servers::Servers;
use async_executor::LocalExecutor;
use async_io::Timer;
use badgerstream_calls::config::Config;
use badgerstream_node::{clock, frames};
use badgerstream_standin::operator;
use futures_lite::future;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// What is to be measured.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Of how many primaries each router tells what it saw.
    pub evidence: usize,
    /// For how long the calm system is watched, in seconds.
    pub seconds: f64,
    /// How many configurations are sent, one after the other.
    pub changes: u64,
    /// How many primaries crash at once.
    pub crashes: usize,
    /// What each part may take, in seconds.
    pub limit: f64,
    /// Bytes a second that each router's link carries from control; none is as fast as loopback.
    pub link: Option<f64>,
}

struct Run<'a> {
    plan: &'a Plan,
    wanted: Wanted,
    machines: Vec<Machine>,
    routers: Routers,
    servers: Servers,
    tell: &'a mut dyn FnMut(String),
}

/// Does all of it; `tell` is given a line of key=value pairs for each thing measured. An error tells which part did not
/// come to its end. Nothing that was started is left.
pub fn run(
    plan: &Plan, wanted: Wanted, folder: &Path, program: &Path, tell: &mut dyn FnMut(String),
) -> Result<(), String> {
    clock::now();
    descriptors();
    let tasks = Rc::new(LocalExecutor::new());
    let machines = machines::start(plan, folder, program)?;
    let servers = Servers::start(plan.servers(), plan.controls(), plan.platform())?;
    let routers = Routers::start(&tasks, plan.routers, &plan.controls(), wanted.evidence, wanted.link);
    let mut run = Run { plan, wanted, machines, routers, servers, tell };
    future::block_on(tasks.run(run.all()))
}

/// One process holds a descriptor for every router and for every server: it takes as many as it may.
fn descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    let _ = setrlimit(Resource::Nofile, limit);
}

impl Run<'_> {
    async fn all(&mut self) -> Result<(), String> {
        self.begin().await?;
        self.calm().await?;
        self.changes().await?;
        if self.wanted.crashes > 0 {
            self.crash().await?;
        }
        self.leader_ends().await
    }

    fn tell(&mut self, what: &str, rest: &str) {
        let (routers, services) = (self.plan.routers, self.plan.services);
        let load = figures::load();
        (self.tell)(format!(
            "what={what} routers={routers} services={services} evidence={} {rest} load={load:.1}",
            self.wanted.evidence
        ));
    }

    /// Waits until this is so for every router.
    async fn until(&self, what: &str, so: impl Fn(&Router) -> bool) -> Result<(), String> {
        let began = clock::now();
        while !self.routers.all.iter().all(|r| so(r)) {
            if clock::now() - began > self.wanted.limit {
                let done = self.routers.all.iter().filter(|r| so(r)).count();
                let of = self.routers.all.len();
                return Err(format!("{what}: {done} of {of} routers within {} s", self.wanted.limit));
            }
            Timer::after(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn begin(&mut self) -> Result<(), String> {
        let began = clock::now();
        self.send(0, 1).await?;
        let services = self.plan.services;
        let ready = |r: &Router| r.epoch().0 == 1 && r.holds(clock::now()) && r.granted_count() == services;
        self.until("start", ready).await?;
        let body = self.plan.configuration(1);
        let at = clock::now();
        let read = Config::read(body.as_bytes()).map_err(|e| e.to_string())?;
        let parse_ms = (clock::now() - at) * 1000.0;
        let line = format!(
            "ready_s={:.2} config_bytes={} config_routes={} config_read_ms={parse_ms:.2}",
            at - began,
            body.len(),
            read.routes.len()
        );
        self.tell("start", &line);
        Ok(())
    }

    async fn send(&self, base: u64, epoch: u64) -> Result<(), String> {
        let body = self.plan.configuration(epoch);
        let controls = self.plan.controls();
        let taken = async { Ok(operator::replace(&controls, base, &body).await) };
        frames::within(self.wanted.limit, taken).await.map_err(|_| format!("epoch {epoch} was not taken"))?
    }

    /// The number of the machine that leads.
    async fn leader(&self) -> Result<usize, String> {
        for (n, machine) in self.machines.iter().enumerate() {
            if machine.status().await.is_some_and(|s| s.leads) {
                return Ok(n);
            }
        }
        Err("no control machine leads".to_owned())
    }

    fn usages(&self) -> Vec<Usage> {
        self.machines.iter().map(|m| m.usage().unwrap_or_default()).collect()
    }

    async fn calm(&mut self) -> Result<(), String> {
        let leader = self.leader().await?;
        // What the start left behind is done by then.
        Timer::after(Duration::from_secs_f64(self.wanted.seconds.min(3.0))).await;
        let (began, before, passed, beats) =
            (clock::now(), self.usages(), self.routers.traffic(), self.servers.beats());
        let own = figures::usage(std::process::id()).unwrap_or_default();
        Timer::after(Duration::from_secs_f64(self.wanted.seconds)).await;
        let (after, now, beaten) = (self.usages(), self.routers.traffic(), self.servers.beats());
        let took = clock::now() - began;
        let spent = figures::usage(std::process::id()).unwrap_or_default().processor_s - own.processor_s;
        let share = |n: usize| 100.0 * (after[n].processor_s - before[n].processor_s) / took;
        let others: Vec<usize> = (0..after.len()).filter(|n| *n != leader).collect();
        let follower = others.iter().map(|n| share(*n)).fold(0.0, f64::max);
        let most = |of: fn(&Usage) -> f64| others.iter().map(|n| of(&after[*n])).fold(0.0, f64::max);
        let each = |bytes: u64| bytes as f64 / took / self.plan.routers as f64;
        let line = format!(
            "seconds={took:.1} leader_core_pct={:.2} follower_core_pct={follower:.2} leader_mb={:.1} leader_peak_mb={:.1} \
             follower_mb={:.1} leader_files={} follower_files={:.0} session_out_bytes_s={:.0} session_in_bytes_s={:.0} \
             session_asks_s={:.2} beats_s={:.0} connects={} own_core_pct={:.0}",
            share(leader),
            after[leader].resident_mb,
            after[leader].peak_mb,
            most(|u| u.resident_mb),
            after[leader].files,
            most(|u| u.files as f64),
            each(now.out - passed.out),
            each(now.into - passed.into),
            each(now.asked - passed.asked),
            (beaten - beats) as f64 / took,
            now.connects - passed.connects,
            100.0 * spent / took,
        );
        self.tell("calm", &line);
        Ok(())
    }

    async fn changes(&mut self) -> Result<(), String> {
        let leader = self.leader().await?;
        let mut known = Vec::new();
        let mut acks = Vec::new();
        let before = (self.usages(), self.routers.traffic(), clock::now());
        for epoch in 2..2 + self.wanted.changes {
            let sent = clock::now();
            self.send(epoch - 1, epoch).await?;
            let acknowledged = clock::now();
            acks.push((acknowledged - sent) * 1000.0);
            self.until(&format!("epoch {epoch}"), |r| r.epoch().0 >= epoch).await?;
            known.extend(self.routers.all.iter().map(|r| ((r.epoch().1 - acknowledged) * 1000.0).max(0.0)));
            Timer::after(Duration::from_millis(500)).await;
        }
        let spent = self.usages()[leader].processor_s - before.0[leader].processor_s;
        let into = self.routers.traffic().into - before.1.into;
        let took = clock::now() - before.2;
        let at = |share: f64| quantile(&known, share).unwrap_or(f64::NAN);
        let line = format!(
            "changes={} ack_p50_ms={:.0} ack_max_ms={:.0} known_p50_ms={:.0} known_p99_ms={:.0} known_max_ms={:.0} \
             seconds={took:.1} leader_core_pct={:.2} session_in_bytes={:.0} leader_peak_mb={:.1}",
            self.wanted.changes,
            quantile(&acks, 0.5).unwrap_or(f64::NAN),
            quantile(&acks, 1.0).unwrap_or(f64::NAN),
            at(0.5),
            at(0.99),
            at(1.0),
            100.0 * spent / took,
            into as f64 / self.plan.routers as f64,
            self.usages()[leader].peak_mb,
        );
        self.tell("changes", &line);
        Ok(())
    }

    async fn crash(&mut self) -> Result<(), String> {
        let primaries = self.plan.servers().into_iter().filter(|s| s.leads).take(self.wanted.crashes);
        let primaries: Vec<_> = primaries.collect();
        let began = clock::now();
        for primary in &primaries {
            self.servers.crash(&primary.id);
        }
        let granted = |r: &Router| primaries.iter().all(|p| r.granted(&p.service, 2).is_some());
        self.until("new primaries", granted).await?;
        let took: Vec<f64> = (self.routers.all.iter())
            .flat_map(|r| primaries.iter().filter_map(|p| r.granted(&p.service, 2)))
            .map(|at| at - began)
            .collect();
        let at = |share: f64| quantile(&took, share).unwrap_or(f64::NAN);
        let line = format!(
            "crashes={} granted_p50_s={:.2} granted_p99_s={:.2} granted_max_s={:.2}",
            primaries.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
        self.tell("primary_change", &line);
        Ok(())
    }

    async fn leader_ends(&mut self) -> Result<(), String> {
        let leader = self.leader().await?;
        let before = self.routers.all.iter().map(|r| r.leased().0).max().unwrap_or_default();
        let connects = self.routers.traffic().connects;
        let services = self.plan.services;
        let began = clock::now();
        self.machines[leader].kill();
        self.until("leases of the next leader", |r| r.leased().0 > before).await?;
        let took: Vec<f64> = self.routers.all.iter().map(|r| r.leased().1 - began).collect();
        self.until("grants of the next leader", |r| r.granted_count() == services).await?;
        let granted = clock::now() - began;
        let at = |share: f64| quantile(&took, share).unwrap_or(f64::NAN);
        let next = self.leader().await?;
        let line = format!(
            "leased_p50_s={:.2} leased_p99_s={:.2} leased_max_s={:.2} all_granted_s={granted:.2} connects={} next_peak_mb={:.1}",
            at(0.5),
            at(0.99),
            at(1.0),
            self.routers.traffic().connects - connects,
            self.usages()[next].peak_mb,
        );
        self.tell("leader_end", &line);
        Ok(())
    }
}
