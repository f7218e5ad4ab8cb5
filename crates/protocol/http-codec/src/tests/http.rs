use crate::{HEAD_BYTES, HttpError, Request, Requests, Response, Responses, request, response};
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;

/// The requests in the bytes, up to the first error, when they come in these portions.
fn requests(max_body: usize, portions: &[&[u8]]) -> (Vec<Request>, Option<HttpError>) {
    let mut machine = Requests::new(max_body);
    let mut out = Vec::new();
    for portion in portions {
        machine.feed(portion);
        loop {
            match machine.next() {
                Ok(Some(request)) => out.push(request),
                Ok(None) => break,
                Err(error) => return (out, Some(error)),
            }
        }
    }
    (out, None)
}

/// The answers in the bytes and at their end, up to the first error, when they come in these portions.
fn responses(max_body: usize, portions: &[&[u8]]) -> (Vec<Response>, Option<HttpError>) {
    let mut machine = Responses::new(max_body);
    let mut out = Vec::new();
    for portion in portions {
        machine.feed(portion);
        loop {
            match machine.next() {
                Ok(Some(response)) => out.push(response),
                Ok(None) => break,
                Err(error) => return (out, Some(error)),
            }
        }
    }
    loop {
        match machine.finish() {
            Ok(Some(response)) => out.push(response),
            Ok(None) => return (out, None),
            Err(error) => return (out, Some(error)),
        }
    }
}

fn one(bytes: &[u8]) -> Request {
    let (mut all, error) = requests(1000, &[bytes]);
    assert_eq!(error, None, "{}", String::from_utf8_lossy(bytes));
    assert_eq!(all.len(), 1);
    all.remove(0)
}

fn refused(bytes: &[u8]) -> u16 {
    let (all, error) = requests(1000, &[bytes]);
    assert_eq!(all, [], "{}", String::from_utf8_lossy(bytes));
    error.expect("refused").status()
}

/// The bytes in portions cut at drawn places.
fn cut<'a>(u: &mut Unstructured<'_>, bytes: &'a [u8]) -> Drawn<Vec<&'a [u8]>> {
    let mut portions = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let most = if u.ratio(1, 2)? { 3 } else { rest.len() };
        let (portion, after) = rest.split_at(u.int_in_range(1..=rest.len().min(most))?);
        portions.push(portion);
        rest = after;
    }
    Ok(portions)
}

/// Bytes that are requests or answers, or nearly.
fn draw(u: &mut Unstructured<'_>, pieces: &[&str]) -> Drawn<Vec<u8>> {
    let mut bytes = Vec::new();
    for _ in 0..u.int_in_range(1..=6)? {
        bytes.extend_from_slice(u.choose(pieces)?.as_bytes());
    }
    if u.ratio(1, 3)? && !bytes.is_empty() {
        let at = u.choose_index(bytes.len())?;
        bytes[at] = *u.choose(b"\r\n 0:x\0\xff")?;
    }
    Ok(bytes)
}

const REQUESTS: &[&str] = &[
    "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET / HTTP/1.0\r\n\r\n",
    "\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
    "POST /a HTTP/1.1\r\ncontent-length: 51\r\n\r\n",
    "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nwiki\r\n",
    "1f\r\n0123456789012345678901234567890\r\n",
    "3;x=y\r\nabc\r\n",
    "0\r\n\r\n",
    "0\r\nA: b\r\n\r\n",
];

#[test]
fn requests_cut_anywhere_are_the_same() {
    arbtest(|u| {
        let bytes = draw(u, REQUESTS)?;
        let portions = cut(u, &bytes)?;
        assert_eq!(requests(50, &portions), requests(50, &[&bytes]));
        Ok(())
    });
}

#[test]
fn answers_cut_anywhere_are_the_same() {
    arbtest(|u| {
        let pieces = [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 500 Oh\r\n\r\nuntil the end",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nwiki\r\n",
            "0\r\n\r\n",
        ];
        let bytes = draw(u, &pieces)?;
        let portions = cut(u, &bytes)?;
        assert_eq!(responses(50, &portions), responses(50, &[&bytes]));
        Ok(())
    });
}

