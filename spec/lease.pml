/*
 * Leases and orders: acquire, renew, lapse, pause, restart, release, lost and
 * late replies, a receiver that checks fencing numbers and one that ignores
 * them.
 *
 * Go functions it stands for, in internal/lease:
 *   contend, take   campaign.contend, Contender.Observe, Contender.Wait, Contender.Take
 *   renew           campaign.renew, Hold.Renewal, Hold.Renewed, Hold.Seen
 *   check           Hold.CheckAt (Guard.Check)
 *   settle          Settle, SettleTime
 *   release         campaign.release, Hold.Release
 *   compare-and-swap with a lost or late reply: platform.CommitSurely
 *
 * Time is counted in ticks. A pause is a tick that comes while a node stands
 * between two steps; so every node can be paused anywhere, for any time, but
 * between the check and the end of an order to the receiver that ignores
 * fencing, which lasts at most ORDER ticks. That longer pauses there are not
 * covered is stated in docs/PROOFS.md.
 *
 * Each rule that makes the protocol safe can be taken out:
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
#define DRIFT 1		/* by how much a slow clock lengthens a term */
#ifdef WEAKEN_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define ORDER 1		/* longest time from the check to an order's effect */
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
#define WRITES 3	/* bound on the writes of the row */
#define NOBODY 0

byte now;

/* The row. */
byte version, holder, epoch;

/* Owners are numbered over all restarts; no two are alike. */
byte owners;

/* One node is killed and started again once. */
bit restarted;

/* Whether the upstream of this run checks fencing numbers. The two kinds know
 * nothing of each other, so each run has one. */
bit checks;

/* Orders on their way; 0 is none. */
byte toChecking[NODES];
byte toIgnoring[NODES];
byte due[NODES];

/* What the receivers saw. */
byte newestChecking, newestIgnoring;
/* ownerOf[e] is the owner that acted under the epoch e. */
byte ownerOf[WRITES + 2];

/* A check that passes shows that nobody else has taken the lease. */
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

/* Wire takes orders to their receivers at any time, and in time. */
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

	/* The nodes are alike, so the second one waits for the first one's write. */
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

	/* Take the lease. */
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
	:: done		/* the reply comes, or the nonce is read back */
	:: done -> atomic { done = 0; e = 0; sent = 0 } goto endcontend	/* the reply is lost for good */
	fi;
	atomic {
		myVersion = seen + 1;
#ifdef WEAKEN_TERM_FROM_REPLY
		deadline = now + TERM;
#else
		deadline = sent + TERM;
#endif
		settled = now + SETTLE;
		/* What a contender remembers means nothing any more. */
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
		:: done ->	/* lost: the row is read, the term is not counted */
			atomic { myVersion++; done = 0; sent = 0 }
		:: !done -> break
		fi
	:: /* An order to the receiver that checks: any pause after the check. */
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
	:: /* An order to the receiver that ignores fencing. */
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
	:: /* Drain. */
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
	:: /* Killed and started again: a new owner, nothing is remembered. */
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
