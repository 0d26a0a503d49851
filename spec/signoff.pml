/* Sign-off: two operators, conditional updates of the head, lost answers and
 * updates that take effect late. Model rollout.pml relies on what is shown here:
 * the head only grows, and each version has one bundle.
 *
 * Variants that the checker must refuse:
 *   BROKEN_UNCONDITIONAL_RETRY  after a lost answer an operator writes the head without a condition
 *   BROKEN_BLIND_CONFLICT       after a lost answer an operator takes a conflict as "another one won"
 *   BROKEN_NEW_VERSION          after a lost answer an operator signs the same bundle again on top
 *
 * Properties, as assertions:
 *   one acceptance for each version, and one version for each sign-off;
 *   an operator who is told "accepted" or "lost" is told the truth.
 */

#define OPERATORS 2
#define VERSIONS 4

/* The head object in the platform, with the recent acceptances in it. */
byte headVersion = 0;
byte accepted[VERSIONS + 1];

/* signedOff[b] counts the versions of operator b's sign-off. */
byte signedOff[OPERATORS + 1];

inline setHead(v, b) {
	assert(v > headVersion);
	assert(accepted[v] == 0);
	assert(signedOff[b] == 0);
	accepted[v] = b;
	signedOff[b]++;
	headVersion = v
}

/* A conditional update whose answer was lost takes effect later, or never. */
proctype late(byte expect; byte b) {
	atomic {
		if
		:: headVersion == expect -> setHead(expect + 1, b)
		:: else -> skip
		fi
	}
}

/* One operator signs off bundle b. */
proctype operator(byte b) {
	byte expect;
	byte tries = 0;       /* updates sent for the version in hand */
	byte lates = 1;       /* updates that may take effect late */
	byte rounds = 0;      /* versions tried */
	byte outcome;         /* 0 unknown, 1 accepted, 2 conflict */

read:	expect = headVersion;
	tries = 0;
	rounds++;

write:	outcome = 0;
	tries++;
	atomic {
		if
		:: headVersion == expect ->
			if
			:: setHead(expect + 1, b); outcome = 1
			:: setHead(expect + 1, b)         /* the answer is lost */
			:: lates > 0 -> lates--; run late(expect, b) /* the answer is lost, the effect is late */
			:: skip                           /* no effect, and the answer is lost */
			fi
		:: else ->
			if
			:: outcome = 2
			:: skip                           /* the answer is lost */
			fi
		fi
	}
	if
	:: outcome == 1 -> goto won
	:: outcome == 2 && tries == 1 -> goto lost
	:: else -> skip
	fi;
#ifdef BROKEN_UNCONDITIONAL_RETRY
	atomic { setHead(expect + 1, b) };
	goto won;
#endif
#ifdef BROKEN_BLIND_CONFLICT
	if
	:: outcome == 2 -> goto lost
	:: else -> skip
	fi;
#endif
#ifdef BROKEN_NEW_VERSION
	if
	:: rounds < 2 -> goto read
	:: else -> goto done
	fi;
#endif

	/* Read the head back and decide by the operation id. */
	atomic {
		if
		:: accepted[expect + 1] == b -> goto won
		:: accepted[expect + 1] != 0 && accepted[expect + 1] != b -> goto lost
		:: else -> skip
		fi
	}
	if
	:: tries < 3 -> goto write                        /* the same update again */
	:: else -> goto done                              /* told "unknown" */
	fi;

won:	assert(accepted[expect + 1] == b);
	goto done;

lost:	assert(accepted[expect + 1] != b);
	if
	:: rounds < 2 -> goto read                        /* on top of the winner */
	:: skip
	fi;

done:	skip
}

init {
	byte i;
	atomic {
		for (i : 1 .. OPERATORS) { run operator(i) }
	}
}
