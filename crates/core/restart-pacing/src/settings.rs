//! What coming back goes by. Every value has a default; all times are milliseconds.

use serde::Deserialize;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// New connections that one node is to see from all routers together in any 100 ms while many come back; 0 for
    /// a fifth of the routers, so that each has its turn within half a second, but at least eight.
    pub opens_in_100ms: f64,
    /// The names of all routers, where they are known: turns are exact then. Else each draws its turn by lot.
    pub routers: Vec<String>,
    /// Nothing is sent before discovery has spoken, for so long at most; then the list of the start has to do.
    pub list_wait_ms: f64,
    /// The first connection has so long to show whether others come back, too.
    pub sounding_ms: f64,
    /// A handshake on a calm day takes at most so long: beyond, others wait there.
    pub handshake_ms: f64,
    /// A connection that is coming up is left to it for so long: the node has its work with it in any case.
    pub longest_handshake_ms: f64,
    /// No sign of others for so long is the end of a phase.
    pub calm_ms: f64,
    /// The longest stay in each phase behind the first two.
    pub longest_ms: f64,
    /// A process that did nothing for so long stood still: what it knew is as old as that.
    pub stood_still_ms: f64,
    /// After a refused connection the next one waits for about so long, twice as long each time, up to `most`.
    pub refused_ms: f64,
    pub refused_most_ms: f64,
    /// An execution that nobody waits for any more may end on its connection for so long, rather than that the
    /// connection is closed. Only for stores whose nodes go on with the work in any case: else it is wasted.
    pub linger_ms: f64,
    /// Connections beyond what was in use at once over so long are given up.
    pub surplus_ms: f64,
    /// Behind turns, too, a further connection at a node waits for this router's turn while it holds fewer than so
    /// many there; 0 where only slow start is to bind.
    pub turns_below: usize,
    /// Fields of a load report: connections that the node holds, and those opened in the last 100 ms. Without
    /// them only handshakes and refusals tell of others.
    pub held_field: String,
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
    /// New connections that a node is to see in 100 ms from so many routers.
    pub fn opens(&self, routers: f64) -> f64 {
        if self.opens_in_100ms > 0.0 {
            self.opens_in_100ms
        } else {
            (routers / 5.0).max(8.0)
        }
    }

    /// The first field that can't be, and why.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        let longest = 600_000.0;
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
        let wrong = times
            .iter()
            .find(|(_, told, least)| !(*told >= *least && *told <= longest));
        if let Some((field, told, least)) = wrong {
            return Some((
                field,
                format!("is {told}, no time from {least} ms to ten minutes"),
            ));
        }
        let opens = self.opens_in_100ms;
        if !(1.0..=1e6).contains(&opens) && opens != 0.0 {
            return Some((
                "opens_in_100ms",
                format!("is {opens}, no number from 1 on, and not 0"),
            ));
        }
        let mut names: Vec<&String> = self.routers.iter().collect();
        names.sort();
        if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Some(("routers", format!("names {:?} twice", twice[0])));
        }
        if self.held_field.is_empty() != self.opened_field.is_empty() {
            return Some(("held_field", "and opened_field go together".to_string()));
        }
        None
    }
}
