//! HTTP calls as pairs of types, the operator's configuration and the settings file, read and checked.
