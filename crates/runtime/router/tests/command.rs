//! The command line: output, stream and exit code of each sub-command, reload and shutdown.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use test_case::test_case;

fn run(arguments: &[&str], config: Option<&str>) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerstream"));
    command
        .args(arguments)
        .env_remove("RELAY_CONFIG")
        .env_remove("RELAY_LISTEN");
    let output = command
        .envs(config.map(|file| ("RELAY_CONFIG", file)))
        .output()
        .unwrap();
    let [said, problem] =
        [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
    (output.status.code(), said, problem)
}

/// Writes a copy of the example start file with one text replaced, and returns its path.
fn file(name: &str, from: &str, to: &str) -> String {
    let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../../examples/router.json");
    let text = std::fs::read_to_string(example).unwrap();
    assert!(text.contains(from));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
    path.to_str().unwrap().to_string()
}

#[test_case(&[], "a sub-command is missing"; "nothing")]
#[test_case(&["route"], "there is no such command: route"; "an unknown one")]
#[test_case(&["serve", "now"], "there is no such command: serve now"; "a word too many")]
#[test_case(&["check"], "check needs a file"; "a word too few")]
#[test_case(&["serve", "--fast"], "invalid option '--fast'"; "an unknown option")]
fn invalid_arguments_print_the_usage(arguments: &[&str], expected: &str) {
    let (code, said, problem) = run(arguments, None);
    assert_eq!((code, said.as_str()), (Some(2), ""));
    assert!(
        problem.contains(expected) && problem.contains("usage: badgerstream serve"),
        "{problem}"
    );
}

#[test_case(&["help"], "usage: badgerstream serve")]
#[test_case(&["--help"], "usage: badgerstream serve")]
#[test_case(&["serve", "--help"], "RELAY_CONFIG")]
#[test_case(&["check", "--help"], "usage: badgerstream check FILE")]
#[test_case(&["version"], concat!("badgerstream ", env!("CARGO_PKG_VERSION")))]
#[test_case(&["--version"], concat!("badgerstream ", env!("CARGO_PKG_VERSION")))]
fn help_and_version_are_printed(arguments: &[&str], expected: &str) {
    let (code, said, problem) = run(arguments, None);
    assert_eq!((code, problem.as_str()), (Some(0), ""));
    assert!(said.contains(expected), "{said}");
}

#[test_case("whole", "", "", None; "a valid file")]
#[test_case("cut", "{", "", Some("the file is not valid JSON"); "no json")]
#[test_case("deaf", "\"listen\"", "\"hear\"", Some("/listen is missing"); "a missing field")]
#[test_case("alone", "\"siblings\"", "\"cousins\"", Some("setting siblings is missing"); "a missing setting")]
#[test_case("quick", "\"dial_timeout_ms\": 250.0", "\"dial_timeout_ms\": 0", Some("dial_timeout_ms must be a time above 0 ms, found 0"); "a timeout of zero")]
#[test_case("ill", "in_service", "ill", Some("/known: a list of nodes has a missing or invalid field"); "an invalid list")]
fn a_file_is_checked(name: &str, from: &str, to: &str, expected: Option<&str>) {
    let file = file(name, from, to);
    let (code, _, problem) = run(&["check", &file], None);
    assert_eq!(code, Some(i32::from(expected.is_some())), "{problem}");
    assert!(problem.contains(expected.unwrap_or_default()));
    assert_eq!(
        problem.lines().count(),
        usize::from(expected.is_some()),
        "one line: {problem}"
    );
}

#[test]
fn a_start_without_a_file_reports_what_is_missing() {
    assert_eq!(
        run(&["serve"], None).2,
        "badgerstream: the variable RELAY_CONFIG is missing\n"
    );
    let (code, _, problem) = run(&["serve"], Some("/nowhere/at/all"));
    assert!(
        code == Some(1) && problem.starts_with("badgerstream: /nowhere/at/all: "),
        "{problem}"
    );
}

#[test]
fn an_address_in_use_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = file("taken", "127.0.0.1:6432", &address);
    let (code, _, problem) = run(&["serve"], Some(&file));
    assert!(
        code == Some(1) && problem.contains(&format!("listening on {address}: ")),
        "{problem}"
    );
}

/// The type of a program header that names the dynamic loader (System V ABI, program header, `PT_INTERP`).
const INTERPRETER: u32 = 3;

#[test]
fn the_program_is_a_dynamic_executable() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_badgerstream")).unwrap();
    let word = |at: usize| u16::from_le_bytes([program[at], program[at + 1]]) as usize;
    let long = |at: usize| u32::from_le_bytes(program[at..at + 4].try_into().unwrap());
    assert_eq!(&program[..6], b"\x7fELF\x02\x01", "64 bits, little endian");
    // Where the program headers begin, how long one is, and how many there are.
    let (begin, size, count) = (long(32) as usize, word(54), word(56));
    assert!((0..count).any(|header| long(begin + header * size) == INTERPRETER));
}

