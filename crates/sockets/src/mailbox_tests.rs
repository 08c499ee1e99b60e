//! Tests of the bounded mailbox.

use super::*;
use std::time::Instant;

/// A timeout far below a millisecond must expire; with the rounding of `may` alone it never did.
#[test]
fn timeouts_below_a_millisecond_expire() {
    let (mailbox, receiver) = mailbox::<u32>(4);
    let waiter = crate::start(crate::SMALL_STACK, move || {
        for nanos in [1, 900, 10_000, 999_999, 1_000_001, 2_500_000] {
            let begin = Instant::now();
            assert!(receiver.recv_timeout(Duration::from_nanos(nanos)).is_none());
            assert!(begin.elapsed() >= Duration::from_nanos(nanos));
        }
    });
    assert!(waiter.unwrap().join().is_ok());
    drop(mailbox);
}

#[test]
fn senders_wait_while_the_mailbox_is_full_and_fail_once_the_receiver_is_dropped() {
    let (mailbox, receiver) = mailbox::<u32>(2);
    let sender = crate::start(crate::SMALL_STACK, move || {
        let sent = (0..10).take_while(|n| mailbox.send(*n).is_ok()).count();
        assert!((2..10).contains(&sent), "{sent} messages sent with a capacity of 2 and a dropped receiver");
    });
    let sender = sender.unwrap();
    while receiver.capacity.free.get_value() > 0 {
        std::thread::yield_now();
    }
    drop(receiver);
    assert!(sender.join().is_ok());
}
