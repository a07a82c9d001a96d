/*
 * First sender of a cold engine: the owners of open steps are ranked for the engine, by
 * each VM from the states of steps that it has read, and only the first one may send. Time advances
 * in ticks. States reach a VM late, each at its own time, or not at all for a while. The
 * end of steps is left out: the owner of a step that ended may still count as first for
 * MAX_AGE ticks, beside the next first sender.
 *
 * Go functions that the model represents:
 *   open            step.Manager.handleSubmitOutcome: the state is written, then recorded
 *                   by its owner
 *   read            rowstore.Watcher.follow: all changes up to now
 *   isFirstSender   step.Manager.IsFirstSender
 *
 * weaken: WEAKEN_OLD_STATES
 * weaken: WEAKEN_NO_SETTLING
 * weaken: WEAKEN_OTHERS_SETTLE
 */

#define VMS 3		/* ranked for the engine by number, 0 first */
#define GRACE 3		/* ticks for which the step of an owner must be open before it may be first */
#define NEVER 15

#ifdef WEAKEN_OLD_STATES
#define MAX_AGE 5
#else
#define MAX_AGE 2	/* maximum age of the states of a first sender; below GRACE */
#endif

/* For each VM, the ticks since its step was opened, counted up to GRACE, or NEVER; and the
 * ticks since it read the states, counted up to MAX_AGE + 1. */
byte openFor[VMS], readFor[VMS];

/* The ticks since each VM learned of each step, or NEVER. Only a weakened form uses the
 * number of ticks. */
byte knownFor[VMS * VMS];

byte firstSenders;

#ifdef WEAKEN_NO_SETTLING
#define graceOver(me) (openFor[me] != NEVER)
#else
#define graceOver(me) (openFor[me] == GRACE)
#endif

/* A VM includes another owner in the ranking as soon as it learns of its step. */
#ifdef WEAKEN_OTHERS_SETTLE
#define known(me, vm) (knownFor[(me) * VMS + (vm)] == GRACE)
#define LONGEST GRACE
#else
#define known(me, vm) (knownFor[(me) * VMS + (vm)] != NEVER)
#define LONGEST 0
#endif

#define isFirstSender(me) (graceOver(me) && readFor[me] <= MAX_AGE \
	&& ((me) < 1 || !known(me, 0)) && ((me) < 2 || !known(me, 1)))

#define nextAge(age, most) ((age) == NEVER || (age) >= (most) -> (age) : (age) + 1)

/* A VM learns of the steps that are open now. */
inline read(me) {
	readFor[me] = 0;
	vm = 0;
	do
	:: vm < VMS ->
		if
		:: openFor[vm] != NEVER && knownFor[me * VMS + vm] == NEVER -> knownFor[me * VMS + vm] = 0
		:: else
		fi;
		vm++
	:: else -> break
	od;
	vm = 0
}

active proctype Fleet() {
	byte me, vm;

	atomic {
		do
		:: me < VMS * VMS -> knownFor[me] = NEVER; me++
		:: else -> break
		od;
		me = 0;
		do
		:: me < VMS -> openFor[me] = NEVER; me++
		:: else -> break
		od
	}
	do
	:: true ->
		/* Each VM may open its step, and may read the states, in any order. */
		me = 0;
		do
		:: me < VMS ->
			if
			:: openFor[me] == NEVER -> openFor[me] = 0
			:: true
			fi;
			if
			:: atomic { true; read(me) }
			:: true
			fi;
			me++
		:: else -> break
		od;
		me = 0;
		d_step {
			firstSenders = (isFirstSender(0) -> 1 : 0) + (isFirstSender(1) -> 1 : 0) + (isFirstSender(2) -> 1 : 0);
			assert(firstSenders <= 1);
			firstSenders = 0;
			do
			:: me < VMS * VMS -> knownFor[me] = nextAge(knownFor[me], LONGEST); me++
			:: else -> break
			od;
			me = 0;
			do
			:: me < VMS ->
				openFor[me] = nextAge(openFor[me], GRACE);
				readFor[me] = nextAge(readFor[me], MAX_AGE + 1);
				me++
			:: else -> break
			od;
			me = 0
		}
	od
}
