/*
 * Claim, dispatch, refusal and repetition of a non-idempotent request with an
 * idempotency key, over two VMs and a store whose replies may be lost and whose
 * commits may take effect late.
 *
 * Go functions that the model represents:
 *   insert      request.Claims.Acquire, platformapi.CommitConfirmed (a late copy
 *               of the insert may take effect at any time)
 *   run         the dispatch of the request after its claim
 *   finish      request.Claims.Finish
 *   withdraw    request.Claims.Withdraw (a late copy may take effect at any time)
 *   repeat      request.Claims.Acquire on a claimed key
 *
 * weaken: WEAKEN_BLIND_INSERT
 * weaken: WEAKEN_RUN_BEFORE_CLAIM
 * weaken: WEAKEN_RUN_ON_UNKNOWN
 * weaken: WEAKEN_RERUN_WITHOUT_OUTCOME
 * weaken: WEAKEN_WITHDRAW_AFTER_RUN
 * weaken: WEAKEN_WITHDRAW_WITHOUT_VERSION
 * weaken: WEAKEN_NOT_RUN_ON_UNKNOWN
 * weaken: WEAKEN_WITHDRAW_DELETES
 */

#define VMS 2
#define TRIES 3		/* requests with the same key over all VMs */
#define FREE 0

/* The row of the claim: the nonce of the claimer, FREE if there is no row or its claim was
 * withdrawn, the row version, 0 if there is no row, the newest version so far, and whether
 * the outcome is stored. */
byte claimer, version, versions;
bit outcome;

byte nonces;
byte runs;		/* how often the request was run */
bit ranAfterNotRun;
/* Late copies that have not taken effect: the nonce of an insert with the row version that
 * it expects, and the row version that a withdrawal expects; 0 is none. */
byte lateInsert, lateInsertVersion, lateDelete;
/* The claims that were withdrawn, by nonce. */
bit withdrawn[TRIES + 1];

inline insert(nonce, expected) {
	if
#ifdef WEAKEN_BLIND_INSERT
	:: true ->
#else
	:: claimer == FREE && version == expected ->
#endif
		versions++;
		version = versions;
		claimer = nonce;
		outcome = 0;
		assert(!withdrawn[nonce])
	:: claimer != FREE || version != expected
	fi
}

/* A withdrawal replaces the row. */
inline withdraw() {
	withdrawn[claimer] = 1;
#ifdef WEAKEN_WITHDRAW_DELETES
	version = 0;
#else
	versions++;
	version = versions;
#endif
	claimer = FREE; outcome = 0
}

/* Late copies of commits take effect at any time, or never. */
proctype LateCommits() {
end:	do
	:: atomic { lateInsert != 0 -> insert(lateInsert, lateInsertVersion); lateInsert = 0 }
	:: atomic { lateInsert != 0 -> lateInsert = 0 }
	:: atomic {
		lateDelete != 0 ->
		if
#ifdef WEAKEN_WITHDRAW_WITHOUT_VERSION
		:: true ->
#else
		:: version == lateDelete && claimer != FREE ->
#endif
			withdraw()
		:: version != lateDelete || claimer == FREE
		fi;
		lateDelete = 0
	   }
	:: atomic { lateDelete != 0 -> lateDelete = 0 }
	od
}

proctype VM() {
	byte myNonce, myVersion;
	bit claimed, dispatched;

end:	do
	:: atomic { nonces < TRIES -> nonces++; myNonce = nonces; claimed = 0; dispatched = 0 }
#ifdef WEAKEN_RUN_BEFORE_CLAIM
		runs++; dispatched = 1; assert(runs <= 1);
#endif
		/* Claim. */
		if
		:: atomic { insert(myNonce, version); claimed = (claimer == myNonce) }
		:: atomic {	/* no reply; sent again, and the first copy is late */
			lateInsert == 0 -> lateInsert = myNonce; lateInsertVersion = version;
			insert(myNonce, version); claimed = (claimer == myNonce)
		   }
		:: atomic {	/* no reply, and the row can't be read back */
			lateInsert == 0 -> lateInsert = myNonce; lateInsertVersion = version;
#ifdef WEAKEN_RUN_ON_UNKNOWN
			claimed = 1
#endif
		   }
#ifndef WEAKEN_RUN_ON_UNKNOWN
		   goto refused
#endif
		fi;
		if
		:: claimed -> atomic { myVersion = version }
		:: !claimed && outcome -> goto next	/* answered from the stored outcome */
		:: !claimed && !outcome ->
#ifdef WEAKEN_RERUN_WITHOUT_OUTCOME
			claimed = 1
#else
			goto next	/* answered "unknown" */
#endif
		fi;
		/* Dispatch, or cancel before the dispatch, or the VM is killed. */
		if
		:: atomic { runs++; dispatched = 1; assert(runs <= 1) }
		:: true
		:: goto next
		fi;
		if
		:: dispatched ->
			if
			:: atomic { claimer == myNonce -> outcome = 1; versions++; version = versions }
			:: true		/* the outcome can't be stored */
			fi;
#ifdef WEAKEN_WITHDRAW_AFTER_RUN
			atomic { if :: claimer == myNonce -> withdraw() :: else fi }
#endif
		:: !dispatched ->
			if
			:: atomic { claimer == myNonce -> withdraw() }
			:: atomic { claimer == myNonce && lateDelete == 0 -> lateDelete = myVersion }
			:: atomic {	/* no reply; sent again, and the first copy is late */
				claimer == myNonce && lateDelete == 0 ->
				lateDelete = myVersion; withdraw()
			   }
			:: true
			fi;
refused:		/* The answer is "not run": the request did not run and never will. */
			assert(!dispatched)
		fi;
next:		atomic {
#ifdef WEAKEN_NOT_RUN_ON_UNKNOWN
			assert(!dispatched);
#endif
			myNonce = 0; myVersion = 0; claimed = 0; dispatched = 0
		}
	od
}

init {
	atomic { run LateCommits(); run VM(); run VM() }
}
