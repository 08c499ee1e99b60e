//! Coordinators and clients that fail, are cut off, restart, or do too much.

mod common;

use common::*;
use shalespindle_coordinator::{
    ClientEvent, CoordinatorEvent, CoordinatorParams, Heartbeat, Incarnation, Key, MemberState, Message,
    NodeId, Statement, Subscription, Value, Version, MAX_SERVERS,
};
use shalespindle_membership::ReportedState;

fn client_name(n: u64) -> NodeId {
    NodeId(FIRST_CLIENT + n)
}

#[test]
fn clients_of_a_dead_coordinator_go_on_with_another_and_nobody_suspects_them() {
    let mut world = World::settled(3, 12);
    world.coordinators.remove(&NodeId(1));
    world.pass(4.0);
    let now = world.now;
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.until("version 2 everywhere", 7.0, |world| world.all_act_on(2));
    world.pass(10.0);
    for n in 0..12 {
        assert_eq!(world.coordinators[&NodeId(2)].store().member(client_name(n)), Some(MemberState::Alive));
    }
    assert_eq!(world.coordinators[&NodeId(2)].store().member(NodeId(1)), Some(MemberState::Suspected));
}

#[test]
fn what_a_coordinator_told_to_some_before_it_died_comes_to_all() {
    let mut world = World::settled(3, 9);
    let now = world.now;
    // The third replica misses what the first two hear; then the first one dies.
    world.cut_off.insert(NodeId(2));
    for client in 0..9 {
        world.client(client).report_server(now, server(0), Some(state(5, ReportedState::Ready)));
        world.client(client).refuse_version(now, "no room");
    }
    world.pass(0.5);
    world.coordinators.remove(&NodeId(0));
    world.cut_off.clear();
    world.pass(12.0);
    let status = |n| world.coordinators[&NodeId(n)].status(world.now);
    assert_eq!(status(1).members, status(2).members);
    for client in 0..9 {
        let said = |n| {
            world.coordinators[&NodeId(n)].store().value(client_name(client), Key::Acknowledgement).cloned()
        };
        assert_eq!(said(1), said(2), "client {client}");
    }
}

/// Found by the simulated fleet: an update on its way to a front's process reached the next one, which took the number
/// of published statements in it for its own and kept what it had to say to itself.
#[test]
fn an_update_for_a_clients_process_of_before_says_nothing_to_its_next_one() {
    let mut world = World::settled(1, 1);
    let now = world.now;
    (0..20).for_each(|n| world.client(0).report_server(now, server(n), Some(state(1, ReportedState::Ready))));
    world.pass(3.0);
    let is_update = |message: &Message| matches!(message, Message::Update(_));
    let (_, from, _, late) = world.log.iter().rev().find(|(.., message)| is_update(message)).unwrap().clone();
    world.start_client(0);
    let now = world.now;
    world.client(0).receive(now, from, late);
    let now = world.now;
    world.client(0).announce(now, 9, 90).unwrap();
    world.pass(3.0);
    assert_eq!(world.coordinators[&NodeId(0)].store().in_force().unwrap().id.number, 9);
}

#[test]
fn without_any_coordinator_clients_keep_what_they_hold_and_say_how_old_it_is() {
    let mut world = World::settled(3, 4);
    let now = world.now;
    world.client(0).report_server(now, server(0), Some(state(5, ReportedState::Draining)));
    world.pass(1.0);
    world.coordinators.clear();
    world.pass(60.0);
    for client in world.clients.values() {
        let status = client.status(world.now);
        assert_eq!((status.coordinator, status.acts_on.number), (None, 1));
        assert!(status.age.unwrap() > 58.0);
        assert_eq!(client.server(server(0)), Some(state(5, ReportedState::Draining)));
    }
    let lost = |(_, event): &&(NodeId, ClientEvent)| *event == ClientEvent::Connected(false);
    assert_eq!(world.client_events.iter().filter(lost).count(), 4, "each told once");
}

