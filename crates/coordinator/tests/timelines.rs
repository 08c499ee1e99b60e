//! Snapshots of the sequence of events when a coordinator fails, when several fronts restart at once, and
//! when a partitioned region is reconnected.

mod common;

use common::*;
use shalespindle_coordinator::NodeId;

#[test]
fn failure_of_a_coordinator() {
    let mut world = World::with_version_1(3, 6);
    world.timeline.add_global(world.now, "c1 fails");
    world.coordinators.remove(&NodeId(1));
    world.advance(3.0);
    let now = world.now;
    world.timeline.add_global(now, "version 2 at c0");
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.wait_until("version 2 everywhere", 7.0, |world| world.all_act_on(2));
    world.advance(3.0);
    insta::assert_snapshot!("failure_of_a_coordinator", world.timeline.to_string());
}

#[test]
fn restart_of_several_fronts() {
    let mut world = World::with_version_1(3, 6);
    world.timeline.add_global(world.now, "f0 to f2 fail");
    (0..3).for_each(|n| drop(world.clients.remove(&NodeId(FIRST_CLIENT + n))));
    world.advance(6.0);
    world.timeline.add_global(world.now, "f0 to f2 restart");
    (0..3).for_each(|n| world.start_client(n));
    world.wait_until("all act on version 1", 7.0, |world| world.all_act_on(1));
    world.advance(1.0);
    insta::assert_snapshot!("restart_of_several_fronts", world.timeline.to_string());
}

#[test]
fn reconnection_of_a_region() {
    let mut world = World::with_version_1(3, 6);
    // Only the coordinator is cut off; the fronts that follow it fail over to the others.
    world.timeline.add_global(world.now, "c2 is cut off");
    world.cut_off.insert(NodeId(2));
    world.advance(7.0);
    let now = world.now;
    world.timeline.add_global(now, "version 2 at c0 and at c2");
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.coordinator(2).announce(now, 2, 22).unwrap();
    world.advance(3.0);
    world.timeline.add_global(world.now, "c2 is reconnected");
    world.cut_off.clear();
    world.advance(7.0);
    insta::assert_snapshot!("reconnection_of_a_region", world.timeline.to_string());
    let conflicting = world.coordinators[&NodeId(1)].status(world.now).conflicting;
    assert_eq!(conflicting.iter().map(|version| version.digest).collect::<Vec<u64>>(), [20]);
}
