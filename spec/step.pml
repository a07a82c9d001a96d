/*
 * Acceptance, ownership, commit of results and end of one step with two items, over
 * two VMs and a store whose answers may be lost and whose commits may take effect late.
 *
 * Go functions that the model represents:
 *   accept      step.Manager.Submit, rowstore.CommitConfirmed
 *   take over   step.Manager.takeOver: replaces the state row, then reads the results
 *   commit      step.run.commitBatch, commitPending: a batch of one or two results, whose
 *               row is named by its last position; expects the version of the state row
 *               and, by endOfResults, that the results end before its first position
 *   end         step.Manager.End
 *
 * weaken: WEAKEN_PROMISE_AFTER_SILENCE
 * weaken: WEAKEN_LIST_WITHOUT_STATE
 * weaken: WEAKEN_STALE_POSITION
 * weaken: WEAKEN_END_KEEPS_VERSION
 * weaken: WEAKEN_REPLACED_BATCH
 *
 * Two rules protect a takeover, each sufficient by itself: the new owner reads the
 * results after the change of owner, and a commit expects its row to be absent. The
 * model holds without either one; WEAKEN_STALE_POSITION removes both.
 *
 * Two rules keep rows from overlapping, each sufficient by itself: an owner sends the same
 * batch until its outcome is known, and a commit expects the results to end before its
 * position instead of only its own row to be absent. WEAKEN_REPLACED_BATCH removes both;
 * REPLACE_BATCH and EXPECT_OWN_ROW remove one.
 */

#ifdef WEAKEN_REPLACED_BATCH
#define REPLACE_BATCH
#define EXPECT_OWN_ROW
#endif

#define VMS 2
#define ITEMS 2
#define CHANGES 3	/* changes of the state row after its acceptance */
#define NONE 0

/* The state row: its version, 0 while it is absent, the number of its changes, and
 * whether the step has ended. */
byte version, changes;
bit ended;
/* The results: the item at each position, the row that holds it, as its last position + 1,
 * and the number of positions. */
byte row[ITEMS + 1];
byte holder[ITEMS + 1];
byte rows;

/* What the trainer has learned from answers. */
bit reportedNotRun;		/* the answer was "not run": the step will never be accepted */
bit endConfirmed;
byte read[ITEMS + 1];	/* the item that it read at a position */

/* Late copies that have not taken effect. */
bit lateAccept;
byte lateVersion, latePosition, lateItem, lateSecond;

/* hasRow reports whether a row with the last position l exists. */
#define hasRow(l) (holder[l] == (l) + 1)
/* lastOf is the last position of a batch; second is NONE in a batch of one result. */
#define lastOf(position, second) ((position) + ((second) != NONE))

inline put(position, item, last) {
	/* No two rows hold one position. */
	assert(holder[position] == 0 || holder[position] == last + 1);
	row[position] = item;
	holder[position] = last + 1
}

inline writeRow(position, item, second) {
	assert(!endConfirmed);
	put(position, item, lastOf(position, second));
	if
	:: second != NONE -> put(position + 1, second, position + 1)
	:: else
	fi;
	if
	:: lastOf(position, second) >= rows -> rows = lastOf(position, second) + 1
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
#define isAbsent(p, second) true
#else
#ifdef EXPECT_OWN_ROW
#define isAbsent(p, second) (!hasRow(lastOf(p, second)))
#else
#define isAbsent(p, second) (!hasRow(1) && ((p) == 1 || !hasRow(0)))
#endif
#endif
#define canCommit(v, p, second) (isCurrent(v) && isAbsent(p, second))
/* isOwn reports whether the row of a batch is in the store. */
#define isOwn(p, item, second) (holder[p] == lastOf(p, second) + 1 && row[p] == (item) && ((second) == NONE || row[1] == (second)))

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
		:: canCommit(lateVersion, latePosition, lateSecond) -> writeRow(latePosition, lateItem, lateSecond)
		:: else
		fi;
		lateItem = NONE; lateSecond = NONE
	   }
	:: atomic { lateItem != NONE -> lateItem = NONE; lateSecond = NONE }
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
	byte heldVersion, readVersion, next, item, second;

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
	   /* The missing item, or one or both while none is committed. */
	   do
	   :: heldVersion == 0 || next >= ITEMS -> break
	   :: heldVersion != 0 && next < ITEMS ->
		atomic {
			if
			:: next == 0 -> item = 1; second = NONE
			:: next == 0 -> item = 2; second = NONE
			:: next == 0 -> item = 1; second = 2
			:: next == 0 -> item = 2; second = 1
			:: next == 1 -> item = 3 - row[0]; second = NONE
			fi
		};
		do
		:: atomic { canCommit(heldVersion, next, second) ->
			writeRow(next, item, second); next = lastOf(next, second) + 1; break }
		:: atomic { canCommit(heldVersion, next, second) -> writeRow(next, item, second) }	/* answer lost */
		:: atomic { lateItem == NONE ->
			lateVersion = heldVersion; latePosition = next; lateItem = item; lateSecond = second }
#ifdef REPLACE_BATCH
		:: break	/* outcome unknown */
#endif
		:: atomic { !canCommit(heldVersion, next, second) && isCurrent(heldVersion) && isOwn(next, item, second) ->
			next = lastOf(next, second) + 1; break }	/* a copy of this commit took effect first */
		:: atomic { !canCommit(heldVersion, next, second) && !(isCurrent(heldVersion) && isOwn(next, item, second)) ->
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