// Drawn cuts seldom fall between the two bytes of an end of line: here every place has its turn.
#[test]
fn every_single_cut_and_every_byte_alone_give_the_same() {
    let chunked = "4;x=y\r\nwiki\r\nA\r\n0123456789\r\n0\r\nA: b\r\n\r\n";
    let get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let post = "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    let bytes = format!(
        "{get}POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}\r\n{post}{get}"
    );
    let bytes = bytes.as_bytes();
    let whole = requests(50, &[bytes]);
    assert_eq!((whole.0.len(), whole.1), (4, None));
    assert_eq!(whole.0[1].body, b"wiki0123456789");
    for at in 1..bytes.len() {
        assert_eq!(
            requests(50, &[&bytes[..at], &bytes[at..]]),
            whole,
            "cut at {at}"
        );
    }
    assert_eq!(requests(50, &bytes.chunks(1).collect::<Vec<_>>()), whole);

    let bytes = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}HTTP/1.1 204 No\r\n\r\nHTTP/1.1 503 Oh\r\n\r\nend"
    );
    let bytes = bytes.as_bytes();
    let whole = responses(50, &[bytes]);
    assert_eq!((whole.0.len(), whole.1), (3, None));
    for at in 1..bytes.len() {
        assert_eq!(
            responses(50, &[&bytes[..at], &bytes[at..]]),
            whole,
            "cut at {at}"
        );
    }
    assert_eq!(responses(50, &bytes.chunks(1).collect::<Vec<_>>()), whole);
}

#[test]
fn a_head_at_its_limit_is_the_same_however_it_is_cut() {
    let head = |total: usize| {
        let start = "GET / HTTP/1.1\r\nX: ";
        format!("{start}{}\r\n\r\n", "y".repeat(total - start.len() - 4)).into_bytes()
    };
    for (total, error) in [
        (HEAD_BYTES, None),
        (HEAD_BYTES + 1, Some(HttpError::HeadTooLarge)),
    ] {
        let bytes = head(total);
        let whole = requests(0, &[&bytes]);
        assert_eq!(whole.1, error);
        for at in [1, HEAD_BYTES - 1, HEAD_BYTES, total - 1] {
            let (first, second) = bytes.split_at(at);
            assert_eq!(requests(0, &[first, second]), whole, "{total} cut at {at}");
        }
    }
}

#[test]
fn made_requests_and_answers_are_read_back() {
    arbtest(|u| {
        let body: Vec<u8> = u.arbitrary()?;
        let value = String::from_utf8_lossy(u.bytes(6)?).into_owned();
        let keep_alive = u.arbitrary()?;
        let bytes = request(
            "POST",
            "/p/i-7",
            "10.0.0.4:8080",
            &[("X-Base-Version", &value)],
            &body,
        );
        let read = one_of(requests(1 << 20, &[&bytes]));
        assert_eq!(
            (read.method.as_str(), read.path.as_str()),
            ("POST", "/p/i-7")
        );
        assert_eq!(read.header("host"), Some("10.0.0.4:8080"));
        assert_eq!(
            read.headers
                .iter()
                .filter(|(n, _)| n == "X-Base-Version")
                .count(),
            1
        );
        assert_eq!(read.body, body);

        let bytes = response(200, &[("Location", &value)], &body, keep_alive);
        let read = one_of(responses(1 << 20, &[&bytes]));
        assert_eq!((read.status, read.keep_alive), (200, keep_alive));
        assert_eq!(
            read.header("content-type"),
            (!body.is_empty()).then_some("application/json")
        );
        assert_eq!(read.body, body);
        Ok(())
    });
}

fn one_of<M>((mut all, error): (Vec<M>, Option<HttpError>)) -> M {
    assert_eq!((all.len(), error), (1, None));
    all.remove(0)
}

