//! Tests of the buffer pool's limits.

use super::*;

/// Guards against many large messages at once that use more memory than the limit.
#[test]
fn buffers_in_use_and_pooled_stay_within_the_memory_limit() {
    let pool = Pool::new(4);
    let mut out = Vec::new();
    while pool.has_capacity() {
        out.push(pool.take());
    }
    let read = out.len();
    assert!(
        read * BUFFER_BYTES < 2 << 20,
        "{read} buffers may be used for messages, more than the limit"
    );
    out.extend((0..100).map(|_| pool.take()));
    drop(out);
    assert!(
        (read..=(2 << 20) / BUFFER_BYTES).contains(&pool.free.borrow().len()),
        "buffers kept in the pool"
    );
    assert!(pool.has_capacity() && pool.in_use.get() == 0);
}
