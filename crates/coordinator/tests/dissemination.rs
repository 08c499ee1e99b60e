//! What is said at one place is known at all others, and nothing else is told.

mod common;

use common::*;
use shalespindle_coordinator::{ClientEvent, Message, NodeId};
use shalespindle_membership::ReportedState;

#[test]
fn a_version_announced_at_any_node_is_in_force_everywhere_and_acknowledged() {
    let mut world = World::new(3, 6);
    world.until("all connected", 3.0, |world| world.all_connected());
    let now = world.now;
    world.coordinator(0).announce(now, 7, 70).unwrap();
    world.until("version 7 everywhere", 2.0, |world| world.all_act_on(7));
    let now = world.now;
    world.client(4).announce(now, 8, 80).unwrap();
    world.until("version 8 everywhere", 2.0, |world| world.all_act_on(8));
    world.pass(1.0);
    for coordinator in 0..3 {
        let status = world.coordinators[&NodeId(coordinator)].status(world.now);
        assert_eq!((status.behind.len(), status.in_force.unwrap().id.number), (0, 8));
        assert_eq!(status.members, [9, 0, 0], "three coordinators and six clients");
        assert_eq!(status.unreachable, []);
    }
    // A number that is not higher is refused with the least that would be taken.
    let now = world.now;
    let refused = world.client(4).announce(now, 8, 81).unwrap_err();
    assert_eq!((refused.in_force, refused.next), (8, 9));
}

#[test]
fn a_front_that_refuses_a_version_is_listed_with_its_reason() {
    let mut world = World::settled(3, 2);
    let front = NodeId(FIRST_CLIENT);
    world.refusing.insert(front, "x\u{e9}".repeat(300));
    let now = world.now;
    world.coordinator(1).announce(now, 2, 20).unwrap();
    world.pass(2.0);
    assert_eq!(world.client(0).status(now).acts_on.number, 1, "it goes on with the one before");
    assert_eq!(world.client(1).status(now).acts_on.number, 2);
    for coordinator in world.coordinators.values() {
        let behind = coordinator.status(world.now).behind;
        assert_eq!(behind.len(), 1, "{behind:?}");
        assert_eq!((behind[0].front, behind[0].acts_on.number), (front, 1));
        // Cut to 200 bytes, between two characters.
        assert_eq!(behind[0].refused.as_deref(), Some(&*format!("{}x", "x\u{e9}".repeat(66))));
    }
    world.refusing.clear();
    let now = world.now;
    world.client(1).announce(now, 3, 30).unwrap();
    world.until("version 3 everywhere", 2.0, |world| world.all_act_on(3));
    world.pass(1.0);
    assert_eq!(world.coordinators[&NodeId(2)].status(world.now).behind, []);
}

#[test]
fn a_front_is_told_the_newest_word_on_its_servers_and_of_no_others() {
    let mut world = World::new(3, 4);
    world.until("all connected", 3.0, |world| world.all_connected());
    let now = world.now;
    for n in 0..4 {
        world.client(n).report_server(now, server(0), Some(state(5, ReportedState::Ready)));
        world.client(n).report_server(now, server(9), Some(state(1, ReportedState::Ready)));
    }
    world.client(1).report_server(now, server(0), Some(state(5, ReportedState::Draining)));
    world.until("all know of the drain", 2.0, |world| {
        world
            .clients
            .values()
            .all(|client| client.server(server(0)) == Some(state(5, ReportedState::Draining)))
    });
    // One start on: whoever tells of it first counts.
    let now = world.now;
    world.client(3).report_server(now, server(0), Some(state(6, ReportedState::Ready)));
    world.until("all know of the start", 2.0, |world| {
        world.clients.values().all(|client| client.server(server(0)) == Some(state(6, ReportedState::Ready)))
    });
    let told_of = |world: &World, address| {
        let is_of = |(_, event): &&(NodeId, ClientEvent)| matches!(event, ClientEvent::Server(told, _) if *told == address);
        world.client_events.iter().filter(is_of).count()
    };
    assert_eq!(told_of(&world, server(9)), 0, "nobody subscribes to it");
    assert!(
        told_of(&world, server(0)) <= 4 * 4,
        "each change once, whoever says it: {}",
        told_of(&world, server(0))
    );
}

#[test]
fn a_word_taken_back_by_all_is_told_as_gone_and_a_process_that_ended_takes_its_words_along() {
    let mut world = World::new(3, 3);
    world.until("all connected", 3.0, |world| world.all_connected());
    let now = world.now;
    world.client(0).report_server(now, server(0), Some(state(5, ReportedState::Draining)));
    world.client(1).report_server(now, server(0), Some(state(4, ReportedState::Ready)));
    let knows =
        |world: &World, n: u64, wanted| world.clients[&NodeId(FIRST_CLIENT + n)].server(server(0)) == wanted;
    world.until("the drain", 2.0, |world| knows(world, 2, Some(state(5, ReportedState::Draining))));
    // A new process of that front's name says nothing of the server: what the other one says counts.
    world.start_client(0);
    world.until("the other's word", 4.0, |world| knows(world, 2, Some(state(4, ReportedState::Ready))));
    let now = world.now;
    world.client(1).report_server(now, server(0), None);
    world.until("nothing any more", 2.0, |world| knows(world, 2, None));
    assert!(world.client_events.contains(&(NodeId(FIRST_CLIENT + 2), ClientEvent::Server(server(0), None))));
}

#[test]
fn a_pin_of_a_level_reaches_all_and_the_newest_counts() {
    let mut world = World::new(3, 3);
    world.until("all connected", 3.0, |world| world.all_connected());
    for (coordinator, level) in [(0, Some(3)), (1, Some(2)), (2, None)] {
        let now = world.now;
        world.coordinator(coordinator).pin_level(now, level);
        let begin = world.client_events.len();
        world.until("the pin at all", 2.0, |world| {
            let told = world.client_events[begin..].iter();
            told.filter(|(_, event)| *event == ClientEvent::Level(level)).count() == 3
        });
    }
}

#[test]
fn an_idle_client_sends_heartbeats_alone_and_is_told_nothing_twice() {
    let mut world = World::new(3, 1);
    let now = world.now;
    world.coordinator(0).announce(now, 1, 10).unwrap();
    world.until("version 1", 4.0, |world| world.all_act_on(1));
    world.pass(5.0);
    let begin = world.log.len();
    world.pass(10.0);
    let own = NodeId(FIRST_CLIENT);
    let of_client = world.log[begin..].iter().filter(|(_, from, to, _)| *from == own || *to == own);
    let (mut heartbeats, mut answers) = (0, 0);
    for (.., message) in of_client {
        match message {
            Message::Heartbeat(heartbeat) => {
                assert!(heartbeat.publish.is_empty() && heartbeat.subscription.is_none());
                heartbeats += 1;
            }
            Message::Update(update) => {
                assert_eq!(update.statements, []);
                answers += 1;
            }
            Message::Busy { .. } => panic!("turned away"),
        }
    }
    assert!((9..=11).contains(&heartbeats) && (9..=11).contains(&answers), "{heartbeats} and {answers}");
}
