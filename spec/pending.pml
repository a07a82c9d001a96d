/*
 * Actions for a receiver that ignores fencing tokens, may stand still and can't be asked
 * whether it executed an action: the row of the lease carries a mark while such an action may
 * be under way, and a contender that sees the mark waits longer.
 *
 * spec/lease.pml proves that one process at a time believes to be the holder. This model
 * follows one holder, with every detail of its renewals and marks, up to the next holder.
 * One next holder is enough: a third one acts later than the second one was allowed to.
 * The next holder is a process of another VM, the next process of the same VM, or the old
 * process itself, which lost its lease. Its actions take effect as soon as it may act.
 *
 * Go functions that the model represents, in internal/lease:
 *   begin, cover, confirm   Act, Guard.BeginAction, Hold.beginAction: an action waits like
 *                           Guard.Confirm for a renewal that began after the mark was set
 *   end                     Hold.endAction
 *   begin renewal, take effect, reply
 *                           campaign.renew, Hold.RenewalRecord, Hold.NoteRenewal
 *   no reply                Hold.Reconcile: the term is not extended, and no action confirmed
 *   write                   fence: WithGuard, the check directly before the system call
 *   doubt                   Hold.pendingUntil, after a call without an answer
 *   MARKED_WAIT             Timing.PendingActionWait
 *   release                 campaign.runWhileHeld, which lets a lease in doubt expire
 *   acquire                 Contender.RemainingWait, campaign.acquirableAt
 *   grace                   lease.OrderGracePeriod
 *
 * A process is paused while it takes no step. Clocks run at one rate here; the margin
 * against clocks that differ is proved in spec/lease.pml.
 *
 * Assumption on the receiver: an action that it reads at all is read at most READ ticks after
 * the last change of the row that preceded its write. It reads what waits in any order. So
 * it may stand still for READ ticks after an arrival from a sender that runs, and for
 * READ - TERM ticks if the sender was paused for up to a term before the write.
 *
 * Each rule that makes the protocol safe can be removed:
 * weaken: WEAKEN_MARK_NOT_COMMITTED
 * weaken: WEAKEN_EARLIER_RENEWAL_CONFIRMS
 * weaken: WEAKEN_LOST_REPLY_CONFIRMS
 * weaken: WEAKEN_RENEWAL_DROPS_MARK
 * weaken: WEAKEN_ONE_ANSWER_CLEARS
 * weaken: WEAKEN_LATE_RENEWAL_OVERWRITES
 * weaken: WEAKEN_NO_DOUBT
 * weaken: WEAKEN_DOUBT_OF_ONE_TERM
 * weaken: WEAKEN_RELEASE_IN_DOUBT
 * weaken: WEAKEN_RELEASE_UNDER_WAY
 * weaken: WEAKEN_WAIT_OF_ONE_TERM
 * weaken: WEAKEN_NEXT_PROCESS_IGNORES_MARK
 * weaken: WEAKEN_OWN_LOST_LEASE_AT_ONCE
 * weaken: WEAKEN_NO_GRACE
 *
 * The bound is exact: a receiver that reads an action one tick later violates the assertion.
 * Nor does the protocol cover a process that is paused between its last check and the
 * system call.
 * weaken: WEAKEN_LONGER_STALL
 * weaken: WEAKEN_PAUSED_BEFORE_WRITE
 */

#define TERM 2
#define MARGIN 1
#define ONE_TERM (TERM + MARGIN)
#ifdef WEAKEN_WAIT_OF_ONE_TERM
#define MARKED_WAIT ONE_TERM
#else
#define MARKED_WAIT (2 * ONE_TERM)
#endif
#ifdef WEAKEN_NO_GRACE
#define GRACE 0
#else
#define GRACE 1
#endif
#ifdef WEAKEN_NO_DOUBT
#define DOUBT 0
#else
#ifdef WEAKEN_DOUBT_OF_ONE_TERM
#define DOUBT ONE_TERM
#else
#define DOUBT (2 * ONE_TERM)
#endif
#endif
#ifdef WEAKEN_LONGER_STALL
#define READ (2 * ONE_TERM + 1)
#else
#define READ (2 * ONE_TERM)
#endif
#define ACTIONS 2

