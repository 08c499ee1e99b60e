use super::*;

#[test]
fn an_id_is_returned_once_before_it_expires_and_memory_is_bounded() {
    const MAX_IDS: usize = 1024;
    let mut early = EarlyIds::new(MAX_IDS);
    early.add(0.0, 1, 9.0);
    assert!(early.take(8.9, 1) && !early.take(8.9, 1));
    early.add(10.0, 2, 9.0);
    assert!(!early.take(19.0, 2), "its caller has long stopped waiting");
    for id in 0..10_000 {
        early.add(20.0, id, 9.0);
        assert!(early.order.len() <= MAX_IDS && early.expires_at.len() <= MAX_IDS);
    }
    assert!(early.take(20.0, 9_999) && !early.take(20.0, 0));
    // Repeating the same id takes one entry.
    for _ in 0..10 {
        early.add(30.0, 5, 9.0);
    }
    assert_eq!((early.order.len(), early.expires_at.len()), (1, 1));
}
