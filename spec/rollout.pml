/* Roll-out of accepted versions: watch, push, pull, apply, restart. The head
 * behaves as model signoff.pml shows: it only grows, one bundle for each version.
 * Once, the platform may be restored from an older copy without a version; its
 * revisions are then given out again, and the operator writes the newest version again.
 *
 * Variants that the checker must refuse:
 *   BROKEN_NO_ORDER             a node applies a version without comparing it with its own
 *   BROKEN_NO_CONTENT_CHECK     a node applies content without comparing it with the accepted id
 *   BROKEN_NO_PULL              a node that missed a push does not pull
 *   BROKEN_BY_REVISION          a lead takes a version only at a higher revision than its own
 *
 * Properties, as assertions:
 *   the version of a live node never goes back;
 *   the content on a node is the accepted content of its version;
 *   when nothing more can happen, every node has the accepted version.
 */

#define NODES 3        /* nodes 0 and 1 are leads and see the platform */
#define LEADS 2
#define VERSIONS 2
#define DAMAGED 255

/* The head object in the platform; version v has bundle v. */
byte headVersion = 0;
byte newest = 0;       /* the newest version that the platform has accepted */

/* The platform's revision, and the one at which each version was first written. */
byte headRevision = 0;
byte revisionOf[VERSIONS + 1];

byte restores = 1;     /* restores that may still happen */

/* The version in force on each node, and its content. */
byte version[NODES];
byte content[NODES];

/* Pushes under way: version with the accepted bundle, and content. */
chan link[NODES] = [1] of { byte, byte };

byte damages = 1;      /* messages that may still be damaged */
byte restarts = 1;     /* restarts that may still happen */

/* Writes a version. Version 1 is first written behind another object. */
inline write(v) {
	headRevision++;
	if
	:: revisionOf[v] == 0 -> headRevision = headRevision + (v == 1); revisionOf[v] = headRevision
	:: else -> skip
	fi;
	headVersion = v
}

/* Sign-offs, one after the other, and a restore. */
proctype signoff() {
	do
	:: atomic { headVersion == newest && newest < VERSIONS -> newest++; write(newest) }
	:: atomic { restores > 0 && newest == 1 -> restores--; headVersion = 0; headRevision = 0 }
	:: atomic { headVersion < newest -> write(newest) }
	:: headVersion == VERSIONS -> break
	od
}

/* Passes the version in force on to one peer: it arrives, is damaged or lost. */
inline push(n, p) {
	if
	:: nfull(link[p]) -> link[p]!version[n], content[n]
	:: nfull(link[p]) && damages > 0 -> damages--; link[p]!version[n], DAMAGED
	:: skip
	fi
}

/* Verifies and applies what was read before; a lead then pushes it. */
inline take(n, v, c) {
	atomic {
		if
#ifdef BROKEN_NO_ORDER
		:: v != version[n] -> fresh = true
#else
		:: v > version[n] -> fresh = true
#endif
		:: else -> fresh = false
		fi;
#ifndef BROKEN_NO_CONTENT_CHECK
		fresh = fresh && c == v;
#endif
		if
		:: fresh ->
			assert(v > version[n]);
			assert(c == v);
			version[n] = v;
			content[n] = c;
			if
			:: n < LEADS -> push(n, 1 - n); push(n, 2)
			:: else -> skip
			fi
		:: else -> skip
		fi;
		v = 0;
		c = 0;
		fresh = false
	}
}

/* Reads the version of a peer and takes it later. */
inline pull(n, p) {
	d_step { v = version[p]; c = content[p] };
	take(n, v, c)
}

proctype node(byte n) {
	byte v, c;
	bool fresh;

end:	do
	/* A lead reads the head; it may pause before it goes on. */
#ifdef BROKEN_BY_REVISION
	:: n < LEADS && headVersion > version[n] && headRevision > revisionOf[version[n]] ->
#else
	:: n < LEADS && headVersion > version[n] ->
#endif
		d_step { v = headVersion; c = headVersion };
		take(n, v, c)
	/* A push arrives; those of different peers cross each other. */
	:: link[n]?v, c -> take(n, v, c)
#ifndef BROKEN_NO_PULL
	/* A heartbeat shows a newer version: pull it from that peer. */
	:: version[(n + 1) % NODES] > version[n] ->
		pull(n, (n + 1) % NODES)
	:: version[(n + 2) % NODES] > version[n] ->
		pull(n, (n + 2) % NODES)
#endif
	/* The process is replaced and remembers nothing. */
	:: atomic { restarts > 0 && version[n] > 0 ->
		restarts--;
		version[n] = 0;
		content[n] = 0
	}
	od
}

/* When nothing more can happen, every node has the accepted version. */
proctype monitor() {
	byte i;
	timeout;
	assert(headVersion == VERSIONS);
	for (i : 0 .. NODES - 1) {
		assert(version[i] == headVersion)
	}
}

init {
	byte i;
	atomic {
		for (i : 0 .. NODES - 1) { run node(i) };
		run signoff();
		run monitor()
	}
}
