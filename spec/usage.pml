/*
 * Window, seal and report: two VM incarnations with absolute totals, two
 * closers of which one may be paused past its lease, billing that takes a
 * repeat with the same figures.
 *
 * Go functions it stands for, in internal/usage: the meter that opens a window,
 * flushes absolute totals and seals it; the closer that reads all rows, writes
 * one report row if absent and sends exactly that row to billing.
 *
 * weaken: WEAKEN_INCREMENTS
 * weaken: WEAKEN_OPEN_AFTER_USE
 * weaken: WEAKEN_REPORT_BEFORE_SEAL
 * weaken: WEAKEN_REPORT_OVERWRITES
 * weaken: WEAKEN_SEND_OWN_FIGURES
 * weaken: WEAKEN_LATE_USE_IN_WINDOW
 * weaken: WEAKEN_DEAD_PASSES_AS_WHOLE
 */

#define VMS 2
#define USES 2		/* units that each VM serves */

/* The window's end has passed. */
bit over;

/* Rows of the VMs for the window. */
bit opened[VMS], sealed[VMS], dead[VMS];
byte total[VMS];
/* Rows of the window's report and of the next window's corrections. */
bit reported, incomplete;
byte figure;
byte corrected;
/* Billing. */
bit billed;
byte bill;
/* What was really served, and what a killed VM took with it. */
byte served, lost;
byte ended;		/* VMs that have nothing more to write */

proctype VM(byte id) {
	byte mine, flushed;

	/* The row stands before the first use, so that it is missed. */
#ifndef WEAKEN_OPEN_AFTER_USE
	opened[id] = 1;
#endif
	do
	:: atomic { mine < USES && !over -> mine++; served++ }
	:: /* Flush; the reply may be lost, and then it is sent again. */
		atomic {
			mine > flushed && !sealed[id];
#ifdef WEAKEN_INCREMENTS
			total[id] = total[id] + (mine - flushed);
#else
			total[id] = mine;
#endif
			assert(total[id] <= mine);
			opened[id] = 1;
			if
			:: flushed = mine
			:: skip
			fi
		}
	:: atomic { over && mine == flushed -> sealed[id] = 1; opened[id] = 1 } break
	:: /* Cut off and taken for dead, but it goes on. */
		atomic { !dead[id] -> dead[id] = 1 }
	:: /* Killed: what was not flushed is gone. */
		atomic { dead[id] = 1; lost = lost + mine - total[id] } goto gone
	od;
	/* What comes in after the seal is a correction in the next window. */
	if
	:: atomic { mine < USES ->
		mine++; served++;
#ifdef WEAKEN_LATE_USE_IN_WINDOW
		total[id]++
#else
		corrected++
#endif
	   }
	:: true
	fi;
gone:	ended++
}

/* Closer runs twice; that the second one overlaps the first is a pause past the
 * lease. */
proctype Closer() {
	byte sum, sending;
	bit partial;

	atomic {
#ifndef WEAKEN_REPORT_BEFORE_SEAL
		(!opened[0] || sealed[0] || dead[0]) && (!opened[1] || sealed[1] || dead[1]) &&
#endif
		over ->
		sum = total[0] + total[1];
#ifndef WEAKEN_DEAD_PASSES_AS_WHOLE
		partial = (opened[0] && dead[0] && !sealed[0]) || (opened[1] && dead[1] && !sealed[1])
#endif
	}
	atomic {
		if
#ifdef WEAKEN_REPORT_OVERWRITES
		:: true ->
#else
		:: !reported ->
#endif
			reported = 1; figure = sum; incomplete = partial
		:: reported
		fi
	}
	do
	:: atomic {
#ifdef WEAKEN_SEND_OWN_FIGURES
		sending = sum;
#else
		sending = figure;
#endif
		/* No window is billed twice with different figures. */
		assert(!billed || bill == sending);
		billed = 1;
		bill = sending
	   }
	:: break	/* the reply is lost and it is sent again, or done */
	od
}

/* Audit compares at the end: billed, corrected and lost make up the service,
 * and a report that lacks a VM's figures says so. */
proctype Audit() {
end:	atomic {
		ended == VMS && _nr_pr == 2 && billed ->
		assert(bill + corrected + lost >= served || incomplete);
		assert(bill + corrected <= served);
		assert(lost == 0 || incomplete)
	}
}

proctype Clock() {
	over = 1
}

init {
	atomic { run Audit(); run Clock(); run VM(0); run VM(1); run Closer(); run Closer() }
	true
}
