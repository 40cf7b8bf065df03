/*
 * Claim, start, takeover, fence, void, lost write answers, crash and restart of
 * one submission with one task that may not be repeated.
 *
 * Two entries, two agents, one row of the table service. A caller sends the
 * submission to both entries, at any time relative to each other. A pause of a
 * process is an interleaving in which it takes no step. Messages to agents may
 * arrive late, after the sender has crashed or was fenced.
 *
 * Safety: the task starts at most once; "not run" is answered only if nothing
 * started and nothing of the voided epoch starts later; at most one outcome is
 * recorded, and every answer with an outcome equals it.
 * Progress: when nothing can move any more, the claim is not left open and each
 * entry that is alive has answered.
 *
 * Broken variants, each rejected by the check: NO_FENCE, NO_EPOCH,
 * RESTART_IS_NOT_RUN, REFUSE_UNKNOWN, REFUSE_UNVOIDED, ANSWER_FIRST,
 * FORGET_BEFORE_RECORD, NO_NONCE. model/check runs them all.
 */

#define ENTRIES 2
#define AGENTS  2

/* Phases of the row. */
#define ABSENT  0
#define RUNNING 1
#define CLOSED  2
#define VOID    3

/* Outcomes. */
#define NONE     0
#define COMPLETE 1
#define UNKNOWN  2

/* The row of the table service. */
byte rowPhase = ABSENT;
byte rowOwner = 9;
byte rowEpoch = 0;
byte rowOutcome = NONE;

/* Candidates of the claim: the incarnation of each agent. */
byte candidate[AGENTS];

/* Budgets of faults. */
byte crashesLeft = 1;      /* of entries */
byte restartsLeft = 1;     /* of agents */
byte lostLeft = 2;         /* lost requests or answers of writes */
byte hastyLeft = 1;        /* takeovers from an owner that has not crashed */

/* Agents, as they are in their present incarnation. */
byte incarnation[AGENTS];
byte seen[AGENTS];         /* highest epoch */
bool started[AGENTS];
bool finished[AGENTS];

/* What the checker knows. */
byte starts = 0;
byte startEpoch = 0;       /* epoch of the start */
byte voidEpoch = 0;        /* highest epoch that was answered "not run" */
bool saidComplete = false;
bool saidUnknown = false;
byte ended = 0;            /* entries that have nothing more to do */

/* Starts under way: to an agent incarnation, with an epoch. */
chan toAgent[AGENTS] = [3] of { byte, byte };

/* Fates of a conditional write as the writer sees them. */
#define APPLIED  0
#define CONFLICT 1
#define LOST     2

/* cas replaces the row if it is as expected; the request or its answer may be lost. */
inline cas(fate, ifPhase, ifOwner, ifEpoch, toPhase, toOwner, toEpoch, toOutcome) {
	atomic {
		if
		:: lostLeft > 0 -> lostLeft--; fate = LOST
		:: rowPhase == ifPhase && (ifPhase == ABSENT || (rowOwner == ifOwner && rowEpoch == ifEpoch)) ->
			assert(rowPhase != CLOSED);
			if
			:: ifPhase == ABSENT || ifPhase == VOID ->
				candidate[0] = incarnation[0]; candidate[1] = incarnation[1]
			:: else
			fi;
			rowPhase = toPhase; rowOwner = toOwner; rowEpoch = toEpoch; rowOutcome = toOutcome;
			if
			:: fate = APPLIED
			:: lostLeft > 0 -> lostLeft--; fate = LOST
			fi
		:: !(rowPhase == ifPhase && (ifPhase == ABSENT || (rowOwner == ifOwner && rowEpoch == ifEpoch))) ->
			fate = CONFLICT
		fi
	}
}

/* sayOutcome answers the caller with an outcome. */
inline sayOutcome(said) {
	atomic {
		if
		:: said == COMPLETE -> saidComplete = true
		:: else -> saidUnknown = true
		fi;
		assert(!(saidComplete && saidUnknown))
	}
}

