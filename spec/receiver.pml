/*
 * Orders to a receiver that ignores fencing tokens and may stand still: the order of an
 * old holder of a lease must not take effect after one of the next holder.
 *
 * spec/lease.pml proves that one process at a time believes to be the holder; this model
 * takes that as given: the old holder's term ends before the new holder may acquire. Two
 * holders are enough: the orders of two holders are in disorder independently of a third
 * one, and a holder between the two only delays the newer one. One order of the old holder
 * is enough too. The new holder is allowed more than in the code: it orders at any time
 * once it is settled, and its order takes effect whenever the receiver runs.
 *
 * Go functions that the model represents:
 *   probe, count, settle   weightload: settler.settle, settling.noteAnswer, Engines.Probe,
 *                          Loader.readReport
 *   wait after acquiring   weightload: Loader.serveTerm, lease.OrderGracePeriod
 *   confirm                lease: Guard.Confirm
 *   check and write        fence: WithGuard, the check directly before the system call
 *   kernel's limit         dial.WithUnackedTimeout, set by fence.NewClient
 *   give up                dial.ResetOnClose
 *   release                lease: campaign.release, once Loader.serveTerm has returned
 *
 * A tick is weightload's maxCountedGap. A process is paused while it takes no step; the
 * clock and the kernel of its machine go on. A suspended machine stops all three.
 *
 * Assumptions on the receiver:
 *   - It accepts connections in their order.
 *   - It reads what waits on an accepted connection within RUN ticks of running. Which of the
 *     waiting requests it serves first is open.
 *   - A stop of at most GAP ticks counts as running. After a longer stop it runs for at
 *     least MIN_RUN ticks.
 *
 * Each rule that makes the protocol safe can be removed:
 * weaken: WEAKEN_NO_SETTLING
 * weaken: WEAKEN_SETTLE_BY_CLOCK
 * weaken: WEAKEN_FAILED_PROBE_COUNTS
 * weaken: WEAKEN_LONG_GAP_COUNTS
 * weaken: WEAKEN_OLD_CONNECTION
 * weaken: WEAKEN_PROBE_TOO_EARLY
 * weaken: WEAKEN_NO_KERNEL_LIMIT
 * weaken: WEAKEN_RELEASE_WHILE_SENDING
 * weaken: WEAKEN_NO_CONFIRM
 * weaken: WEAKEN_CONFIRM_WITHOUT_RENEWAL
 *
 * The protocol does not cover these cases; each violates the assertion when it is added: a
 * receiver that stops again and again after a moment, a process that is paused between its
 * last check and the system call, a machine of the old holder that is suspended between the
 * confirmation and the arrival of the order, and a middlebox that holds the bytes of one
 * connection.
 * weaken: WEAKEN_SHORT_RUNS
 * weaken: WEAKEN_PAUSED_BEFORE_WRITE
 * weaken: WEAKEN_SUSPENDED_WHILE_SENDING
 * weaken: WEAKEN_HOLDING_MIDDLEBOX
 */

#define MARGIN 2
#ifdef WEAKEN_PROBE_TOO_EARLY
#define PROBE_AFTER 0
#else
#define PROBE_AFTER 3	/* ticks from the acquisition to the first probe */
#endif
/* The longest time for which a kernel sends unacknowledged bytes again. After an expired term
 * it is over before the first probe: KERNEL < MARGIN + PROBE_AFTER. */
#define KERNEL 4
#define RUN 2		/* longest time of running until a receiver reads what waits */
#define GAP 1		/* longest time between two answers that is counted */
#ifdef WEAKEN_SHORT_RUNS
#define MIN_RUN 0
#else
#define MIN_RUN 3	/* shortest time of running after a stop */
#endif
#define SETTLE 5	/* counted time after which the receiver is settled */
/* The term is longer than the new holder's wait and settling; in a shorter one, a clock that
 * stopped earlier would do no harm. */
#define TERM (PROBE_AFTER + SETTLE + 3)

/* The row of the lease, and the ticks until the new holder may acquire without a release. */
mtype = { free, old, new };
mtype holder = old;
byte silence = TERM + MARGIN;

/* The old holder: the ticks until the end of its term on its own clock. */
byte left = TERM;

/* The order of the old holder. */
mtype = { idle, checked, written, over };
mtype order = idle;
bit wire;		/* the kernel of the sender sends it */
byte limit;		/* ticks until that kernel gives it up */
bit arrived;		/* the kernel of the receiver has it */
byte ran;		/* ticks of running since it arrived and its connection was accepted */

/* Its connection at the receiver; a younger one waits behind a probe. */
mtype = { none, younger, waiting, accepted };
mtype connection = none;

/* The receiver. */
bit awake = 1;
byte stood, runs = MIN_RUN;	/* ticks since it stopped, up to GAP + 1, and since it woke, up to MIN_RUN */
bit newOrder;		/* an order of the new holder took effect */

/* The new holder. */
mtype = { unsent, sent, answered };
mtype probe = unsent;
byte wait;		/* ticks until the first probe */
byte since;		/* ticks since the last answer */
byte counted;
bit counting, settled;

#ifdef WEAKEN_LONG_GAP_COUNTS
#define MAX_SINCE SETTLE
#else
#define MAX_SINCE GAP
#endif

