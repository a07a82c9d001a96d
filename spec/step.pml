/*
 * Acceptance, ownership, commit of results and end of one step with two items, over
 * two VMs and a store whose answers may be lost and whose commits may take effect late.
 *
 * Go functions that the model represents:
 *   accept      step.Manager.Submit, rowstore.CommitConfirmed
 *   take over   step.Manager.takeOver: replaces the state row, then reads the results
 *   commit      step.run.commitPending: expects the version of the state row and the
 *               absence of its own row
 *   end         step.Manager.End
 *
 * weaken: WEAKEN_PROMISE_AFTER_SILENCE
 * weaken: WEAKEN_LIST_WITHOUT_STATE
 * weaken: WEAKEN_STALE_POSITION
 * weaken: WEAKEN_END_KEEPS_VERSION
 *
 * Two rules protect a takeover, each sufficient by itself: the new owner reads the
 * results after the change of owner, and a commit expects its row to be absent. The
 * model holds without either one; WEAKEN_STALE_POSITION removes both.
 */

#define VMS 2
#define ITEMS 2
#define CHANGES 3	/* changes of the state row after its acceptance */
#define NONE 0

/* The state row: its version, 0 while it is absent, the number of its changes, and
 * whether the step has ended. */
byte version, changes;
bit ended;
/* The rows of the results: the item at each position, and the number of rows. */
byte row[ITEMS + 1];
byte rows;

/* What the trainer has learned from answers. */
bit reportedNotRun;		/* the answer was "not run": the step will never be accepted */
bit endConfirmed;
byte read[ITEMS + 1];	/* the item that it read at a position */

/* Late copies that have not taken effect. */
bit lateAccept;
byte lateVersion, latePosition, lateItem;

inline writeRow(position, item) {
	assert(!endConfirmed);
	row[position] = item;
	if
	:: position >= rows -> rows = position + 1
	:: else
	fi;
	/* No item has two positions. */
	assert(row[0] == NONE || row[0] != row[1])
}

/* canCommit is the precondition of a commit of results. */
#ifdef WEAKEN_LIST_WITHOUT_STATE
#define isCurrent(v) true
#else
#define isCurrent(v) (version == v)
#endif
#ifdef WEAKEN_STALE_POSITION
#define isAbsent(p) true
#else
#define isAbsent(p) (row[p] == NONE)
#endif
#define canCommit(v, p) (isCurrent(v) && isAbsent(p))

/* Late copies take effect at any time, or never. */
proctype LateCommits() {
end:	do
	:: atomic { lateAccept ->
		lateAccept = 0;
		if
		:: version == 0 -> version = 1; assert(!reportedNotRun)
		:: else
		fi
	   }
	:: atomic { lateAccept -> lateAccept = 0 }
	:: atomic { lateItem != NONE ->
		if
		:: canCommit(lateVersion, latePosition) -> writeRow(latePosition, lateItem)
		:: else
		fi;
		lateItem = NONE
	   }
	:: atomic { lateItem != NONE -> lateItem = NONE }
	od
}

/* The VM to which the step is submitted. It sends a commit without an answer again until
 * a copy is answered, or stops and reports an unknown outcome. */
proctype Accept() {
	bit unanswered;

end:	do
	:: atomic { version == 0 -> version = 1; assert(!reportedNotRun); break }	/* answered */
	:: atomic { version == 0 -> version = 1; assert(!reportedNotRun); unanswered = 1 }	/* answer lost */
	:: atomic { !lateAccept -> lateAccept = 1; unanswered = 1 }
	:: atomic { version != 0 -> break }	/* a copy took effect first */
#ifdef WEAKEN_PROMISE_AFTER_SILENCE
	:: atomic { version == 0 -> reportedNotRun = 1; break }
#else
	:: atomic { version == 0 && !unanswered -> reportedNotRun = 1; break }
#endif
	:: atomic { unanswered -> break }
	od
}

/* A VM that takes the step over whenever it assumes that no live VM owns it, and commits
 * the missing items. The other VM may do so at the same time. */
proctype Owner() {
	byte heldVersion, readVersion, next, item;

end:	do
	:: atomic { version != 0 && !ended && changes < CHANGES -> readVersion = version;
#ifdef WEAKEN_STALE_POSITION
		next = rows
#endif
	   };
	   atomic {
		if
		:: version == readVersion && !ended && changes < CHANGES ->
			version++;
			changes++;
			heldVersion = version
		:: else -> heldVersion = 0
		fi
	   };
#ifndef WEAKEN_STALE_POSITION
	   atomic { next = rows };
#endif
	   /* The missing item, or either one while none is committed. */
	   do
	   :: heldVersion == 0 || next >= ITEMS -> break
	   :: heldVersion != 0 && next < ITEMS ->
		atomic {
			if
			:: next == 0 -> item = 1
			:: next == 0 -> item = 2
			:: next == 1 -> item = 3 - row[0]
			fi
		};
		do
		:: atomic { canCommit(heldVersion, next) -> writeRow(next, item); next++; break }
		:: atomic { canCommit(heldVersion, next) -> writeRow(next, item) }	/* answer lost */
		:: atomic { lateItem == NONE ->
			lateVersion = heldVersion; latePosition = next; lateItem = item }
		:: atomic { !canCommit(heldVersion, next) && isCurrent(heldVersion) && row[next] == item ->
			next++; break }	/* a copy of this commit took effect first */
		:: atomic { !canCommit(heldVersion, next) && !(isCurrent(heldVersion) && row[next] == item) ->
			heldVersion = 0; break }
		od
	   :: break	/* killed, or paused forever */
	   od
	od
}

proctype Trainer() {
	byte at;

end:	do
	:: atomic { at = 0;
		do
		:: at < ITEMS ->
			/* A row that was read does not change. */
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
	atomic { run LateCommits(); run Accept(); run Owner(); run Owner(); run Trainer() }
}
