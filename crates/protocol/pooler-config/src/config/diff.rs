//! Lists the differences between two configurations.

use std::collections::BTreeMap;

use super::{Config, Limits, Route, Service};

/// The fields of a route, a service or the limits: their names in the configuration and their
/// values as text.
type Fields = Vec<(&'static str, String)>;

impl Route {
    fn fields(&self) -> Fields {
        vec![
            ("name", self.name.clone()),
            ("mode", self.mode.as_str().to_owned()),
            ("deadline_ms", self.deadline_ms.to_string()),
            ("target_ms", self.target_ms.to_string()),
            ("rank", self.rank.to_string()),
            ("backend", self.service.clone()),
            ("tries", self.tries.to_string()),
            (
                "staleness_ms",
                self.staleness_ms
                    .map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            ),
        ]
    }
}

impl Service {
    fn fields(&self) -> Fields {
        vec![
            ("probe", self.probe.clone()),
            ("max_conns", self.max_conns.to_string()),
            ("protocol", self.protocol.clone()),
            ("tls", self.tls.to_string()),
            ("sync_replicas", self.sync_replicas.to_string()),
        ]
    }
}

impl Limits {
    fn fields(&self) -> Fields {
        vec![
            ("header_bytes", self.header_bytes.to_string()),
            ("body_bytes", self.body_bytes.to_string()),
            ("header_timeout_ms", self.header_timeout_ms.to_string()),
            ("idle_timeout_ms", self.idle_timeout_ms.to_string()),
            ("txn_idle_ms", self.txn_idle_ms.to_string()),
        ]
    }
}

/// Returns the changes from one configuration to another in a form for operators: one line of
/// key=value pairs for each route or service that was added or removed, and for each field that
/// changed. Routes are identified by their authority and prefix.
pub fn diff(before: &Config, after: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    compare(&mut lines, &global_fields(before), &global_fields(after));
    compare(&mut lines, &service_fields(before), &service_fields(after));
    compare(&mut lines, &route_fields(before), &route_fields(after));
    lines
}

fn global_fields(config: &Config) -> BTreeMap<String, Fields> {
    let mut fields = config.limits.fields();
    fields.insert(0, ("epoch", config.epoch.to_string()));
    BTreeMap::from([("part=whole".to_owned(), fields)])
}

fn service_fields(config: &Config) -> BTreeMap<String, Fields> {
    config
        .services
        .iter()
        // Of several services with one name, the first is in force. In reverse order it comes last
        // and replaces the others in the map.
        .rev()
        .map(|service| (format!("service={}", service.name), service.fields()))
        .collect()
}

fn route_fields(config: &Config) -> BTreeMap<String, Fields> {
    let key = |route: &Route| {
        format!(
            "route={} path_prefix={}",
            route.authority, route.path_prefix
        )
    };
    config
        .routes
        .iter()
        .map(|route| (key(route), route.fields()))
        .collect()
}

/// Appends a line for each difference between two sets of items.
fn compare(
    lines: &mut Vec<String>,
    before: &BTreeMap<String, Fields>,
    after: &BTreeMap<String, Fields>,
) {
    for key in before.keys().filter(|key| !after.contains_key(*key)) {
        lines.push(format!("{key} change=removed"));
    }
    for (key, new_fields) in after {
        let Some(old_fields) = before.get(key) else {
            lines.push(format!("{key} change=added"));
            continue;
        };
        for (old, new) in old_fields.iter().zip(new_fields) {
            if old != new {
                lines.push(format!(
                    "{key} change=changed field={} from={} to={}",
                    old.0, old.1, new.1
                ));
            }
        }
    }
}
