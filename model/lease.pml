/*
 * Leases of a task that an entry has run through an agent on a worker.
 *
 * Entry 1 sends a start and heartbeats, each with a reading of the agent's clock,
 * and may vanish. Its messages, and the agent's order to the worker, may be held
 * up for any time. The agent may vanish and a new process may follow it. The
 * caller sends the job again a while after entry 1 has vanished, and entry 2 has
 * the task run on another worker. Both must never run at once.
 *
 * Time is discrete. An agent that lives does its duty in every tick; a worker
 * ends a run as soon as its lease is over.
 */
#define END    9    /* length of a schedule */
#define OWNER  1    /* owner lease */
#define WORKER 1    /* worker lease */
#define RESEND 3    /* after an entry has vanished; above OWNER + WORKER */
#define NONE   255

byte now = 0;
bool entryLives = true;
byte vanishedAt = NONE;
bool agentLives = true;
bool duty = false;        /* the agent has done its duty in this tick */
bool adopted = true;      /* the agent knows the run's owner */
byte ownerUntil = 0;      /* end of the owner lease at the agent */
byte orderDeadline = NONE; /* a start order on its way to the worker */
bool ordered = false;
bool running1 = false;
byte until = 0;           /* end of the worker lease */
bool running2 = false;

chan link = [3] of { byte }; /* readings of the agent's clock */

inline run1() {
  running1 = true;
  assert(!running2)
}

proctype Entry1() {
  byte sent = NONE;
  do
  :: atomic { entryLives && sent != now && nfull(link) -> link!now; sent = now }
  :: atomic { entryLives -> entryLives = false; vanishedAt = now; break }
  :: now == END -> break
  od
}

inline hear(reading) {
#ifdef HELD_MESSAGES_RENEW
  ownerUntil = now + OWNER;
#else
  if
  :: reading + OWNER > ownerUntil -> ownerUntil = reading + OWNER
  :: else
  fi;
#endif
  if
  :: !ordered && now <= ownerUntil ->
     ordered = true;
     orderDeadline = now + WORKER
  :: else
  fi
}

inline keep() {
  if
  :: running1 && adopted && now <= ownerUntil -> until = now + WORKER
#ifdef ORPHANS_RENEWED
  :: running1 && !adopted -> until = now + WORKER
#endif
#ifdef NO_OWNER_LEASE
  :: running1 && adopted && now > ownerUntil -> until = now + WORKER
#endif
  :: running1 && now > ownerUntil -> running1 = false /* the stop arrives */
  :: true                                             /* it is lost, or there is nothing to do */
  fi
}

proctype Agent() {
  byte reading;
  do
  :: atomic { agentLives && link?[reading] -> link?reading; hear(reading) }
  :: atomic { agentLives && !duty -> keep(); duty = true }
  :: atomic { agentLives -> agentLives = false }
  :: atomic { !agentLives -> agentLives = true; adopted = false; ordered = true; ownerUntil = 0 }
  :: now == END -> break
  od
}

proctype Worker() {
  do
#ifdef NO_DEADLINE
  :: atomic { orderDeadline != NONE -> until = now + WORKER; orderDeadline = NONE; run1() }
#else
  :: atomic { orderDeadline != NONE && now <= orderDeadline -> until = orderDeadline; orderDeadline = NONE; run1() }
#endif
  :: atomic { running1 -> running1 = false } /* it is done */
  :: now == END -> break
  od
}

proctype Clock() {
  do
  :: atomic {
       now < END && (duty || !agentLives) ->
       now++;
       duty = false;
       if
       :: running1 && now > until -> running1 = false
       :: else
       fi
     }
  :: now == END -> break
  od
}

proctype Entry2() {
  if
  :: atomic { !entryLives && now >= vanishedAt + RESEND -> running2 = true; assert(!running1) }
  :: now == END
  fi
}

init { atomic { run Entry1(); run Agent(); run Worker(); run Clock(); run Entry2() } }
