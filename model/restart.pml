/*
 * A worker that starts again under its ID while an agent's orders are on their way.
 *
 * The agent orders one start, which may be held up for any time and then reaches whichever
 * incarnation is up. The worker may start again once: it then runs nothing and has seen no
 * token. A look tells the incarnation and what runs, and raises the token that the worker
 * has seen. Once the agent takes the run for over, the task runs elsewhere, and must not
 * run here.
 */
#define NONE 255

byte life = 1;            /* the incarnation that is up */
byte seen = 0;            /* the highest token that it has seen */
bool running = false;
byte token = 1;           /* the agent's */
byte believed = 1;        /* the incarnation that the agent believes to be up */
bool over = false;        /* the agent has told that the run is over */
bool elsewhere = false;

chan order = [1] of { byte };

proctype Agent() {
  order!token;
  do
  :: atomic { !over && !elsewhere ->
       /* a look */
       if
       :: seen <= token -> seen = token
       :: else
       fi;
       if
       :: life != believed ->
          believed = life;
#ifndef TOKEN_AS_BEFORE
          token = token + 1;
#endif
#ifdef OVER_AT_ONCE
          over = true
#endif
       :: life == believed && believed == 2 && !running -> over = true
       :: else
       fi
     }
  :: atomic { over -> elsewhere = true; assert(!running); break }
  :: atomic { believed == 1 && life == 1 && !over -> skip } /* nothing has happened yet */
  od
}

proctype Worker() {
  byte t;
  do
  :: atomic { order?[t] -> order?t;
       if
       :: t >= seen -> seen = t; running = true; assert(!elsewhere)
       :: else
       fi
     }
  :: atomic { life == 1 -> life = 2; seen = 0; running = false }
  :: atomic { elsewhere && empty(order) -> break }
  od
}

init { atomic { run Agent(); run Worker() } }