/* sayNotRun answers "not run" for all work up to an epoch. */
inline sayNotRun(upTo) {
	atomic {
		/* After a void, another entry may have claimed anew, under a higher epoch. */
		assert(starts == 0 || startEpoch > upTo);
		if
		:: upTo > voidEpoch -> voidEpoch = upTo
		:: else
		fi
	}
}

/* mayCrash lets the entry's process end here; its messages stay under way. */
#define mayCrash \
	if \
	:: atomic { crashesLeft > 0 -> crashesLeft--; goto crashed } \
	:: skip \
	fi

proctype Agent(byte a) {
	byte inc, tag;
end:	do
	:: atomic {
		toAgent[a] ? inc, tag ->
		if
		:: inc != incarnation[a]           /* the link to that incarnation is closed */
		:: inc == incarnation[a] && (tag < seen[a] || started[a])  /* refused, or a duplicate */
		:: inc == incarnation[a] && tag >= seen[a] && !started[a] ->
			seen[a] = tag;
			started[a] = true;
			starts++;
			startEpoch = tag;
			assert(starts <= 1);
			assert(tag > voidEpoch)
		fi
	   }
	:: atomic { started[a] && !finished[a] -> finished[a] = true }
	:: atomic {
		restartsLeft > 0 -> restartsLeft--;
		incarnation[a]++;
		seen[a] = 0; started[a] = false; finished[a] = false
	   }
	od
}