inline oldMachineTick() {
	if
	:: left > 0 -> left--
	:: else
	fi;
	if
#if !defined(WEAKEN_NO_KERNEL_LIMIT) && !defined(WEAKEN_HOLDING_MIDDLEBOX)
	:: wire && limit == 0 -> wire = 0
#endif
	:: wire && limit > 0 -> limit--
	:: else
	fi
}

inline receiverTick() {
	if
	:: !awake && stood <= GAP -> stood++
	:: !awake && stood > GAP
	:: awake ->
		if
		:: arrived && connection == accepted -> ran++
		:: else
		fi;
		if
		:: runs < MIN_RUN -> runs++
		:: else
		fi
	fi
}

proctype Tick() {
end:	do
	:: atomic {
		!awake || !arrived || connection != accepted || ran < RUN ->
		if
		:: oldMachineTick()
		:: /* The machine is suspended. */
#ifdef WEAKEN_SUSPENDED_WHILE_SENDING
			true
#else
			order != checked && !wire
#endif
		fi;
		if
		:: holder == old && silence > 0 -> silence--
		:: else
		fi;
		if
		:: wait > 0 -> wait--
		:: else
		fi;
		if
#ifdef WEAKEN_SETTLE_BY_CLOCK
		:: holder == new && wait == 0 && !settled && counted < SETTLE -> counted++
#else
		:: counting && since < MAX_SINCE -> since++
#endif
		:: else
		fi;
		receiverTick()
	   }
	od
}

inline disconnect() {
	connection = none;
	arrived = 0;
	ran = 0
}

proctype Receiver() {
end:	do
	:: atomic { awake && runs >= MIN_RUN -> awake = 0; stood = 0; runs = 0 }
	:: atomic { !awake && stood > GAP -> awake = 1; stood = 0 }
	:: /* The kernel acknowledges bytes also while the process stands still. */
		atomic { wire -> wire = 0; limit = 0; arrived = 1 }
	:: atomic { awake && (connection == waiting || connection == younger) -> connection = accepted }
	:: /* The old order takes effect. */
		atomic { awake && connection == accepted && arrived -> assert(!newOrder); disconnect() }
	:: /* An order of the new holder takes effect. */
		atomic { awake && settled -> newOrder = 1 }
	:: /* Answer a probe. The first one of a settling comes on a new connection, and the
	    * connections that are older are accepted before it. */
		atomic {
		awake && probe == sent ->
#ifndef WEAKEN_OLD_CONNECTION
		if
		:: !counting && connection == waiting -> connection = accepted
		:: else
		fi;
#endif
		probe = answered
	   }
	od
}

proctype Old() {
end:	do
	:: /* Renew. */
		atomic { holder == old -> left = TERM; silence = TERM + MARGIN }
	:: /* Check the clock, and confirm the lease by a renewal. */
		atomic {
			order == idle && left > 0 &&
#ifdef WEAKEN_NO_CONFIRM
			true
#else
			holder == old
#endif
			-> order = checked;
#if !defined(WEAKEN_NO_CONFIRM) && !defined(WEAKEN_CONFIRM_WITHOUT_RENEWAL)
			left = TERM;
			silence = TERM + MARGIN
#endif
		}
	:: /* Check the clock again and write the order on a new connection. */
		atomic {
#ifndef WEAKEN_PAUSED_BEFORE_WRITE
			left > 0 &&
#endif
			order == checked ->
			order = written;
			wire = 1;
			limit = KERNEL;
			connection = (probe == sent -> younger : waiting)
		}
	:: order == checked -> order = over
	:: /* The call ends: its answer came, or it is given up and the connection reset. */
		atomic {
			order == written ->
			order = over;
#ifndef WEAKEN_HOLDING_MIDDLEBOX
			wire = 0;
			limit = 0;
			if
			:: arrived
			:: else -> disconnect()
			fi
#endif
		}
	:: /* Release. */
		atomic {
#ifndef WEAKEN_RELEASE_WHILE_SENDING
			order != checked && order != written &&
#endif
			holder == old ->
			holder = free;
			left = 0;
			silence = 0
		}
	od
}

inline countAnswer() {
	if
	:: counting -> counted = counted + since
	:: else -> counting = 1
	fi;
	since = 0
}

proctype New() {
end:	atomic {
		(holder == free || silence == 0) ->
		holder = new;
		silence = 0;
		wait = PROBE_AFTER
	}
endprobing:
	do
	:: atomic {
		wait == 0 && probe == unsent ->
		probe = sent;
		connection = (connection == younger -> waiting : connection)
	   }
	:: atomic {
		probe == answered ->
		probe = unsent;
		countAnswer();
		if
#ifdef WEAKEN_NO_SETTLING
		:: true
#else
		:: counted >= SETTLE
#endif
			-> settled = 1; counting = 0; counted = 0; break
		:: else
		fi
	   }
	:: /* The probe fails. */
		atomic {
			probe == sent ->
			probe = unsent;
#ifdef WEAKEN_FAILED_PROBE_COUNTS
			countAnswer()
#else
#ifndef WEAKEN_SETTLE_BY_CLOCK
			counting = 0;
			counted = 0;
			since = 0
#endif
#endif
		}
	od
}

init {
	atomic {
		run Tick();
		run Receiver();
		run Old();
		run New()
	}
}