/* The row. silence is the ticks since its last change. */
mtype = { old, free, new };
mtype holder = old;
bit mark;
byte silence;

/* The old holder. left is the ticks until the end of its term, doubt those for which a call
 * without an answer keeps the mark, pending the number of actions under way. */
byte left = TERM;
byte doubt;
byte pending;
bit killed;

/* Its renewal in flight. */
bit renewing, renewalMark, effective, superseded;
byte sent;		/* ticks since it was sent */

/* An earlier renewal without a reply, which may still take effect. */
bit late, lateMark;

/* Its actions. An action in state covered waits for the renewal in flight. */
mtype = { idle, begun, covered, confirmed, written, over };
mtype action[ACTIONS] = idle;
/* What the kernel of the receiver has, and the ticks since the change of the row that
 * preceded the write. */
bit arrived[ACTIONS], taken[ACTIONS];
byte age[ACTIONS];

/* The next holder. */
byte grace;
bit newAction;

#define canRead(i) (!arrived[i] || age[i] < READ)

inline tickAction(i) {
	if
	:: arrived[i] -> age[i]++
	:: else
	fi
}

inline countDown(counter) {
	if
	:: counter > 0 -> counter--
	:: else
	fi
}

proctype Tick() {
end:	do
	:: atomic {
		canRead(0) && canRead(1) ->
		if
		:: silence < MARKED_WAIT -> silence++
		:: else
		fi;
		if
		:: renewing && sent < TERM -> sent++
		:: else
		fi;
		countDown(left);
		countDown(doubt);
		countDown(grace);
		tickAction(0);
		tickAction(1)
	   }
	od
}

inline read(i) {
	atomic {
		arrived[i] ->
		assert(!newAction);
		arrived[i] = 0;
		age[i] = 0;
		taken[i] = 1
	}
}

proctype Receiver() {
end:	do
	:: read(0)
	:: read(1)
	od
}

/* writeRow writes the row. A renewal that was sent for the version before can't take effect
 * any more. */
inline writeRow(newHolder, newMark) {
	holder = newHolder;
	mark = newMark;
	silence = 0;
#ifndef WEAKEN_LATE_RENEWAL_OVERWRITES
	late = 0;
	lateMark = 0;
#endif
}

/* What happens to the calls of the old holder in the network and the store. */
proctype Store() {
end:	do
	:: /* The renewal in flight takes effect. */
		atomic { renewing && !effective && !superseded && holder == old -> effective = 1; writeRow(old, renewalMark) }
	:: /* An earlier one does. */
		atomic {
			late && holder == old ->
			late = 0;
			writeRow(old, lateMark);
			lateMark = 0;
#ifndef WEAKEN_LATE_RENEWAL_OVERWRITES
			if
			:: renewing && !effective -> superseded = 1
			:: else
			fi
#endif
		}
	od
}

inline cover(i) {
	if
	:: action[i] == begun -> action[i] = covered
	:: else
	fi
}

inline confirm(i) {
	if
	:: action[i] == covered -> action[i] = confirmed
#ifdef WEAKEN_EARLIER_RENEWAL_CONFIRMS
	:: action[i] == begun -> action[i] = confirmed
#endif
	:: else
	fi
}

inline uncover(i) {
	if
	:: action[i] == covered -> action[i] = begun
	:: else
	fi
}

inline endRenewal() {
	renewing = 0;
	renewalMark = 0;
	effective = 0;
	superseded = 0;
	sent = 0
}

inline endAction(i) {
	action[i] = over;
#ifdef WEAKEN_ONE_ANSWER_CLEARS
	pending = 0
#else
	pending--
#endif
}

