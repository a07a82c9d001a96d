/*
 * Path of one item from its complete text to its committed score, over two VMs that take
 * the step over from each other, a store of texts and results, and a scoring service
 * whose answers may be failures, be lost or arrive after the call was canceled.
 *
 * Go functions that the model represents:
 *   generate    step.run.runAttempt, handleComplete and awaitScore
 *   call        step.run.score
 *   save        step.run.saveTexts: expects the version of the state row
 *   commit      step.run.commitPending: expects the version of the state row and the
 *               absence of its own row
 *   take over   step.Manager.takeOver, run.restoreTexts
 *
 * weaken: WEAKEN_LIST_WITHOUT_SCORE
 * weaken: WEAKEN_CALL_BEFORE_TEXT
 * weaken: WEAKEN_FORGET_COUNT
 * weaken: WEAKEN_SCORE_OUTLIVES_TEXT
 * weaken: WEAKEN_COUNT_ALL_FAILURES
 * weaken: WEAKEN_LIST_WITHOUT_STATE
 */

#define VMS 2
#define ATTEMPTS 2	/* answers of "failed" after which the item is abandoned */
#define CHANGES 2	/* changes of owner */
#define TEXTS 3		/* maximum number of texts generated */
#define CALLS 6		/* maximum number of score calls */
#define NONE 0

/* The version of the state row, which each change of owner replaces. */
byte version = 1;

/* The saved row of the item: the number of its text, NONE if no text is complete, and
 * the failures counted. */
byte savedText, savedFailures;

/* The result of the item: committed or abandoned. */
bit committed, abandoned;

/* What actually happened: texts generated, calls made, and answers of "failed". An owner
 * that dies loses the failures that it has not saved; lost counts these, and failures
 * that a VM receives after another one has taken the step over. */
byte texts, calls, failures, lost;
byte unsaved[VMS];

/* The count contains all failures except the lost ones. Otherwise an item that fails
 * each time would be sent to the service again after every change of owner. */
#define COUNT_HOLDS (failures == count + lost)

#ifdef WEAKEN_LIST_WITHOUT_STATE
#define canWrite(v) true
#else
#define canWrite(v) (version == v)
#endif

/* The process dies, or resumes after a pause and finds that another VM has taken over. */
inline stopOwning() {
	lost = lost + unsaved[vm];
	unsaved[vm] = 0;
	heldVersion = 0;
	count = 0;
	text = NONE;
#ifndef WEAKEN_SCORE_OUTLIVES_TEXT
	score = NONE
#endif
}

proctype Owner(byte vm, heldVersion) {
	byte text, score, count;

end:	do
	/* Take over: what the previous owner has not saved is lost. */
	:: atomic { version != heldVersion && version <= CHANGES && !committed && !abandoned ->
		version++;
		heldVersion = version;
		lost = lost + unsaved[0] + unsaved[1];
		unsaved[0] = 0;
		unsaved[1] = 0;
		text = savedText;
#ifdef WEAKEN_FORGET_COUNT
		count = 0;
#else
		count = savedFailures;
#endif
		assert(COUNT_HOLDS);
#ifndef WEAKEN_SCORE_OUTLIVES_TEXT
		score = NONE
#endif
	   }
	/* A text is completed. */
	:: atomic { heldVersion != 0 && text == NONE && texts < TEXTS -> texts++; text = texts }
	/* A score call. Its answer is a score or a failure, or never arrives. */
#ifdef WEAKEN_CALL_BEFORE_TEXT
	:: atomic { heldVersion != 0 && score == NONE && calls < CALLS ->
#else
	:: atomic { heldVersion != 0 && text != NONE && score == NONE && calls < CALLS && count < ATTEMPTS ->
#endif
		assert(text != NONE);
		calls++;
		if
		:: score = text
		:: failures++; count++;
			if
			:: heldVersion == version -> unsaved[vm]++
			:: else -> lost++
			fi
		:: skip		/* refused without a run, interrupted or late */
#ifdef WEAKEN_COUNT_ALL_FAILURES
			; count++
#endif
		fi
	   }
	:: atomic { heldVersion != 0 && canWrite(heldVersion) && !committed && !abandoned ->
		savedText = text;
		savedFailures = count;
		unsaved[vm] = 0
	   }
#ifdef WEAKEN_LIST_WITHOUT_SCORE
	:: atomic { heldVersion != 0 && text != NONE && canWrite(heldVersion) && !abandoned ->
#else
	:: atomic { heldVersion != 0 && text != NONE && score != NONE && canWrite(heldVersion) && !abandoned ->
#endif
		/* A result is committed once, with the score of its own text. */
		assert(!committed);
		assert(score == text);
		committed = 1;
		heldVersion = 0
	   }
	:: atomic { heldVersion != 0 && count >= ATTEMPTS && canWrite(heldVersion) && !committed && !abandoned ->
		assert(failures >= ATTEMPTS);
		abandoned = 1;
		heldVersion = 0
	   }
	:: atomic { heldVersion != 0 -> stopOwning() }
	od
}

init {
	atomic { run Owner(0, 1); run Owner(1, 0) }
}
