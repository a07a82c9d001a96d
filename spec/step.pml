/*
 * Acceptance, ownership, listing and end of one step with two items, over two VMs
 * and a store whose answers are lost and which carries commits out late.
 *
 * Go functions it stands for:
 *   accept      step.Manager.Submit, kept.CommitSurely
 *   take over   step.Manager.takeOver: the state row is replaced, then the results
 *               are read
 *   list        step.run.list: expects the state's version and the absence of its row
 *   end         step.Manager.End
 *
 * weaken: WEAKEN_PROMISE_AFTER_SILENCE
 * weaken: WEAKEN_LIST_WITHOUT_STATE
 * weaken: WEAKEN_STALE_POSITION
 * weaken: WEAKEN_END_KEEPS_VERSION
 *
 * Two guards stand behind each other where a VM takes a step over: it reads the
 * results after the change of owner, and a commit expects its row to be absent. The
 * model holds without either; WEAKEN_STALE_POSITION removes both.
 */

#define VMS 2
#define ITEMS 2
#define CHANGES 3	/* changes of the state row after its acceptance */
#define NONE 0

/* The state row: its version, 0 while it is absent, and whether the step has ended. */
byte version, changes;
bit ended;
/* The results' rows: the item at each position, and how many there are. */
byte row[ITEMS + 1];
byte rows;

/* What the trainer was told. */
bit promised;		/* "not run, and never will be" */
bit endConfirmed;
byte read[ITEMS + 1];	/* what it read at a position */

/* Late copies on their way. */
bit lateAccept;
byte lateVersion, latePosition, lateItem;

inline put(position, item) {
	assert(!endConfirmed);
	row[position] = item;
	if
	:: position >= rows -> rows = position + 1
	:: else
	fi;
	/* No item stands at two positions. */
	assert(row[0] == NONE || row[0] != row[1])
}

/* mayList is the condition of a commit of results. */
#ifdef WEAKEN_LIST_WITHOUT_STATE
#define stateHolds(v) true
#else
#define stateHolds(v) (version == v)
#endif
#ifdef WEAKEN_STALE_POSITION
#define rowAbsent(p) true
#else
#define rowAbsent(p) (row[p] == NONE)
#endif
#define mayList(v, p) (stateHolds(v) && rowAbsent(p))

/* The store carries late copies out at any time, or never. */
proctype Late() {
end:	do
	:: atomic { lateAccept ->
		lateAccept = 0;
		if
		:: version == 0 -> version = 1; assert(!promised)
		:: else
		fi
	   }
	:: atomic { lateAccept -> lateAccept = 0 }
	:: atomic { lateItem != NONE ->
		if
		:: mayList(lateVersion, latePosition) -> put(latePosition, lateItem)
		:: else
		fi;
		lateItem = NONE
	   }
	:: atomic { lateItem != NONE -> lateItem = NONE }
	od
}

/* The VM at which the step is handed in. A commit without an answer is sent again
 * until one copy is answered, or the VM gives up and promises nothing. */
proctype Accept() {
	bit silent;

end:	do
	:: atomic { version == 0 -> version = 1; assert(!promised); break }	/* answered */
	:: atomic { version == 0 -> version = 1; assert(!promised); silent = 1 }	/* answer lost */
	:: atomic { !lateAccept -> lateAccept = 1; silent = 1 }
	:: atomic { version != 0 -> break }	/* a copy was first */
#ifdef WEAKEN_PROMISE_AFTER_SILENCE
	:: atomic { version == 0 -> promised = 1; break }
#else
	:: atomic { version == 0 && !silent -> promised = 1; break }
#endif
	:: atomic { silent -> break }
	od
}

/* A VM that takes the step over whenever it thinks that nobody runs it, and lists
 * what lacks. Another VM may do so at the same time. */
proctype Owner() {
	byte mine, seen, next, item;

end:	do
	:: atomic { version != 0 && !ended && changes < CHANGES -> seen = version;
#ifdef WEAKEN_STALE_POSITION
		next = rows
#endif
	   };
	   atomic {
		if
		:: version == seen && !ended && changes < CHANGES ->
			version++;
			changes++;
			mine = version
		:: else -> mine = 0
		fi
	   };
#ifndef WEAKEN_STALE_POSITION
	   atomic { next = rows };
#endif
	   /* The item that lacks, or either when nothing is listed. */
	   do
	   :: mine == 0 || next >= ITEMS -> break
	   :: mine != 0 && next < ITEMS ->
		atomic {
			if
			:: next == 0 -> item = 1
			:: next == 0 -> item = 2
			:: next == 1 -> item = 3 - row[0]
			fi
		};
		do
		:: atomic { mayList(mine, next) -> put(next, item); next++; break }
		:: atomic { mayList(mine, next) -> put(next, item) }	/* answer lost */
		:: atomic { lateItem == NONE ->
			lateVersion = mine; latePosition = next; lateItem = item }
		:: atomic { !mayList(mine, next) && stateHolds(mine) && row[next] == item ->
			next++; break }	/* a copy of this commit was first */
		:: atomic { !mayList(mine, next) && !(stateHolds(mine) && row[next] == item) ->
			mine = 0; break }
		od
	   :: break	/* killed, or paused for ever */
	   od
	od
}

proctype Trainer() {
	byte at;

end:	do
	:: atomic { at = 0;
		do
		:: at < ITEMS ->
			/* What was read once stays. */
			assert(read[at] == NONE || read[at] == row[at]);
			read[at] = row[at];
			at++
		:: else -> break
		od;
		at = 0
	   }
	:: atomic { version != 0 && !ended && changes < CHANGES ->
		ended = 1;
		changes++;
#ifndef WEAKEN_END_KEEPS_VERSION
		version++;
#endif
		endConfirmed = 1
	   }
	od
}

init {
	atomic { run Late(); run Accept(); run Owner(); run Owner(); run Trainer() }
}