#[test]
fn coordinators_that_come_back_with_nothing_are_given_operators_words_back() {
    let mut world = World::settled(3, 6);
    let now = world.now;
    world.coordinator(2).pin_level(now, Some(2));
    world.pass(2.0);
    (0..3).for_each(|n| world.start_coordinator(n));
    world.pass(1.0);
    world.start_client(6);
    world.until("the newcomer acts on version 1", 7.0, |world| world.all_act_on(1));
    world.pass(3.0);
    let pinned = (client_name(6), ClientEvent::Level(Some(2)));
    assert!(world.client_events.contains(&pinned), "and knows the pin");
    for coordinator in world.coordinators.values() {
        assert_eq!(coordinator.store().in_force().unwrap().id.number, 1);
    }
    let status = world.coordinators[&NodeId(0)].status(world.now);
    assert_eq!((status.behind.len(), status.members), (0, [10, 0, 0]));
}

#[test]
fn two_versions_announced_apart_end_as_one_everywhere_and_the_other_is_listed() {
    let mut world = World::settled(2, 0);
    world.cut_off.insert(NodeId(1));
    world.pass(10.0);
    let now = world.now;
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.coordinator(1).announce(now, 2, 21).unwrap();
    world.pass(10.0);
    world.cut_off.clear();
    world.pass(7.0);
    for coordinator in world.coordinators.values() {
        let status = coordinator.status(world.now);
        let (in_force, lost) = (status.in_force.unwrap(), status.lost);
        assert_eq!((in_force.id.publisher, in_force.digest), (Some(NodeId(1)), 21), "the higher publisher");
        assert_eq!(lost.iter().map(|version| version.digest).collect::<Vec<u64>>(), [20]);
    }
}

#[test]
fn a_client_never_goes_back_to_an_older_version() {
    let mut world = World::settled(1, 2);
    let now = world.now;
    world.coordinator(0).announce(now, 5, 50).unwrap();
    world.until("version 5 everywhere", 3.0, |world| world.all_act_on(5));
    // It comes back with nothing, and an operator who does not look announces a lower number.
    world.start_coordinator(0);
    let now = world.now;
    world.coordinator(0).announce(now, 2, 20).unwrap();
    world.pass(7.0);
    assert!(world.all_act_on(5));
    assert_eq!(world.coordinators[&NodeId(0)].store().in_force().unwrap().id.number, 5);
}

#[test]
fn many_that_fall_silent_at_once_are_one_event_and_more_than_half_are_none() {
    let mut world = World::settled(1, 10);
    (0..4).for_each(|n| drop(world.clients.remove(&client_name(n))));
    world.pass(8.0);
    let suspected: Vec<&CoordinatorEvent> = world
        .coordinator_events
        .iter()
        .map(|(_, event)| event)
        .filter(|event| matches!(event, CoordinatorEvent::Suspected(_)))
        .collect();
    // Their heartbeats were not in step: two looks at most.
    assert!(suspected.len() <= 3, "{suspected:?}");
    assert_eq!(world.coordinators[&NodeId(0)].status(world.now).members, [7, 4, 0]);
    (4..8).for_each(|n| drop(world.clients.remove(&client_name(n))));
    world.pass(20.0);
    let status = world.coordinators[&NodeId(0)].status(world.now);
    assert_eq!((status.members, status.is_isolated), ([7, 4, 0], true), "four of six may be its own cut");
    assert!(world.coordinator_events.contains(&(NodeId(0), CoordinatorEvent::Isolated(true))));
}

#[test]
fn a_client_that_another_coordinator_suspects_while_it_is_heard_here_counts_as_alive() {
    let mut world = World::settled(2, 1);
    let now = world.now;
    let here = world.client(0).status(now).coordinator.unwrap();
    let other = if here == NodeId(0) { NodeId(1) } else { NodeId(0) };
    // Its way to the first one is cut, so that it moves; then to the second, so that it comes back.
    world.cut_off.insert(here);
    world.pass(6.0);
    world.cut_off = [other].into();
    world.pass(12.0);
    world.cut_off.clear();
    world.pass(7.0);
    for coordinator in world.coordinators.values() {
        assert_eq!(coordinator.store().member(client_name(0)), Some(MemberState::Alive));
    }
}

#[test]
fn a_front_that_leaves_is_told_as_left_and_not_suspected() {
    let mut world = World::settled(3, 3);
    world.client(1).leave();
    world.step();
    world.clients.remove(&client_name(1));
    world.pass(8.0);
    for coordinator in world.coordinators.values() {
        assert_eq!(coordinator.store().member(client_name(1)), Some(MemberState::Left));
    }
}

