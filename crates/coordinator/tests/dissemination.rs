//! What is said at one place is known at all others, and nothing else is told.

mod common;

use common::*;
use shalespindle_coordinator::{ClientEvent, Continuity, Key, Message, NodeId, Statement, Value, Version};
use shalespindle_membership::Told;

#[test]
fn clients_connect_and_learn_what_is_in_force() {
    let mut world = World::new(3, 6);
    world.until("all connected", 3.0, |world| world.all_connected());
    let now = world.now;
    world.coordinator(0).announce(now, 7, 70).unwrap();
    world.until("version 7 everywhere", 2.0, |world| world.all_act_on(7));
    world.pass(1.0);
    let status = world.coordinators[&NodeId(2)].status(world.now);
    assert_eq!((status.behind.len(), status.in_force.unwrap().id.number), (0, 7));
    assert_eq!(status.members, [9, 0, 0], "three coordinators and six clients");
    // A number that is not higher is refused with the least that would be taken.
    let refused = world.client(4).announce(now, 7, 71).unwrap_err();
    assert_eq!((refused.in_force, refused.next), (7, 8));
}
