//! The control state on disk.
