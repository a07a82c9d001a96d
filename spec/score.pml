/*
 * The way of one item from its whole text to its listed score, over two VMs that take
 * the step from each other, a store that keeps texts and results, and a scoring service
 * whose answers fail, are lost or come after their caller has given up.
 *
 * Go functions it stands for:
 *   generate    step.run.runItem, complete and awaitScore
 *   call        step.run.score
 *   save        step.run.saveTexts: expects the state's version
 *   list        step.run.list: expects the state's version and the absence of its row
 *   take over   step.Manager.takeOver, run.resume
 *
 * weaken: WEAKEN_LIST_WITHOUT_SCORE
 * weaken: WEAKEN_CALL_BEFORE_TEXT
 * weaken: WEAKEN_FORGET_COUNT
 * weaken: WEAKEN_SCORE_OUTLIVES_TEXT
 * weaken: WEAKEN_COUNT_ALL_FAILURES
 * weaken: WEAKEN_LIST_WITHOUT_STATE
 */

#define VMS 2
#define ATTEMPTS 2	/* answers of "failed" after which the item is given up */
#define CHANGES 2	/* changes of owner */
#define TEXTS 3		/* texts that are made at most */
#define CALLS 6		/* calls that are made at most */
#define NONE 0

/* The state row's version, which each change of owner replaces. */
byte version = 1;

/* The saved row of the item: the number of its text, NONE if none is whole, and the
 * failures counted. */
byte savedText, savedFailures;

/* The result: listed, given up, the text and the score's text that stand there. */
bit listed, abandoned;

/* What truly happened: texts made, calls made, and answers of "failed". Those that an
 * owner has not saved yet may be lost with it; lost counts those that were, and those
 * of an owner that another has overtaken. */
byte texts, calls, failures, lost;
byte unsaved[VMS];

/* No failure is forgotten but those that are lost: an item that fails each time would
 * reach the service again with every change of owner. */
#define COUNT_HOLDS (failures == count + lost)

#ifdef WEAKEN_LIST_WITHOUT_STATE
#define mayWrite(v) true
#else
#define mayWrite(v) (version == v)
#endif

/* A process dies, or wakes to find that another has taken over. */
inline forget() {
	lost = lost + unsaved[me];
	unsaved[me] = 0;
	mine = 0;
	count = 0;
	text = NONE;
#ifndef WEAKEN_SCORE_OUTLIVES_TEXT
	score = NONE
#endif
}

proctype Owner(byte me, mine) {
	byte text, score, count;

end:	do
	/* Taking over: what is not saved is known to nobody. */
	:: atomic { version != mine && version <= CHANGES && !listed && !abandoned ->
		version++;
		mine = version;
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
	/* The text becomes whole. */
	:: atomic { mine != 0 && text == NONE && texts < TEXTS -> texts++; text = texts }
	/* A call is sent. Its answer may come, be a failure, or never arrive. */
#ifdef WEAKEN_CALL_BEFORE_TEXT
	:: atomic { mine != 0 && score == NONE && calls < CALLS ->
#else
	:: atomic { mine != 0 && text != NONE && score == NONE && calls < CALLS && count < ATTEMPTS ->
#endif
		assert(text != NONE);
		calls++;
		if
		:: score = text
		:: failures++; count++;
			if
			:: mine == version -> unsaved[me]++
			:: else -> lost++
			fi
		:: skip		/* refused unrun, broken off or late */
#ifdef WEAKEN_COUNT_ALL_FAILURES
			; count++
#endif
		fi
	   }
	:: atomic { mine != 0 && mayWrite(mine) && !listed && !abandoned ->
		savedText = text;
		savedFailures = count;
		unsaved[me] = 0
	   }
#ifdef WEAKEN_LIST_WITHOUT_SCORE
	:: atomic { mine != 0 && text != NONE && mayWrite(mine) && !abandoned ->
#else
	:: atomic { mine != 0 && text != NONE && score != NONE && mayWrite(mine) && !abandoned ->
#endif
		/* A position is written once, with the score of the text that stands there. */
		assert(!listed);
		assert(score == text);
		listed = 1;
		mine = 0
	   }
	:: atomic { mine != 0 && count >= ATTEMPTS && mayWrite(mine) && !listed && !abandoned ->
		assert(failures >= ATTEMPTS);
		abandoned = 1;
		mine = 0
	   }
	:: atomic { mine != 0 -> forget() }
	od
}

init {
	atomic { run Owner(0, 1); run Owner(1, 0) }
}
