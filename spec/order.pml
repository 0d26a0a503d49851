/*
 * Ownership of idempotency keys by ranges of their birth times.
 *
 * One shard has one owner table on the platform, changed by conditional update.
 * Births are 0 and 1. Two nodes own ranges and run orders; a node may crash and
 * start again without memory, may be paused at any step and return, and may
 * lose the answer of a write, which takes effect now, later or never. A caller
 * sends one key of each birth, and sends it again on any node. An owner may
 * hand its range and records over to the other node.
 *
 * Promises: a key runs at most once, and no attempt that was answered "not run"
 * ran. The checker must find an error with each of
 *   -DBROKEN_TAKE_FROM_NOW       a successor takes keys born before the end of
 *                                the former owner's range
 *   -DBROKEN_BLIND_WRITE         after a lost answer a node believes its own write
 *   -DBROKEN_HANDOVER_NO_FREEZE  an owner runs keys after it has sent its records
 *   -DBROKEN_KEEP_INSTANCE       a node that started again believes that the
 *                                ranges of its former run are its own
 *   -DBROKEN_REOPEN_IN_DOUBT     an owner takes keys again that an update without
 *                                an answer may yet give away
 *   -DBROKEN_CUT_TAKEN           an owner gives away the key that it has run
 *   -DBROKEN_LOST_IS_NOT_RUN     a run without an answer is answered "not run"
 */

#define NODES 2
#define BIRTHS 2
#define NOBODY 255
#define MAXVERSION 4
#define MAXLOSSES 1

/* The table on the platform: births below until[] of the last range belong to
 * the owner of their slot. Each slot is one birth; free slots have no owner. An
 * owner is a node together with its instance: node * MAXINST + instance. */
#define MAXINST 2
byte owner[BIRTHS];
byte version;

/* What a node knows: its copy of the table, its instance and its records. */
typedef Node {
	byte owner[BIRTHS];
	byte version;
	byte instance;
	bool closed;           /* takes no new key until a newer table is seen */
	bool frozen;           /* takes no new key at all: hands over */
	bit known[BIRTHS];     /* the key is in the records */
};
Node node[NODES];

/* A write whose answer was lost and which may still take effect. */
bool late;
byte lateVersion;
byte lateOwner[BIRTHS];

byte runs[BIRTHS];       /* executions of the key of each birth */
byte losses;             /* lost answers so far */
byte crashes;
byte clock;              /* births that callers have reached */

#define ME(n) (n * MAXINST + node[n].instance)

/* adopt copies the platform's table into a node. */
inline adopt(n) {
	if
	:: version > node[n].version -> node[n].closed = false
	:: else
	fi;
	node[n].version = version;
	b = 0;
	do
	:: b < BIRTHS -> node[n].owner[b] = owner[b]; b++
	:: else -> break
	od;
	b = 0
}

/* put is the conditional update of the table to next[], if its version is still
 * base. The answer may be lost before or after the effect, or the effect may
 * come later. won and told say what happened and whether the node knows it. */
inline put(base) {
	won = false; told = true;
	if
	:: version == base ->
		if
		:: won = true
		:: losses < MAXLOSSES -> losses++; won = true; told = false
		:: losses < MAXLOSSES -> losses++; told = false
		:: losses < MAXLOSSES ->
			losses++; told = false; late = true; lateVersion = base;
			b = 0;
			do
			:: b < BIRTHS -> lateOwner[b] = next[b]; b++
			:: else -> break
			od
		fi
	:: else
	fi;
	if
	:: won ->
		version = base + 1;
		b = 0;
		do
		:: b < BIRTHS -> owner[b] = next[b]; b++
		:: else -> break
		od
	:: else
	fi;
	b = 0
}

/* reset clears the scratch variables, so that equal states look equal. */
inline reset() {
	b = 0; k = 0; other = 0; base = 0; won = false; told = false; alive = false;
	next[0] = 0; next[1] = 0
}

