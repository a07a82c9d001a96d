/*
 * Leases and orders: acquire, renew, expire, pause, restart, release, lost and
 * late replies, a receiver that checks fencing tokens and one that ignores
 * them.
 *
 * Go functions that the model represents, in internal/lease:
 *   contend, acquire  campaign.tryAcquire, Contender.Observe, Contender.RemainingWait,
 *                     Contender.AcquireRecord
 *   renew             campaign.renew, Hold.RenewalRecord, Hold.NoteRenewal,
 *                     Hold.Reconcile
 *   check             Hold.CheckAt (Guard.Check)
 *   settle            WaitOrderGracePeriod, OrderGracePeriod
 *   release           campaign.release, Hold.ReleaseRecord
 *   compare-and-swap with a lost or late reply: platformapi.CommitConfirmed
 *
 * Clocks that stop, and Guard.Confirm, the renewal before each order that is there for them,
 * are modelled in receiver.pml.
 *
 * Time is counted in ticks. A pause is a tick that occurs while a node is
 * between two steps. So a node can be paused anywhere and for any time, except
 * between the check and the end of an order to the receiver that ignores
 * fencing tokens: this model assumes that an order takes effect at most ORDER ticks
 * after the check. A receiver that stands still breaks that assumption, since its kernel
 * keeps the order. spec/receiver.pml does without it, and assumes of the lease what
 * is proved here. docs/PROOFS.md states what neither covers.
 *
 * Each rule that makes the protocol safe can be removed:
 * weaken: WEAKEN_TERM_FROM_REPLY
 * weaken: WEAKEN_NO_GUARD
 * weaken: WEAKEN_NO_SILENCE
 * weaken: WEAKEN_SILENCE_FROM_REQUEST
 * weaken: WEAKEN_NO_MARGIN
 * weaken: WEAKEN_EPOCH_STAYS
 * weaken: WEAKEN_RELEASE_FORGETS_EPOCH
 * weaken: WEAKEN_BLIND_WRITE
 * weaken: WEAKEN_NO_SETTLE
 * weaken: WEAKEN_SETTLE_WITHOUT_MARGIN
 * weaken: WEAKEN_NO_FENCING
 */

#define NODES 2
#define TERM 2
#define DRIFT 1		/* ticks by which a slow clock lengthens a term */
#ifdef WEAKEN_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define ORDER 1		/* assumed longest time from the check to an order's effect */
/* SETTLE is the order grace period: the ticks for which a new holder waits before its
 * first order to the receiver that ignores fencing tokens. It is enough only under the
 * assumption on ORDER. */
#ifdef WEAKEN_NO_SETTLE
#define SETTLE 0
#else
#ifdef WEAKEN_SETTLE_WITHOUT_MARGIN
#define SETTLE ORDER
#else
#define SETTLE (ORDER + 1)
#endif
#endif
#define LAST 5		/* the last tick */
#define WRITES 3	/* maximum number of writes of the row */
#define NOBODY 0

byte now;

/* The row. */
byte version, holder, epoch;

/* Identities are numbered over all restarts; each incarnation of a node has its own. */
byte owners;

/* Set once a node has been killed and restarted; this happens at most once. */
bit restarted;

/* Whether the receiver of orders checks fencing tokens. Receivers don't affect each
 * other, so each run of the model has only one kind. */
bit checks;

/* Epochs of orders in transit, 0 is none, and the tick by which an order to the
 * receiver that ignores fencing tokens arrives. */
byte toChecking[NODES];
byte toIgnoring[NODES];
byte due[NODES];

/* The newest epoch that each receiver has seen. */
byte newestChecking, newestIgnoring;
/* ownerOf[e] is the identity that sent orders under epoch e. */
byte ownerOf[WRITES + 2];

/* If a check passes, no other identity has acquired the lease. */
inline act(e, who) {
	assert(ownerOf[e] == 0 || ownerOf[e] == who);
	assert(holder == who && epoch == e);
	ownerOf[e] = who
}

/* swap replaces the row if it is at the expected version. */
inline swap(expected, newHolder, newEpoch, done) {
	if
#ifdef WEAKEN_BLIND_WRITE
	:: version < WRITES ->
#else
	:: version == expected && version < WRITES ->
#endif
		version++;
		holder = newHolder;
		epoch = newEpoch;
		done = 1
	:: else -> done = 0
	fi
}

proctype Tick() {
end:	do
	:: atomic {
		now < LAST &&
		(toIgnoring[0] == 0 || now < due[0]) &&
		(toIgnoring[1] == 0 || now < due[1]) -> now++
	   }
	od
}

inline arriveAtChecking(i) {
	if
#ifdef WEAKEN_NO_FENCING
	:: true ->
#else
	:: toChecking[i] >= newestChecking ->
#endif
		assert(toChecking[i] >= newestChecking);
		newestChecking = toChecking[i]
#ifndef WEAKEN_NO_FENCING
	:: else
#endif
	fi;
	toChecking[i] = 0
}

