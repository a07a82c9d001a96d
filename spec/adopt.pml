/*
 * Results of one step with two items that three VMs run before the step is accepted. One of
 * the VMs becomes the first owner; the two others may claim the step. A claim replaces the
 * state row, reads the committed results and adopts them. Attempts and score calls end at any
 * time, also during a claim and after the loss of ownership.
 *
 * Go functions that the model represents:
 *   claim       step.earlyRun.claim, step.Manager.becomeOwner, step.run.adoptCommitted
 *   attempts    step.run.runAttempt, step.run.score
 *   phases      step.itemList.move, queue, adopt
 *   commit      step.run.commitBatch, step.itemList.batch, confirm
 *
 * step.pml models commits without an answer, and why results are read after the claim.
 *
 * weaken: WEAKEN_LATE_ATTEMPT_REOPENS
 * weaken: WEAKEN_LATE_SCORE_QUEUES
 * weaken: WEAKEN_ADOPTION_KEEPS_QUEUE
 */

#define VMS 3
#define ITEMS 2
#define ROWS 4

/* Phases of an item. */
#define RUNNING 0
#define UNSCORED 1
#define SCORING 2
#define DONE 3

/* The state row: its version, which is also the epoch; 0 while the step is not accepted. */
byte version;
/* The committed results: the item at each position, counted from 1. */
byte row[ROWS];
byte rows;
bit listed[ITEMS];

typedef Run {
	byte phase[ITEMS];
	/* How many results of an item are queued for commit. */
	byte queued[ITEMS];
	/* The version under which the run commits; 0 until it is accepted. */
	byte held;
	/* The number of committed results that the run knows. */
	byte known
}
Run run_[VMS];

/* canCommit is the precondition of a commit: the version of the state row, and the absence of
 * the row of the next position that the run knows. */
#define canCommit(vm) (run_[vm].held != 0 && run_[vm].held == version && run_[vm].known == rows)

inline commitRow(vm, item) {
	/* No item has two positions. */
	assert(!listed[item]);
	listed[item] = 1;
	row[rows] = item + 1;
	rows++;
	run_[vm].known = rows;
	run_[vm].queued[item]--
}

inline adopt(vm) {
	k = 0;
	do
	:: k < rows ->
		run_[vm].phase[row[k] - 1] = DONE;
#ifndef WEAKEN_ADOPTION_KEEPS_QUEUE
		run_[vm].queued[row[k] - 1] = 0;
#endif
		k++
	:: else -> break
	od;
	k = 0;
	run_[vm].known = rows
}

/* An attempt at an item and its score call. Each step is one transition of itemList, which
 * the run's lock guards. */
proctype Item(byte vm; byte item) {
	/* The attempt is complete. */
	atomic {
		if
#ifdef WEAKEN_LATE_ATTEMPT_REOPENS
		:: true -> run_[vm].phase[item] = UNSCORED
#else
		:: run_[vm].phase[item] == RUNNING -> run_[vm].phase[item] = UNSCORED
		:: else
#endif
		fi
	};
	atomic {
		if
		:: run_[vm].phase[item] == UNSCORED -> run_[vm].phase[item] = SCORING
		:: else -> goto over
		fi
	};
	/* The score call has returned. */
	atomic {
		if
#ifdef WEAKEN_LATE_SCORE_QUEUES
		:: true ->
#else
		:: run_[vm].phase[item] == SCORING ->
#endif
			run_[vm].phase[item] = DONE;
			run_[vm].queued[item]++
#ifndef WEAKEN_LATE_SCORE_QUEUES
		:: else
#endif
		fi
	};
over:	skip
}

/* The run of a VM commits its queued results under the version that it holds. */
proctype Commits(byte vm) {
end:	do
	:: atomic { canCommit(vm) && run_[vm].queued[0] > 0 -> commitRow(vm, 0) }
	:: atomic { canCommit(vm) && run_[vm].queued[1] > 0 -> commitRow(vm, 1) }
	od
}

/* A VM that claims the step from its owner while its own run is not accepted. */
proctype Claim(byte vm) {
	byte seen, k;

end:	do
	:: atomic { version != 0 && run_[vm].held == 0 -> seen = version };
	   atomic {
		if
		:: version == seen -> version++; seen = version
		:: else -> seen = 0
		fi
	   };
	   if
	   :: seen != 0 ->
		atomic { adopt(vm) };
		atomic { run_[vm].held = seen; seen = 0 }
	   :: else
	   fi
	od
}

init {
	atomic {
		run Item(0, 0); run Item(0, 1); run Item(1, 0); run Item(1, 1); run Item(2, 0); run Item(2, 1);
		run Commits(0); run Commits(1); run Commits(2);
		run Claim(1); run Claim(2);
		version = 1;
		run_[0].held = 1
	}
}
