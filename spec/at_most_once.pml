/* Two attempts of one call, each at its own endpoint process, and a store whose requests and responses can be lost.
 *
 * Checked: the call is executed at most once, and an attempt that reports "not run" has not executed it and never will.
 * Guards that can be disabled; each must then yield a counterexample:
 *   -DNO_CREATE_ONLY   the claim overwrites any existing record
 *   -DNO_NONCE         after a lost response any claimed record counts as the claim of this attempt
 *   -DTAKE_OVER        a claim of another attempt is taken over, as if its lease had expired
 *   -DRUN_UNCLAIMED    a call is executed although the outcome of its claim is unknown
 */
#define ABSENT 0
#define CLAIMED 1
#define FREE 2
#define DONE 3

#define WRITTEN 0
#define CONFLICT 1
#define LOST 2

byte recordState = ABSENT;
byte recordOwner = 0;
byte executionCount = 0;
byte reportedNotRun[3];
byte hasExecuted[3];

/* One conditional write; either the request or the response may be lost. */
inline claim(id, expected, result)
{
    atomic {
        if
        :: result = LOST /* the request is lost */
        :: 
#ifdef NO_CREATE_ONLY
            recordState = CLAIMED; recordOwner = id; result = WRITTEN;
#else
            if
            :: recordState == expected -> recordState = CLAIMED; recordOwner = id; result = WRITTEN
            :: else -> result = CONFLICT
            fi;
#endif
            if
            :: skip
            :: result = LOST /* the write took effect, but its response is lost */
            fi
        fi
    }
}

inline execute(id)
{
    atomic { executionCount++; hasExecuted[id] = 1 };
    if
    :: recordState = DONE /* the outcome is recorded */
    :: skip /* the process crashes before it is recorded */
    fi
}

proctype Attempt(byte id)
{
    byte result;
    byte readState;
    byte readOwner;
    byte claimAttempts = 0;

    claim(id, ABSENT, result);
again:
    claimAttempts++;
    if
    :: claimAttempts > 3 -> goto refuse
    :: else
    fi;
    if
    :: result == WRITTEN -> execute(id); goto end
    :: result != WRITTEN ->
#ifdef RUN_UNCLAIMED
        if
        :: result == LOST -> execute(id); goto end
        :: else
        fi;
#endif
        /* read the record back; if the read fails, the attempt is refused */
        if
        :: goto refuse
        :: atomic { readState = recordState; readOwner = recordOwner }
        fi;
        if
        :: readState == ABSENT -> claim(id, ABSENT, result); goto again
        :: readState == FREE -> claim(id, FREE, result); goto again
        :: readState == DONE -> goto end
        :: readState == CLAIMED ->
#ifdef NO_NONCE
            if
            :: result == LOST -> execute(id); goto end
            :: else -> goto end
            fi
#else
            if
            :: readOwner == id -> execute(id); goto end
#ifdef TAKE_OVER
            :: readOwner != id -> recordOwner = id; execute(id); goto end
#endif
            :: else -> goto end /* may have been executed */
            fi
#endif
        fi
    fi;
refuse:
    reportedNotRun[id] = 1;
    /* a claim that may have taken effect is released later, identified by its nonce */
    atomic {
        if
        :: recordState == CLAIMED && recordOwner == id -> recordState = FREE
        :: else
        fi
    };
end:
    assert(executionCount <= 1);
    assert(!(reportedNotRun[id] && hasExecuted[id]))
}

init {
    atomic { run Attempt(1); run Attempt(2) }
}