proctype Member(byte n) {
	byte b, k, other, base;
	byte next[BIRTHS];
	bool won, told, alive, ran, notRun;

end:
	do
	/* Read the table. */
	:: atomic { adopt(n) }

	/* Take the free births, or, as the successor of an owner that is thought dead,
	 * the births from the end of its range on. */
	:: atomic {
		!node[n].frozen && version < MAXVERSION ->
		adopt(n);
		base = node[n].version; told = true; won = false;
		b = 0;
		do
		:: b < BIRTHS -> next[b] = node[n].owner[b]; b++
		:: else -> break
		od;
		/* Births up to the next one that callers can reach are given away. */
		k = 0;
		do
		:: k < BIRTHS && node[n].owner[k] != NOBODY -> k++
		:: else -> break
		od;
#ifdef BROKEN_TAKE_FROM_NOW
		if
		:: clock < BIRTHS -> k = clock
		:: else
		fi;
#endif
		if
		:: k < BIRTHS -> next[k] = ME(n)
		:: else -> skip
		fi;
	   }
	   /* The node may be paused here; others go on. */
	   atomic {
		put(base);
		if
		:: won && told -> adopt(n)
#ifdef BROKEN_BLIND_WRITE
		:: !told ->
			b = 0;
			do
			:: b < BIRTHS -> node[n].owner[b] = next[b]; b++
			:: else -> break
			od;
			b = 0
#else
		:: !told -> adopt(n) /* read back */
#endif
		:: else
		fi;
		reset()
	   }

	/* An attempt with the key of birth k arrives. */
	:: atomic {
		clock > 0 ->
		if
		:: k = 0
		:: clock > 1 -> k = 1
		fi;
		if
		:: node[n].known[k] -> k = 0 /* replay, in progress or unknown */
#ifdef BROKEN_KEEP_INSTANCE
		:: !node[n].known[k] && !node[n].closed && !node[n].frozen && node[n].owner[k] != NOBODY && node[n].owner[k] / MAXINST == n ->
#else
		:: !node[n].known[k] && !node[n].closed && !node[n].frozen && node[n].owner[k] == ME(n) ->
#endif
			node[n].known[k] = 1;
			if
			:: runs[k]++; /* it runs and answers */
			:: runs[k]++; ran = true; /* the upstream crashes after running it */
#ifdef BROKEN_LOST_IS_NOT_RUN
				notRun = true; node[n].known[k] = 0
#endif
			:: node[n].known[k] = 0; notRun = true /* it never reached the upstream */
			fi;
			assert(runs[k] <= 1);
			assert(!ran || !notRun);
			ran = false; notRun = false;
			k = 0
		:: else -> k = 0 /* not run: unowned */
		fi
	   }

	/* Crash and start again without memory, as another instance. */
	:: atomic {
		crashes < 1 && node[n].instance + 1 < MAXINST ->
		crashes++;
		node[n].instance++;
		node[n].version = 0; node[n].closed = false; node[n].frozen = false;
		b = 0;
		do
		:: b < BIRTHS -> node[n].known[b] = 0; node[n].owner[b] = NOBODY; b++
		:: else -> break
		od;
		b = 0
	   }

	/* Give the later birth to the other node: close, then update. */
	:: atomic {
		!node[n].frozen && version < MAXVERSION && node[n].owner[1] == ME(n) ->
		adopt(n);
#ifdef BROKEN_CUT_TAKEN
		if
		:: node[n].owner[1] == ME(n) ->
#else
		if
		:: node[n].owner[1] == ME(n) && !node[n].known[1] ->
#endif
			node[n].closed = true;
			base = node[n].version;
			other = 1 - n;
			next[0] = node[n].owner[0];
			next[1] = ME(other);
			alive = true
		:: else
		fi
	   }
	   if
	   :: alive ->
		atomic {
			put(base);
#ifdef BROKEN_REOPEN_IN_DOUBT
			node[n].closed = false;
#endif
			if
			:: told -> adopt(n); node[n].closed = false
			:: else
			fi;
			reset()
		}
	   :: else -> reset()
	   fi

	/* Hand over: freeze, send the records, give the range away. The answer to the
	 * transfer may be lost; sending it again changes nothing. */
	:: atomic {
		!node[n].frozen && version < MAXVERSION ->
		other = 1 - n;
		alive = !node[other].frozen;
		if
		:: alive ->
#ifndef BROKEN_HANDOVER_NO_FREEZE
			node[n].frozen = true;
#endif
			base = ME(other);
			b = 0;
			do
			:: b < BIRTHS ->
				if
				:: node[n].known[b] -> node[other].known[b] = 1
				:: else
				fi;
				b++
			:: else -> break
			od;
			b = 0
		:: else
		fi
	   }
	   if
	   :: alive ->
		atomic {
			/* base holds the successor; the update names its instance. */
			k = base;
			adopt(n);
			base = node[n].version;
			b = 0;
			do
			:: b < BIRTHS ->
				next[b] = node[n].owner[b];
				if
				:: next[b] == ME(n) -> next[b] = k
				:: else
				fi;
				b++
			:: else -> break
			od;
			k = 0
		}
		atomic {
			put(base);
			if
			:: won && told -> adopt(n)
			:: else
			fi;
			reset()
		}
	   :: else -> reset()
	   fi
	od
}

/* A late write takes effect if its condition still holds, or is dropped. */
proctype Network() {
end:
	do
	:: atomic {
		late ->
		if
		:: version == lateVersion ->
			version = lateVersion + 1;
			owner[0] = lateOwner[0]; owner[1] = lateOwner[1]
		:: else
		fi;
		late = false; lateVersion = 0; lateOwner[0] = NOBODY; lateOwner[1] = NOBODY
	   }
	od
}

proctype Clock() {
	do
	:: clock < BIRTHS -> clock++
	:: else -> break
	od
}

init {
	byte i, j;
	atomic {
		i = 0;
		do
		:: i < BIRTHS -> owner[i] = NOBODY; lateOwner[i] = NOBODY; i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < NODES ->
			j = 0;
			do
			:: j < BIRTHS -> node[i].owner[j] = NOBODY; j++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		run Member(0); run Member(1); run Network(); run Clock()
	}
}
