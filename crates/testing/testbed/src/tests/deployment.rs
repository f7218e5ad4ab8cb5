//! Checks that the system's parsers accept the settings and configurations of a deployment.

use crate::deployment::{Deployment, DeploymentError, LoopbackNet};
use badgerstream_pooler_config::config::{Config, Mode};
use badgerstream_pooler_config::settings::Settings;

fn net() -> LoopbackNet {
    "127.9.8".parse().unwrap()
}

#[test]
fn config_json_is_valid_and_names_all_services() {
    let deployment = Deployment::new(net(), 2, 2).unwrap();
    let config = Config::parse(deployment.config_json(3).as_bytes()).unwrap();
    assert_eq!(
        (config.epoch, config.routes.len(), config.services.len()),
        (3, 6, 2)
    );
    assert!(
        deployment
            .database_names()
            .iter()
            .all(|name| config.route(name).is_some())
    );
    let own = config.route("own2").unwrap();
    assert_eq!(
        (own.mode, own.service.as_str(), own.staleness_ms),
        (Mode::InHouse, "db2", Some(2500))
    );
    let named: Vec<String> = deployment.services().into_iter().map(|s| s.name).collect();
    assert_eq!(named, ["db1", "db2"]);
}

#[test]
fn settings_files_are_valid_and_agree() {
    let mut deployment = Deployment::new(net(), 1, 2).unwrap();
    deployment
        .extra_settings
        .push("badgerstream.lease_ms=500".to_owned());
    let folder =
        std::env::temp_dir().join(format!("badgerstream-testbed-plan-{}", std::process::id()));
    let written = deployment.write_settings(&folder, true).unwrap();
    let read =
        |at: usize| Settings::parse(&std::fs::read_to_string(&written[at].path).unwrap()).unwrap();
    let all: Vec<Settings> = (0..written.len()).map(read).collect();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(all.len(), 5);
    assert!(all.iter().all(|s| s.seeds == deployment.control_addresses()
        && s.tuning.lease_ms == 500
        && s.bootstrap));
    assert!(
        all.iter()
            .all(|s| s.provider.as_ref().unwrap().endpoint == deployment.platform_address())
    );
    assert_eq!(
        all.iter()
            .filter_map(|s| s.control_address)
            .collect::<Vec<_>>(),
        deployment.control_addresses()
    );
    assert_eq!(
        all.iter()
            .filter_map(|s| s.front_address)
            .collect::<Vec<_>>(),
        deployment.router_addresses()
    );
    assert!(
        all.iter()
            .all(|s| s.state_dir.is_some() == s.control_address.is_some())
    );
}

#[test]
fn deployment_rejects_other_networks_and_excessive_counts() {
    assert_eq!(
        "10.1.0".parse::<LoopbackNet>(),
        Err(DeploymentError::LoopbackNet("10.1.0".to_owned()))
    );
    assert_eq!(
        "127.1.x".parse::<LoopbackNet>(),
        Err(DeploymentError::LoopbackNet("127.1.x".to_owned()))
    );
    assert_eq!(
        "127.1.0.1".parse::<LoopbackNet>(),
        Err(DeploymentError::LoopbackNet("127.1.0.1".to_owned()))
    );
    assert_eq!(
        Deployment::new(net(), 0, 1).unwrap_err(),
        DeploymentError::Count {
            of: "services",
            max: 10
        }
    );
    assert_eq!(
        Deployment::new(net(), 1, 61).unwrap_err(),
        DeploymentError::Count {
            of: "routers",
            max: 60
        }
    );
}
