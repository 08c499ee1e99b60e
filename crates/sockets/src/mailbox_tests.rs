//! Tests of the bounded mailbox.

use super::*;
use std::time::Instant;

/// A wait far shorter than a millisecond must end by itself; with the crate's own rounding it never did.
#[test]
fn the_shortest_wait_ends() {
    let (mailbox, mail) = mailbox::<u32>(4);
    let waiter = crate::start(crate::SMALL_STACK, move || {
        for nanos in [1, 900, 10_000, 999_999, 1_000_001, 2_500_000] {
            let begin = Instant::now();
            assert!(mail.recv_timeout(Duration::from_nanos(nanos)).is_none());
            assert!(begin.elapsed() >= Duration::from_nanos(nanos));
        }
    });
    assert!(waiter.unwrap().join().is_ok());
    drop(mailbox);
}

#[test]
fn a_full_mailbox_holds_its_senders_and_lets_them_go_when_its_owner_leaves() {
    let (mailbox, mail) = mailbox::<u32>(2);
    let sender = crate::start(crate::SMALL_STACK, move || {
        let sent = (0..10).take_while(|n| mailbox.send(*n).is_ok()).count();
        assert!((2..10).contains(&sent), "{sent} sent past a bound of 2 and an owner that left");
    });
    let sender = sender.unwrap();
    while mail.room.free.get_value() > 0 {
        std::thread::yield_now();
    }
    drop(mail);
    assert!(sender.join().is_ok());
}
