/*
 * Whose turn it is at a cold engine: the owners of open steps rank for it, each by the
 * states that it has read, and only the first may send. Time goes on in ticks. States
 * reach a VM late, each at its own time, or not at all for a while. Steps that end are left
 * out: their owner may have the turn for FRESH ticks beside the next.
 *
 * Go functions it stands for:
 *   open        step.Manager.submitted: the state is written, then noted by its owner
 *   read        kept.Watcher.follow: all changes up to now
 *   hasTurn     step.Manager.FirstSender
 *
 * weaken: WEAKEN_OLD_STATES
 * weaken: WEAKEN_NO_SETTLING
 * weaken: WEAKEN_OTHERS_SETTLE
 */

#define VMS 3		/* rank for the engine by number, 0 first */
#define SETTLE 3	/* ticks for which an owner waits for its turn */
#define NEVER 15

#ifdef WEAKEN_OLD_STATES
#define FRESH 5
#else
#define FRESH 2		/* below SETTLE */
#endif

/* For how many ticks each VM's step has been open, SETTLE or more, and how many ago it
 * read the states, FRESH + 1 or more. */
byte openFor[VMS], readFor[VMS];

/* For how many ticks each VM knows of each other's step; only NEVER or not matters but in
 * the weakened form. */
byte knownFor[VMS * VMS];

byte firsts;

#ifdef WEAKEN_NO_SETTLING
#define settled(me) (openFor[me] != NEVER)
#else
#define settled(me) (openFor[me] == SETTLE)
#endif

/* An owner counts for the others as soon as they hear of it. */
#ifdef WEAKEN_OTHERS_SETTLE
#define known(me, vm) (knownFor[(me) * VMS + (vm)] == SETTLE)
#define LONGEST SETTLE
#else
#define known(me, vm) (knownFor[(me) * VMS + (vm)] != NEVER)
#define LONGEST 0
#endif

#define hasTurn(me) (settled(me) && readFor[me] <= FRESH \
	&& ((me) < 1 || !known(me, 0)) && ((me) < 2 || !known(me, 1)))

#define older(age, most) ((age) == NEVER || (age) >= (most) -> (age) : (age) + 1)

/* A VM hears of the steps that are open now. */
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

active proctype World() {
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
		/* Each VM may open its step, and reads or can't, in any order. */
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
			firsts = (hasTurn(0) -> 1 : 0) + (hasTurn(1) -> 1 : 0) + (hasTurn(2) -> 1 : 0);
			assert(firsts <= 1);
			firsts = 0;
			do
			:: me < VMS * VMS -> knownFor[me] = older(knownFor[me], LONGEST); me++
			:: else -> break
			od;
			me = 0;
			do
			:: me < VMS ->
				openFor[me] = older(openFor[me], SETTLE);
				readFor[me] = older(readFor[me], FRESH + 1);
				me++
			:: else -> break
			od;
			me = 0
		}
	od
}
