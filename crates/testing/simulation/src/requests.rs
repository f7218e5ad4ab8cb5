//! Requests to control machines that wait for a response.

use std::collections::{BTreeMap, HashMap};

/// Requests of operators and servers are numbered from here on; tests number theirs below.
const FIRST_REQUEST_ID: u64 = 1 << 32;

/// Who waits for a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// The operator of this index.
    Operator(usize),
    /// The server with this id.
    Server(String),
}

/// The requests of operators and servers under way.
#[derive(Clone)]
pub(crate) struct Requests {
    last_id: u64,
    requesters: HashMap<u64, Requester>,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            last_id: FIRST_REQUEST_ID,
            requesters: HashMap::new(),
        }
    }
}

impl Requests {
    /// The number of a new request.
    pub(crate) fn register(&mut self, requester: Requester) -> u64 {
        self.last_id += 1;
        self.requesters.insert(self.last_id, requester);
        self.last_id
    }

    /// Who waits for the response to this request; `None` for a request of a test.
    pub(crate) fn complete(&mut self, request_id: u64) -> Option<Requester> {
        self.requesters.remove(&request_id)
    }
}

/// The response to a request of a test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status, as in HTTP.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// The responses to a test's requests, by the requests' numbers.
pub type Responses = BTreeMap<u64, Response>;
