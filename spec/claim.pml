/*
 * Claim, dispatch, refusal and repeat of a non-idempotent request with an
 * idempotency key, over two VMs and a store whose replies are lost or late.
 *
 * Go functions it stands for:
 *   insert      request.Claims.Take, platform.CommitSurely (a late copy of the
 *               insert may arrive at any time)
 *   run         the dispatch that follows a claim
 *   finish      request.Claims.Finish
 *   withdraw    request.Claims.Withdraw (a late copy may arrive at any time)
 *   repeat      request.Claims.Take on a claimed key
 *
 * weaken: WEAKEN_BLIND_INSERT
 * weaken: WEAKEN_RUN_BEFORE_CLAIM
 * weaken: WEAKEN_RUN_ON_UNKNOWN
 * weaken: WEAKEN_RERUN_WITHOUT_OUTCOME
 * weaken: WEAKEN_WITHDRAW_AFTER_RUN
 * weaken: WEAKEN_WITHDRAW_WITHOUT_VERSION
 * weaken: WEAKEN_NOT_RUN_ON_UNKNOWN
 */

#define VMS 2
#define TRIES 3		/* requests with the same key over all VMs */
#define FREE 0

/* The row: who claimed (a nonce), its version and whether the outcome stands. */
byte claimer, version, versions;
bit outcome;

byte nonces;
byte runs;		/* how often the request ran */
bit ranAfterNotRun;
/* A late copy of an insert and of a withdrawal on their way. */
byte lateInsert, lateDelete;

inline insert(nonce) {
	if
#ifdef WEAKEN_BLIND_INSERT
	:: true ->
#else
	:: claimer == FREE ->
#endif
		versions++;
		version = versions;
		claimer = nonce;
		outcome = 0
	:: claimer != FREE
	fi
}

/* Late copies of commits take effect at any time, or never. */
proctype Late() {
end:	do
	:: atomic { lateInsert != 0 -> insert(lateInsert); lateInsert = 0 }
	:: atomic { lateInsert != 0 -> lateInsert = 0 }
	:: atomic {
		lateDelete != 0 ->
		if
#ifdef WEAKEN_WITHDRAW_WITHOUT_VERSION
		:: true ->
#else
		:: version == lateDelete && claimer != FREE ->
#endif
			claimer = FREE; outcome = 0
		:: version != lateDelete || claimer == FREE
		fi;
		lateDelete = 0
	   }
	:: atomic { lateDelete != 0 -> lateDelete = 0 }
	od
}

proctype VM() {
	byte me, mine;
	bit claimed, sent;

end:	do
	:: atomic { nonces < TRIES -> nonces++; me = nonces; claimed = 0; sent = 0 }
#ifdef WEAKEN_RUN_BEFORE_CLAIM
		runs++; sent = 1; assert(runs <= 1);
#endif
		/* Claim. */
		if
		:: atomic { insert(me); claimed = (claimer == me) }
		:: atomic {	/* no reply, and the read-back fails too */
			lateInsert == 0 -> lateInsert = me;
#ifdef WEAKEN_RUN_ON_UNKNOWN
			claimed = 1
#endif
		   }
#ifndef WEAKEN_RUN_ON_UNKNOWN
		   goto refused
#endif
		fi;
		if
		:: claimed -> atomic { mine = version }
		:: !claimed && outcome -> goto next	/* the stored answer */
		:: !claimed && !outcome ->
#ifdef WEAKEN_RERUN_WITHOUT_OUTCOME
			claimed = 1
#else
			goto next	/* "unknown" */
#endif
		fi;
		/* Dispatch, or give up before; or the VM is killed. */
		if
		:: atomic { runs++; sent = 1; assert(runs <= 1) }
		:: true
		:: goto next
		fi;
		if
		:: sent ->
			if
			:: atomic { claimer == me -> outcome = 1; versions++; version = versions }
			:: true		/* the outcome can't be stored */
			fi;
#ifdef WEAKEN_WITHDRAW_AFTER_RUN
			atomic { if :: claimer == me -> claimer = FREE; outcome = 0 :: else fi }
#endif
		:: !sent ->
			if
			:: atomic { claimer == me -> claimer = FREE; outcome = 0 }
			:: atomic { claimer == me && lateDelete == 0 -> lateDelete = mine }
			:: atomic {	/* no reply, sent again, and a copy is late */
				claimer == me && lateDelete == 0 ->
				lateDelete = mine; claimer = FREE; outcome = 0
			   }
			:: true
			fi;
refused:		/* "Not run" is said of this request: it never ran, nor will. */
			assert(!sent)
		fi;
next:		atomic {
#ifdef WEAKEN_NOT_RUN_ON_UNKNOWN
			assert(!sent);
#endif
			me = 0; mine = 0; claimed = 0; sent = 0
		}
	od
}

init {
	atomic { run Late(); run VM(); run VM() }
}
