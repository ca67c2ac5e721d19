//! Kept answers, bounded in size; the oldest are dropped first.

use crate::id::Key;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
pub struct Answers {
    bodies: BTreeMap<Key, (u64, Bytes)>,
    /// Keys with the number of their answer, oldest first; may name answers that are gone.
    order: VecDeque<(u64, Key)>,
    next: u64,
    size: usize,
}

impl Answers {
    pub fn get(&self, key: &Key) -> Option<&Bytes> {
        self.bodies.get(key).map(|(_, body)| body)
    }

    /// Keeps an answer and drops the oldest ones so that all fit in `limit`.
    ///
    /// The body is copied, because it may be a slice of a much larger buffer of the connection that
    /// it came on, which would stay allocated for as long as the answer is kept.
    pub fn insert(&mut self, key: &Key, body: &Bytes, limit: usize) {
        self.remove(key);
        let body = Bytes::copy_from_slice(body);
        self.size += body.len();
        self.next += 1;
        self.bodies.insert(key.clone(), (self.next, body));
        self.order.push_back((self.next, key.clone()));
        while self.size > limit {
            let Some((number, oldest)) = self.order.pop_front() else {
                break;
            };
            if self
                .bodies
                .get(&oldest)
                .is_some_and(|(of, _)| *of == number)
            {
                self.remove(&oldest);
            }
        }
    }

    pub fn remove(&mut self, key: &Key) {
        if let Some((_, body)) = self.bodies.remove(key) {
            self.size -= body.len();
        }
        // Names of answers that are gone are dropped once they outnumber the others.
        if self.order.len() > 2 * self.bodies.len() + 16 {
            let bodies = &self.bodies;
            self.order
                .retain(|(number, key)| bodies.get(key).is_some_and(|(of, _)| of == number));
        }
    }
}
