//! Pending requests to control machines.

use std::collections::{BTreeMap, HashMap};

/// The ids of requests from operators and servers are above this bound; tests use ids below it.
const REQUEST_ID_BASE: u64 = 1 << 32;

/// The component that waits for a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// The operator with this index.
    Operator(usize),
    /// The server with this id.
    Server(String),
}

/// The pending requests of operators and servers.
#[derive(Clone)]
pub(crate) struct Requests {
    last_id: u64,
    requesters: HashMap<u64, Requester>,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            last_id: REQUEST_ID_BASE,
            requesters: HashMap::new(),
        }
    }
}

impl Requests {
    /// Registers a new request and returns its id.
    pub(crate) fn register(&mut self, requester: Requester) -> u64 {
        self.last_id += 1;
        self.requesters.insert(self.last_id, requester);
        self.last_id
    }

    /// Removes a request and returns its requester; `None` for a request of a test.
    pub(crate) fn complete(&mut self, request_id: u64) -> Option<Requester> {
        self.requesters.remove(&request_id)
    }
}

/// The response to a request of a test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body of the response.
    pub body: Vec<u8>,
}

/// The responses to a test's requests, by request id.
pub type Responses = BTreeMap<u64, Response>;
