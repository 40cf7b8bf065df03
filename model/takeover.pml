/*
 * How long an owner of a durable job waits before it starts the task, over several changes of owner.
 *
 * The first owner runs the task. It may be cut off: then it runs the task until its confirmation of
 * ownership expires. Each owner may be lost at any time, for certain or by its silence only, and each
 * successor knows what the row tells and which of the earlier processes are certainly gone.
 *
 * Time is counted in ticks. A task must not be started while a run of an earlier owner may go on.
 */
#define OWNERS 4
#define TTL    3   /* validity of a confirmation of ownership */
#define EXPIRY 1   /* leases of the runs of an owner that is gone */

byte epoch = 1;             /* of the present owner, as stored */
byte startedEpoch = 1;      /* newest epoch whose owner may have started the task, as stored */
bool gone[OWNERS + 1];      /* the process of the owner is gone */
byte runsLeft[OWNERS + 1];  /* ticks until runs of an owner that has lost the job are over */
byte wait = 0;              /* ticks until the present owner may start */

/* The owner whose runs may still go on when the present one is lost. */
#define STARTER (startedEpoch)

#ifdef WAIT_FOR_LAST_OWNER
/* The successor waits for its direct predecessor only. */
#define WAIT_FOR (gone[epoch] -> EXPIRY : TTL + EXPIRY)
#else
#define WAIT_FOR (gone[STARTER] -> EXPIRY : TTL + EXPIRY)
#endif

#define OVER (runsLeft[1] == 0 && runsLeft[2] == 0 && runsLeft[3] == 0 && runsLeft[4] == 0)

/* An owner that started the task loses the job: its runs end with the leases if its process is gone,
 * with its confirmation otherwise. */
inline lose(e) {
  if
  :: startedEpoch == e && gone[e] && runsLeft[e] == 0 -> runsLeft[e] = EXPIRY
  :: startedEpoch == e && !gone[e] -> runsLeft[e] = TTL + EXPIRY
  :: else
  fi
}

proctype Change() {
  byte i;
  do
     /* another entry takes the job over */
  :: atomic { epoch < OWNERS ->
       lose(epoch);
       wait = WAIT_FOR;
       epoch++ }
     /* the process of any owner so far is gone: its runs end with the leases */
  :: atomic { select (i : 1 .. epoch);
       gone[i] = true;
       if
       :: runsLeft[i] > EXPIRY -> runsLeft[i] = EXPIRY
       :: else
       fi }
     /* the present owner starts the task once it has waited */
  :: atomic { wait == 0 && startedEpoch != epoch ->
       assert(OVER);
       startedEpoch = epoch }
     /* a tick */
  :: atomic {
       if
       :: wait > 0 -> wait--
       :: else
       fi;
       i = 1;
       do
       :: i <= OWNERS ->
          if
          :: runsLeft[i] > 0 -> runsLeft[i]--
          :: else
          fi;
          i++
       :: else -> break
       od }
  :: epoch == OWNERS && startedEpoch == OWNERS -> break
  od
}

init { run Change() }