/// A router process that is killed when its test ends, even if the test fails.
struct Serving(std::process::Child);

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the address on which a process listens, from its descriptors and the kernel's table of TCP sockets (proc(5),
/// net/tcp). The router listens on port 0 and gets a free port from the kernel, because a port that the test found and
/// released could be taken by another process before the router uses it.
fn listening_address(process: u32) -> String {
    // Socket state TCP_LISTEN.
    const LISTENS: &str = "0A";
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let sockets: Vec<String> = descriptors
        .filter_map(|open| std::fs::read_link(open.unwrap().path()).ok())
        .map(|open| open.to_string_lossy().into_owned())
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let ports: Vec<u16> = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| {
            fields[3] == LISTENS && sockets.contains(&format!("socket:[{}]", fields[9]))
        })
        .map(|fields| u16::from_str_radix(fields[1].split_once(':').unwrap().1, 16).unwrap())
        .collect();
    assert_eq!(ports.len(), 1, "one listener: {ports:?}");
    format!("127.0.0.1:{}", ports[0])
}

/// Requirements of the platform: one process without child processes, no listening Unix socket, and no `io_uring`. The
/// router's settings file is optional, and defaults start nothing else.
#[test]
fn it_serves_as_one_process_without_a_settings_file() {
    let path = file("alone-and-plain", "127.0.0.1:6432", "127.0.0.1:0");
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerstream"));
    command
        .arg("serve")
        .env("RELAY_CONFIG", &path)
        .env_remove("RELAY_LISTEN");
    let mut serving = Serving(
        command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let router = &mut serving.0;
    let mut lines = BufReader::new(router.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let first = lines.next().unwrap_or_default();
    assert!(first.contains("serves on"), "{first}");
    let address = listening_address(router.id());
    // Once it answers a client, all of its tasks have started, including the signal handlers.
    let mut client = TcpStream::connect(&address).unwrap();
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    client
        .write_all(&(body.len() as u32 + 4).to_be_bytes())
        .unwrap();
    client.write_all(body).unwrap();
    client.read_exact(&mut [0]).unwrap();
    drop(client);
    let own = PathBuf::from(format!("/proc/{}", router.id()));
    for thread in std::fs::read_dir(own.join("task")).unwrap() {
        let children = std::fs::read_to_string(thread.unwrap().path().join("children")).unwrap();
        assert_eq!(children.trim(), "", "it has started a child process");
    }
    let unix = std::fs::read_to_string("/proc/net/unix").unwrap();
    // A listening socket has the flag __SO_ACCEPTCON (proc(5), net/unix); the socket pair that wakes the signal task
    // does not.
    let listens = |line: &&str| line.split_whitespace().nth(3) == Some("00010000");
    let listening = unix.lines().filter(listens);
    let inodes: Vec<&str> = listening
        .filter_map(|line| line.split_whitespace().nth(6))
        .collect();
    for open in std::fs::read_dir(own.join("fd")).unwrap() {
        // Skip descriptors that were closed meanwhile.
        let Ok(open) = std::fs::read_link(open.unwrap().path()) else {
            continue;
        };
        let open = open.to_string_lossy().into_owned();
        let inode = open
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        assert!(
            !inode.is_some_and(|inode| inodes.contains(&inode)),
            "a listening Unix socket"
        );
        assert!(!open.contains("io_uring"), "{open}");
    }
    assert!(
        Command::new("kill")
            .args(["-TERM", &router.id().to_string()])
            .status()
            .unwrap()
            .success()
    );
    assert!(router.wait().unwrap().success());
}

/// The start file becomes invalid and valid again, with a SIGHUP each time: the router keeps serving, logs the result
/// in one line, and shuts down in order at SIGTERM.
#[test]
fn a_reload_never_ends_the_router() {
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .to_string()
    };
    let moved = free();
    let path = file("reloaded", "127.0.0.1:6432", "127.0.0.1:0");
    let good = std::fs::read_to_string(&path).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerstream"));
    command
        .arg("serve")
        .env("RELAY_CONFIG", &path)
        .env("RELAY_DISCOVERY", free())
        .stderr(Stdio::piped());
    let mut router = command.spawn().unwrap();
    let mut lines = BufReader::new(router.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut until = |text: &str| {
        let line = lines
            .find(|line| !line.contains("the watch has ended"))
            .unwrap_or_default();
        assert!(line.contains(text), "{text}: {line}");
    };
    let send = |signal: &str| {
        let id = router.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &id])
                .status()
                .unwrap()
                .success()
        );
    };
    until("serves on");
    let address = listening_address(router.id());
    let changed = good
        .replace("127.0.0.1:8500", &moved)
        .replace("\"siblings\": 1", "\"siblings\": 2");
    for (text, expected) in [
        ("", "the file was not taken"),
        (&good[..good.len() / 2], "the file was not taken"),
        (
            &good.replace("siblings", "cousins"),
            "the file was not taken",
        ),
        (
            &good,
            "the file was read again, discovery is at 127.0.0.1:8500",
        ),
        (
            &changed,
            &format!("the file was read again, discovery is at {moved}"),
        ),
    ] {
        std::fs::write(&path, text).unwrap();
        send("-HUP");
        until(expected);
        TcpStream::connect(&address).unwrap();
    }
    until("settings has changed in the file: that needs a restart");
    std::fs::remove_file(&path).unwrap();
    send("-HUP");
    until("the file was not taken");
    send("-TERM");
    until("asked to end");
    assert!(router.wait().unwrap().success());
}
