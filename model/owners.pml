/*
 * Runs of one durable task whose job changes its owner, their numbers and their ends.
 *
 * Up to three owners follow each other; each knows of its predecessors only what is stored, and
 * starts nothing before their leases have ended all their runs. The end of a run is reported to
 * whoever owns the job then, at any time, again and again until it is acknowledged: its agent may
 * have been frozen or cut off meanwhile.
 *
 * Two runs must never run at once, and the task must not be started again after an end "done" that
 * is acknowledged, unless its worker's lease ended in between.
 */
#define OWNERS 3
#define RUNS   3   /* starts in a schedule */
#define BLOCK  16  /* run numbers of an epoch */

mtype = { unused, running, done, lapsed };

byte epoch = 1;             /* of the present owner, as stored */
byte storedRun = 0;         /* newest run whose end is stored */
byte storedAbandoned = 0;   /* newest run that no longer counts, as stored */
byte startedEpoch = 1;      /* newest epoch whose owner may have started a run, as stored */
bool storedDone = false;

byte newest = 0;            /* number of the newest run that the owner knows */
byte current = 0;           /* number of the run that it waits for; 0 if there is none */
bool began = false;         /* it has started a run */

mtype state[RUNS] = unused;
byte number[RUNS];
byte runEpoch[RUNS];
bool acknowledged[RUNS];
bool leaseEnded[RUNS];      /* the worker's lease ended before the end was acknowledged */
bool wasDone[RUNS];         /* a later run has started since the run ended as done */
byte started = 0;

#ifdef GUESSED_NUMBERS
/* The first start leaves room for starts of the previous owner that are not stored. */
#define NEXT (newest + 1 + (epoch > 1 && !began -> 4 : 0))
#else
#define NEXT (newest > (epoch - 1) * BLOCK -> newest + 1 : (epoch - 1) * BLOCK + 1)
#endif

inline noneRunning() {
  assert(state[0] != running && state[1] != running && state[2] != running)
}

#ifdef NO_START_RECORD
#define MAY_START (PREDECESSORS_OVER)
#define COUNTED 0
#else
#define MAY_START (PREDECESSORS_OVER && startedEpoch == epoch)
#define COUNTED ((startedEpoch - 1) * BLOCK)
#endif

#define OVER(r) (state[r] != running || runEpoch[r] == epoch)
#define PREDECESSORS_OVER (OVER(0) && OVER(1) && OVER(2))

/* An acknowledged end "done" that no later start may follow. */
#define BINDS(r) (state[r] == done && acknowledged[r] && !leaseEnded[r])
#define DONE(r) (state[r] == done && !leaseEnded[r])

inline begin() {
  noneRunning();
  assert(!BINDS(0) && !BINDS(1) && !BINDS(2));
  if
  :: DONE(0) -> wasDone[0] = true
  :: else
  fi;
  if
  :: DONE(1) -> wasDone[1] = true
  :: else
  fi;
  if
  :: DONE(2) -> wasDone[2] = true
  :: else
  fi;
  newest = NEXT;
  current = newest;
  began = true;
  state[started] = running;
  number[started] = newest;
  runEpoch[started] = epoch;
  started++
}

inline acknowledge(r) {
  acknowledged[r] = true;
  assert(!wasDone[r] || leaseEnded[r])
}

/* The end of run r counts: it is stored, then acknowledged. */
inline count(r) {
  current = 0;
  newest = number[r];
  storedRun = number[r];
  storedDone = (state[r] == done);
  acknowledge(r)
}

inline report(r) {
  if
  :: number[r] == current -> count(r)
  :: number[r] != current && current == 0 && !storedDone && number[r] >= newest && number[r] > storedAbandoned && number[r] > COUNTED -> count(r)
     /* the end came too late: it is void */
  :: else -> leaseEnded[r] = true; acknowledge(r)
  fi
}

proctype Owner() {
  do
  :: atomic { !storedDone && current == 0 && started < RUNS && MAY_START -> begin() }
     /* it is stored that the ends of predecessors' runs no longer count */
  :: atomic { !storedDone && PREDECESSORS_OVER && startedEpoch != epoch -> startedEpoch = epoch }
     /* the owner has lost sight of its run until the leases have ended it */
  :: atomic { current != 0 && began && state[started - 1] != running && number[started - 1] == current ->
       storedAbandoned = current; current = 0 }
     /* another owner */
  :: atomic { !storedDone && epoch < OWNERS ->
       epoch++; newest = storedRun; current = 0; began = false }
  :: storedDone -> break
  :: started == RUNS -> break
  od
}

proctype Worker(byte r) {
  do
  :: atomic { state[r] == running -> state[r] = done }
  :: atomic { state[r] == running -> state[r] = lapsed }
  :: state[r] == done || state[r] == lapsed -> break
  :: storedDone && state[r] == unused -> break
  od
}

proctype Agent(byte r) {
  do
  :: atomic { (state[r] == done || state[r] == lapsed) && !acknowledged[r] -> report(r) }
  :: acknowledged[r] -> break
  :: storedDone && state[r] == unused -> break
  od
}

init {
  atomic {
    run Owner();
    byte r = 0;
    do
    :: r < RUNS -> run Worker(r); run Agent(r); r++
    :: else -> break
    od
  }
}
