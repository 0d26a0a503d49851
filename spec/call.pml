/* A call between two nodes by its id: connections break and come back, messages
 * on an old connection are lost or arrive late, the receiving process starts again
 * without memory. The caller places an order on another node only after "not run".
 *
 * Variants that the checker must refuse:
 *   BROKEN_NO_MEMORY        the receiver runs a call that it has run before
 *   BROKEN_NO_LIFE          the receiver runs a call that was first sent to its former process
 *   BROKEN_FORGET_EARLY     the receiver forgets a call while its caller may send it again
 *   BROKEN_LOST_IS_NOT_RUN  the caller takes a call without an answer as not run
 *
 * Properties, as assertions:
 *   an order runs at most once;
 *   a caller that is told "not run" is told the truth.
 */

mtype = { RAN, NOT_RUN, UNKNOWN };

byte runs = 0;         /* runs of the order, on this node and elsewhere */
byte life = 1;         /* of the receiving process */
byte breaks = 2;       /* connections that may still break */
byte restarts = 1;     /* restarts that may still happen */

/* Sent once more, and the life that the call was first sent to. */
chan calls = [3] of { bool, byte };
chan answers = [3] of { mtype };

/* What the receiving process remembers of the call. */
bool known = false;
bool running = false;
bool ended = false;
mtype outcome;

inline drop(c) {
	do
	:: nempty(c) -> c?_
	:: empty(c) -> break
	od
}

inline dropCalls() {
	do
	:: nempty(calls) -> calls?_,_
	:: empty(calls) -> break
	od
}

proctype receiver() {
	bool again;
	byte first;

end:	do
	:: calls?again, first ->
		atomic {
			if
#ifndef BROKEN_NO_MEMORY
			:: known ->
				if
				:: ended && nfull(answers) -> answers!outcome
				:: else -> skip
				fi
#endif
#ifndef BROKEN_NO_LIFE
			:: !known && again && first != life ->
				if
				:: nfull(answers) -> answers!UNKNOWN
				:: else -> skip
				fi
#endif
			:: else ->
				known = true;
				if
				:: running = true; runs++; assert(runs <= 1)
				:: ended = true; outcome = NOT_RUN;
					if
					:: nfull(answers) -> answers!NOT_RUN
					:: else -> skip
					fi
				fi
			fi
		}
	:: atomic { running ->
		running = false; ended = true; outcome = RAN;
		if
		:: nfull(answers) -> answers!RAN
		:: else -> skip
		fi
	}
	:: atomic { restarts > 0 ->
		restarts--;
		life++;
		known = false; running = false; ended = false;
		dropCalls();
		drop(answers)
	}
#ifdef BROKEN_FORGET_EARLY
	:: atomic { known && ended -> known = false; ended = false }
#endif
	od
}

proctype caller() {
	byte first;
	mtype told = UNKNOWN;

	atomic { first = life; calls!false, first };
	do
	:: answers?told -> break
	/* The connection breaks; what it carried is lost, or comes late. */
	:: atomic { breaks > 0 && nfull(calls) ->
		breaks--;
		if
		:: dropCalls()
		:: skip
		fi;
		drop(answers);
		calls!true, first
	}
	/* The caller's patience ends. */
	:: told = UNKNOWN;
#ifdef BROKEN_LOST_IS_NOT_RUN
		told = NOT_RUN;
#endif
		break
	od;
	if
	:: told == NOT_RUN ->
		assert(runs == 0);
		/* Another node runs it. */
		runs++;
		assert(runs <= 1)
	:: else -> skip
	fi
}

init {
	atomic { run receiver(); run caller() }
}
