use crate::{MemoryBudget, RingBuffer};

#[test]
fn bytes_keep_their_order_across_the_wrap() {
    let mut ring = RingBuffer::new(1 << 12);
    let (mut put, mut got) = (0u32, Vec::new());
    for step in 0..2000usize {
        let count = ring.room().len().min(step % 97);
        for place in &mut ring.room()[..count] {
            *place = put as u8;
            put += 1;
        }
        ring.filled(count);
        got.extend(ring.take(step % 89));
    }
    let rest = ring.len();
    got.extend(ring.take(rest));
    assert!(got.len() > 10_000);
    assert!(got.iter().enumerate().all(|(i, b)| *b == i as u8));
}

#[test]
fn it_grows_to_its_maximum_and_releases_memory() {
    let mut ring = RingBuffer::new(1 << 16);
    assert_eq!(ring.room().len(), 1 << 10, "it starts small");
    while !ring.room().is_empty() {
        let count = ring.room().len();
        ring.filled(count);
    }
    assert_eq!(ring.len(), 1 << 16);
    ring.skip(1 << 16);
    assert_eq!(
        ring.room().len(),
        1 << 10,
        "an idle connection keeps no large buffer"
    );
}

#[test]
fn a_copy_continues_across_the_wrap() {
    let mut ring = RingBuffer::new(1 << 10);
    ring.push(&[1; 1000]);
    ring.skip(999);
    ring.push(&[2; 40]);
    let mut copied = [0; 30];
    ring.copy(5, &mut copied);
    assert_eq!(copied, [2; 30]);
    assert_eq!(ring.take(50).len(), 41);
}

#[test]
fn an_empty_buffer_adopts_a_vector_without_copying() {
    let mut ring = RingBuffer::new(1 << 10);
    let large = vec![7; 1 << 15];
    let place = large.as_ptr();
    ring.adopt(large);
    assert_eq!((ring.len(), ring.front().as_ptr()), (1 << 15, place));
    ring.adopt(vec![8; 3]);
    ring.skip(1 << 15);
    assert_eq!(ring.take(9), [8; 3]);
    assert_eq!(ring.room().len(), 1 << 10, "nothing of it is kept");
}

#[test]
fn an_expected_message_gets_its_whole_memory_at_once_or_none() {
    let memory = MemoryBudget::new(1 << 16);
    let mut rings = [(); 2].map(|()| RingBuffer::with_memory(1 << 20, &memory));
    for ring in &mut rings {
        ring.push(&[0; 1 << 10]);
        ring.expect_len(40_000);
    }
    assert_eq!(
        (rings[0].room().len(), rings[1].room().len()),
        (40_000 - 1024, 0),
        "the second waits"
    );
    rings[0].filled(39_000);
    rings[0].skip(1 << 20);
    assert_eq!(rings[1].room().len(), 40_000 - 1024);
}
