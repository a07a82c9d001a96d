/*
 * Edit, distribution and restart: two operators edit the same key through two VMs,
 * replies are lost, edits are repeated by edit ID, and nodes read the rows, restart
 * and learn from each other. An outage of the store needs no step of its own: the
 * steps that use the store do not happen.
 *
 * Go functions that the model represents:
 *   edit        config.Editor.Apply, applyOnce, commit
 *   follow      config.Syncer.syncFromStore; contract.Snapshot.Apply, contract.View.Advance
 *   bootstrap   config.readSnapshot
 *   learn       config.Syncer.syncFromPeers, confirm, Age; peer.Gossip.FetchConfig
 *
 * weaken: WEAKEN_NO_BASE
 * weaken: WEAKEN_NO_EDIT_ID
 * weaken: WEAKEN_NO_HEAD
 * weaken: WEAKEN_REVERT
 * weaken: WEAKEN_TORN_BOOTSTRAP
 * weaken: WEAKEN_NEVER_COUNTS
 * weaken: WEAKEN_CONFIRM_WITHOUT_SNAPSHOT
 * weaken: WEAKEN_SNAPSHOT_BEFORE_KNOWLEDGE
 */

#define EDITS 2
#define NODES 2
#define STEPS 3	/* maximum number of steps of all nodes */
#define LAST 4		/* maximum revision */

/* Rows: the head, the revisions of two subjects, and the revision that each edit made. */
byte head;
byte subject[2];
byte made[EDITS];	/* revision at which an edit was accepted; 0 is none */
byte writes;

/* Nodes: the revision in force, the revision of each subject in it, and an upper
 * bound of the head at the latest time at which the node knows that it was current. */
byte inForce[NODES];
byte seen[NODES * 2];
byte known[NODES];	/* the upper bound; valid if everKnown is set */
bit everKnown[NODES];
/* Set while a node answers its peer, so that it does not restart between the two reads. */
bit answering[NODES];
byte steps;		/* steps of all nodes so far */

/* An operator reads the subject's revision and sends the edit at most twice. */
proctype Operator(byte id) {
	byte base, at, tries, old;

	base = subject[0];
	do
	:: tries < 2 ->
		tries++;
#ifndef WEAKEN_NO_EDIT_ID
		if
		:: made[id] != 0 -> goto accepted
		:: else
		fi;
#endif
		at = head;
		/* One transaction; its preconditions are head, base and edit ID. */
		atomic {
			if
			::
#ifndef WEAKEN_NO_HEAD
			   head == at &&
#endif
#ifndef WEAKEN_NO_EDIT_ID
			   made[id] == 0 &&
#endif
#ifndef WEAKEN_NO_BASE
			   subject[0] == base &&
#endif
			   true ->
				/* No edit of another operator is overwritten unseen,
				 * each revision is new, and each edit is made once. */
				assert(subject[0] == base);
				assert(head < at + 1);
				assert(made[id] == 0);
				writes++;
				head = at + 1;
				subject[0] = at + 1;
				made[id] = at + 1
#ifdef WEAKEN_NO_EDIT_ID
				; base = at + 1
#endif
			:: else
			fi
		}
	:: break	/* the reply arrived, or the operator stops trying */
	od;
accepted: skip
}

/* Another operator edits another subject once. */
proctype OtherOperator() {
	atomic { head < LAST -> head++; subject[1] = head }
}

inline advance(n, revision, first, second) {
#ifndef WEAKEN_REVERT
	if
	:: revision > inForce[n] ->
#endif
		assert(revision >= inForce[n]);
		inForce[n] = revision;
		seen[n * 2] = first;
		seen[n * 2 + 1] = second
#ifndef WEAKEN_REVERT
	:: else
	fi
#endif
}

proctype Node(byte id) {
	byte a, b, r, k;
	bit knew;

end:	do
	:: atomic { steps < STEPS -> steps++ }
		if
		:: /* Read all rows, one scan after the other. */
			atomic { r = head }
			atomic { a = subject[0] }
			atomic { b = subject[1] }
			atomic {
				if
#ifndef WEAKEN_TORN_BOOTSTRAP
				:: head == r ->
#else
				:: true -> r = head;
#endif
					advance(id, r, a, b);
					/* What is in force is one consistent state of the store. */
					assert(a <= r && b <= r);
					assert(inForce[id] != head || (seen[id * 2] == subject[0] && seen[id * 2 + 1] == subject[1]));
					known[id] = (r > known[id] -> r : known[id]);
					everKnown[id] = 1
				:: else
				fi
			}
		:: /* Learn from the peer: first what it knows of the head, then its snapshot. */
#ifdef WEAKEN_SNAPSHOT_BEFORE_KNOWLEDGE
			atomic { answering[1 - id] = 1; r = inForce[1 - id]; a = seen[(1 - id) * 2]; b = seen[(1 - id) * 2 + 1] }
			atomic { answering[1 - id] = 0; k = known[1 - id]; knew = everKnown[1 - id] }
#else
			atomic { answering[1 - id] = 1; k = known[1 - id]; knew = everKnown[1 - id] }
			atomic { answering[1 - id] = 0; r = inForce[1 - id]; a = seen[(1 - id) * 2]; b = seen[(1 - id) * 2 + 1] }
#endif
#ifndef WEAKEN_CONFIRM_WITHOUT_SNAPSHOT
			atomic { advance(id, r, a, b) }
#endif
			atomic {
				if
#ifdef WEAKEN_NEVER_COUNTS
				:: true -> k = (knew -> k : head);
#else
				:: knew ->
#endif
					known[id] = (k > known[id] -> k : known[id]);
					everKnown[id] = 1
#ifndef WEAKEN_NEVER_COUNTS
				:: else
#endif
				fi
			}
		:: /* Restart: the node loses its state. */
			atomic { !answering[id] -> inForce[id] = 0; seen[id * 2] = 0; seen[id * 2 + 1] = 0; known[id] = 0; everKnown[id] = 0 }
		fi;
		/* A node that was current when the head was k has revision k or a later one in force. */
		atomic { assert(!everKnown[id] || inForce[id] >= known[id]); a = 0; b = 0; r = 0; k = 0; knew = 0 }
	od
}

init {
	atomic { run Operator(0); run Operator(1); run OtherOperator(); run Node(0); run Node(1) }
}
