//! Settings of restart pacing. Every setting has a default; all times are in milliseconds.

use serde::Deserialize;

/// The part `recovery` of an operator's settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number of new connections at one node from all routers together in any 100 ms while many routers
    /// return. 0 allows a fifth of the number of routers, so that each has a slot within half a second, but at least
    /// eight.
    pub opens_in_100ms: f64,
    /// Names of all routers, where they are known: slots are then assigned exactly. Otherwise each router draws its
    /// slots at random.
    pub routers: Vec<String>,
    /// Maximum wait for discovery before anything is sent. After it, the list of nodes from the start is used.
    pub list_wait_ms: f64,
    /// Maximum time in which the first connection shows whether other routers return too.
    pub sounding_ms: f64,
    /// Maximum duration of a handshake at a node without load. A longer one shows that others connect there too.
    pub handshake_ms: f64,
    /// Timeout for opening a connection. It is long, because the node does the work of a handshake in any case.
    pub longest_handshake_ms: f64,
    /// A phase ends after this time without evidence that other routers return.
    pub calm_ms: f64,
    /// Maximum duration of each phase after the first two.
    pub longest_ms: f64,
    /// A process that did nothing for this long has stalled, and what it knew is out of date.
    pub stood_still_ms: f64,
    /// Backoff after a failure to connect. It doubles with each further failure, up to `refused_most_ms`.
    pub refused_ms: f64,
    /// Maximum backoff after failures to connect.
    pub refused_most_ms: f64,
    /// Time in which an execution that nobody waits for may still end on its connection, so that the connection need
    /// not be closed. Only for databases whose nodes finish the work in any case; with others the work is wasted.
    pub linger_ms: f64,
    /// Idle connections are closed if the number of connections in use has not needed them for this time.
    pub surplus_ms: f64,
    /// In the phases after turns, a router with fewer connections to a node than this opens further ones only in its
    /// slots. With 0, only slow start limits them.
    pub turns_below: usize,
    /// Field of a node's load report with the number of connections that it holds. Without this field and
    /// `opened_field`, only slow handshakes and failures to connect show that other routers return.
    pub held_field: String,
    /// Field of a node's load report with the number of connections opened there in the last 100 ms.
    pub opened_field: String,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            opens_in_100ms: 0.0,
            routers: Vec::new(),
            list_wait_ms: 250.0,
            sounding_ms: 150.0,
            handshake_ms: 60.0,
            longest_handshake_ms: 1500.0,
            calm_ms: 300.0,
            longest_ms: 2500.0,
            stood_still_ms: 700.0,
            refused_ms: 100.0,
            refused_most_ms: 2000.0,
            linger_ms: 0.0,
            surplus_ms: 3000.0,
            turns_below: 0,
            held_field: String::new(),
            opened_field: String::new(),
        }
    }
}

impl Settings {
    /// Returns the maximum number of new connections at one node in 100 ms, from all of `routers` together.
    pub fn opens_per_window(&self, routers: f64) -> f64 {
        if self.opens_in_100ms > 0.0 {
            self.opens_in_100ms
        } else {
            (routers / 5.0).max(8.0)
        }
    }

    /// Returns the first invalid field and what is wrong with it, or `None` where all are valid.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        let max_ms = 600_000.0;
        let times = [
            ("list_wait_ms", self.list_wait_ms, 0.0),
            ("sounding_ms", self.sounding_ms, 1.0),
            ("handshake_ms", self.handshake_ms, 0.001),
            (
                "longest_handshake_ms",
                self.longest_handshake_ms,
                self.handshake_ms,
            ),
            ("calm_ms", self.calm_ms, 1.0),
            ("longest_ms", self.longest_ms, 1.0),
            ("stood_still_ms", self.stood_still_ms, 200.0),
            ("refused_ms", self.refused_ms, 1.0),
            ("refused_most_ms", self.refused_most_ms, self.refused_ms),
            ("linger_ms", self.linger_ms, 0.0),
            ("surplus_ms", self.surplus_ms, 100.0),
        ];
        let invalid = times
            .iter()
            .find(|(_, value, min)| !(*value >= *min && *value <= max_ms));
        if let Some((field, value, min)) = invalid {
            return Some((field, format!("is {value}, expected {min} to {max_ms} ms")));
        }
        let opens = self.opens_in_100ms;
        if !(1.0..=1e6).contains(&opens) && opens != 0.0 {
            return Some((
                "opens_in_100ms",
                format!("is {opens}, expected 0 or a number from 1 to 1000000"),
            ));
        }
        let mut names: Vec<&String> = self.routers.iter().collect();
        names.sort();
        if let Some(duplicate) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Some(("routers", format!("names {:?} twice", duplicate[0])));
        }
        if self.held_field.is_empty() != self.opened_field.is_empty() {
            return Some((
                "held_field",
                format!(
                    "is {:?} and opened_field is {:?}; set both or neither",
                    self.held_field, self.opened_field
                ),
            ));
        }
        None
    }
}
