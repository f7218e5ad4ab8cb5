use crate::queue::Queue;
use crate::share::Share;
use arbtest::arbtest;

#[test]
fn so_many_at_once_and_the_others_by_rank_and_arrival() {
    let mut queue = Queue::new(1);
    assert_eq!(queue.enter(5), None);
    let low = queue.enter(2).unwrap();
    let high = queue.enter(0).unwrap();
    let later = queue.enter(0).unwrap();
    assert_eq!(queue.admit(), None);
    queue.leave();
    assert_eq!(queue.admit(), Some(high));
    assert!(queue.cancel(later));
    assert!(!queue.cancel(high));
    queue.leave();
    assert_eq!(queue.admit(), Some(low));
}

#[test]
fn never_more_than_its_limit_and_nobody_is_forgotten() {
    arbtest(|u| {
        let limit = u.int_in_range(1..=4)?;
        let mut queue = Queue::new(limit);
        let (mut inside, mut waiting) = (0usize, Vec::new());
        for _ in 0..u.int_in_range(0..=60)? {
            match u.int_in_range(0..=2)? {
                0 => match queue.enter(u.int_in_range(0..=2)?) {
                    None => inside += 1,
                    Some(place) => waiting.push(place),
                },
                1 if inside > 0 => {
                    queue.leave();
                    inside -= 1;
                }
                2 if !waiting.is_empty() => {
                    let place = waiting.remove(u.choose_index(waiting.len())?);
                    assert!(queue.cancel(place));
                }
                _ => {}
            }
            while let Some(place) = queue.admit() {
                assert!(waiting.iter().all(|w| *w >= place));
                waiting.retain(|w| *w != place);
                inside += 1;
            }
            assert_eq!(queue.busy(), inside);
            assert!(inside <= limit && (inside == limit || waiting.is_empty()));
        }
        Ok(())
    });
}

#[test]
fn a_share_of_the_connections_is_kept_to() {
    let mut share = Share::new(68, 14);
    assert_eq!((share.plain(), share.limit(0.0)), (4, 8));
    share.refused(1.0);
    assert_eq!((share.limit(1.0), share.limit(6.0)), (4, 8));
    share.set(4, 14);
    assert_eq!((share.plain(), share.limit(6.0)), (3, 4));
    share.set(1, 14);
    assert_eq!(share.limit(6.0), 1);
}