#[test]
fn names_from_outside_add_no_lines_and_no_fields() {
    let bytes = request(
        "POST",
        "/a b\r\nX: y",
        "h\r\nY: z",
        &[("A", "1\r\nContent-Length: 9")],
        b"",
    );
    let read = one(&bytes);
    assert_eq!(read.path, "/abX:y");
    assert_eq!(read.header("X").or(read.header("Y")), None);
    assert_eq!(read.header("Content-Length"), Some("0"));
}

#[test]
fn a_connection_is_kept_as_version_and_header_say() {
    let kept = |head: &str| one(format!("{head}\r\n\r\n").as_bytes()).keep_alive;
    assert!(kept("GET / HTTP/1.1"));
    assert!(!kept("GET / HTTP/1.1\r\nConnection: x, Close"));
    assert!(!kept("GET / HTTP/1.0"));
    assert!(kept("GET / HTTP/1.0\r\nConnection: keep-alive"));
}

#[test]
fn a_target_with_a_host_is_its_path() {
    assert_eq!(
        one(b"GET http://10.0.0.1:80/a?b HTTP/1.1\r\n\r\n").path,
        "/a?b"
    );
    assert_eq!(one(b"GET http://10.0.0.1:80 HTTP/1.1\r\n\r\n").path, "/");
    assert_eq!(
        one(b"GET /x?u=http://y HTTP/1.1\r\n\r\n").path,
        "/x?u=http://y"
    );
}

#[test]
fn what_could_be_understood_in_two_ways_is_refused() {
    for headers in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length:",
        "Content-Length : 3",
    ] {
        assert_eq!(
            refused(format!("POST / HTTP/1.1\r\n{headers}\r\n\r\nabc").as_bytes()),
            400,
            "{headers}"
        );
    }
    assert_eq!(
        refused(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        400
    );
    assert_eq!(
        refused(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n"),
        400
    );
    assert_eq!(
        refused(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"),
        400
    );
}

#[test]
fn too_much_is_told_from_malformed() {
    assert_eq!(
        refused(b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"),
        413
    );
    assert_eq!(
        refused(b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999999\r\n\r\n"),
        413
    );
    assert_eq!(
        refused(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
        413
    );
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    assert_eq!(refused(many.as_bytes()), 431);
    let trailers = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{}",
        "A: b\r\n".repeat(4000)
    );
    assert_eq!(refused(trailers.as_bytes()), 431);
    assert_eq!(refused(b"CONNECT lepu270 u3f1\r\n\r\n"), 400);
}

#[test]
fn an_error_stays() {
    let mut machine = Requests::new(10);
    machine.feed(b"nonsense\r\n\r\n");
    let error = machine.next().unwrap_err();
    machine.feed(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(machine.next(), Err(error));
}

#[test]
fn an_answer_without_length_ends_with_the_connection_and_others_may_not_break_off() {
    let (all, error) = responses(100, &[b"HTTP/1.1 200 OK\r\n\r\nsome", b" bytes"]);
    assert_eq!(
        (all[0].body.as_slice(), all[0].keep_alive, error),
        (b"some bytes".as_slice(), false, None)
    );
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 2",
        "HTTP/1.1 100 Continue\r\n\r\nH",
    ] {
        assert_eq!(
            responses(100, &[cut.as_bytes()]),
            (vec![], Some(HttpError::Cut)),
            "{cut}"
        );
    }
    assert_eq!(responses(100, &[b""]), (vec![], None));
}

#[test]
fn a_request_begun_is_told_from_none() {
    let mut machine = Requests::new(10);
    assert!(!machine.partial());
    machine.feed(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    assert!(machine.partial());
    assert_eq!(machine.next(), Ok(None));
    assert!(machine.partial());
    machine.feed(b"ab");
    assert!(machine.next().unwrap().is_some());
    assert!(!machine.partial());
}
