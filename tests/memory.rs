//! How memory is divided and shared, without a program: the plan of a process, and the pools of its connections.

use sillfold::memory::{MemoryPlan, ProcessLimits, may_hold};
use sillfold::net::memory::{AnswerMemory, MemoryAccount, MemoryPool};

/// The limits that the configuration derives from these.
fn limits(memory_mb: usize, sockets: usize) -> ProcessLimits {
    let max_host_connections = (sockets - 48) * 2 / 5;
    ProcessLimits {
        memory_bytes: memory_mb << 20,
        sockets,
        max_clients: sockets - 48 - max_host_connections,
        max_host_connections,
    }
}

/// Guards against a plan that promises more memory than there is.
#[test]
fn pools_and_buffers_fit_into_the_memory_of_every_configuration() {
    for memory_mb in 32..=192 {
        for sockets in (256..=1024).step_by(64) {
            let limits = limits(memory_mb, sockets);
            let plan = MemoryPlan::divide(&limits);
            let busy_clients = limits.max_clients.min(sockets / 3);
            let buffers = busy_clients * 3 * plan.client_buffer_bytes
                + limits.max_host_connections * 2 * plan.host_buffer_bytes;
            let pools = plan.received_bytes + plan.answer_bytes;
            let left = limits.memory_bytes.checked_sub(buffers + pools);
            assert!(left.is_some_and(|left| left > 10 << 20), "{memory_mb} MB, {sockets} sockets: {plan:?}");
        }
    }
}

/// Guards against a few connections that leave nothing for others: each gets at most a part of what is free.
#[test]
fn connections_that_take_all_they_may_leave_a_part_for_others() {
    let pool = MemoryPool::new(9_000);
    let accounts: Vec<_> = (0..50).map(|_| MemoryAccount::new(&pool)).collect();
    let mut reservations: Vec<_> = accounts.iter().map(|account| account.reserve_nothing()).collect();
    for _ in 0..9_000 {
        let taken = reservations.iter_mut().filter_map(|r| r.grow_to(r.bytes() + 1).then_some(())).count();
        if taken == 0 {
            break;
        }
    }
    let newcomer = MemoryAccount::new(&pool);
    assert!(pool.held() < 9_000 && newcomer.reserve(100).is_some(), "{} held", pool.held());
    let held: Vec<usize> = reservations.iter().map(|r| r.bytes()).collect();
    assert!(held.iter().max().zip(held.iter().min()).is_some_and(|(max, min)| max - min <= 1), "{held:?}");
    drop(reservations);
    assert_eq!(pool.held(), 0);
}

#[test]
fn nothing_is_granted_beyond_the_limit() {
    assert!(may_hold(400, 0, 0, 100));
    assert!(!may_hold(400, 0, 0, 101));
    assert!(!may_hold(400, 0, usize::MAX, 1));
    assert!(!may_hold(400, usize::MAX, 0, 1));
    assert!(!may_hold(400, 401, 0, 0));
}

/// A reservation that is moved, split and shrunk is returned exactly once.
#[test]
fn a_reservation_is_returned_once() {
    let pool = MemoryPool::new(10_000);
    let account = MemoryAccount::new(&pool);
    let mut whole = account.reserve(1_000).expect("there is memory");
    let part = whole.split_off(600);
    assert_eq!((whole.bytes(), part.bytes(), pool.held()), (400, 600, 1_000));
    whole.absorb(part);
    whole.shrink_to(700);
    assert_eq!(pool.held(), 700);
    let answer = AnswerMemory::new(&account, 50);
    assert!(answer.hold(50) && pool.held() == 700);
    assert!(answer.hold(51) && pool.held() == 751);
    assert!(!answer.reserve(9_000) && pool.held() == 751);
    drop((whole, answer.take(), answer));
    assert_eq!(pool.held(), 0);
    assert!(!AnswerMemory::buffer_only(50).hold(51));
}
