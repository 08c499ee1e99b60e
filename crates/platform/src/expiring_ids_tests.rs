use super::*;

/// The connection on which the ids of a test are read.
const SOURCE: ConnectionId = 2;

#[test]
fn an_id_is_returned_once_before_it_expires_and_memory_is_bounded() {
    const MAX_IDS: usize = 1024;
    let mut early = ExpiringIds::new(MAX_IDS);
    early.add(0.0, SOURCE, 1, 9.0);
    assert!(early.take(8.9, 1) && !early.take(8.9, 1));
    early.add(10.0, SOURCE, 2, 9.0);
    assert!(!early.take(19.0, 2), "its caller has long stopped waiting");
    for id in 0..10_000 {
        early.add(20.0, SOURCE, id, 9.0);
        assert!(early.order.len() <= MAX_IDS && early.ids.len() <= MAX_IDS);
    }
    assert!(early.take(20.0, 9_999) && !early.take(20.0, 0));
    // Repeating the same id takes one entry.
    for _ in 0..10 {
        early.add(30.0, SOURCE, 5, 9.0);
    }
    assert_eq!((early.order.len(), early.ids.len(), early.count_by_source.len()), (1, 1, 1));
}

/// Guards against one peer that displaces the ids of others by sending many.
#[test]
fn beyond_the_limit_ids_of_the_connection_with_the_most_are_discarded() {
    let mut early = ExpiringIds::new(100);
    early.add(0.0, SOURCE, 1, 9.0);
    for id in 1_000..2_000 {
        early.add(0.0, SOURCE + 2, id, 9.0);
    }
    assert!(early.take(0.0, 1));
    assert!(early.take(0.0, 1_999) && !early.take(0.0, 1_000), "the oldest of the other connection");
}
