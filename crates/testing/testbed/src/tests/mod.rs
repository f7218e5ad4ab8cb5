mod deployment;
mod failover;
mod history;
mod random_faults;
mod statements;

use crate::database_cluster::{
    ConnectionId, ConnectionOutput, DatabaseCluster, ServerSpec, ServiceSpec, Timing,
};

/// Returns a service `db` of three servers, `a` to `c`; `a` is the primary.
fn service(sync_replicas: u32) -> ServiceSpec {
    let server = |n: u8| ServerSpec {
        id: char::from(b'a' + n).to_string(),
        listen_address: ([127, 0, 0, 1 + n], 5440).into(),
        advertised_address: ([127, 0, 0, 1 + n], 5440).into(),
        zone: "z".to_owned(),
    };
    ServiceSpec {
        name: "db".to_owned(),
        sync_replicas,
        max_connections: 4,
        slots: 2,
        servers: (0..3).map(server).collect(),
    }
}

/// A cluster whose time is controlled by the test.
struct ClusterHarness {
    cluster: DatabaseCluster,
    now: f64,
}

impl ClusterHarness {
    fn new(sync_replicas: u32, fencing: bool) -> Self {
        Self {
            cluster: DatabaseCluster::new(
                vec![service(sync_replicas)],
                Timing::default(),
                fencing,
                7,
            ),
            now: 0.0,
        }
    }

    /// Advances the time, and returns the output.
    fn advance(&mut self, seconds: f64) -> Vec<ConnectionOutput> {
        self.now += seconds;
        self.cluster.step(self.now)
    }

    fn connect_to(&mut self, at: &str) -> ConnectionId {
        let connection = self.cluster.connect(self.now, at, "db", "test").unwrap();
        assert!(
            matches!(&self.advance(0.02)[..], [ConnectionOutput::Send(c, text)] if *c == connection && text.starts_with("IDLE I "))
        );
        connection
    }

    fn send(&mut self, connection: ConnectionId, id: &str, text: &str) {
        self.cluster.receive_line(
            self.now,
            connection,
            format!("QUERY {id} {text}").as_bytes(),
        );
    }

    /// Returns the response to a statement within 20 ms, its lines joined by `|` and each stamp
    /// replaced by `+`; empty if there is no response.
    fn query(&mut self, connection: ConnectionId, text: &str) -> String {
        let id = format!("i{}-{}", connection, (self.now * 1e6) as u64);
        self.send(connection, &id, text);
        let output = self.advance(0.02).into_iter().find_map(|out| match out {
            ConnectionOutput::Send(c, text) if c == connection => Some(text),
            _ => None,
        });
        let output = output.unwrap_or_default();
        let line = |line: &str| match line.strip_prefix("COMPLETE ") {
            Some("-") | None => line.to_owned(),
            Some(_) => "COMPLETE +".to_owned(),
        };
        output.lines().map(line).collect::<Vec<_>>().join("|")
    }

    fn status(&self, id: &str) -> String {
        self.cluster.status_row(id).unwrap()
    }
}
