//! The operators' commands against scripted control machines: threads that listen on loopback.

use crate::cli::{self, CliError, Client, Command};
use badgerstream_control_api::response;
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, Status};
use badgerstream_http_codec::{Request, RequestDecoder, encode_response};
use clap::Parser;
use nanoserde::{DeJson, SerJson};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

const CONFIG: &str = r#"{"epoch":7,"routes":[{"name":"r1","authority":"catalog","path_prefix":"/","mode":"leader",
"deadline_ms":1000,"backend":"catalog-pg"}],"backends":[{"name":"catalog-pg","sync_replicas":1}],"limits":{}}"#;

/// A control machine that sends these answers in order, one for each connection, and records the
/// requests.
struct ScriptedMachine {
    address: SocketAddr,
    thread: JoinHandle<Vec<Request>>,
}

impl ScriptedMachine {
    fn new(answers: Vec<Vec<u8>>) -> ScriptedMachine {
        ScriptedMachine::on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), answers)
    }

    fn on(address: SocketAddr, answers: Vec<Vec<u8>>) -> ScriptedMachine {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let answer_in_order = move || {
            let mut requests = Vec::new();
            for answer in answers {
                let (mut stream, _) = listener.accept().unwrap();
                let mut decoder = RequestDecoder::new(1 << 20);
                let mut bytes = [0; 4096];
                let request = loop {
                    if let Some(request) = decoder.next_request().unwrap() {
                        break request;
                    }
                    let count = stream.read(&mut bytes).unwrap();
                    assert!(count > 0, "the connection was closed within a request");
                    decoder.feed(&bytes[..count]);
                };
                requests.push(request);
                stream.write_all(&answer).unwrap();
            }
            requests
        };
        ScriptedMachine {
            address,
            thread: std::thread::spawn(answer_in_order),
        }
    }

    fn requests(self) -> Vec<Request> {
        self.thread.join().unwrap()
    }
}

/// Returns an address on which no process listens: no other test uses such a low port.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 1))
}

