//! What an operator would see, second by second, of a coordinator's death, of a herd's return and of a region's heal.

mod common;

use common::*;
use shalespindle_coordinator::NodeId;

#[test]
fn a_coordinators_death() {
    let mut world = World::with_version_1(3, 6);
    world.timeline.world(world.now, "c1 dies");
    world.coordinators.remove(&NodeId(1));
    world.advance(3.0);
    let now = world.now;
    world.timeline.world(now, "version 2 at c0");
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.wait_until("version 2 everywhere", 7.0, |world| world.all_act_on(2));
    world.advance(3.0);
    insta::assert_snapshot!("a_coordinators_death", world.timeline.to_string());
}

#[test]
fn a_herds_return() {
    let mut world = World::with_version_1(3, 6);
    world.timeline.world(world.now, "f0 to f2 are killed");
    (0..3).for_each(|n| drop(world.clients.remove(&NodeId(FIRST_CLIENT + n))));
    world.advance(6.0);
    world.timeline.world(world.now, "they are back");
    (0..3).for_each(|n| world.start_client(n));
    world.wait_until("all act on version 1", 7.0, |world| world.all_act_on(1));
    world.advance(1.0);
    insta::assert_snapshot!("a_herds_return", world.timeline.to_string());
}

#[test]
fn a_regions_heal() {
    let mut world = World::with_version_1(3, 6);
    // Its coordinator and the fronts that follow it; those have no other in this small fleet that they hear.
    world.timeline.world(world.now, "c2 is cut off");
    world.cut_off.insert(NodeId(2));
    world.advance(7.0);
    let now = world.now;
    world.timeline.world(now, "version 2 at c0 and at c2");
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.coordinator(2).announce(now, 2, 22).unwrap();
    world.advance(3.0);
    world.timeline.world(world.now, "healed");
    world.cut_off.clear();
    world.advance(7.0);
    insta::assert_snapshot!("a_regions_heal", world.timeline.to_string());
    let lost = world.coordinators[&NodeId(1)].status(world.now).conflicting;
    assert_eq!(lost.iter().map(|version| version.digest).collect::<Vec<u64>>(), [20]);
}
