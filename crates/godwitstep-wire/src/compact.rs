//! Encoding of frequently sent types as CBOR arrays without field names.
//!
//! Every request, reply and cancellation carries a [`RequestId`], and every link a [`Heartbeat`]
//! twice a second. With the derived encoding, field names would make up over half of their bytes.

use crate::{Heartbeat, Load, RequestId};
use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Reads the next element of an array. `index` is its position, for the error of a short array.
fn read_element<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    array: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    array
        .next_element()?
        .ok_or_else(|| A::Error::invalid_length(index, &"an array with all fields"))
}

/// Fails if the array has more elements. The decoder would otherwise read them as the next value.
fn expect_end<'de, A: SeqAccess<'de>>(mut array: A, field_count: usize) -> Result<(), A::Error> {
    match array.next_element::<IgnoredAny>()? {
        None => Ok(()),
        Some(_) => Err(A::Error::invalid_length(
            field_count + 1,
            &"an array with no more than the fields",
        )),
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut array = serializer.serialize_tuple(2)?;
        array.serialize_element(&self.incarnation)?;
        array.serialize_element(&self.sequence)?;
        array.end()
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct RequestIdVisitor;

        impl<'de> Visitor<'de> for RequestIdVisitor {
            type Value = RequestId;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an array of incarnation and sequence")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<RequestId, A::Error> {
                let id = RequestId {
                    incarnation: read_element(&mut array, 0)?,
                    sequence: read_element(&mut array, 1)?,
                };
                expect_end(array, 2)?;
                Ok(id)
            }
        }

        deserializer.deserialize_tuple(2, RequestIdVisitor)
    }
}

impl Serialize for Load {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut array = serializer.serialize_tuple(2)?;
        array.serialize_element(&self.busy)?;
        array.serialize_element(&self.from_receiver)?;
        array.end()
    }
}

impl<'de> Deserialize<'de> for Load {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct LoadVisitor;

        impl<'de> Visitor<'de> for LoadVisitor {
            type Value = Load;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an array of busy and ours")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<Load, A::Error> {
                let load = Load {
                    busy: read_element(&mut array, 0)?,
                    from_receiver: read_element(&mut array, 1)?,
                };
                expect_end(array, 2)?;
                Ok(load)
            }
        }

        deserializer.deserialize_tuple(2, LoadVisitor)
    }
}

impl Serialize for Heartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut array = serializer.serialize_tuple(5)?;
        array.serialize_element(&self.sequence)?;
        array.serialize_element(&self.load)?;
        array.serialize_element(&self.busy_accelerators)?;
        array.serialize_element(&self.rules)?;
        array.serialize_element(&self.targets)?;
        array.end()
    }
}

impl<'de> Deserialize<'de> for Heartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct HeartbeatVisitor;

        impl<'de> Visitor<'de> for HeartbeatVisitor {
            type Value = Heartbeat;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an array of the five fields of a heartbeat")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<Heartbeat, A::Error> {
                let heartbeat = Heartbeat {
                    sequence: read_element(&mut array, 0)?,
                    load: read_element(&mut array, 1)?,
                    busy_accelerators: read_element(&mut array, 2)?,
                    rules: read_element(&mut array, 3)?,
                    targets: read_element(&mut array, 4)?,
                };
                expect_end(array, 5)?;
                Ok(heartbeat)
            }
        }

        deserializer.deserialize_tuple(5, HeartbeatVisitor)
    }
}
