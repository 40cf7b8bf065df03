/*
 * A task waits in its entry with reservations at two agents. Each agent that has
 * resources holds them and offers them; the entry binds the task to one offer.
 *
 * The task must never run at both agents, and resources must not stay held once
 * nobody will use them: the entry may be lost or frozen, messages may be lost with a link,
 * and offers, starts and releases may cross each other.
 */
#define AGENTS 2

mtype = { reserve, release, start, offer, dropped };

chan toAgent[AGENTS] = [3] of { mtype };
chan toEntry[AGENTS] = [3] of { mtype };
bool linkOpen[AGENTS] = true;
bool reserved[AGENTS];     /* the agent has the reservation */
bool held[AGENTS];         /* and holds resources for it */
bool taken[AGENTS];        /* the resources are used by a run of the task */
byte runs = 0;             /* runs of the task */

bool entryAlive = true;
bool bound = false;        /* the entry has bound the task to an offer */
bool mine[AGENTS];         /* the entry expects the agent to have the reservation */

proctype Entry() {
  byte i = 0;
  do
  :: i < AGENTS -> toAgent[i]!reserve; mine[i] = true; i++
  :: i == AGENTS -> break
  od;
  do
  :: atomic { toEntry[0]?[offer] -> toEntry[0]?offer; i = 0; goto offered }
  :: atomic { toEntry[1]?[offer] -> toEntry[1]?offer; i = 1; goto offered }
  :: atomic { toEntry[0]?[dropped] -> toEntry[0]?dropped; mine[0] = false }
  :: atomic { toEntry[1]?[dropped] -> toEntry[1]?dropped; mine[1] = false }
  :: atomic { entryAlive -> entryAlive = false; linkOpen[0] = false; linkOpen[1] = false; break }
  :: goto done /* it is frozen: its links stay open */
  :: timeout -> break
  od;
  goto done;
offered:
  atomic {
    if
#ifdef BIND_EACH_OFFER
    :: mine[i] -> mine[i] = false; bound = true; toAgent[i]!start
    :: else -> toAgent[i]!release
#else
    :: mine[i] && !bound -> mine[i] = false; bound = true; toAgent[i]!start;
       if
       :: mine[1 - i] -> mine[1 - i] = false; toAgent[1 - i]!release
       :: else
       fi
    :: else -> mine[i] = false; toAgent[i]!release
#endif
    fi
  };
  goto next;
next:
  do
  :: atomic { toEntry[0]?[offer] -> toEntry[0]?offer; i = 0; goto offered }
  :: atomic { toEntry[1]?[offer] -> toEntry[1]?offer; i = 1; goto offered }
  :: atomic { toEntry[0]?[dropped] -> toEntry[0]?dropped; mine[0] = false }
  :: atomic { toEntry[1]?[dropped] -> toEntry[1]?dropped; mine[1] = false }
  :: atomic { entryAlive -> entryAlive = false; linkOpen[0] = false; linkOpen[1] = false; break }
  :: goto done
  :: timeout -> break
  od;
done:
  skip
}

proctype Agent(byte a) {
  do
  :: atomic { linkOpen[a] && toAgent[a]?[reserve] -> toAgent[a]?reserve; reserved[a] = true }
  :: atomic { linkOpen[a] && toAgent[a]?[release] -> toAgent[a]?release; reserved[a] = false; held[a] = false }
  :: atomic { linkOpen[a] && toAgent[a]?[start] -> toAgent[a]?start; reserved[a] = false; held[a] = false; taken[a] = true; runs++; assert(runs <= 1) }
  :: atomic { linkOpen[a] && reserved[a] && !held[a] && nfull(toEntry[a]) -> held[a] = true; toEntry[a]!offer }
#ifndef HOLD_FOREVER
  /* the offer is not answered in time */
  :: atomic { linkOpen[a] && held[a] && nfull(toEntry[a]) -> held[a] = false; reserved[a] = false; toEntry[a]!dropped }
#endif
#ifndef OUTLIVE_LINK
  :: atomic { !linkOpen[a] && reserved[a] -> held[a] = false; reserved[a] = false }
#endif
  :: timeout -> break
  od
}

init {
  atomic { run Entry(); run Agent(0); run Agent(1) };
  (_nr_pr == 1);
  assert(!held[0] && !held[1])
}
