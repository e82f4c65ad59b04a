//! Slots of a leaf and the queue of parts that wait for one.

use std::collections::{BTreeMap, VecDeque};

/// Sequence number of a part at its leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Result of [`Slots::arrive`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The part has a slot.
    Slot(Ticket),
    /// The part waits for a slot.
    Queue(Ticket),
    /// The part was not admitted: the queue is full.
    Full,
}

/// Slots and queue; `J` is the data that a leaf keeps per part.
#[derive(Clone, Debug)]
pub struct Slots<J> {
    slots: u32,
    queue_capacity: usize,
    next: u64,
    running: BTreeMap<Ticket, J>,
    queue: VecDeque<(Ticket, J)>,
}

impl<J> Slots<J> {
    /// Creates `slots` free slots and an empty queue.
    ///
    /// ```
    /// use jacinthfall_standin::leaf::slots::{Admission, Slots, Ticket};
    /// let mut slots = Slots::new(1, 0);
    /// assert_eq!(slots.arrive("first"), Admission::Slot(Ticket(0)));
    /// assert_eq!(slots.arrive("second"), Admission::Full);
    /// ```
    #[must_use]
    pub fn new(slots: u32, queue_capacity: usize) -> Slots<J> {
        Slots { slots, queue_capacity, next: 0, running: BTreeMap::new(), queue: VecDeque::new() }
    }

    /// Changes the number of slots and the capacity of the queue.
    pub fn resize(&mut self, slots: u32, queue_capacity: usize) {
        self.slots = slots;
        self.queue_capacity = queue_capacity;
    }

    /// Number of slots in use.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Number of parts that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Gives a part a slot or enqueues it.
    pub fn arrive(&mut self, job: J) -> Admission {
        let ticket = Ticket(self.next);
        if self.queue.is_empty() && self.is_free() {
            self.next += 1;
            self.running.insert(ticket, job);
            return Admission::Slot(ticket);
        }
        if self.queue.len() >= self.queue_capacity {
            return Admission::Full;
        }
        self.next += 1;
        self.queue.push_back((ticket, job));
        Admission::Queue(ticket)
    }

    /// Removes a part from its slot or from the queue; `None` if it is in neither.
    pub fn remove(&mut self, ticket: Ticket) -> Option<J> {
        if let Some(job) = self.running.remove(&ticket) {
            return Some(job);
        }
        let index = self.queue.iter().position(|(queued, _)| *queued == ticket)?;
        self.queue.remove(index).map(|(_, job)| job)
    }

    /// Moves the first part of the queue to a free slot; `None` if there is no such part or slot.
    pub fn promote(&mut self) -> Option<(Ticket, &J)> {
        if !self.is_free() {
            return None;
        }
        let (ticket, job) = self.queue.pop_front()?;
        Some((ticket, self.running.entry(ticket).or_insert(job)))
    }

    fn is_free(&self) -> bool {
        self.running.len() < usize::try_from(self.slots).unwrap_or(usize::MAX)
    }
}
