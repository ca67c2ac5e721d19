//! Stored answers with a bound on their total size; the oldest are evicted first.

use crate::id::Key;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
pub struct Answers {
    bodies: BTreeMap<Key, (u64, Bytes)>,
    /// Keys with the sequence number of their answer, oldest first; may contain answers that are
    /// already removed.
    insertion_order: VecDeque<(u64, Key)>,
    last_number: u64,
    total_bytes: usize,
}

impl Answers {
    pub fn get(&self, key: &Key) -> Option<&Bytes> {
        self.bodies.get(key).map(|(_, body)| body)
    }

    /// Stores an answer and evicts the oldest ones until the rest fits into `limit` bytes.
    ///
    /// The body is copied, because it may be a slice of a much larger connection buffer, which
    /// would stay allocated for as long as the answer is stored.
    pub fn insert(&mut self, key: &Key, body: &Bytes, limit: usize) {
        self.remove(key);
        let body = Bytes::copy_from_slice(body);
        self.total_bytes += body.len();
        self.last_number += 1;
        self.bodies.insert(key.clone(), (self.last_number, body));
        self.insertion_order
            .push_back((self.last_number, key.clone()));
        while self.total_bytes > limit {
            let Some((number, oldest)) = self.insertion_order.pop_front() else {
                break;
            };
            if self
                .bodies
                .get(&oldest)
                .is_some_and(|(stored, _)| *stored == number)
            {
                self.remove(&oldest);
            }
        }
    }

    pub fn remove(&mut self, key: &Key) {
        if let Some((_, body)) = self.bodies.remove(key) {
            self.total_bytes -= body.len();
        }
        // Removed answers are deleted from the order only once they outnumber the stored ones.
        if self.insertion_order.len() > 2 * self.bodies.len() + 16 {
            let bodies = &self.bodies;
            self.insertion_order.retain(|(number, key)| {
                bodies.get(key).is_some_and(|(stored, _)| stored == number)
            });
        }
    }
}