proctype Entry(byte self) {
	byte fate, epoch, outcome, i, target, owner;
	bool gone, found, swept;

claim:	/* insert if absent */
	epoch = 1;
	cas(fate, ABSENT, 0, 0, RUNNING, self, 1, NONE);
	if
	:: fate == APPLIED -> goto start
	:: fate == CONFLICT -> goto look
	:: fate == LOST ->
#ifdef REFUSE_UNKNOWN
		if
		:: sayNotRun(1); goto done
		:: skip
		fi;
#endif
		goto look
	fi;

look:	/* what is in force; the own nonce means that an unanswered write took effect */
	mayCrash;
	atomic {
		owner = rowOwner; epoch = rowEpoch;
		if
		:: rowPhase == ABSENT && !swept -> goto claim
		:: rowPhase == ABSENT && swept -> goto done
#ifdef NO_NONCE
		:: rowPhase == RUNNING -> goto start
#else
		:: rowPhase == RUNNING && owner == self -> goto start
		:: rowPhase == RUNNING && owner != self -> goto takeover
#endif
		:: rowPhase == VOID && !swept -> goto reclaim
		:: rowPhase == VOID && swept -> goto done
		:: rowPhase == CLOSED -> outcome = rowOutcome; goto tell
		fi
	}

reclaim: /* a voided submission may be claimed again, under the next epoch */
	cas(fate, VOID, owner, epoch, RUNNING, self, epoch + 1, NONE);
	if
	:: fate == APPLIED -> epoch = epoch + 1; goto start
	:: else -> goto look
	fi;

takeover: /* the owner may be dead, paused or slow: a takeover must be safe at any time.
	     Without a reason to suspect the owner, wait for its outcome. */
	mayCrash;
	if
	:: swept
	:: atomic { !swept && hastyLeft > 0 -> hastyLeft-- }
	:: rowPhase != RUNNING || rowOwner != owner || rowEpoch != epoch -> goto look
	fi;
#ifdef NO_EPOCH
	cas(fate, RUNNING, owner, epoch, RUNNING, self, epoch, NONE);
#else
	cas(fate, RUNNING, owner, epoch, RUNNING, self, epoch + 1, NONE);
#endif
	if
	:: fate == APPLIED
	:: fate == CONFLICT -> goto look
	:: fate == LOST -> /* known by its nonce whether it took effect */
		if
		:: rowPhase == RUNNING && rowOwner == self
		:: !(rowPhase == RUNNING && rowOwner == self) -> goto look
		fi
	fi;
	atomic { epoch = rowEpoch; if :: rowOwner != self || rowPhase != RUNNING -> goto look :: else fi };

fence:	/* ask every candidate what it started */
	mayCrash;
	gone = false; found = false; i = 0;
	do
	:: i < AGENTS ->
#ifndef NO_FENCE
		atomic {
			if
			:: incarnation[i] != candidate[i] -> gone = true   /* it may have started there */
			:: incarnation[i] == candidate[i] ->
				if
				:: epoch > seen[i] -> seen[i] = epoch
				:: else
				fi;
				if
				:: started[i] && !found -> found = true; target = i
				:: else
				fi
			fi
		};
#endif
		i++
	:: i >= AGENTS -> break
	od;
#ifdef RESTART_IS_NOT_RUN
	gone = false;
#endif
	if
	:: found -> goto gather
	:: !found && gone -> outcome = UNKNOWN; goto record
	:: !found && !gone && swept -> goto giveUp
	:: !found && !gone && !swept -> goto send
	fi;

start:	/* the claim is known to be in force for self. An entry that finds its own
	   claim after a pause has sent nothing in this epoch: it claims first. */
	mayCrash;
	if
	:: goto send
	:: goto giveUp
	fi;

send:	if
	:: target = 0
	:: target = 1
	fi;
	toAgent[target] ! candidate[target], epoch;

gather:	/* wait for the result, unless the agent is gone or the claim is lost */
	mayCrash;
	if
	:: atomic { incarnation[target] == candidate[target] && finished[target] -> outcome = COMPLETE }
	:: incarnation[target] != candidate[target] -> outcome = UNKNOWN
	:: rowPhase != RUNNING || rowOwner != self || rowEpoch != epoch -> goto look
	fi;
#ifdef ANSWER_FIRST
	sayOutcome(outcome);
#endif

record:	/* the outcome is recorded before any caller reads it */
#ifdef FORGET_BEFORE_RECORD
	atomic {
		if
		:: outcome == COMPLETE -> finished[target] = false; started[target] = false
		:: else
		fi
	};
#endif
	mayCrash;
	cas(fate, RUNNING, self, epoch, CLOSED, self, epoch, outcome);
	if
	:: fate == APPLIED -> goto tell
	:: fate == CONFLICT -> goto look
	:: fate == LOST ->
		if
		:: rowPhase == RUNNING && rowOwner == self && rowEpoch == epoch -> goto record
		:: !(rowPhase == RUNNING && rowOwner == self && rowEpoch == epoch) -> goto look
		fi
	fi;

giveUp:	/* nothing was sent in this epoch: void the claim, then refuse */
#ifdef REFUSE_UNVOIDED
	sayNotRun(epoch);
	goto done;
#endif
	cas(fate, RUNNING, self, epoch, VOID, self, epoch, NONE);
	if
	:: fate == APPLIED -> sayNotRun(epoch); goto done
	:: fate == CONFLICT -> goto look
	:: fate == LOST ->
		if
		:: rowPhase == VOID && rowOwner == self && rowEpoch == epoch -> sayNotRun(epoch); goto done
		:: rowPhase == RUNNING && rowOwner == self && rowEpoch == epoch -> goto giveUp
		:: !((rowPhase == VOID || rowPhase == RUNNING) && rowOwner == self && rowEpoch == epoch) -> goto look
		fi
	fi;

tell:	if
	:: swept
	:: !swept -> sayOutcome(outcome)
	fi;
	goto done;

crashed: /* the next incarnation sweeps what the lost one left; it has no caller */
	self = self + ENTRIES;
	swept = true;
	goto look;

done:	ended++
}

init {
	atomic { run Agent(0); run Agent(1); run Entry(0); run Entry(1) }
	timeout ->
	assert(ended == ENTRIES);
	assert(rowPhase != RUNNING)
}
