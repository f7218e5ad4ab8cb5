//! What a relay does to the bytes of one link, and to nobody else's.

use crate::Ground;
use crate::relay::Relays;
use crate::script::{Ends, Fault, Way};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// So long that only what never comes is missed.
const NEVER: Duration = Duration::from_secs(20);
/// What is held back is not there within this; more would show nothing else.
const MOMENT: Duration = Duration::from_millis(200);
const NAME: (Ends, usize, usize) = (Ends::Nodes, 0, 0);

/// Says back whatever it is sent, and who it came from at first.
fn echo() -> SocketAddr {
    let door = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = door.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in door.incoming().flatten() {
            thread::spawn(move || {
                let mut room = [0; 256];
                while let Ok(count) = stream.read(&mut room) {
                    if count == 0 || stream.write_all(&room[..count]).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

fn linked() -> (Relays, SocketAddr, SocketAddr) {
    let (relays, to) = (Relays::start(Ground::new().relays()), echo());
    let one = relays
        .link(NAME, to, Some(Ground::new().caller(0)))
        .unwrap();
    let other = relays.link((Ends::Nodes, 1, 0), to, None).unwrap();
    (relays, one, other)
}

fn call(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(NEVER)).unwrap();
    stream
}

/// What comes back for these bytes: so many of them, or why none.
fn said(stream: &mut TcpStream, bytes: &[u8], wait: Duration) -> Result<usize, ErrorKind> {
    stream.set_read_timeout(Some(wait)).unwrap();
    stream.write_all(bytes).map_err(|e| e.kind())?;
    let mut room = [0; 256];
    loop {
        match stream.read(&mut room) {
            // A read with a time-out is interrupted by signals to the process, and isn't restarted by the system (signal(7)).
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            outcome => return outcome.map_err(|error| error.kind()),
        }
    }
}

#[test]
fn a_link_without_a_fault_carries_all() {
    let (_relays, one, _) = linked();
    let mut stream = call(one);
    for size in [1, 17, 200] {
        assert_eq!(said(&mut stream, &vec![b'x'; size], NEVER), Ok(size));
    }
}

#[test]
fn what_is_held_goes_on_and_nothing_of_it_is_lost() {
    let (relays, one, other) = linked();
    let mut stream = call(one);
    assert_eq!(said(&mut stream, b"a", NEVER), Ok(1));
    relays.set(vec![NAME], Way::Back, Some(Fault::Stall));
    assert_eq!(
        said(&mut stream, b"held", MOMENT),
        Err(ErrorKind::WouldBlock)
    );
    assert_eq!(
        said(&mut call(other), b"b", NEVER),
        Ok(1),
        "another link is none of it"
    );
    relays.set(vec![NAME], Way::Back, None);
    assert_eq!(said(&mut stream, b"", NEVER), Ok(4));
}

#[test]
fn what_lost_bytes_stays_silent_and_is_reset_once_healed() {
    let (relays, one, _) = linked();
    let (mut lossy, mut idle) = (call(one), call(one));
    assert_eq!(
        (said(&mut lossy, b"a", NEVER), said(&mut idle, b"a", NEVER)),
        (Ok(1), Ok(1))
    );
    relays.set(vec![NAME], Way::There, Some(Fault::Drop));
    assert_eq!(
        said(&mut lossy, b"lost", MOMENT),
        Err(ErrorKind::WouldBlock)
    );
    let mut new = call(one);
    assert_eq!(
        said(&mut new, b"never", MOMENT),
        Err(ErrorKind::WouldBlock),
        "a new one does not come up"
    );
    relays.set(vec![NAME], Way::Both, None);
    assert!(matches!(
        said(&mut lossy, b"", NEVER),
        Ok(0) | Err(ErrorKind::ConnectionReset)
    ));
    assert!(matches!(
        said(&mut new, b"", NEVER),
        Ok(0) | Err(ErrorKind::ConnectionReset)
    ));
    assert_eq!(
        said(&mut idle, b"on", NEVER),
        Ok(2),
        "what lost nothing goes on"
    );
}

#[test]
fn refused_then_let_in() {
    let (relays, one, _) = linked();
    let mut old = call(one);
    assert_eq!(said(&mut old, b"a", NEVER), Ok(1));
    relays.set(vec![NAME], Way::Both, Some(Fault::Refuse));
    let refused = || TcpStream::connect(one).is_err();
    let until = |what: &dyn Fn() -> bool| {
        (0..1000).any(|_| {
            what() || {
                thread::sleep(MOMENT / 20);
                false
            }
        })
    };
    assert!(until(&refused));
    assert_eq!(said(&mut old, b"b", NEVER), Ok(1), "open ones go on");
    relays.set(vec![NAME], Way::Both, None);
    assert!(until(&|| !refused()), "the door is open again");
    assert_eq!(said(&mut call(one), b"c", NEVER), Ok(1));
}

#[test]
fn cut_half_way_through() {
    let (relays, one, _) = linked();
    relays.set(vec![NAME], Way::Back, Some(Fault::CutAfter(3)));
    let mut stream = call(one);
    let mut got = 0;
    let ended = loop {
        match said(&mut stream, if got == 0 { b"hello" } else { b"" }, NEVER) {
            Ok(0) => break true,
            Ok(count) => got += count,
            Err(e) => break e == ErrorKind::ConnectionReset,
        }
    };
    // A reset may overtake the bytes before it; never more than those come.
    assert!(ended && got <= 3, "{got}");
}

#[test]
fn reset_at_once_and_every_new_one() {
    let (relays, one, _) = linked();
    let mut stream = call(one);
    assert_eq!(said(&mut stream, b"a", NEVER), Ok(1));
    relays.set(vec![NAME], Way::Both, Some(Fault::Reset));
    assert!(matches!(
        said(&mut stream, b"", NEVER),
        Ok(0) | Err(ErrorKind::ConnectionReset)
    ));
    assert!(!matches!(said(&mut call(one), b"b", NEVER), Ok(1)));
}

#[test]
fn a_node_can_tell_which_router_calls() {
    let door = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let relays = Relays::start(Ground::new().relays());
    let one = relays
        .link(
            NAME,
            door.local_addr().unwrap(),
            Some(Ground::new().caller(63)),
        )
        .unwrap();
    let _stream = call(one);
    let (_, from) = door.accept().unwrap();
    let std::net::IpAddr::V4(from) = from.ip() else {
        panic!("{from}")
    };
    assert_eq!(crate::router_of(from), Some(63));
    assert_eq!(crate::router_of(Ipv4Addr::LOCALHOST), None);
}