#[test]
fn a_client_that_does_not_read_costs_a_bounded_number_of_updates_and_then_catches_up() {
    let mut world = World::settled(1, 2);
    world.cut_off.insert(client_name(0));
    for number in 2..200 {
        let now = world.now;
        world.coordinator(0).announce(now, number, number).unwrap();
        world.pass(0.02);
    }
    let to_it = |world: &World| {
        let counted = world.log.iter().filter(|(at, _, to, _)| *to == client_name(0) && *at > 0.0);
        counted.count()
    };
    let before = to_it(&world);
    world.pass(30.0);
    assert!(to_it(&world) - before <= 60, "{}", to_it(&world) - before);
    world.cut_off.clear();
    world.until("it has caught up", 7.0, |world| world.all_act_on(199));
}

#[test]
fn past_its_bounds_a_coordinator_turns_clients_away_with_a_time_to_come_back() {
    let params = CoordinatorParams { max_sessions: 3, ..CoordinatorParams::default() };
    let mut world = World::with(params, 1, 5);
    world.pass(6.0);
    assert_eq!(world.coordinators[&NodeId(0)].sessions(), 3);
    let busy: Vec<f64> = world
        .log
        .iter()
        .filter_map(|(.., message)| match message {
            Message::Busy { retry_after } => Some(*retry_after),
            _ => None,
        })
        .collect();
    assert!(busy.len() >= 2 && busy.iter().all(|wait| (0.25..=0.5).contains(wait)), "{busy:?}");
}

fn heartbeat(publish: Vec<Statement>, subscription: Option<Subscription>) -> Message {
    Message::Heartbeat(Heartbeat {
        incarnation: Incarnation { number: 5, nonce: 5 },
        number: 1,
        cursor: None,
        digest: None,
        subscription_number: 1,
        subscription,
        publish,
        wants_answer: true,
        is_leaving: false,
    })
}

#[test]
fn statements_of_others_unsound_ones_and_those_without_room_are_refused_and_counted() {
    let params = CoordinatorParams { max_statements: 4, ..CoordinatorParams::default() };
    let mut world = World::with(params, 1, 0);
    let name = NodeId(500);
    let version = |sequence| Version { incarnation: Incarnation { number: 5, nonce: 5 }, sequence };
    let own =
        |key, sequence, value| Statement { owner: name, key, version: version(sequence), value: Some(value) };
    let ready = || Value::Server(state(1, ReportedState::Ready));
    let publish = vec![
        own(Key::Server(server(0)), 1, ready()),
        // A value of another kind than its key's, a word on itself as a member, a word of another front.
        own(Key::Server(server(1)), 2, Value::Member(MemberState::Alive)),
        own(Key::Member, 3, Value::Member(MemberState::Left)),
        Statement {
            owner: NodeId(501),
            key: Key::Server(server(2)),
            version: version(4),
            value: Some(ready()),
        },
        own(Key::Server(server(3)), 5, ready()),
        // Beside the two members there is room for two.
        own(Key::Server(server(4)), 6, ready()),
    ];
    let now = world.now;
    world.coordinator(0).receive(now, name, heartbeat(publish, None));
    let coordinator = &world.coordinators[&NodeId(0)];
    assert_eq!((coordinator.counts().refused, coordinator.store().len()), (4, 4));
    // A subscription past its bound is not taken.
    let many = (0..=MAX_SERVERS).map(|n| std::net::SocketAddr::from(([10, 2, (n / 256) as u8, n as u8], 1)));
    let now = world.now;
    world.coordinator(0).receive(
        now,
        name,
        heartbeat(Vec::new(), Some(Subscription { servers: many.collect() })),
    );
    world.pass(1.0);
    let told = world.log.iter().filter_map(|(_, _, to, message)| match message {
        Message::Update(update) if *to == name => Some(update.subscription_number),
        _ => None,
    });
    assert_eq!(told.max(), Some(0), "it is told that no subscription of its is held");
}

#[test]
fn the_same_inputs_give_the_same_messages() {
    let run = || {
        let mut world = World::settled(3, 6);
        world.coordinators.remove(&NodeId(1));
        world.pass(10.0);
        world.log
    };
    assert_eq!(run(), run());
}