#define alive (!killed && holder == old)

inline act(i) {
	if
	:: /* Begin an action: set the mark. */
		action[i] == idle && holder == old && left > 0 ->
		action[i] = begun;
		pending++
#ifdef WEAKEN_MARK_NOT_COMMITTED
	:: action[i] == begun -> action[i] = confirmed
#endif
	:: /* Give it up before the write. */
		action[i] == begun || action[i] == covered || action[i] == confirmed -> endAction(i)
	:: /* Check the term and write. The bytes may be lost. */
#ifndef WEAKEN_PAUSED_BEFORE_WRITE
		left > 0 &&
#endif
		action[i] == confirmed ->
		action[i] = written;
		if
		:: arrived[i] = 1; age[i] = silence
		:: true
		fi
	:: /* The answer arrives. */
		action[i] == written && taken[i] -> endAction(i)
	:: /* The call ends without an answer. */
		action[i] == written -> endAction(i); doubt = DOUBT
	fi
}

proctype Old() {
end:	do
	:: atomic { !killed -> act(0) }
	:: atomic { !killed -> act(1) }
	:: /* Begin a renewal. */
		atomic {
			alive && !renewing && left > 0 ->
			renewing = 1;
#ifdef WEAKEN_RENEWAL_DROPS_MARK
			renewalMark = (action[0] == begun || action[1] == begun);
#else
			renewalMark = (pending > 0 || doubt > 0);
#endif
			cover(0);
			cover(1)
		}
	:: /* Its reply arrives. */
		atomic {
			!killed && renewing && effective ->
			left = (TERM - sent > left -> TERM - sent : left);
			endRenewal();
			confirm(0);
			confirm(1)
		}
	:: /* Its reply is lost, or it has not taken effect yet. */
		atomic {
			!killed && renewing ->
			if
			:: !effective && !superseded && !late -> late = 1; lateMark = renewalMark
			:: true
			fi;
			endRenewal();
#ifdef WEAKEN_LOST_REPLY_CONFIRMS
			confirm(0);
			confirm(1)
#else
			uncover(0);
			uncover(1)
#endif
		}
	:: /* Release at a planned stop, once the actions have ended. */
		atomic {
#ifndef WEAKEN_RELEASE_UNDER_WAY
			pending == 0 &&
#endif
#ifndef WEAKEN_RELEASE_IN_DOUBT
			doubt == 0 &&
#endif
			alive && left > 0 && !renewing ->
			left = 0;
			writeRow(free, 0)
		}
	:: /* The process is killed. */
		atomic {
			!killed ->
			killed = 1;
			left = 0;
			doubt = 0;
			if
			:: renewing && !effective && !superseded && !late -> late = 1; lateMark = renewalMark
			:: true
			fi;
			endRenewal()
		}
	od
}

/* The longest wait for a row that is marked or not. */
#define required (mark -> MARKED_WAIT : ONE_TERM)

inline acquire() {
	writeRow(new, 0);
	grace = GRACE
}

proctype New() {
end:	if
	:: /* Another VM. */
		atomic { holder == free || holder == old && silence >= required -> acquire() }
	:: /* The next process of the VM. */
		atomic {
#ifndef WEAKEN_NEXT_PROCESS_IGNORES_MARK
			(!mark || silence >= MARKED_WAIT) &&
#endif
			killed && holder == old -> acquire()
		}
	:: /* The old process, whose term is over. It waits for its own actions by its clock. */
		atomic {
#ifndef WEAKEN_OWN_LOST_LEASE_AT_ONCE
			doubt == 0 &&
#endif
			!killed && holder == old && left == 0 && pending == 0 -> acquire()
		}
	fi;
endact:	atomic { grace == 0 -> newAction = 1 }
}

init {
	atomic {
		run Tick();
		run Receiver();
		run Store();
		run Old();
		run New()
	}
}