inline arriveAtIgnoring(i) {
	assert(toIgnoring[i] >= newestIgnoring);
	newestIgnoring = toIgnoring[i];
	toIgnoring[i] = 0
}

/* Wire delivers orders at any time, those to the receiver that ignores fencing tokens
 * by their due tick, as assumed. */
proctype Wire() {
end:	do
	:: atomic { toChecking[0] != 0 -> arriveAtChecking(0) }
	:: atomic { toChecking[1] != 0 -> arriveAtChecking(1) }
	:: atomic { toIgnoring[0] != 0 -> arriveAtIgnoring(0) }
	:: atomic { toIgnoring[1] != 0 -> arriveAtIgnoring(1) }
	od
}

proctype Node(byte id) {
	byte me, seen, since, sent, myVersion, myEpoch, deadline, settled;
	byte v, h, e;
	bit done, known;

	/* The nodes are symmetric, so node 1 starts after the first write of node 0. This
	 * reduces the number of states. */
end:	atomic { id == 0 || version > 0 -> owners++; me = owners }

endcontend:
	/* Read the row; the reply comes later. */
	atomic {
		version < WRITES;
#ifdef WEAKEN_SILENCE_FROM_REQUEST
		sent = now;
#endif
		v = version; h = holder; e = epoch
	}
#ifdef WEAKEN_SILENCE_FROM_REQUEST
	/* The read takes effect after the request was sent. */
	atomic { v = version; h = holder; e = epoch }
#endif
	atomic {
		if
		:: known && seen == v
		:: else ->
			known = 1;
			seen = v;
#ifdef WEAKEN_SILENCE_FROM_REQUEST
			since = sent
#else
			since = now
#endif
		fi
	}
	if
#ifdef WEAKEN_NO_SILENCE
	:: true
#else
	:: h == NOBODY || h == me || now >= since + TERM + MARGIN
#endif
	:: now < LAST -> goto endcontend
	:: goto over
	fi;

	/* Acquire the lease. */
	atomic { sent = now; v = 0; h = 0 }
	atomic {
#ifdef WEAKEN_EPOCH_STAYS
		myEpoch = (e == 0 -> 1 : e);
#else
		myEpoch = e + 1;
#endif
		swap(seen, me, myEpoch, done)
	}
	if
	:: !done -> atomic { e = 0; sent = 0 } goto endcontend
	:: done		/* the reply arrives, or the nonce is read back */
	:: done -> atomic { done = 0; e = 0; sent = 0 } goto endcontend	/* the outcome stays unknown */
	fi;
	atomic {
		myVersion = seen + 1;
#ifdef WEAKEN_TERM_FROM_REPLY
		deadline = now + TERM;
#else
		deadline = sent + TERM;
#endif
		settled = now + SETTLE;
		/* The state of the contender is no longer needed. */
		seen = 0; since = 0; known = 0; v = 0; h = 0; e = 0; sent = 0; done = 0
	}

held:
	do
	:: /* Renew. */
		sent = now;
		atomic { swap(myVersion, me, myEpoch, done) }
		if
		:: done ->
			atomic {
				myVersion++;
#ifdef WEAKEN_TERM_FROM_REPLY
				deadline = now + TERM;
#else
				deadline = sent + TERM;
#endif
				done = 0;
				sent = 0
			}
		:: done ->	/* reply lost: the row is read, but the term is not extended */
			atomic { myVersion++; done = 0; sent = 0 }
		:: !done -> break
		fi
	:: /* An order to the receiver that checks: pauses of any length may follow the check. */
		atomic {
			checks && toChecking[id] == 0 &&
#ifdef WEAKEN_NO_GUARD
			true
#else
			now < deadline + DRIFT
#endif
			-> act(myEpoch, me);
			toChecking[id] = myEpoch
		}
	:: /* An order to the receiver that ignores fencing tokens. */
		atomic {
			!checks && toIgnoring[id] == 0 && now >= settled &&
#ifdef WEAKEN_NO_GUARD
			true
#else
			now < deadline + DRIFT
#endif
			-> act(myEpoch, me);
			toIgnoring[id] = myEpoch;
			due[id] = now + ORDER
		}
	:: /* Release the lease when the node drains. */
		atomic {
#ifdef WEAKEN_RELEASE_FORGETS_EPOCH
			swap(myVersion, NOBODY, 0, done);
#else
			swap(myVersion, NOBODY, myEpoch, done);
#endif
			done = 0
		}
		break
	:: now >= deadline + DRIFT -> break
	:: /* Killed and restarted: a new identity without state. */
		atomic {
			!restarted ->
			restarted = 1;
			known = 0;
			owners++;
			me = owners
		}
		break
	od;
	atomic { myEpoch = 0; myVersion = 0; deadline = 0; settled = 0; sent = 0; done = 0 }
	if
	:: goto endcontend
	:: now >= LAST -> goto over
	fi;
over:	skip
}

init {
	atomic {
		if
		:: checks = 0
		:: checks = 1
		fi;
		run Tick();
		run Wire();
		run Node(0);
		run Node(1)
	}
}
