/*
 * Takeover of a durable job with one task.
 *
 * Entry 1 owns the job in the store and has run 1 at worker A. It may be cut off from
 * the store, lose its link to A for a while, or vanish; when it has lost sight of
 * run 1 for both leases it starts run 2 at worker B. Entry 2 may take the job over at
 * any time. A's agent keeps the end of run 1 until it is told that it is stored.
 *
 * Two runs must never run at once, and the task must not be started again after an
 * end "done" that its worker was told to forget, unless that worker's lease ended
 * in between.
 */
#define END   10  /* length of a schedule */
#define OWN   2   /* how long a confirmation of ownership lasts */
#define LEASE 1   /* owner lease and worker lease together */
#define NONE  255

byte now = 0;
byte owner = 1;             /* in the store's row */
bool entry1Lives = true;
byte entry1Gone = NONE;     /* when it vanished */
byte ownedUntil = OWN;      /* entry 1's ownership as it knows */
bool linked = true;         /* entry 1 and A */
byte unlinkedAt = NONE;

mtype = { running, done, over };
mtype run1 = running;
bool runB = false;          /* run 2 or 3 at B */
byte ownerB = 0;
bool noted = false;         /* A has forgotten the end of run 1 */
bool lapsed = false;        /* after A's lease had ended */
bool tooLate = false;          /* A was told that the end came too late */
bool stored = false;        /* the store's row has the end of run 1 */
bool givenUp = false;       /* the store's row says that run 1 does not count */
bool restarted = false;     /* a start after run 1 had ended done */

mtype = { placed, waiting, started, ended };
mtype view1 = placed;       /* what entry 1 believes */
mtype view2 = waiting;
byte safeAt = NONE;         /* when entry 2 may act */

inline forget() {
  noted = true;
  assert(!restarted || lapsed)
}

inline startAtB(by) {
  assert(run1 != running && !runB);
  runB = true;
  ownerB = by;
  if
  :: run1 == done ->
     restarted = true;
     assert(!noted || lapsed)
  :: else
  fi
}

#ifdef UNCONFIRMED
#define OWNED1 (entry1Lives)
#else
#define OWNED1 (entry1Lives && now < ownedUntil)
#endif

#ifdef SHORT_WAIT
#define WAIT LEASE
#else
#define WAIT (OWN + LEASE)
#endif

proctype Run1() {
  do
  :: atomic { run1 == running -> run1 = done }
  :: run1 != running -> break
  od
}

proctype Entry1() {
  do
  :: atomic { entry1Lives && owner == 1 && now < ownedUntil -> ownedUntil = now + OWN }
  :: atomic { entry1Lives && linked -> linked = false; unlinkedAt = now }
  :: atomic { entry1Lives && !linked -> linked = true; unlinkedAt = NONE }
  :: atomic { entry1Lives -> entry1Lives = false; entry1Gone = now; break }
  :: atomic { OWNED1 && !linked && view1 == placed && now > unlinkedAt + LEASE -> view1 = waiting }
     /* the row says so before the task starts again */
  :: atomic { OWNED1 && view1 == waiting && owner == 1 -> givenUp = true }
#ifdef NO_MARK
  :: atomic { OWNED1 && view1 == waiting -> view1 = started; startAtB(1) }
#else
  :: atomic { OWNED1 && view1 == waiting && givenUp -> view1 = started; startAtB(1) }
#endif
     /* the end is told: it is stored under the condition that the row is still its own */
  :: atomic { OWNED1 && linked && run1 == done && (view1 == placed || view1 == waiting && !givenUp) ->
       view1 = ended;
#ifdef FORGET_BEFORE_STORE
       forget()
#else
       if
       :: owner == 1 -> stored = true; forget()
       :: else
       fi
#endif
     }
  :: atomic { OWNED1 && linked && run1 == done && (view1 == started || givenUp) && !noted ->
#ifdef NO_VOID
       forget()
#else
       tooLate = true
#endif
     }
  :: now == END -> break
  od
}

proctype Entry2() {
  do
  :: atomic { owner == 1 -> owner = 2; safeAt = now + WAIT }
     /* ends are believed at once: entry 1 can no longer have run 1 given up */
  :: atomic { owner == 2 && run1 == done && view2 == waiting && !givenUp && !noted -> view2 = ended; stored = true; forget() }
  :: atomic { owner == 2 && now > safeAt && view2 == waiting && !stored -> view2 = started; startAtB(2) }
  :: atomic { owner == 2 && now > safeAt && run1 == done && (view2 == started || givenUp) && !noted ->
#ifdef NO_VOID
       forget()
#else
       tooLate = true
#endif
     }
  :: now == END -> break
  od
}

/* A's agent lets the lease end before it forgets an end that came too late. */
proctype Agent() {
  do
  :: atomic { tooLate && !lapsed -> lapsed = true; forget() }
  :: now == END -> break
  od
}

/* What must have happened by the end of a tick: leases end runs. */
proctype Clock() {
  do
  :: atomic {
       now < END ->
       if
       :: run1 == running && (!linked && now >= unlinkedAt + LEASE || !entry1Lives && now >= entry1Gone + LEASE) -> run1 = over
       :: else
       fi;
       if
       :: runB && ownerB == 1 && (!entry1Lives && now >= entry1Gone + LEASE || now >= ownedUntil + LEASE) -> runB = false
       :: else
       fi;
       if
       :: run1 == running && now >= ownedUntil + LEASE -> run1 = over
       :: else
       fi;
       now++
     }
  :: now == END -> break
  od
}

init {
  atomic { run Run1(); run Entry1(); run Entry2(); run Agent(); run Clock() }
}
