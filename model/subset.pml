/*
 * An agent that turns to other entries releases its link to one of them, while a
 * run of that entry may be there, on its way, or not sent yet.
 *
 * The entry may run the task elsewhere only once it was told that the run is over,
 * or once the link is closed and the run's lease has passed since the last message
 * that it sent. Both runs must never be there at once, and no run may be cut off
 * from its entry by a release: it would be in doubt until its lease has passed.
 *
 * Links may also break at any time, with what is on its way in them.
 */
#define END   8   /* length of a schedule */
#define LEASE 2   /* how long a run goes on without a message of its entry */
#define NONE  255

mtype = { start, over, released };

byte now = 0;
chan toAgent = [2] of { mtype };
chan toEntry = [3] of { mtype };
bool linkOpen = true;
bool isReleased = false;    /* the agent has given the link up */
bool running = false;
byte until = 0;             /* end of the run's lease */
bool elsewhere = false;     /* the task runs on another worker */

bool placed = false;        /* the entry believes that the run may be there */
byte sentAt = NONE;
bool mayNotSend = false;    /* the entry has heard of the release */

inline breakLink() {
  linkOpen = false;
  do
  :: toAgent?_
  :: toEntry?_
  :: empty(toAgent) && empty(toEntry) -> break
  od
}

proctype Entry() {
  do
  :: atomic { linkOpen && !placed && !elsewhere && !mayNotSend && nfull(toAgent) -> toAgent!start; placed = true; sentAt = now }
  :: atomic { linkOpen && toEntry?[over] -> toEntry?over; placed = false }
  :: atomic { linkOpen && toEntry?[released] -> toEntry?released; mayNotSend = true }
#ifdef REPLACE_AT_CLOSE
  :: atomic { !linkOpen && placed -> placed = false }
#else
  :: atomic { !linkOpen && placed && now > sentAt + LEASE + 1 -> placed = false }
#endif
  :: atomic { !placed && sentAt != NONE && !elsewhere -> elsewhere = true; assert(!running) }
  :: now == END -> break
  od
}

proctype Agent() {
  do
  :: atomic { linkOpen && toAgent?[start] && nfull(toEntry) ->
       toAgent?start;
       if
       :: isReleased -> toEntry!over
       :: !isReleased && now <= sentAt + LEASE -> running = true; until = sentAt + LEASE; assert(!elsewhere)
       :: else -> toEntry!over /* it was held up on the way for too long */
       fi
     }
  :: atomic { running && linkOpen && nfull(toEntry) -> running = false; toEntry!over }
  :: atomic { linkOpen && !isReleased && nfull(toEntry) -> isReleased = true; toEntry!released }
#ifdef CLOSE_WITH_RUNS
  :: atomic { linkOpen && isReleased -> assert(!running); breakLink() }
#else
  :: atomic { linkOpen && isReleased && mayNotSend && empty(toAgent) && !running -> assert(!running); breakLink() }
#endif
  :: atomic { linkOpen -> breakLink() } /* it breaks by itself */
  :: now == END -> break
  od
}

proctype Clock() {
  do
  :: atomic {
       now < END ->
       now++;
       if
       :: running && now > until -> running = false
       :: else
       fi
     }
  :: now == END -> break
  od
}

init { atomic { run Entry(); run Agent(); run Clock() } }
