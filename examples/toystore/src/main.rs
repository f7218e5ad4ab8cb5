//! A toy store of one group, a primary and two replicas, with discovery beside it: enough to see badgerstream
//! route. It keeps records in memory, replicas show them a little later, and nothing ever fails.

use badgerstream_protocol::comment::Statement;
use badgerstream_protocol::message::{self, put, put_error, put_status};
use badgerstream_protocol::{Close, Ring};
use lexopt::prelude::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const USAGE: &str = "\
toystore is a primary, two replicas and their discovery, on 127.0.0.1

usage: toystore [--port FIRST] [--discovery PORT] [--lag MS]

The nodes listen on FIRST and the next two ports (7001), discovery on 8500; replicas are 20 ms behind.";

/// Commits in their order: when (Unix time in milliseconds), key and value.
type Log = Arc<Mutex<Vec<(u64, String, Vec<u8>)>>>;

fn main() -> ExitCode {
    let done = arguments().map_err(|e| format!("{e}\n{USAGE}"));
    match done.and_then(|asked| asked.map_or(Ok(()), |(port, discovery, lag)| store(port, discovery, lag))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("toystore: {problem}");
            ExitCode::from(2)
        }
    }
}

fn arguments() -> Result<Option<(u16, u16, u64)>, lexopt::Error> {
    let (mut port, mut discovery, mut lag) = (7001, 8500, 20);
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("port") => port = arguments.value()?.parse()?,
            Long("discovery") => discovery = arguments.value()?.parse()?,
            Long("lag") => lag = arguments.value()?.parse()?,
            Short('h') | Long("help") => {
                println!("{USAGE}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some((port, discovery, lag)))
}

fn store(port: u16, discovery: u16, lag: u64) -> Result<(), String> {
    let log = Log::default();
    let mut hosts = Vec::new();
    for (place, (name, rank)) in
        [("s-one", "source"), ("s-two", "copy"), ("s-three", "copy")].iter().enumerate()
    {
        let dial = format!("127.0.0.1:{}", u32::from(port) + place as u32);
        hosts.push(format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"here","class":"toy","block":0,"health":"in_service","share":1.0,"born_ms":0,"rank":"{rank}"}}"#
        ));
        let (log, lag) = (log.clone(), if place == 0 { 0 } else { lag });
        let (name, primary) = (name.to_string(), place == 0);
        accept(&dial, move |stream| {
            let _ = node(stream, &name, primary, lag, &log);
        })?;
    }
    let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
    let door = accept(&format!("127.0.0.1:{discovery}"), move |stream| {
        let _ = tell(stream, &list);
    })?;
    println!("the store is up: nodes from 127.0.0.1:{port} on, discovery at 127.0.0.1:{discovery}");
    door.join().map_err(|_| "discovery has ended".to_string())
}

/// Each connection gets a thread of its own: a toy has few.
fn accept(
    address: &str, serve: impl Fn(TcpStream) + Clone + Send + 'static,
) -> Result<thread::JoinHandle<()>, String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    Ok(thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    }))
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Discovery: the list, and on a watch an empty line every two seconds, as nothing changes here.
fn tell(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let asked = lines.next().transpose()?.unwrap_or_default();
    while lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    if !asked.contains("stream=1") {
        let length = list.len();
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}");
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(stream, "1\r\n\n\r\n")?;
    }
}

/// A node's side of a connection.
fn node(mut stream: TcpStream, name: &str, primary: bool, lag: u64, log: &Log) -> Result<(), Close> {
    let _ = stream.set_nodelay(true);
    let (mut input, mut output) = (Ring::new(message::LONGEST), Ring::new(message::LONGEST));
    while input.len() < 4 {
        read(&mut stream, &mut input)?;
    }
    let length = input.take(4);
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize - 4;
    while input.len() < length {
        read(&mut stream, &mut input)?;
    }
    input.skip(length);
    put(&mut output, b'R', &[&[0; 4]]);
    put_status(&mut output, "server_version", "15.0");
    put(&mut output, b'Z', &[b"I"]);
    loop {
        stream.write_all(output.front()).map_err(|_| Close::Broken)?;
        output.skip(output.front().len());
        if !output.is_empty() {
            continue;
        }
        let (kind, body) = loop {
            match message::next(&mut input)? {
                Some(message) => break message,
                None => read(&mut stream, &mut input)?,
            }
        };
        if kind != b'Q' {
            return Err(Close::Left);
        }
        let texts = message::strings(&body)?;
        let position = now() - lag;
        answer(texts[0], name, primary, position, log, &mut output);
        put_status(&mut output, "rank", if primary { "source" } else { "copy" });
        put_status(&mut output, "as_of", &position.to_string());
        put_status(&mut output, "vitals", &vitals(primary, position));
        put(&mut output, b'Z', &[b"I"]);
    }
}

fn read(stream: &mut TcpStream, input: &mut Ring) -> Result<(), Close> {
    let count = stream.read(input.room()).map_err(|_| Close::Broken)?;
    input.filled(count);
    if count == 0 { Err(Close::Left) } else { Ok(()) }
}

fn vitals(primary: bool, position: u64) -> String {
    format!("x0={:.3},x1={}", position as f64 / 1e3, u8::from(primary))
}

fn answer(text: &str, name: &str, primary: bool, position: u64, log: &Log, output: &mut Ring) {
    match Statement::read(text) {
        Ok(s) if s.writes && !primary => put_error(output, "ERROR", "25006", "this is a replica", ""),
        Ok(s) => {
            println!("{name}: {text}");
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            if s.writes {
                log.push((now(), s.key.clone(), value(text)));
            }
            let (seen_to, done) = if s.writes { (now(), "INSERT 0 1") } else { (position, "SELECT 1") };
            let seen = log.iter().rev().find(|(at, key, _)| *at <= seen_to && *key == s.key);
            row(output, seen.map(|(_, _, value)| value.as_slice()), done);
        }
        Err(_) if text == "SELECT 1" => row(output, Some(b"1"), "SELECT 1"),
        Err(_) if text == "SHOW vitals" => row(output, Some(vitals(primary, position).as_bytes()), "SHOW"),
        Err((code, fault)) => put_error(output, "ERROR", code, fault, ""),
    }
}

/// The bytes that an INSERT writes in hex behind `\x`.
fn value(text: &str) -> Vec<u8> {
    let hex = text.split_once("'\\x").and_then(|(_, rest)| rest.split_once('\'')).map_or("", |(hex, _)| hex);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or("0"), 16).unwrap_or(0);
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// One column `v` of type bytea, in binary; no record comes as null.
fn row(output: &mut Ring, value: Option<&[u8]>, done: &str) {
    let described: [&[u8]; 6] = [&[0, 1], b"v\0", &[0; 6], &17u32.to_be_bytes(), &[255; 6], &[0, 1]];
    put(output, b'T', &described);
    let length = value.map_or(-1, |v| v.len() as i32);
    put(output, b'D', &[&[0, 1], &length.to_be_bytes(), value.unwrap_or_default()]);
    put(output, b'C', &[done.as_bytes(), &[0]]);
}