/// A file that is removed when the test ends.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!(
            "badgerstream-pooler-cli-{}-{name}",
            std::process::id()
        ));
        std::fs::write(&path, text).unwrap();
        TempFile(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[derive(Parser)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

fn parse(words: &[&str]) -> Result<Command, clap::Error> {
    CommandLine::try_parse_from([&["badgerstream-pooler"], words].concat()).map(|line| line.command)
}

/// Runs a command and returns its output and the text of its error.
fn run(words: &[&str]) -> (String, Option<String>) {
    let mut out = Vec::new();
    let result = cli::run(parse(words).unwrap(), &mut out);
    let error = result.err().map(|e| e.to_string());
    assert!(
        error.as_ref().is_none_or(|e| !e.contains('\n')),
        "the error has more than one line: {error:?}"
    );
    (String::from_utf8(out).unwrap(), error)
}

fn ok(body: &str) -> Vec<u8> {
    encode_response(200, &[], body.as_bytes(), false)
}

fn reply(status: u16, body: &str) -> Vec<u8> {
    encode_response(status, &[], body.as_bytes(), false)
}

fn redirect(to: &str) -> Vec<u8> {
    encode_response(307, &[("Location", to)], b"", false)
}

fn status() -> Status {
    let member = |id: &str, zone: &str, draining| MemberStatus {
        id: id.to_owned(),
        service: "catalog-pg".to_owned(),
        endpoint: "10.128.0.9:8080".to_owned(),
        zone: zone.to_owned(),
        slots: 4,
        draining,
    };
    Status {
        node: "core-lima-a-1".to_owned(),
        leads: true,
        out_of_contact: false,
        out_of_contact_s: 0.0,
        disk_failed: false,
        no_voter: false,
        leader: Some("127.0.0.1".to_owned()),
        voters: vec!["127.0.0.1".to_owned(), "127.0.0.2".to_owned()],
        epoch: 7,
        routers: 9,
        lease_s: 1.0,
        primaries: vec![PrimaryStatus {
            service: "catalog-pg".to_owned(),
            phase: "steady".to_owned(),
            id: "db-1".to_owned(),
            term: 3,
            in_use: true,
        }],
        members: vec![
            member("db-2", "lima-b", true),
            member("db-1", "lima-a", false),
        ],
    }
}

#[test]
fn invalid_usage_exits_with_code_2() {
    for words in [
        &["members", "--at", "nowhere"][..],
        &["config"],
        &["frobnicate"],
        &["check"],
    ] {
        assert_eq!(
            parse(words).err().map(|e| e.exit_code()),
            Some(2),
            "{words:?}"
        );
    }
    let Ok(Command::Status(arguments)) = parse(&[
        "status",
        "--at",
        "10.0.0.1:80,10.0.0.2:80",
        "--at",
        "10.0.0.3:80",
    ]) else {
        panic!("not the status command")
    };
    assert_eq!(arguments.addresses.len(), 3);
}

#[test]
fn settings_check_reports_line_and_field() {
    let without_state_dir =
        "node_name=core-1\nrole=control\nip=10.1.0.8\nzone=a\nbind_addrs.control=10.1.0.8:8782\n";
    let file = TempFile::new("no-state-dir", without_state_dir);
    let (out, error) = run(&["check", file.name(), "--json"]);
    let expected = "\"valid\":false,\"line\":null,\"field\":\"state_dir\",\"error\":\"field state_dir: missing\"}\n";
    assert!(out.ends_with(expected), "{out}");
    assert!(error.unwrap().ends_with("field state_dir: missing"));

    let file = TempFile::new(
        "valid",
        &format!("{without_state_dir}state_dir=/var/lib/badgerstream-pooler\n"),
    );
    let (out, error) = run(&["check", file.name()]);
    assert_eq!(
        (out, error),
        (
            format!("{}: valid: core-1, control at 10.1.0.8:8782\n", file.name()),
            None
        )
    );

    let file = TempFile::new(
        "wrong",
        &without_state_dir.replace("zone=a", "zone=a\nport_range=9,3"),
    );
    let (out, error) = run(&["check", file.name()]);
    assert_eq!(out, "");
    assert!(
        error
            .unwrap()
            .contains("line 5: field port_range: \"9,3\" is not a port range")
    );

    let (_, error) = run(&["check", "/nowhere/boot.conf"]);
    assert!(error.unwrap().starts_with("/nowhere/boot.conf: "));
}

#[test]
fn config_check_reports_fields_without_effect() {
    let text = CONFIG.replace(r#""mode""#, r#""split":[{"weight":1}],"mode""#);
    let file = TempFile::new("without-effect", &text);
    let (out, error) = run(&["config", "check", file.name()]);
    let name = file.name();
    let note = format!("{name}: note: routes[].split is stored but has no effect\n");
    assert_eq!(
        (out, error),
        (
            format!("{name}: valid: version 7, 1 routes, 1 services\n{note}"),
            None
        )
    );
    let (out, _) = run(&["config", "check", "--json", name]);
    assert!(
        out.contains(r#""without_effect":["routes[].split"]"#),
        "{out}"
    );
}

#[test]
fn config_check_reports_position_of_error() {
    let file = TempFile::new("config", CONFIG);
    let (out, error) = run(&["config", "check", file.name()]);
    assert_eq!(
        (out, error),
        (
            format!("{}: valid: version 7, 1 routes, 1 services\n", file.name()),
            None
        )
    );

    let file = TempFile::new("cut", &CONFIG[..CONFIG.len() - 2]);
    let (out, error) = run(&["config", "check", file.name(), "--json"]);
    assert!(error.unwrap().contains("line 2, column "));
    assert!(out.contains("\"valid\":false"), "{out}");

    let file = TempFile::new(
        "no-service",
        &CONFIG.replace("\"backend\":\"catalog-pg\"", "\"backend\":\"x\""),
    );
    let (_, error) = run(&["config", "check", file.name()]);
    assert!(
        error
            .unwrap()
            .ends_with("routes[0] (r1): backend \"x\" is unknown")
    );
}

/// Operators' scripts read this JSON, so no byte of it may change.
#[test]
fn json_output_is_stable() {
    let printed = |word: &str| {
        let machine = ScriptedMachine::new(vec![ok(&status().serialize_json())]);
        let (out, error) = run(&[word, "--json", "--at", &machine.address.to_string()]);
        assert_eq!(error, None);
        out
    };
    assert_eq!(printed("status"), include_str!("fixtures/status.json"));
    assert_eq!(printed("members"), include_str!("fixtures/members.json"));
    assert_eq!(
        printed("primaries"),
        include_str!("fixtures/primaries.json")
    );
}

/// The status reports that the answering machine is out of contact and for how long, that its disk
/// has failed, and that it is not a voter.
#[test]
fn status_reports_faults_of_the_answering_machine() {
    let cut_off = Status {
        leads: false,
        out_of_contact: true,
        out_of_contact_s: 12.34,
        disk_failed: true,
        no_voter: true,
        ..status()
    };
    let machine = ScriptedMachine::new(vec![
        ok(&cut_off.serialize_json()),
        ok(&cut_off.serialize_json()),
    ]);
    let (out, error) = run(&["status", "--at", &machine.address.to_string()]);
    assert_eq!(error, None);
    let notes = "core-lima-a-1 has been out of contact with a majority of control machines for 12.3 s: its data may be out of date\n\
                 core-lima-a-1 can't write to its disk: it takes no part in decisions until its disk accepts writes again\n\
                 core-lima-a-1 is not a voter\n";
    assert!(out.ends_with(notes), "{out}");
}

#[test]
fn config_get_prints_the_text_as_sent() {
    let machine = ScriptedMachine::new(vec![ok(CONFIG)]);
    let (out, error) = run(&["config", "get", "--at", &machine.address.to_string()]);
    assert_eq!((out, error), (format!("{CONFIG}\n"), None));
    let requests = machine.requests();
    assert_eq!(
        (requests[0].method.as_str(), requests[0].path.as_str()),
        ("GET", "/api/Config.Read")
    );

    let machine = ScriptedMachine::new(vec![reply(404, "there is no configuration yet\n")]);
    let (out, error) = run(&["config", "get", "--at", &machine.address.to_string()]);
    assert_eq!(
        (out.as_str(), error.as_deref()),
        ("", Some("there is no configuration yet"))
    );
}

#[test]
fn next_address_is_called_when_one_fails() {
    let leaderless = ScriptedMachine::new(vec![reply(503, "no machine leads\n")]);
    let silent = ScriptedMachine::new(vec![Vec::new()]);
    let healthy = ScriptedMachine::new(vec![ok(CONFIG)]);
    let address = format!(
        "{},{},{},{}",
        unused_address(),
        leaderless.address,
        silent.address,
        healthy.address
    );
    let (out, error) = run(&["config", "get", "--at", &address]);
    assert_eq!((out, error), (format!("{CONFIG}\n"), None));

    let leaderless = ScriptedMachine::new(vec![reply(503, "no machine leads\n")]);
    let (first, second) = (unused_address(), leaderless.address);
    let (_, error) = run(&["config", "get", "--at", &format!("{first},{second}")]);
    let expected = format!(
        "the call failed at every address: {first}: connection refused; {second}: status 503: no machine leads"
    );
    assert_eq!(error, Some(expected));
}

#[test]
fn silent_machine_times_out() {
    // The listener's backlog accepts the connection, but no answer is ever sent.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let healthy = ScriptedMachine::new(vec![ok(CONFIG)]);
    let address = [silent.local_addr().unwrap(), healthy.address];
    let found = Client::with_timeout(&address, Duration::from_millis(40))
        .config()
        .unwrap();
    assert_eq!(found.map(|current| current.config.epoch), Some(7));
    let none = Client::with_timeout(&address[..1], Duration::from_millis(40)).config();
    assert!(
        matches!(none, Err(CliError::NoAnswer(attempts)) if attempts.to_string().contains("no answer within 0.04 s"))
    );
}

#[test]
fn redirects_are_followed_twice() {
    let last = ScriptedMachine::new(vec![ok("")]);
    let second = ScriptedMachine::new(vec![redirect(&format!(
        "http://{}/api/Config.Replace",
        last.address
    ))]);
    let first = ScriptedMachine::new(vec![redirect(&format!(
        "http://{}/api/Config.Replace",
        second.address
    ))]);
    let file = TempFile::new("sent-on", CONFIG);
    let (out, error) = run(&[
        "config",
        "put",
        file.name(),
        "--base",
        "5",
        "--at",
        &first.address.to_string(),
    ]);
    assert_eq!(
        (out.as_str(), error),
        ("version 7 is now in force; it replaces version 5\n", None)
    );
    let requests = last.requests();
    assert_eq!(
        (
            requests[0].method.as_str(),
            requests[0].header("X-Base-Version")
        ),
        ("POST", Some("5"))
    );
    assert_eq!(requests[0].body, CONFIG.as_bytes());

    let redirecting = ScriptedMachine::new(vec![redirect("/a"), redirect("/b"), redirect("/c")]);
    let (_, error) = run(&["config", "get", "--at", &redirecting.address.to_string()]);
    assert_eq!(
        error,
        Some(format!(
            "the call failed at every address: {}: redirected more than 2 times",
            redirecting.address
        ))
    );
    assert_eq!(redirecting.requests()[2].path, "/b");
}

#[test]
fn config_put_reads_its_base_first() {
    let machine = ScriptedMachine::new(vec![ok(&CONFIG.replace(":7", ":4")), ok("")]);
    let file = TempFile::new("put", CONFIG);
    let (out, error) = run(&[
        "config",
        "put",
        file.name(),
        "--json",
        "--at",
        &machine.address.to_string(),
    ]);
    assert_eq!(
        (out.as_str(), error),
        ("{\"epoch\":7,\"base\":4,\"was_in_force\":false}\n", None)
    );
    assert_eq!(machine.requests()[1].header("X-Base-Version"), Some("4"));

    let machine = ScriptedMachine::new(vec![reply(404, ""), ok("")]);
    let (out, _) = run(&[
        "config",
        "put",
        file.name(),
        "--at",
        &machine.address.to_string(),
    ]);
    assert_eq!(out, "version 7 is now in force; it replaces version 0\n");

    let machine = ScriptedMachine::new(vec![ok(CONFIG)]);
    let (out, _) = run(&[
        "config",
        "put",
        file.name(),
        "--at",
        &machine.address.to_string(),
    ]);
    assert_eq!(out, "version 7 is already in force\n");
}

#[test]
fn config_put_reports_its_outcome() {
    let file = TempFile::new("put-ends", CONFIG);
    let put = |machine: &ScriptedMachine| {
        run(&[
            "config",
            "put",
            file.name(),
            "--base",
            "4",
            "--at",
            &machine.address.to_string(),
        ])
    };
    let conflicting = ScriptedMachine::new(vec![reply(412, "version 6 is in place\n")]);
    assert_eq!(
        put(&conflicting).1,
        Some(format!(
            "{} rejected the call with status 412: version 6 is in place",
            conflicting.address
        ))
    );
    let invalid = ScriptedMachine::new(vec![reply(400, "{\"error\":\"epoch is not above 7\"}")]);
    assert_eq!(
        put(&invalid).1,
        Some(format!(
            "{} rejected the call with status 400: epoch is not above 7",
            invalid.address
        ))
    );
    let unanswered = ScriptedMachine::new(vec![Vec::new()]);
    let error = put(&unanswered).1.unwrap();
    assert!(
        error.contains("isn't known") && error.contains("--base 4"),
        "{error}"
    );

    let (_, error) = run(&[
        "config",
        "put",
        file.name(),
        "--base",
        "4",
        "--at",
        &unused_address().to_string(),
    ]);
    assert_eq!(
        error,
        Some(format!(
            "the call failed at every address: {}: connection refused",
            unused_address()
        ))
    );

    // An invalid file is rejected before any call.
    let file = TempFile::new("put-wrong", &CONFIG.replace("\"leader\"", "\"lead\""));
    let (_, error) = run(&[
        "config",
        "put",
        file.name(),
        "--at",
        &unused_address().to_string(),
    ]);
    assert!(error.unwrap().ends_with("mode \"lead\" is unknown"));
}

#[test]
fn config_diff_lists_each_change() {
    let file = TempFile::new("diff", &CONFIG.replace(":7", ":8").replace("1000", "1500"));
    let machine = ScriptedMachine::new(vec![ok(CONFIG)]);
    let (out, _) = run(&[
        "config",
        "diff",
        file.name(),
        "--at",
        &machine.address.to_string(),
    ]);
    assert_eq!(
        out,
        "part=whole change=changed field=epoch from=7 to=8\n\
         route=catalog path_prefix=/ change=changed field=deadline_ms from=1000 to=1500\n\
         route=catalog path_prefix=/ change=changed field=target_ms from=1000 to=1500\n"
    );
    let same = TempFile::new("same", CONFIG);
    let machine = ScriptedMachine::new(vec![ok(CONFIG)]);
    let (out, _) = run(&[
        "config",
        "diff",
        same.name(),
        "--at",
        &machine.address.to_string(),
    ]);
    assert_eq!(out, "no difference from version 7\n");
    let machine = ScriptedMachine::new(vec![reply(404, "")]);
    let (out, _) = run(&[
        "config",
        "diff",
        same.name(),
        "--json",
        "--at",
        &machine.address.to_string(),
    ]);
    assert!(out.contains("service=catalog-pg change=added"), "{out}");
}

#[test]
fn status_members_and_primaries_are_printed_as_tables() {
    let machine = || {
        ScriptedMachine::new(vec![response::encode_response(
            &response::ApiResponse::Success(status()),
            "/api/System.Status",
            false,
        )])
    };
    let printed = |word: &str| run(&[word, "--at", &machine().address.to_string()]).0;
    assert_eq!(
        printed("status"),
        "answered by    core-lima-a-1\n\
         leader         127.0.0.1\n\
         voters         127.0.0.1, 127.0.0.2\n\
         configuration  version 7\n\
         routers        9\n\
         lease          1 s\n\
         servers        2, of which 1 draining\n\
         \n\
         SERVICE     PRIMARY  TERM  ENDPOINT         ZONE    STATE\n\
         catalog-pg  db-1     3     10.128.0.9:8080  lima-a  in service\n"
    );
    assert_eq!(
        printed("members"),
        "SERVICE     SERVER  ENDPOINT         ZONE    SLOTS  ROLE     STATE\n\
         catalog-pg  db-1    10.128.0.9:8080  lima-a  4      primary  ready\n\
         catalog-pg  db-2    10.128.0.9:8080  lima-b  4      replica  draining\n"
    );
    let (out, _) = run(&[
        "primaries",
        "--json",
        "--at",
        &machine().address.to_string(),
    ]);
    assert_eq!(
        Vec::<PrimaryStatus>::deserialize_json(&out).unwrap(),
        status().primaries
    );
    let (out, _) = run(&["status", "--json", "--at", &machine().address.to_string()]);
    assert_eq!(Status::parse(out.as_bytes()).unwrap(), status());
}

#[test]
fn status_is_read_from_the_leader() {
    let mut follower_status = status();
    follower_status.leads = false;
    follower_status.primaries.clear();
    follower_status.leader = Some("127.0.0.2".to_owned());
    let follower_text = follower_status.serialize_json();
    let machine = ScriptedMachine::new(vec![ok(&follower_text)]);
    let leader = ScriptedMachine::on(
        SocketAddr::new(IpAddr::from([127, 0, 0, 2]), machine.address.port()),
        vec![ok(&status().serialize_json())],
    );
    let (out, _) = run(&["primaries", "--at", &machine.address.to_string()]);
    assert!(out.contains("db-1"), "{out}");
    drop(leader.requests());

    // If the leader can't be reached, the status of the follower is printed with a note.
    let machine = ScriptedMachine::new(vec![ok(&follower_text)]);
    let (out, error) = run(&["primaries", "--at", &machine.address.to_string()]);
    assert_eq!(
        out,
        "core-lima-a-1 answered and is not the leader: it doesn't know primaries and routers\n"
    );
    assert_eq!(error, None);
}

#[test]
fn control_characters_are_not_printed() {
    let mut follower_status = status();
    follower_status.members[0].id = "x\u{1b}[2J\n\"y\\".to_owned();
    let machine = ScriptedMachine::new(vec![ok(&follower_status.serialize_json())]);
    let (out, _) = run(&["members", "--at", &machine.address.to_string()]);
    assert!(
        out.contains("x?[2J?\"y\\") && out.lines().count() == 3,
        "{out}"
    );
    assert_eq!(
        Status::parse(follower_status.serialize_json().as_bytes()).unwrap(),
        follower_status
    );
}

#[test]
fn status_with_unknown_fields_is_read() {
    let found = Status::parse(br#"{"node":"n","leads":true,"epoch":1,"newer":[{"x":1}]}"#).unwrap();
    assert_eq!(
        (found.node.as_str(), found.epoch, found.leader),
        ("n", 1, None)
    );
}
