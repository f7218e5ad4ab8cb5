//! The line protocol of clients and databases, as machines that are fed bytes.
