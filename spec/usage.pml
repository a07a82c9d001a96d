/*
 * Usage window, seal and report: two VM incarnations with absolute totals, two
 * reporters of which one may be paused past the end of its lease, and billing, which
 * accepts a report again if the counts are the same.
 *
 * Go functions that the model represents, in internal/usage:
 *   VM          Meter.open (opens a window), Meter.write (flushes absolute totals),
 *               Meter.Seal
 *   Closer      Reporter.close (reads all rows), Reporter.insertReports (writes one
 *               report row if it is absent), Reporter.sendReports (sends exactly that
 *               row to billing)
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

/* Whether the end of the window has passed. */
bit windowEnded;

/* The row of each VM for the window, and whether the VM is presumed dead. */
bit opened[VMS], sealed[VMS], dead[VMS];
byte total[VMS];
/* The row of the window's report with the final count, and the corrections in the next
 * window. */
bit reported, incomplete;
byte finalCount;
byte corrected;
/* Billing. */
bit billed;
byte billedCount;
/* Units that were served, and those that were lost with a killed VM. */
byte served, lost;
byte finished;		/* VMs that have nothing more to write */

proctype VM(byte id) {
	byte used, flushed;

	/* The row is written before the first use, so that the reporter notices if the
	 * totals of this VM are missing. */
#ifndef WEAKEN_OPEN_AFTER_USE
	opened[id] = 1;
#endif
	do
	:: atomic { used < USES && !windowEnded -> used++; served++ }
	:: /* Flush. If the reply is lost, the totals are sent again. */
		atomic {
			used > flushed && !sealed[id];
#ifdef WEAKEN_INCREMENTS
			total[id] = total[id] + (used - flushed);
#else
			total[id] = used;
#endif
			assert(total[id] <= used);
			opened[id] = 1;
			if
			:: flushed = used
			:: skip
			fi
		}
	:: atomic { windowEnded && used == flushed -> sealed[id] = 1; opened[id] = 1 } break
	:: /* Cut off and presumed dead, but the VM continues. */
		atomic { !dead[id] -> dead[id] = 1 }
	:: /* Killed: the units that were not flushed are lost. */
		atomic { dead[id] = 1; lost = lost + used - total[id] } goto stopped
	od;
	/* Units recorded after the seal are a correction in the next window. */
	if
	:: atomic { used < USES ->
		used++; served++;
#ifdef WEAKEN_LATE_USE_IN_WINDOW
		total[id]++
#else
		corrected++
#endif
	   }
	:: true
	fi;
stopped:	finished++
}

/* The reporter runs twice. If the runs overlap, the first was paused past the end of its
 * lease. */
proctype Closer() {
	byte sum, sending;
	bit partial;

	atomic {
#ifndef WEAKEN_REPORT_BEFORE_SEAL
		(!opened[0] || sealed[0] || dead[0]) && (!opened[1] || sealed[1] || dead[1]) &&
#endif
		windowEnded ->
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
			reported = 1; finalCount = sum; incomplete = partial
		:: reported
		fi
	}
	do
	:: atomic {
#ifdef WEAKEN_SEND_OWN_FIGURES
		sending = sum;
#else
		sending = finalCount;
#endif
		/* No window is billed twice with different counts. */
		assert(!billed || billedCount == sending);
		billed = 1;
		billedCount = sending
	   }
	:: break	/* done; the report is sent again after a lost reply */
	od
}

/* Audit checks at the end that the billed, corrected and lost units add up to those
 * served, and that a report without the totals of a VM is marked incomplete. */
proctype Audit() {
end:	atomic {
		finished == VMS && _nr_pr == 2 && billed ->
		assert(billedCount + corrected + lost >= served || incomplete);
		assert(billedCount + corrected <= served);
		assert(lost == 0 || incomplete)
	}
}

proctype Clock() {
	windowEnded = 1
}

init {
	atomic { run Audit(); run Clock(); run VM(0); run VM(1); run Closer(); run Closer() }
	true
}
