/* Two attempts of one call, each at its own endpoint process, and a store whose answers can be lost.
 *
 * Checked: the call runs at most once, and an attempt that says "not run" has not run and never will.
 * Guards that can be taken out, each of which must then yield a counterexample:
 *   -DNO_CREATE_ONLY   the claim overwrites whatever record is there
 *   -DNO_NONCE         after a lost answer any claimed record counts as one's own
 *   -DTAKE_OVER        a claim that seems old is taken over, as with a lease
 *   -DRUN_UNCLAIMED    a call whose claim has no known outcome runs
 */
#define ABSENT 0
#define CLAIMED 1
#define FREE 2
#define DONE 3

#define WRITTEN 0
#define CONFLICT 1
#define LOST 2

byte state = ABSENT;
byte owner = 0;
byte runs = 0;
byte saidNotRun[3];
byte ran[3];

/* One conditional write and its answer, which may be lost on the way back, or the write itself on the way there. */
inline claim(me, expected, answer)
{
    atomic {
        if
        :: answer = LOST /* never arrived */
        :: 
#ifdef NO_CREATE_ONLY
            state = CLAIMED; owner = me; answer = WRITTEN;
#else
            if
            :: state == expected -> state = CLAIMED; owner = me; answer = WRITTEN
            :: else -> answer = CONFLICT
            fi;
#endif
            if
            :: skip
            :: answer = LOST /* took effect, but nobody hears of it */
            fi
        fi
    }
}

inline execute(me)
{
    atomic { runs++; ran[me] = 1 };
    if
    :: state = DONE /* the outcome is recorded */
    :: skip /* the process dies before it is */
    fi
}

proctype Attempt(byte me)
{
    byte answer;
    byte seenState;
    byte seenOwner;
    byte steps = 0;

    claim(me, ABSENT, answer);
again:
    steps++;
    if
    :: steps > 3 -> goto refuse
    :: else
    fi;
    if
    :: answer == WRITTEN -> execute(me); goto end
    :: answer != WRITTEN ->
#ifdef RUN_UNCLAIMED
        if
        :: answer == LOST -> execute(me); goto end
        :: else
        fi;
#endif
        /* read back; the read can fail, and the attempt is refused */
        if
        :: goto refuse
        :: atomic { seenState = state; seenOwner = owner }
        fi;
        if
        :: seenState == ABSENT -> claim(me, ABSENT, answer); goto again
        :: seenState == FREE -> claim(me, FREE, answer); goto again
        :: seenState == DONE -> goto end
        :: seenState == CLAIMED ->
#ifdef NO_NONCE
            if
            :: answer == LOST -> execute(me); goto end
            :: else -> goto end
            fi
#else
            if
            :: seenOwner == me -> execute(me); goto end
#ifdef TAKE_OVER
            :: seenOwner != me -> owner = me; execute(me); goto end
#endif
            :: else -> goto end /* may have run */
            fi
#endif
        fi
    fi;
refuse:
    saidNotRun[me] = 1;
    /* a claim that may have taken effect is freed later, by its own nonce */
    atomic {
        if
        :: state == CLAIMED && owner == me -> state = FREE
        :: else
        fi
    };
end:
    assert(runs <= 1);
    assert(!(saidNotRun[me] && ran[me]))
}

init {
    atomic { run Attempt(1); run Attempt(2) }
}
