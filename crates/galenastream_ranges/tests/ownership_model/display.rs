//! The text of steps and states in the trace of a counterexample.

use std::fmt;

use galenastream_utils::BootInstant;

use crate::{
    departure,
    model::Model,
    row::{FIRST, Row},
    step::{Delivery, Step},
};

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimePasses => write!(f, "1 s passes"),
            Self::NodeReads => write!(f, "T's node reads the row"),
            Self::NodeSyncs { planner } => {
                write!(f, "T's node gets the row of planner {}", planner + 1)
            }
            Self::NodeReplies => write!(f, "T's node replies to a heartbeat"),
            Self::NodeCancels(delivery) => write!(f, "T's node cancels the departure{delivery}"),
            Self::NodeHandsOver(delivery) => {
                write!(f, "T's node hands the released key over{delivery}")
            }
            Self::NodeRestarts => write!(f, "T's node restarts"),
            Self::PlannerReads { planner } => write!(f, "planner {} reads the row", planner + 1),
            Self::PlannerRevokes { planner, delivery } => {
                write!(f, "planner {} revokes the key of a lost owner{delivery}", planner + 1)
            }
            Self::PlannerMoves { planner, delivery } => {
                write!(f, "planner {} starts a move to the other target{delivery}", planner + 1)
            }
            Self::PlannerCompletes { planner, delivery } => {
                write!(f, "planner {} takes the key for vacant{delivery}", planner + 1)
            }
            Self::PlannerRecords { planner } => {
                write!(f, "planner {} records the departure", planner + 1)
            }
            Self::EarlierProgramWrites => write!(f, "an earlier program writes the row again"),
            Self::OtherReleases => write!(f, "U releases the key, which T gets"),
            Self::LateWriteArrives => write!(f, "the write under way reaches the store"),
        }
    }
}

impl fmt::Display for Delivery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered => Ok(()),
            Self::AnswerLost => write!(f, " (answer lost)"),
            Self::Late => write!(f, " (the write stays under way)"),
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |is_first: bool| if is_first { "T" } else { "U" };
        let entry = self.entry();
        write!(f, "v{} ", self.version)?;
        if let Some((from, to, _)) = departure::leaving(&entry.holding) {
            let to = to.map_or("nobody", |it| name(*it == *FIRST));
            write!(f, "leaving {} for {to}", name(*from == *FIRST))?;
        } else if let Some(owner) = entry.holding.owner() {
            write!(f, "owned by {}", name(*owner == *FIRST))?;
        } else {
            write!(f, "free")?;
        }
        write!(f, " #{}", entry.fence)
    }
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = Self::new().now;
        let ms = |at: BootInstant| at.saturating_since(start).as_millis();
        write!(f, "{} ms: store {}; node ", ms(self.now), self.store)?;
        match &self.node.known {
            Some(row) => write!(f, "v{}", row.version)?,
            None => write!(f, "-")?,
        }
        if let Some(at) = self.node.confirmed_at {
            write!(f, " confirmed at {}", ms(at))?;
        }
        for (index, planner) in self.planners.iter().enumerate() {
            write!(f, "; planner {} v{}", index + 1, planner.known.version)?;
        }
        if self.now < self.target.until {
            write!(f, "; T holds #{} until {} ms", self.target.fence, ms(self.target.until))?;
        }
        if self.other_holds() {
            write!(f, "; U holds #{}", self.store.entry().fence)?;
        }
        Ok(())
    }
}
