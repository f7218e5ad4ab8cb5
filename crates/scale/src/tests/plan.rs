//! The deployment that is played.

use crate::plan::{CONTROLS, HEARTBEAT_MS, Net, Plan, PlanError};
use crate::routers::epoch;
use badgerstream_calls::config::Config;
use badgerstream_calls::settings::Settings;
use std::collections::HashSet;
use std::path::Path;

fn plan(routers: usize, services: usize) -> Plan {
    Plan::new(Net([127, 9]), routers, services, vec!["badgerstream.lease_ms=1500".to_owned()]).unwrap()
}

#[test]
fn only_loopback_is_played_on() {
    assert_eq!("127.2".parse(), Ok(Net([127, 2])));
    for text in ["10.2", "127", "127.300", "127.2.1", "127."] {
        assert_eq!(text.parse::<Net>(), Err(PlanError::Net(text.to_owned())), "{text}");
    }
}

#[test]
fn counts_have_bounds() {
    let net = Net([127, 9]);
    assert!(matches!(Plan::new(net, 0, 1, Vec::new()), Err(PlanError::Count("routers", _))));
    assert!(matches!(Plan::new(net, 1, 0, Vec::new()), Err(PlanError::Count("services", _))));
    assert!(matches!(Plan::new(net, 1, 2001, Vec::new()), Err(PlanError::Count("services", _))));
}

/// At the largest size, too, no two servers share an id or an address, and each service has one primary.
#[test]
fn servers_are_told_apart() {
    let servers = plan(1, 2000).servers();
    let ids: HashSet<&str> = servers.iter().map(|s| s.id.as_str()).collect();
    let places: HashSet<_> = servers.iter().map(|s| s.endpoint).collect();
    assert_eq!((ids.len(), places.len()), (6000, 6000));
    assert_eq!(servers.iter().filter(|s| s.leads).count(), 2000);
    assert!(places.iter().all(|p| p.ip().is_loopback()));
}

/// Control takes the configurations, and hollow routers find their epochs.
#[test]
fn configurations_are_valid() {
    let body = plan(1, 30).configuration(17);
    let read = Config::read(body.as_bytes()).unwrap();
    assert_eq!((read.epoch, read.routes.len(), read.services.len()), (17, 90, 30));
    assert_eq!(epoch(body.as_bytes()), Some(17));
    assert_ne!(body.replace("\"epoch\":17", "\"epoch\":18"), plan(1, 30).configuration(18));
}

#[test]
fn an_epoch_is_read_only_where_it_stands_first() {
    for body in ["", "{}", "{\"epoch\":", "{\"epoch\":x}", "{\"limits\":{},\"epoch\":3}"] {
        assert_eq!(epoch(body.as_bytes()), None, "{body}");
    }
}

/// The settings are read as control reads them, own lines included.
#[test]
fn settings_are_valid() {
    for n in 0..CONTROLS {
        let settings = Settings::read(&plan(1, 1).settings(n, Path::new("/nowhere/state"))).unwrap();
        assert!(settings.bootstrap && settings.voting && settings.front.is_none());
        assert_eq!(settings.control, Some(plan(1, 1).controls()[n]));
        assert_eq!((settings.seeds.len(), settings.heartbeat_ms), (CONTROLS, HEARTBEAT_MS));
        assert_eq!(settings.own.lease_ms, 1500);
    }
}
